"""The connection of a cell's owner to one worker.

One task holds the worker: it extends the leases of all runs there, reads what
runs and what ended, and notes the ends that are stored. Orders to start, stop
or pace a run are in ``worker_orders``.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.link_parts import LinkOwner, LinkTerms
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

# How long a worker with runs, and one without, is asked to wait for an end.
_BUSY_WAIT_MS = 1_000
_IDLE_WAIT_MS = 2_000

# The wait while a tail is over its target or filling work is paused.
_URGENT_WAIT_MS = 400

# The answer of a hold may come this much after its wait is over.
_HOLD_SLACK_S = 1.0
_UNREACHABLE_PAUSE_S = 0.2

# An end that is not stored by then is returned by the worker again.
_NOTE_WAIT_S = 0.4

_STOP_TIMEOUT_S = 0.5

# An order without an answer may be carried out until this much later.
_LATE_ORDER_S = 13.0


@dataclass(slots=True, eq=False)
class WorkerLink:
    """Holds one worker for the owner of its cell.

    ``noted_end`` is the last end that
    is stored, and ``taken_end`` the last that was taken in. ``is_urgent``
    asks for frequent looks.
    """

    worker: Worker
    owner: LinkOwner
    terms: LinkTerms
    clock: WorkerClock = field(default_factory=WorkerClock)
    orders: WorkerOrders = field(init=False)
    noted_end: int = 0
    taken_end: int = 0
    looks_count: int = 0
    is_urgent: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    _unnoted: deque[tuple[int, Job | None, int]] = field(
        default_factory=deque,
    )
    _noted: trio.Event = field(default_factory=trio.Event)
    _strays: dict[tuple[TaskId, int], float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Share the clock with the orders."""
        self.orders = WorkerOrders(
            self.worker,
            self.owner,
            self.terms,
            self.clock,
        )

    async def run(self) -> None:
        """Hold the worker until cancelled."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                while True:
                    await self._hold_once(nursery)

    def note_stored(self) -> None:
        """Let the worker forget the ends that are stored by now."""
        while self._unnoted:
            number, job, version = self._unnoted[0]
            if job is not None and job.stored_version < version:
                return
            self.noted_end = number
            self._unnoted.popleft()
        self._noted.set()

    async def _hold_once(self, nursery: trio.Nursery) -> None:
        if not self.owner.may_hold():
            await trio.sleep(_UNREACHABLE_PAUSE_S)
            return
        sent_s = boot_s()
        wait_ms = self._wait_ms()
        report = await self.terms.calls.hold(
            self.orders.address,
            HoldOrder(
                fence=self.terms.fence,
                noted_end=self.noted_end,
                expires_ms=self._lease_end_ms(sent_s),
                wait_ms=wait_ms,
            ),
            timeout_s=wait_ms / 1_000 + _HOLD_SLACK_S,
        )
        self.looks_count += 1
        if report.outcome is OrderOutcome.ACCEPTED:
            self._take_in(report, sent_s, nursery)
            self.owner.looked(self.worker.worker_id)
            await self._wait_for_notes()
        elif report.outcome is OrderOutcome.FENCED:
            self.owner.superseded()
            await trio.sleep(_UNREACHABLE_PAUSE_S)
        else:
            self._unreachable(report.outcome)
            await trio.sleep(_UNREACHABLE_PAUSE_S)

    def _lease_end_ms(self, now_s: float) -> int | None:
        """Return the end of the next lease.

        A hold without an answer may be carried out, so a worker that doesn't
        answer gets no longer lease: its runs then end at a known time.
        """
        if not self.worker.is_reachable:
            return None
        return self.clock.grant(self.terms.hold_ms, now_s=now_s)

    def _wait_ms(self) -> int:
        if self.clock.reading_ms is None or not self.worker.is_reachable:
            return 0
        if self.is_urgent:
            return _URGENT_WAIT_MS
        return _BUSY_WAIT_MS if self.worker.runs else _IDLE_WAIT_MS

    async def _wait_for_notes(self) -> None:
        if not self._unnoted:
            return
        self._noted = trio.Event()
        with trio.move_on_after(_NOTE_WAIT_S):
            await self._noted.wait()

    def _unreachable(self, outcome: OrderOutcome) -> None:
        now_s = boot_s()
        if self.worker.is_reachable:
            _LOG.warning(
                'worker lost',
                worker=self.worker.worker_id,
                outcome=outcome.value,
            )
        self.worker.is_reachable = False
        gone = outcome is OrderOutcome.OTHER_WORKER
        if gone or self.clock.has_lapsed(now_s=now_s):
            self._drop_runs()

    def _drop_runs(self) -> None:
        """End the runs of a worker on which nothing can run any more."""
        for run in tuple(self.worker.runs):
            self.owner.run_ended(run, RunEnd.VANISHED, run.saved)

    def _take_in(
        self,
        report: HoldReport,
        sent_s: float,
        nursery: trio.Nursery,
    ) -> None:
        now_s = boot_s()
        self._recognise(report, now_s, nursery)
        if not self.worker.is_reachable:
            _LOG.info('worker reached', worker=self.worker.worker_id)
        self.worker.is_reachable = True
        self.worker.polled_s = now_s
        for ended in report.ended:
            self._take_end(ended)
        self.note_stored()
        for row in report.running:
            self._take_running(row, now_s, nursery)
        present = {(row.task, row.run) for row in report.running}
        for run in tuple(self.worker.runs):
            if (run.task.name, run.number) not in present:
                self._take_absence(run, sent_s)

    def _recognise(
        self,
        report: HoldReport,
        now_s: float,
        nursery: trio.Nursery,
    ) -> None:
        """Notice another incarnation under the same id."""
        clock_ms = report.clock_ms or 0
        known = self.worker.born_ms
        goes_on = self.clock.note(clock_ms, now_s=now_s)
        self.worker.born_ms = report.born_ms
        if known in {0, report.born_ms} and goes_on:
            return
        _LOG.warning(
            'worker restarted',
            worker=self.worker.worker_id,
            born_ms=report.born_ms,
        )
        self.clock.restart(clock_ms, now_s=now_s)
        self.noted_end = 0
        self.taken_end = 0
        self._unnoted.clear()
        present = {(row.task, row.run) for row in report.running}
        for run in tuple(self.worker.runs):
            if (run.task.name, run.number) not in present:
                self._lose(run, now_s, nursery)

    def _lose(self, run: Run, now_s: float, nursery: trio.Nursery) -> None:
        """End a run of a former incarnation.

        A late order could still start it at the new one, so a run whose order
        had no answer is stopped there first.
        """
        if run.phase is RunPhase.PLANNED:
            return
        if run.is_start_unconfirmed and now_s - run.planned_s < _LATE_ORDER_S:
            run.phase = RunPhase.ORDERED
            run.stop_answered_s = None
            nursery.start_soon(self.orders.stop, run)
        else:
            self.owner.run_ended(run, RunEnd.VANISHED, '')

    def _take_end(self, ended: EndReport) -> None:
        if ended.number <= self.taken_end:
            return
        self.taken_end = ended.number
        run = self.owner.find_run(ended.task, ended.run)
        if run is None or run.worker_id != self.worker.worker_id:
            self._unnoted.append((ended.number, None, 0))
            return
        job = self.owner.run_ended(run, ended.how, ended.saved)
        self._unnoted.append((ended.number, job, job.version))

    def _take_running(
        self,
        row: RunReport,
        now_s: float,
        nursery: trio.Nursery,
    ) -> None:
        run = self.owner.find_run(row.task, row.run)
        if run is None or run.worker_id != self.worker.worker_id:
            self._stop_stray(row, now_s, nursery)
            return
        if run.phase in {RunPhase.ORDERED, RunPhase.UNCERTAIN}:
            self.owner.run_started(run)
        run.progress_read_s = now_s
        if not run.is_listed:
            run.is_listed = True
            run.resumed_percent = row.percent
            run.progressed_s = now_s
        if row.percent != run.percent:
            run.percent = row.percent
            run.progressed_s = now_s
        run.reading = row.reading
        run.saved = row.saved or run.saved

    def _stop_stray(
        self,
        row: RunReport,
        now_s: float,
        nursery: trio.Nursery,
    ) -> None:
        """Stop a run that the cell knows nothing of."""
        key = (row.task, row.run)
        if now_s - self._strays.get(key, 0) < 1:
            return
        self._strays[key] = now_s
        _LOG.warning(
            'stray run',
            task=row.task,
            run=row.run,
            worker=self.worker.worker_id,
        )
        nursery.start_soon(self._send_stray_stop, row)

    async def _send_stray_stop(self, row: RunReport) -> None:
        await self.terms.calls.stop(
            self.orders.address,
            StopOrder(row.task, row.run, self.terms.fence),
            timeout_s=_STOP_TIMEOUT_S,
        )

    def _take_absence(self, run: Run, sent_s: float) -> None:
        """End a run that neither runs nor ended at the time of a look."""
        if not _is_over(run, sent_s, self.terms.stop_ms):
            return
        if run.phase is RunPhase.RUNNING:
            _LOG.warning('run vanished', task=run.task.name, run=run.number)
        self.owner.run_ended(run, RunEnd.VANISHED, run.saved)


def _is_over(run: Run, sent_s: float, stop_ms: int) -> bool:
    if run.phase is RunPhase.UNCERTAIN:
        return True
    if run.phase is RunPhase.RUNNING:
        return run.started_s is not None and run.started_s < sent_s
    if run.phase is RunPhase.STOPPING and run.stop_answered_s is not None:
        return run.stop_answered_s + stop_ms / 1_000 < sent_s
    return False
