"""HTTP client of the platform's workers; implements ``cells.WorkerClient``."""

from __future__ import annotations

import enum
from typing import Any

from msgspec import DecodeError, Struct, field, json

from marjoramwharf.cells.worker_messages import (
    EndReport,
    HoldOrder,
    HoldReport,
    OrderAnswer,
    OrderOutcome,
    PaceOrder,
    RunReport,
    StartOrder,
    StopOrder,
    WorkerAddress,
)
from marjoramwharf.ids import TaskId, WorkerId
from marjoramwharf.json_bodies import Amount, Ratio, decode_json
from marjoramwharf.links.http_client import (
    CallFailed,
    ConnectionChoice,
    HttpClient,
    KeptConnection,
    NewConnection,
    NoKeptConnection,
    NotConnected,
    StaleConnection,
)
from marjoramwharf.links.http_responses import ClientResponse
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.job_state import RunEnd

_LOG = part_logger('worker')
# Holds the worker id, which the platform calls instance. A worker may keep its
# id when it starts again, so this doesn't tell its incarnations.
_INCARNATION_HEADER = 'X-Marjoramwharf-Target-Instance'

# Holds the id of the worker that refuses a call meant for another one.
_ANSWERING_HEADER = 'x-marjoramwharf-instance-id'
_MAX_WORKER_ID_CHARACTERS = 200
_CONFLICT = 409

# The share of a probe's time after which its worker counts as not reached. It
# leaves the time for another route.
_CONNECT_SHARE = 0.3

# A worker lists at most this many ends at a time.
_MAX_LISTED_ENDS = 500

_OUTCOME_BY_STATUS = {
    200: OrderOutcome.ACCEPTED,
    400: OrderOutcome.BAD_ORDER,
    421: OrderOutcome.OTHER_WORKER,
    429: OrderOutcome.BUSY,
    503: OrderOutcome.BUSY,
}


@enum.unique
class _RefusalReason(enum.Enum):
    """Codes of workers; ``ROOM`` means that there is no room."""

    FENCE = 'fence'
    OLD = 'old'
    LATE = 'late'
    ROOM = 'room'
    TICKET = 'ticket'


_OUTCOME_BY_REASON = {
    _RefusalReason.FENCE: OrderOutcome.FENCED,
    _RefusalReason.OLD: OrderOutcome.RUN_TOO_OLD,
    _RefusalReason.LATE: OrderOutcome.TOO_LATE,
    _RefusalReason.ROOM: OrderOutcome.NO_ROOM,
    _RefusalReason.TICKET: OrderOutcome.BAD_TICKET,
}


class _StartBody(Struct, frozen=True, rename='pascal', omit_defaults=True):
    """``ExpiresMs`` is a time of the worker's own clock."""

    task: str
    run: int
    task_spec: str
    expires_ms: int
    fence: int
    checkpoint: str = ''
    ticket: str = ''


class _StopBody(Struct, frozen=True, rename='pascal'):
    task: str
    run: int
    fence: int


class _PaceBody(Struct, frozen=True, rename='pascal'):
    task: str
    run: int
    percent: int
    fence: int


class _HoldBody(Struct, frozen=True, rename='pascal', omit_defaults=True):
    """``LastSeen`` is not a time but the number of an end of a run.

    The worker may forget this end and those before it.
    """

    fence: int
    last_seen: int
    expires_ms: int | None = None
    wait_ms: int = 0


class _RefusalBody(Struct, frozen=True, rename='pascal'):
    clock_ms: Amount | None = None
    reason: str = ''


class _RunRow(Struct, frozen=True, array_like=True):
    """One run at work.

    ``reading`` is the tail latency in ms for a task that serves, and the
    millicores in use for any other.
    """

    task: str
    run: Amount
    checkpoint: str = ''
    percent: Ratio = 0
    reading: Ratio = 0


class _EndRow(Struct, frozen=True, array_like=True):
    number: Amount
    task: str
    run: Amount
    how: str
    checkpoint: str = ''


class _HoldReply(Struct, frozen=True):
    """``born`` is the Unix time of the worker's start in ms."""

    clock_ms: Amount = field(name='ClockMs')
    running: tuple[_RunRow, ...] = field(default=(), name='Running')
    ended: tuple[_EndRow, ...] = field(default=(), name='Ended')
    born: Amount = 0


class PlatformWorkerClient:
    """Sends orders to workers over the connections of one HTTP client."""

    def __init__(self, client: HttpClient) -> None:
        """Share ``client``, which keeps connections by address."""
        self._client = client

    async def start(
        self,
        worker: WorkerAddress,
        order: StartOrder,
        *,
        timeout_s: float,
    ) -> OrderAnswer:
        """Order a worker to start a run."""
        body = _StartBody(
            task=order.task,
            run=order.run,
            task_spec=order.payload,
            expires_ms=order.expires_ms,
            fence=order.fence,
            checkpoint=order.checkpoint,
            ticket=order.ticket,
        )
        return await self._send_order(worker, '/run-start', body, timeout_s)

    async def stop(
        self,
        worker: WorkerAddress,
        order: StopOrder,
        *,
        timeout_s: float,
    ) -> OrderAnswer:
        """Order a worker to stop a run."""
        body = _StopBody(order.task, order.run, order.fence)
        return await self._send_order(worker, '/run-stop', body, timeout_s)

    async def pace(
        self,
        worker: WorkerAddress,
        order: PaceOrder,
        *,
        timeout_s: float,
    ) -> OrderAnswer:
        """Order a worker to change the speed of a run."""
        body = _PaceBody(order.task, order.run, order.percent, order.fence)
        return await self._send_order(worker, '/pace', body, timeout_s)

    async def hold(
        self,
        worker: WorkerAddress,
        order: HoldOrder,
        *,
        timeout_s: float,
    ) -> HoldReport:
        """Extend the leases of a worker's runs and fetch its report."""
        body = _HoldBody(
            fence=order.fence,
            last_seen=order.acknowledged_end,
            expires_ms=order.expires_ms,
            wait_ms=order.wait_ms,
        )
        choice = _connection_to(worker) or NewConnection(
            _read_born_ms, timeout_s * _CONNECT_SHARE
        )
        try:
            answer = await self._send(worker, '/hold', body, timeout_s, choice)
        except StaleConnection:
            return HoldReport(OrderOutcome.NOT_CONNECTED)
        except CallFailed as failure:
            return HoldReport(_outcome_of(failure))
        if not answer.is_success:
            return _to_refused_report(answer)
        try:
            return _to_hold_report(decode_json(answer.body, _HoldReply))
        except DecodeError as failure:
            _LOG.warning(
                'answer to a hold is unreadable',
                worker=worker.worker_id,
                error=str(failure),
            )
            return HoldReport(OrderOutcome.UNKNOWN)

    async def _send_order(
        self,
        worker: WorkerAddress,
        path: str,
        body: Struct,
        timeout_s: float,
    ) -> OrderAnswer:
        choice = _connection_to(worker)
        try:
            answer = await self._send(worker, path, body, timeout_s, choice)
        except CallFailed as failure:
            return OrderAnswer(_outcome_of(failure))
        return _to_order_answer(answer)

    async def _send(
        self,
        worker: WorkerAddress,
        path: str,
        body: Any,
        timeout_s: float,
        choice: ConnectionChoice,
    ) -> ClientResponse:
        """Send a call; raises ``CallFailed``."""
        return await self._client.request(
            'POST',
            f'http://{worker.host}:{worker.port}{path}',
            headers={
                'Content-Type': 'application/json',
                _INCARNATION_HEADER: worker.worker_id,
            },
            body=json.encode(body),
            timeout_s=timeout_s,
            choice=choice,
        )


def _connection_to(worker: WorkerAddress) -> KeptConnection | None:
    """Return the connections for calls to a known incarnation, else any."""
    return None if worker.born_ms is None else KeptConnection(worker.born_ms)


def _read_born_ms(answer: ClientResponse) -> int | None:
    """Return which incarnation gave an answer to a hold, if it tells."""
    if not answer.is_success:
        return None
    try:
        return decode_json(answer.body, _HoldReply).born
    except DecodeError:
        return None


def _outcome_of(failure: CallFailed) -> OrderOutcome:
    if isinstance(failure, NoKeptConnection):
        return OrderOutcome.NOT_CONNECTED
    if isinstance(failure, NotConnected):
        return OrderOutcome.NOT_SENT
    return OrderOutcome.UNKNOWN


def _to_order_answer(answer: ClientResponse) -> OrderAnswer:
    """Return the outcome that an answer's status and body stand for."""
    try:
        body = decode_json(answer.body or b'{}', _RefusalBody)
    except DecodeError:
        body = _RefusalBody()
    outcome = _OUTCOME_BY_STATUS.get(answer.status, OrderOutcome.UNKNOWN)
    if answer.status == _CONFLICT:
        try:
            outcome = _OUTCOME_BY_REASON[_RefusalReason(body.reason)]
        except ValueError:
            _LOG.warning(
                'worker refused an order for an unknown reason',
                reason=body.reason,
            )
            outcome = OrderOutcome.BAD_ORDER
    return OrderAnswer(outcome, body.clock_ms)


def _to_refused_report(answer: ClientResponse) -> HoldReport:
    """Return the report of a hold that was refused, and by whom if told."""
    outcome = _to_order_answer(answer).outcome
    other = answer.headers.get(_ANSWERING_HEADER, '')
    is_id = 0 < len(other) <= _MAX_WORKER_ID_CHARACTERS and other.isascii()
    if outcome is not OrderOutcome.OTHER_WORKER or not is_id:
        return HoldReport(outcome)
    return HoldReport(outcome, other_worker_id=WorkerId(other))


def _to_hold_report(reply: _HoldReply) -> HoldReport:
    return HoldReport(
        outcome=OrderOutcome.ACCEPTED,
        clock_ms=reply.clock_ms,
        born_ms=reply.born,
        has_all_ends=len(reply.ended) < _MAX_LISTED_ENDS,
        running=[
            RunReport(
                task=TaskId(row.task),
                run=row.run,
                checkpoint=row.checkpoint,
                percent=round(row.percent),
                reading=round(row.reading),
            )
            for row in reply.running
        ],
        ended=[
            EndReport(
                number=row.number,
                task=TaskId(row.task),
                run=row.run,
                how=_parse_run_end(row.how),
                checkpoint=row.checkpoint,
            )
            for row in reply.ended
        ],
    )


def _parse_run_end(how: str) -> RunEnd:
    try:
        return RunEnd(how)
    except ValueError:
        _LOG.warning('unknown end of a run, taken as stopped', how=how)
        return RunEnd.STOPPED
