"""Link from a cell's owner to one worker: leases of runs and their reports.

A *hold* is a long poll of the worker that also extends the leases of all runs
there, acknowledges the ends that are stored, and returns the running and the
ended runs. Orders to start, stop or pace a run are in ``worker_orders``, what
follows from a report in ``report_processor``.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import trio

from marjoramwharf.cells.auto_reset_event import AutoResetEvent
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.end_acknowledgements import EndAcknowledgements
from marjoramwharf.cells.link_context import LinkContext, LinkOwner
from marjoramwharf.cells.link_log import log_dropped_runs
from marjoramwharf.cells.report_processor import ReportProcessor
from marjoramwharf.cells.worker_clock import WorkerClock
from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    HoldReport,
    OrderOutcome,
    WorkerAddress,
)
from marjoramwharf.cells.worker_orders import WorkerOrders
from marjoramwharf.ids import WorkerId
from marjoramwharf.isolation import run_isolated
from marjoramwharf.links.backoff import Backoff
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.job_state import RunEnd

_LOG = part_logger('worker')

_MS_PER_S = 1_000

# The longest time for which a worker with runs, and one without, delays its
# answer to a poll until a run ends.
_BUSY_WAIT_MS = 1_000
_IDLE_WAIT_MS = 2_000

# The same while a tail latency is over its target or filling work is paused.
_URGENT_WAIT_MS = 400

# The answer to a poll may arrive this much after its wait is over.
_HOLD_TIMEOUT_MARGIN_S = 1.0

# A poll after one without an answer waits for longer: the network, or this
# process, may be what takes so long.
_REPEATED_PROBE_S = 2.0

# After this many polls in a row without an answer, the worker counts as silent.
_SILENT_AFTER_COUNT = 2

# Outcomes of a poll that may have been answered too late.
_UNANSWERED_OUTCOMES = frozenset(
    (OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT, OrderOutcome.NOT_CONNECTED)
)
_UNREACHABLE_PAUSE_S = 0.2
_UNLISTED_PAUSE_S = 1.0

# A worker that closes each connection is asked for its incarnation each time.
_MIN_RECONNECT_PAUSE_S = 0.02
_MAX_RECONNECT_PAUSE_S = 1.0

# The next poll waits up to this time until the reported ends are stored. The
# worker reports any end that is not acknowledged by then again.
_ACKNOWLEDGEMENT_WAIT_S = 0.4


@dataclass(frozen=True, slots=True)
class _FetchedReport:
    """The report to a poll that was sent to ``address`` at ``sent_s``."""

    report: HoldReport
    address: WorkerAddress
    sent_s: float


@dataclass(slots=True, eq=False)
class WorkerLink:
    """Polls one worker for the owner of its cell, one hold after the other.

    ``is_urgent`` asks for short polls. An answer of the worker ``may_be_late``
    while polls that wait for longer haven't been tried. It may tell of ends of
    runs, so the runs aren't taken for lost before.
    """

    worker: Worker
    owner: LinkOwner
    context: LinkContext
    clock: WorkerClock = field(default_factory=WorkerClock)
    acknowledgements: EndAcknowledgements = field(init=False)
    orders: WorkerOrders = field(init=False)
    polls_count: int = 0
    is_urgent: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    _reports: ReportProcessor = field(init=False)
    _reached_address: WorkerAddress | None = None
    _replaced_by: WorkerId | None = None
    may_be_late: bool = True
    _unanswered_count: int = 0  # polls in a row
    _poll_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    _wake_event: AutoResetEvent = field(default_factory=AutoResetEvent)
    _reconnect_pauses: Backoff = field(
        default_factory=lambda: Backoff(
            initial_s=_MIN_RECONNECT_PAUSE_S, max_s=_MAX_RECONNECT_PAUSE_S
        )
    )

    def __post_init__(self) -> None:
        """Create the parts that share the clock with this link."""
        self.acknowledgements = EndAcknowledgements(
            self.context.waiting_acknowledgements
        )
        self.orders = WorkerOrders(
            self.worker,
            self.owner,
            self.context,
            self.clock,
            self.interrupt_poll,
        )
        self._reports = ReportProcessor(
            self.worker,
            self.owner,
            self.context,
            self.clock,
            self.orders,
            self.acknowledgements,
        )

    async def run(self) -> None:
        """Poll the worker until cancelled.

        A report that can't be processed affects only its worker, which then
        counts as unreachable.
        """
        with self.scope:
            async with trio.open_nursery() as nursery:
                while True:
                    await self._poll(nursery)

    async def _poll(self, nursery: trio.Nursery) -> None:
        if await run_isolated('worker poll', self._poll_once, nursery):
            return
        self._judge_silence(OrderOutcome.UNKNOWN)
        self._record_unreachable(OrderOutcome.UNKNOWN)
        await trio.sleep(_UNREACHABLE_PAUSE_S)

    async def _poll_once(self, nursery: trio.Nursery) -> None:
        """Send one hold, and process the report or the lack of one."""
        if not self.owner.may_extend_leases():
            await trio.sleep(_UNREACHABLE_PAUSE_S)
            return
        fetched = await self._fetch_report()
        report = fetched.report
        self.polls_count += 1
        self._judge_silence(report.outcome)
        if report.outcome is OrderOutcome.ACCEPTED:
            self._reports.process(
                report, sent_s=fetched.sent_s, nursery=nursery
            )
            await self._follow_report(fetched.address)
        elif report.outcome is OrderOutcome.FENCED:
            self.owner.on_superseded()
            await trio.sleep(_UNREACHABLE_PAUSE_S)
        else:
            is_replaced = self._is_replaced(report.outcome, fetched.address)
            if is_replaced:
                self._record_replaced(report.other_worker_id)
            self._record_unreachable(report.outcome, is_replaced=is_replaced)
            await trio.sleep(self._unreachable_pause_s())

    async def _follow_report(self, address: WorkerAddress) -> None:
        """Go on with polls of a worker that has answered.

        No lease is extended at one that had been lost until the owner allows it.
        """
        worker_id = self.worker.worker_id
        is_lost = not self.worker.is_reachable
        if is_lost and not await self.owner.allow_extending(worker_id):
            await trio.sleep(_UNREACHABLE_PAUSE_S)
            return
        self._record_reached(address)
        self.owner.on_polled(worker_id)
        await self.acknowledgements.wait(timeout_s=_ACKNOWLEDGEMENT_WAIT_S)
        await self._leave_alone()

    async def _leave_alone(self) -> None:
        """Pause the polls of a worker without runs, in a large fleet.

        What the list doesn't show is told by polls alone, so such a worker is
        polled without a pause.
        """
        pause_s = self.context.idle_polls.pause_s(
            wait_s=_IDLE_WAIT_MS / _MS_PER_S
        )
        if pause_s and self.worker.is_listed and not self.worker.runs:
            await self._wake_event.wait(timeout_s=pause_s)

    async def _fetch_report(self) -> _FetchedReport:
        """Poll the known incarnation, or find out which one is there.

        A worker that didn't answer may have started again under its id. What a
        poll grants and acknowledges is meant for one incarnation, so neither is
        done until it has answered.
        """
        if not self.worker.is_reachable:
            return await self._poll_unknown()
        self._poll_scope = trio.CancelScope()
        with self._poll_scope:
            fetched = await self._poll_incarnation()
            if fetched.report.outcome is not OrderOutcome.NOT_CONNECTED:
                self._reconnect_pauses.reset()
                return fetched
        await trio.sleep(self._reconnect_pauses.next_wait_s())
        return await self._poll_unknown()

    async def _poll_incarnation(self) -> _FetchedReport:
        """Extend the leases at the known incarnation, and wait for a report.

        A poll without an answer may have been carried out.
        """
        sent_s = boot_s()
        address = self.orders.incarnation
        order = HoldOrder(
            fence=self.context.fence,
            acknowledged_end=self.acknowledgements.acknowledged_number,
            expires_ms=self.clock.grant_lease(
                self.context.hold_ms, now_s=sent_s
            ),
            wait_ms=self._wait_ms(),
        )
        report = await self.context.worker_client.hold(
            address,
            order,
            timeout_s=order.wait_ms / _MS_PER_S + _HOLD_TIMEOUT_MARGIN_S,
        )
        return _FetchedReport(report, replace(address, born_ms=None), sent_s)

    async def _poll_unknown(self) -> _FetchedReport:
        """Ask on a new connection which incarnation is there."""
        await self.context.admission.wait_turn(has_runs=bool(self.worker.runs))
        sent_s = boot_s()
        address = self.orders.address
        report = await self.context.worker_client.hold(
            address,
            self.orders.build_probe(),
            timeout_s=(
                _REPEATED_PROBE_S
                if self._unanswered_count
                else _HOLD_TIMEOUT_MARGIN_S
            ),
        )
        return _FetchedReport(report, address, sent_s)

    def _judge_silence(self, outcome: OrderOutcome) -> None:
        """Count the polls without an answer."""
        is_unanswered = outcome in _UNANSWERED_OUTCOMES
        self._unanswered_count = (
            self._unanswered_count + 1 if is_unanswered else 0
        )
        is_early = self._unanswered_count < _SILENT_AFTER_COUNT
        self.may_be_late = is_unanswered and is_early

    def interrupt_poll(self) -> None:
        """End a poll of an incarnation that another one has replaced.

        The next one finds out which incarnation is there.
        """
        self._poll_scope.cancel()
        self.wake()

    def wake(self) -> None:
        """End a pause between two polls, since the worker gets a run."""
        self._wake_event.set()

    def _unreachable_pause_s(self) -> float:
        """Return the pause after a poll that the worker didn't accept.

        One without a listing and without runs is most likely gone.
        """
        if self.worker.is_listed or self.worker.runs:
            return _UNREACHABLE_PAUSE_S
        return _UNLISTED_PAUSE_S

    def _wait_ms(self) -> int:
        if self.is_urgent:
            return _URGENT_WAIT_MS
        return _BUSY_WAIT_MS if self.worker.runs else _IDLE_WAIT_MS

    def _record_reached(self, address: WorkerAddress) -> None:
        if not self.worker.is_reachable:
            _LOG.info('worker reached', worker=self.worker.worker_id)
        self.worker.is_reachable = True
        self.worker.is_replaced = False
        self.worker.is_replacement_known = False
        self._reached_address = address

    def _is_replaced(
        self, outcome: OrderOutcome, address: WorkerAddress
    ) -> bool:
        """Whether another worker has taken the place of this one.

        At an address where this worker has never answered, another one proves
        nothing if it has answered elsewhere: the listing may be wrong.
        """
        known_address = self._reached_address
        is_known = known_address is None or known_address == address
        return is_known and outcome is OrderOutcome.OTHER_WORKER

    def _record_replaced(self, other_id: WorkerId | None) -> None:
        """Record which worker has taken the place of this one, if it tells."""
        self.worker.is_replaced = True
        if other_id is None:
            return
        if other_id != self._replaced_by:
            self._replaced_by = other_id
            _LOG.info(
                'another worker answers',
                worker=self.worker.worker_id,
                other=other_id,
            )
        self.worker.is_replacement_known = self.owner.on_replaced(
            self.worker, other_id
        )

    def _record_unreachable(
        self, outcome: OrderOutcome, *, is_replaced: bool = False
    ) -> None:
        """Mark the worker lost; end its runs once none can be at work."""
        now_s = boot_s()
        if self.worker.is_reachable:
            _LOG.warning(
                'worker lost',
                worker=self.worker.worker_id,
                outcome=outcome.value,
            )
        self.worker.is_reachable = False
        has_lapsed = self.clock.has_lapsed(now_s=now_s)
        if is_replaced or (has_lapsed and not self.may_be_late):
            self._drop_runs(is_replaced=is_replaced, now_s=now_s)

    def _drop_runs(self, *, is_replaced: bool, now_s: float) -> None:
        """End the runs of a worker on which nothing can run any more."""
        if self.worker.runs:
            log_dropped_runs(
                self.worker, self.clock, is_replaced=is_replaced, now_s=now_s
            )
        for run in tuple(self.worker.runs):
            self.owner.end_run(run, RunEnd.VANISHED, run.checkpoint)
