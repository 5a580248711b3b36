"""Link from a cell's owner to one worker: leases of runs and their reports.

A *hold* is a long poll of the worker that also extends the leases of all runs
there, acknowledges the ends that are stored, and returns the running and the
ended runs. Orders to start, stop or pace a run are in ``worker_orders``.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.link_context import LinkContext, LinkOwner
from marjoramwharf.cells.worker_clock import WorkerClock
from marjoramwharf.cells.worker_messages import (
    EndReport,
    HoldOrder,
    HoldReport,
    OrderOutcome,
    RunReport,
    StopOrder,
)
from marjoramwharf.cells.worker_orders import WorkerOrders
from marjoramwharf.ids import TaskId
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.job_state import Job, Run, RunEnd, RunPhase

_LOG = part_logger('worker')

# The longest time for which a worker with runs, and one without, delays its
# answer to a poll until a run ends.
_BUSY_WAIT_MS = 1_000
_IDLE_WAIT_MS = 2_000

# The same while a tail latency is over its target or filling work is paused.
_URGENT_WAIT_MS = 400

# The answer to a poll may arrive this much after its wait is over.
_HOLD_TIMEOUT_MARGIN_S = 1.0
_UNREACHABLE_PAUSE_S = 0.2

# The next poll waits up to this time until the reported ends are stored. The
# worker reports any end that is not acknowledged by then again.
_ACKNOWLEDGEMENT_WAIT_S = 0.4

_STOP_TIMEOUT_S = 0.5

# An order without an answer may still be carried out for this long.
_LATE_ORDER_WINDOW_S = 13.0


@dataclass(slots=True, eq=False)
class WorkerLink:
    """Polls one worker for the owner of its cell, one hold after the other.

    ``acknowledged_end`` is the number of the last end that is stored, and
    ``processed_end`` that of the last end that was processed. An entry of
    ``_unacknowledged_ends`` is the number of an end, its job, and the version
    of the job that has to be stored first. ``is_urgent`` asks for short polls.
    """

    worker: Worker
    owner: LinkOwner
    context: LinkContext
    clock: WorkerClock = field(default_factory=WorkerClock)
    orders: WorkerOrders = field(init=False)
    acknowledged_end: int = 0
    processed_end: int = 0
    polls_count: int = 0
    is_urgent: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    _unacknowledged_ends: deque[tuple[int, Job | None, int]] = field(
        default_factory=deque,
    )
    _ends_acknowledged: trio.Event = field(default_factory=trio.Event)
    _unknown_stops_s: dict[tuple[TaskId, int], float] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        """Create the orders, which share the clock with this link."""
        self.orders = WorkerOrders(
            self.worker, self.owner, self.context, self.clock
        )

    async def run(self) -> None:
        """Poll the worker until cancelled."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                while True:
                    await self._poll_once(nursery)

    def acknowledge_stored_ends(self) -> None:
        """Acknowledge the ends of runs that are stored by now, in order."""
        while self._unacknowledged_ends:
            number, job, version = self._unacknowledged_ends[0]
            if job is not None and job.stored_version < version:
                return
            self.acknowledged_end = number
            self._unacknowledged_ends.popleft()
        self._ends_acknowledged.set()

    async def _poll_once(self, nursery: trio.Nursery) -> None:
        """Send one hold, and process the report or the lack of one."""
        if not self.owner.may_extend_leases():
            await trio.sleep(_UNREACHABLE_PAUSE_S)
            return
        sent_s = boot_s()
        wait_ms = self._wait_ms()
        report = await self.context.worker_client.hold(
            self.orders.address,
            HoldOrder(
                fence=self.context.fence,
                acknowledged_end=self.acknowledged_end,
                expires_ms=self._lease_end_ms(sent_s),
                wait_ms=wait_ms,
            ),
            timeout_s=wait_ms / 1_000 + _HOLD_TIMEOUT_MARGIN_S,
        )
        self.polls_count += 1
        if report.outcome is OrderOutcome.ACCEPTED:
            self._process_report(report, sent_s, nursery)
            self.owner.on_polled(self.worker.worker_id)
            await self._wait_for_acknowledgements()
        elif report.outcome is OrderOutcome.FENCED:
            self.owner.on_superseded()
            await trio.sleep(_UNREACHABLE_PAUSE_S)
        else:
            self._record_unreachable(report.outcome)
            await trio.sleep(_UNREACHABLE_PAUSE_S)

    def _lease_end_ms(self, now_s: float) -> int | None:
        """Return the end of the lease to grant with the next poll.

        A poll without an answer may have been carried out. A worker that
        doesn't answer therefore gets no longer lease, so that its runs end at
        a known time.
        """
        if not self.worker.is_reachable:
            return None
        return self.clock.grant_lease(self.context.hold_ms, now_s=now_s)

    def _wait_ms(self) -> int:
        if self.clock.reading_ms is None or not self.worker.is_reachable:
            return 0
        if self.is_urgent:
            return _URGENT_WAIT_MS
        return _BUSY_WAIT_MS if self.worker.runs else _IDLE_WAIT_MS

    async def _wait_for_acknowledgements(self) -> None:
        if not self._unacknowledged_ends:
            return
        self._ends_acknowledged = trio.Event()
        with trio.move_on_after(_ACKNOWLEDGEMENT_WAIT_S):
            await self._ends_acknowledged.wait()

    def _record_unreachable(self, outcome: OrderOutcome) -> None:
        """Mark the worker lost; end its runs once none can be at work."""
        now_s = boot_s()
        if self.worker.is_reachable:
            _LOG.warning(
                'worker lost',
                worker=self.worker.worker_id,
                outcome=outcome.value,
            )
        self.worker.is_reachable = False
        is_replaced = outcome is OrderOutcome.OTHER_WORKER
        if is_replaced or self.clock.has_lapsed(now_s=now_s):
            self._drop_runs()

    def _drop_runs(self) -> None:
        """End the runs of a worker on which nothing can run any more."""
        for run in tuple(self.worker.runs):
            self.owner.end_run(run, RunEnd.VANISHED, run.checkpoint)

    def _process_report(
        self,
        report: HoldReport,
        sent_s: float,
        nursery: trio.Nursery,
    ) -> None:
        now_s = boot_s()
        self._detect_restart(report, now_s, nursery)
        if not self.worker.is_reachable:
            _LOG.info('worker reached', worker=self.worker.worker_id)
        self.worker.is_reachable = True
        self.worker.polled_at_s = now_s
        for ended in report.ended:
            self._process_end(ended)
        self.acknowledge_stored_ends()
        for run_report in report.running:
            self._process_running(run_report, now_s, nursery)
        reported = {
            (run_report.task, run_report.run) for run_report in report.running
        }
        for run in tuple(self.worker.runs):
            if (run.task.name, run.number) not in reported:
                self._process_missing_run(run, sent_s)

    def _detect_restart(
        self,
        report: HoldReport,
        now_s: float,
        nursery: trio.Nursery,
    ) -> None:
        """Detect a new incarnation and end the runs that it doesn't report."""
        clock_ms = report.clock_ms or 0
        known_born_ms = self.worker.born_ms
        is_same_clock = self.clock.update(clock_ms, now_s=now_s)
        self.worker.born_ms = report.born_ms
        if known_born_ms in {0, report.born_ms} and is_same_clock:
            return
        _LOG.warning(
            'worker restarted',
            worker=self.worker.worker_id,
            born_ms=report.born_ms,
        )
        self.clock.reset(clock_ms, now_s=now_s)
        self.acknowledged_end = 0
        self.processed_end = 0
        self._unacknowledged_ends.clear()
        reported = {
            (run_report.task, run_report.run) for run_report in report.running
        }
        for run in tuple(self.worker.runs):
            if (run.task.name, run.number) not in reported:
                self._end_or_stop_lost(run, now_s, nursery)

    def _end_or_stop_lost(
        self, run: Run, now_s: float, nursery: trio.Nursery
    ) -> None:
        """End a run of a former incarnation, or stop it first.

        A late order could still start the run at the new incarnation, so a run
        whose order had no answer is stopped there. ``ORDERED`` makes ``stop``
        send its order again.
        """
        if run.phase is RunPhase.PLANNED:
            return
        if (
            run.is_start_unconfirmed
            and now_s - run.planned_s < _LATE_ORDER_WINDOW_S
        ):
            run.phase = RunPhase.ORDERED
            run.stop_answered_s = None
            nursery.start_soon(self.orders.stop, run)
        else:
            self.owner.end_run(run, RunEnd.VANISHED, '')

    def _process_end(self, ended: EndReport) -> None:
        """Record an end unless an earlier poll has reported it already."""
        if ended.number <= self.processed_end:
            return
        self.processed_end = ended.number
        run = self.owner.find_run(ended.task, ended.run)
        if run is None or run.worker_id != self.worker.worker_id:
            # There is nothing to store, so it can be acknowledged in its turn.
            self._unacknowledged_ends.append((ended.number, None, 0))
            return
        job = self.owner.end_run(run, ended.how, ended.checkpoint)
        self._unacknowledged_ends.append((ended.number, job, job.version))

    def _process_running(
        self,
        run_report: RunReport,
        now_s: float,
        nursery: trio.Nursery,
    ) -> None:
        """Update a run from a report; stop one that the cell doesn't have."""
        run = self.owner.find_run(run_report.task, run_report.run)
        if run is None or run.worker_id != self.worker.worker_id:
            self._stop_unknown_run(run_report, now_s, nursery)
            return
        if run.phase in {RunPhase.ORDERED, RunPhase.UNCERTAIN}:
            self.owner.on_run_started(run)
        run.progress_read_s = now_s
        if not run.is_listed:
            run.is_listed = True
            run.resumed_percent = run_report.percent
            run.progressed_s = now_s
        if run_report.percent != run.percent:
            run.percent = run_report.percent
            run.progressed_s = now_s
        run.reading = run_report.reading
        run.checkpoint = run_report.checkpoint or run.checkpoint

    def _stop_unknown_run(
        self,
        run_report: RunReport,
        now_s: float,
        nursery: trio.Nursery,
    ) -> None:
        """Stop a run that the cell doesn't know, at most once a second."""
        key = (run_report.task, run_report.run)
        if now_s - self._unknown_stops_s.get(key, 0) < 1:
            return
        self._unknown_stops_s[key] = now_s
        _LOG.warning(
            'stopping unknown run',
            task=run_report.task,
            run=run_report.run,
            worker=self.worker.worker_id,
        )
        nursery.start_soon(self._send_unknown_run_stop, run_report)

    async def _send_unknown_run_stop(self, run_report: RunReport) -> None:
        await self.context.worker_client.stop(
            self.orders.address,
            StopOrder(run_report.task, run_report.run, self.context.fence),
            timeout_s=_STOP_TIMEOUT_S,
        )

    def _process_missing_run(self, run: Run, sent_s: float) -> None:
        """End a run that the worker reports neither as running nor ended."""
        if not _has_certainly_ended(run, sent_s, self.context.stop_ms):
            return
        if run.phase is RunPhase.RUNNING:
            _LOG.warning('run vanished', task=run.task.name, run=run.number)
        self.owner.end_run(run, RunEnd.VANISHED, run.checkpoint)


def _has_certainly_ended(run: Run, sent_s: float, stop_ms: int) -> bool:
    """Whether a run that is missing in a poll sent at ``sent_s`` has ended."""
    if run.phase is RunPhase.UNCERTAIN:
        return True
    if run.phase is RunPhase.RUNNING:
        return run.started_s is not None and run.started_s < sent_s
    if run.phase is RunPhase.STOPPING and run.stop_answered_s is not None:
        return run.stop_answered_s + stop_ms / 1_000 < sent_s
    return False
