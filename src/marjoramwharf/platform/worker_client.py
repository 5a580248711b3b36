"""Calls to a worker of the platform; implements ``cells.WorkerCalls``."""

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
from marjoramwharf.ids import TaskId
from marjoramwharf.json_bodies import decode_json
from marjoramwharf.links.http_client import (
    Answer,
    CallFailed,
    LeanClient,
    NotConnected,
)
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.job_state import RunEnd

_LOG = part_logger('worker')
_INCARNATION_HEADER = 'X-Marjoramwharf-Target-Instance'
_CONFLICT = 409

_BY_STATUS = {
    200: OrderOutcome.ACCEPTED,
    400: OrderOutcome.BAD_ORDER,
    421: OrderOutcome.OTHER_WORKER,
    429: OrderOutcome.BUSY,
    503: OrderOutcome.BUSY,
}


@enum.unique
class _Refusal(enum.Enum):
    FENCE = 'fence'
    OLD = 'old'
    LATE = 'late'
    ROOM = 'room'
    TICKET = 'ticket'


_BY_REFUSAL = {
    _Refusal.FENCE: OrderOutcome.FENCED,
    _Refusal.OLD: OrderOutcome.RUN_TOO_OLD,
    _Refusal.LATE: OrderOutcome.TOO_LATE,
    _Refusal.ROOM: OrderOutcome.NO_ROOM,
    _Refusal.TICKET: OrderOutcome.BAD_TICKET,
}


class _Start(Struct, frozen=True, rename='pascal', omit_defaults=True):
    """``ExpiresMs`` is a time of the worker's clock."""

    task: str
    run: int
    task_spec: str
    expires_ms: int
    fence: int
    checkpoint: str = ''
    ticket: str = ''


class _Stop(Struct, frozen=True, rename='pascal'):
    task: str
    run: int
    fence: int


class _Pace(Struct, frozen=True, rename='pascal'):
    task: str
    run: int
    percent: int
    fence: int


class _Hold(Struct, frozen=True, rename='pascal', omit_defaults=True):
    """``LastSeen`` is the last end that the worker may forget."""

    fence: int
    last_seen: int
    expires_ms: int | None = None
    wait_ms: int = 0


class _Refused(Struct, frozen=True, rename='pascal'):
    clock_ms: int | None = None
    reason: str = ''


class _RunRow(Struct, frozen=True, array_like=True):
    """``reading`` is a latency in ms or a usage, by the kind of task."""

    task: str
    run: int
    saved: str = ''
    percent: float = 0
    reading: float = 0


class _EndRow(Struct, frozen=True, array_like=True):
    number: int
    task: str
    run: int
    how: str
    saved: str = ''


class _Lists(Struct, frozen=True):
    clock_ms: int = field(name='ClockMs')
    running: tuple[_RunRow, ...] = field(default=(), name='Running')
    ended: tuple[_EndRow, ...] = field(default=(), name='Ended')
    born: int = 0


class PlatformWorkerClient:
    """Calls over the connections of one client."""

    def __init__(self, client: LeanClient) -> None:
        """Share a client, which keeps connections by address."""
        self._client = client

    async def start(
        self,
        worker: WorkerAddress,
        order: StartOrder,
        *,
        timeout_s: float,
    ) -> OrderAnswer:
        """Start a run."""
        body = _Start(
            task=order.task,
            run=order.run,
            task_spec=order.payload,
            expires_ms=order.expires_ms,
            fence=order.fence,
            checkpoint=order.checkpoint,
            ticket=order.ticket,
        )
        return await self._order(worker, '/run-start', body, timeout_s)

    async def stop(
        self,
        worker: WorkerAddress,
        order: StopOrder,
        *,
        timeout_s: float,
    ) -> OrderAnswer:
        """Stop a run."""
        body = _Stop(order.task, order.run, order.fence)
        return await self._order(worker, '/run-stop', body, timeout_s)

    async def pace(
        self,
        worker: WorkerAddress,
        order: PaceOrder,
        *,
        timeout_s: float,
    ) -> OrderAnswer:
        """Change the speed of a run."""
        body = _Pace(order.task, order.run, order.percent, order.fence)
        return await self._order(worker, '/pace', body, timeout_s)

    async def hold(
        self,
        worker: WorkerAddress,
        order: HoldOrder,
        *,
        timeout_s: float,
    ) -> HoldReport:
        """Extend the leases and look."""
        body = _Hold(
            fence=order.fence,
            last_seen=order.noted_end,
            expires_ms=order.expires_ms,
            wait_ms=order.wait_ms,
        )
        answer = await self._send(worker, '/hold', body, timeout_s)
        if isinstance(answer, OrderOutcome):
            return HoldReport(answer)
        if not answer.is_success:
            refused = _refusal(answer)
            return HoldReport(refused.outcome, refused.clock_ms)
        try:
            return _hold_report(decode_json(answer.body, _Lists))
        except DecodeError as failure:
            _LOG.warning(
                'hold unreadable',
                worker=worker.worker_id,
                error=str(failure),
            )
            return HoldReport(OrderOutcome.UNKNOWN)

    async def _order(
        self,
        worker: WorkerAddress,
        path: str,
        body: Struct,
        timeout_s: float,
    ) -> OrderAnswer:
        answer = await self._send(worker, path, body, timeout_s)
        if isinstance(answer, OrderOutcome):
            return OrderAnswer(answer)
        return _refusal(answer)

    async def _send(
        self,
        worker: WorkerAddress,
        path: str,
        body: Any,
        timeout_s: float,
    ) -> Answer | OrderOutcome:
        try:
            return await self._client.request(
                'POST',
                f'http://{worker.host}:{worker.port}{path}',
                headers={
                    'Content-Type': 'application/json',
                    _INCARNATION_HEADER: worker.worker_id,
                },
                body=json.encode(body),
                timeout_s=timeout_s,
            )
        except NotConnected:
            return OrderOutcome.NOT_SENT
        except CallFailed:
            return OrderOutcome.UNKNOWN


def _refusal(answer: Answer) -> OrderAnswer:
    """Return the outcome of an answer of any status."""
    try:
        body = decode_json(answer.body or b'{}', _Refused)
    except DecodeError:
        body = _Refused()
    outcome = _BY_STATUS.get(answer.status, OrderOutcome.UNKNOWN)
    if answer.status == _CONFLICT:
        try:
            outcome = _BY_REFUSAL[_Refusal(body.reason)]
        except ValueError:
            _LOG.warning('refusal of an unknown kind', reason=body.reason)
            outcome = OrderOutcome.BAD_ORDER
    return OrderAnswer(outcome, body.clock_ms)


def _hold_report(lists: _Lists) -> HoldReport:
    return HoldReport(
        outcome=OrderOutcome.ACCEPTED,
        clock_ms=lists.clock_ms,
        born_ms=lists.born,
        running=[
            RunReport(
                task=TaskId(row.task),
                run=row.run,
                saved=row.saved,
                percent=round(row.percent),
                reading=round(row.reading),
            )
            for row in lists.running
        ],
        ended=[
            EndReport(
                number=row.number,
                task=TaskId(row.task),
                run=row.run,
                how=_end(row.how),
                saved=row.saved,
            )
            for row in lists.ended
        ],
    )


def _end(how: str) -> RunEnd:
    try:
        return RunEnd(how)
    except ValueError:
        _LOG.warning('end of an unknown kind', how=how)
        return RunEnd.STOPPED
