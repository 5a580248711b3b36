"""Sending of start, stop and pace orders from a cell's owner to one worker."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from functools import partial

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.late_starts import RunKey
from marjoramwharf.cells.link_context import LinkContext, LinkOwner
from marjoramwharf.cells.link_log import log_other_clock
from marjoramwharf.cells.worker_clock import WorkerClock, is_other_clock
from marjoramwharf.cells.worker_messages import (
    WORKER_REFUSALS,
    HoldOrder,
    OrderAnswer,
    OrderOutcome,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerAddress,
)
from marjoramwharf.ids import TaskId
from marjoramwharf.isolation import log_unexpected
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.job_state import Run, RunEnd, RunPhase
from marjoramwharf.scheduling.job_table import job_of

_LOG = part_logger('worker')

_ORDER_TIMEOUT_S = 0.5
_STOP_RETRY_PAUSE_S = 0.1
_START_ATTEMPTS_COUNT = 4
_CONCURRENT_ORDERS_COUNT = 3

# Less than two orders take that get no answer: an order behind them gives up
# before it could follow them.
_TURN_TIMEOUT_S = 1.8 * _ORDER_TIMEOUT_S
_UNHEALTHY_WORKER_PAUSE_S = 0.5
_FULL_WORKER_PAUSE_S = 0.1

# Another order may take a connection that was opened for one.
_CONNECTIONS_PER_ORDER_COUNT = 3

# Outcomes of a start order that prove that the run has started. A run number is
# used once, and ``start`` leaves alone a run that is being stopped, so "too
# old" means that the run has ended there already; the next poll reports it.
_STARTED_OUTCOMES = frozenset((OrderOutcome.ACCEPTED, OrderOutcome.RUN_TOO_OLD))

# Outcomes of a stop order after which the run can no longer start there.
_STOP_OUTCOMES = frozenset(
    (
        OrderOutcome.ACCEPTED,
        OrderOutcome.RUN_TOO_OLD,
        OrderOutcome.OTHER_WORKER,
        OrderOutcome.BAD_ORDER,
    ),
)


@dataclass(frozen=True, slots=True)
class _StartAttempt:
    """The answer to a start order that was sent at ``sent_s``."""

    answer: OrderAnswer
    sent_s: float


@dataclass(slots=True, eq=False)
class WorkerOrders:
    """Sends orders to one worker, each in a task of its own.

    ``clock`` estimates the worker's clock and is shared with its link. Only a
    few orders are on their way at a time, each on a connection: a worker keeps
    those of an owner that lost power, and takes a limited number of them.

    The times and numbers in an order are those of one incarnation, and the
    worker's id doesn't tell another one, which would carry the order out. An
    order is therefore sent only on a connection on which the incarnation has
    answered a poll; only a stop before the first poll goes to any incarnation.
    ``on_replaced`` is called when another one answers.
    """

    worker: Worker
    owner: LinkOwner
    context: LinkContext
    clock: WorkerClock
    on_replaced: Callable[[], None]
    _slots: trio.Semaphore = field(
        default_factory=lambda: trio.Semaphore(_CONCURRENT_ORDERS_COUNT)
    )

    @property
    def address(self) -> WorkerAddress:
        """The address at which the worker listens."""
        listing = self.worker.listing
        return WorkerAddress(listing.worker_id, listing.host, listing.port)

    @property
    def incarnation(self) -> WorkerAddress:
        """The address of the incarnation that answered the latest poll.

        Before the first poll, it is that of any incarnation.
        """
        if self.clock.reading_ms is None:
            return self.address
        return replace(self.address, born_ms=self.worker.born_ms)

    def build_probe(self) -> HoldOrder:
        """Return a hold that any incarnation may answer.

        It grants no lease and acknowledges no end.
        """
        return HoldOrder(self.context.fence, 0, None, 0)

    async def start(self, run: Run) -> None:
        """Send the start order of a planned run and handle the outcome.

        An order without an answer is repeated a few times.
        """
        if run.phase is not RunPhase.PLANNED:
            return
        run.phase = RunPhase.ORDERED
        for _ in range(_START_ATTEMPTS_COUNT):
            attempt = await self._attempt_start(run)
            answer = attempt.answer
            is_unanswered = answer.outcome is OrderOutcome.UNKNOWN
            run.is_start_unconfirmed |= is_unanswered
            if run.phase is not RunPhase.ORDERED:
                return
            if not is_unanswered:
                break
        self.context.counters.starts[answer.outcome] += 1
        if answer.outcome in _STARTED_OUTCOMES:
            self.worker.refusals_count = 0
            self.owner.on_run_started(
                run, started_s=self._answered_s(answer, attempt.sent_s)
            )
        elif answer.outcome is OrderOutcome.FENCED:
            self.owner.on_superseded()
        else:
            await self._handle_refusal(run, answer.outcome)

    async def stop(self, run: Run) -> None:
        """Repeat the stop order of a run until the run can't start any more."""
        if run.phase is RunPhase.PLANNED:
            self.owner.end_run(run, RunEnd.VANISHED, '')
            return
        if run.phase in {RunPhase.STOPPING, RunPhase.ENDED}:
            return
        run.phase = RunPhase.STOPPING
        order = StopOrder(run.task.name, run.number, self.context.fence)
        while self.owner.find_run(run.task.name, run.number) is run:
            answer = await self._send_stop(order)
            if answer.outcome is OrderOutcome.FENCED:
                self.owner.on_superseded()
                return
            if answer.outcome in _STOP_OUTCOMES:
                run.stop_answered_s = boot_s()
                return
            await trio.sleep(_STOP_RETRY_PAUSE_S)

    async def stop_unknown(self, task: TaskId, number: int) -> None:
        """Send the stop order of a run that the cell doesn't have, once."""
        await self._send_stop(StopOrder(task, number, self.context.fence))

    async def forbid_late_start(self, run: RunKey) -> None:
        """Repeat the stop order of a run that has ended, while it may start.

        The incarnation that takes it refuses late start orders of the run.
        """
        task, number = run
        born_ms = self.worker.born_ms
        order = StopOrder(task, number, self.context.fence)
        while self._may_start_late(run) and self.worker.born_ms == born_ms:
            answer = await self._send_stop(order)
            if answer.outcome is OrderOutcome.FENCED:
                self.owner.on_superseded()
                return
            if answer.outcome in _STOP_OUTCOMES:
                return
            await trio.sleep(_STOP_RETRY_PAUSE_S)

    async def pace(self, run: Run, percent: int) -> None:
        """Send a pace order once; it sets a share of the run's full speed."""
        answer = await self._send_pace(
            PaceOrder(run.task.name, run.number, percent, self.context.fence)
        )
        if answer.outcome is not OrderOutcome.ACCEPTED:
            # The pace may not be in force. Full speed is assumed, so that the
            # next poll decides again.
            run.pace_percent = 100

    def _may_start_late(self, run: RunKey) -> bool:
        return self.context.late_starts.may_start(
            self.worker.worker_id, run, now_s=boot_s()
        )

    async def _attempt_start(self, run: Run) -> _StartAttempt:
        """Send the start order of a run once it is the run's turn.

        The orders before it may wait for a worker that doesn't answer. An order
        whose turn doesn't come soon isn't sent, so that its task can be placed
        on another worker.
        """
        attempt = _StartAttempt(OrderAnswer(OrderOutcome.NOT_SENT), boot_s())
        if not await self._take_slot(_TURN_TIMEOUT_S):
            return attempt
        try:
            # The run may have been stopped while the order waited.
            if run.phase is RunPhase.ORDERED:
                sent_s = boot_s()
                answer = await self._send(partial(self._send_start, run))
                attempt = _StartAttempt(answer, sent_s)
        finally:
            self._slots.release()
        return attempt

    async def _take_slot(self, limit_s: float) -> bool:
        """Take a slot for an order; return whether one got free in time.

        A free one is taken without yielding, which would cost more than all
        else here.
        """
        try:
            self._slots.acquire_nowait()
        except trio.WouldBlock:
            with trio.move_on_after(limit_s):
                await self._slots.acquire()
                return True
            return False
        return True

    async def _send(
        self, send: Callable[[], Awaitable[OrderAnswer]]
    ) -> OrderAnswer:
        """Send an order, and open a connection first if none is kept."""
        for _ in range(_CONNECTIONS_PER_ORDER_COUNT):
            incarnation = self.incarnation
            answer = await _call_isolated(send)
            if answer.outcome is not OrderOutcome.NOT_CONNECTED:
                if self.incarnation.born_ms == incarnation.born_ms:
                    return answer
                # What a former incarnation has taken says nothing any more.
                return OrderAnswer(OrderOutcome.UNKNOWN)
            if not await self._open_connection():
                break
        return OrderAnswer(OrderOutcome.NOT_SENT)

    async def _open_connection(self) -> bool:
        """Open a connection; return whether it leads to the incarnation."""
        if not self.owner.may_extend_leases():
            return False
        report = await self.context.worker_client.hold(
            self.address,
            self.build_probe(),
            timeout_s=_ORDER_TIMEOUT_S,
        )
        if report.outcome is OrderOutcome.FENCED:
            self.owner.on_superseded()
        if report.outcome is not OrderOutcome.ACCEPTED:
            return False
        if report.born_ms != self.worker.born_ms:
            self.on_replaced()
            return False
        return True

    async def _send_start(self, run: Run) -> OrderAnswer:
        """Send the order, with a lease that ends at a known time.

        This process may stand still at any point. The right to send is
        therefore checked right before the lease is granted: an order that
        leaves later carries that lease and is refused once it has ended.
        """
        is_same_incarnation = run.born_ms == self.worker.born_ms
        if not is_same_incarnation or not self.owner.may_start_runs(
            self.worker
        ):
            return OrderAnswer(OrderOutcome.NOT_SENT)
        now_s = boot_s()
        expires_ms = self.clock.grant_lease(self.context.hold_ms, now_s=now_s)
        if expires_ms is None:
            return OrderAnswer(OrderOutcome.NOT_SENT)
        order = StartOrder(
            task=run.task.name,
            run=run.number,
            payload=job_of(run.task).request.payload,
            expires_ms=expires_ms,
            fence=self.context.fence,
            checkpoint=run.task.checkpoint,
            ticket=run.ticket,
        )
        answer = await self._call_start(order, now_s)
        self._check_clock(order, answer, waited_s=boot_s() - now_s)
        return answer

    async def _call_start(self, order: StartOrder, now_s: float) -> OrderAnswer:
        """Call the worker; without an answer, the order may come late."""
        worker_id = self.worker.worker_id
        late_starts = self.context.late_starts
        run = (order.task, order.run)
        former_s = late_starts.record_sent(worker_id, run, now_s=now_s)
        answer = await self.context.worker_client.start(
            self.incarnation, order, timeout_s=_ORDER_TIMEOUT_S
        )
        if answer.outcome is not OrderOutcome.UNKNOWN:
            late_starts.record_answered(worker_id, run, former_s=former_s)
        return answer

    def _check_clock(
        self, order: StartOrder, answer: OrderAnswer, *, waited_s: float
    ) -> None:
        """Log and count an answer with a time that isn't of the lease's clock."""
        expected_ms = order.expires_ms - self.context.hold_ms
        if answer.clock_ms is None or not is_other_clock(
            answer.clock_ms, expected_ms=expected_ms, waited_s=waited_s
        ):
            return
        self.context.counters.other_clock_answers_count += 1
        log_other_clock(
            self.worker.worker_id, order, answer, expected_ms=expected_ms
        )

    async def _send_pace(self, order: PaceOrder) -> OrderAnswer:
        await self._take_slot(math.inf)
        try:
            if not self.owner.may_extend_leases():
                return OrderAnswer(OrderOutcome.NOT_SENT)
            self.context.counters.pace_orders_count += 1
            return await self._send(
                lambda: self.context.worker_client.pace(
                    self.incarnation, order, timeout_s=_ORDER_TIMEOUT_S
                )
            )
        finally:
            self._slots.release()

    async def _send_stop(self, order: StopOrder) -> OrderAnswer:
        await self._take_slot(math.inf)
        try:
            if not self.owner.may_extend_leases():
                return OrderAnswer(OrderOutcome.NOT_SENT)
            return await self._send(
                lambda: self.context.worker_client.stop(
                    self.incarnation, order, timeout_s=_ORDER_TIMEOUT_S
                )
            )
        finally:
            self._slots.release()

    async def _handle_refusal(self, run: Run, outcome: OrderOutcome) -> None:
        """Block the worker for a while, and end the run or stop it first."""
        _LOG.info(
            'start refused',
            task=run.task.name,
            run=run.number,
            worker=self.worker.worker_id,
            outcome=outcome.value,
        )
        now_s = boot_s()
        if outcome in WORKER_REFUSALS:
            self.worker.record_refusal(now_s=now_s)
        pause_s = _UNHEALTHY_WORKER_PAUSE_S
        if outcome is OrderOutcome.NO_ROOM:
            pause_s = _FULL_WORKER_PAUSE_S
        self.worker.block_until(now_s + pause_s)
        if run.is_start_unconfirmed:
            await self.stop(run)
        else:
            self.owner.end_run(run, RunEnd.VANISHED, '')

    def _answered_s(self, answer: OrderAnswer, sent_s: float) -> float:
        """Return about when the worker answered an order."""
        now_s = boot_s()
        if answer.clock_ms is None:
            return now_s
        return self.clock.time_of(answer.clock_ms, sent_s=sent_s, now_s=now_s)


async def _call_isolated(
    call: Callable[[], Awaitable[OrderAnswer]],
) -> OrderAnswer:
    """Send an order; after an unexpected error, it may have been carried out.

    Without an outcome, the run of the order would never end.
    """
    try:
        return await call()
    except Exception:
        log_unexpected('order')
        await trio.lowlevel.checkpoint()
        return OrderAnswer(OrderOutcome.UNKNOWN)
