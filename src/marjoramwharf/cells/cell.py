"""The owner's side of a cell: its jobs, its workers, and what it does.

Everything is stored before it is acted on: a run before its order, an end
before it is noted at the worker, a final state before it is shown.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.advice import TicketBook
from marjoramwharf.cells.cell_terms import CellParts, Mandate
from marjoramwharf.cells.clocks import boot_s, wall_ms
from marjoramwharf.cells.decision_log import log_end, log_finished, log_plan
from marjoramwharf.cells.forgetting import forget_finished
from marjoramwharf.cells.inbox import Inbox
from marjoramwharf.cells.link_parts import LinkTerms
from marjoramwharf.cells.model_keeper import ModelKeeper
from marjoramwharf.cells.progress_writer import ProgressWriter
from marjoramwharf.cells.records import inbox_prefix
from marjoramwharf.cells.run_mover import RunMover
from marjoramwharf.cells.signals import Signal
from marjoramwharf.cells.status import ShownState
from marjoramwharf.cells.worker_board import WorkerBoard
from marjoramwharf.ids import JobId, TaskId, WorkerId
from marjoramwharf.links.prefix_watcher import PrefixWatcher
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_book import JobBook, job_of
from marjoramwharf.scheduling.job_state import (
    Job,
    JobPhase,
    Run,
    RunEnd,
    RunPhase,
)
from marjoramwharf.scheduling.fleet import WorkerState
from marjoramwharf.scheduling.ordering import queue_of
from marjoramwharf.scheduling.planner import Planner
from marjoramwharf.scheduling.policy import QueuePolicy
from marjoramwharf.scheduling.workload import JobRequest

_LOG = part_logger('cell')

# Every worker writes its entry again and again, which wakes the watch.
_HEARTBEATS_S = 0.25

_PLAN_PERIOD_S = 0.25
_UPKEEP_PERIOD_S = 0.5

# The planner rests as long as it has taken.
_REST_FACTOR = 1.0
_MS_PER_S = 1_000

# A former owner may extend leases of runs until this much after it was
# replaced: until its own lease lapses, and a little longer.
FORMER_OWNER_SLACK_S = 5.0

# A worker's clock may run slow, so a lease may last this many times longer.
_SLOW_CLOCK_FACTOR = 1.03

_SHOWN_FINAL = {
    JobPhase.DONE: ShownState.DONE,
    JobPhase.FAILED: ShownState.FAILED,
}


@dataclass(slots=True, eq=False)
class Cell:
    """One cell while this entry owns it."""

    mandate: Mandate
    parts: CellParts
    is_loaded: bool = False
    is_stopping: bool = False
    taken_s: float = field(default_factory=boot_s)
    book: JobBook = field(default_factory=JobBook)
    board: WorkerBoard = field(init=False)
    _model: InterferenceModel = field(default_factory=InterferenceModel)
    _plan_signal: Signal = field(default_factory=Signal)
    _writer: ProgressWriter = field(init=False)
    _planner: Planner = field(init=False)
    _tickets: TicketBook = field(init=False)
    _mover: RunMover = field(init=False)
    _inbox: Inbox = field(init=False)
    _model_keeper: ModelKeeper = field(init=False)

    def __post_init__(self) -> None:
        """Wire the parts that work on this cell's state."""
        mandate = self.mandate
        parts = self.parts
        self.board = WorkerBoard(
            prefix=parts.workers_prefix,
            decode=parts.decode_listing,
            book=self.book,
            model=self._model,
            owner=self,
            terms=LinkTerms(
                calls=parts.calls,
                fence=mandate.guard.mod_revision,
                hold_ms=parts.hold_ms,
                stop_ms=parts.bounds.stop_ms,
                counters=parts.counters,
            ),
            harm_s=parts.bounds.harm_ms / _MS_PER_S,
            drain_ms=parts.bounds.drain_ms,
            on_change=self._plan_signal.set,
        )
        self._writer = ProgressWriter(
            store=parts.store,
            cell=mandate.cell,
            book=self.book,
            owner=mandate.guard,
            on_stored=self._job_stored,
            counters=parts.counters,
        )
        self._inbox = Inbox(
            cell=mandate.cell,
            book=self.book,
            on_cancelled=self._stop_surplus,
            on_change=self._wake,
        )
        self._model_keeper = ModelKeeper(
            parts.store,
            mandate.cell,
            mandate.guard,
            self._model,
        )
        self._tickets = TicketBook(
            calls=parts.advice,
            book=self.book,
            fleet=self.board.fleet,
            configuration=parts.configuration,
            on_change=self._plan_signal.set,
        )
        self._planner = Planner(
            self.book,
            self.board.fleet,
            self._model,
            self._tickets.tickets,
        )
        self._mover = RunMover(
            board=self.board,
            planner=self._planner,
            queue_of=self._queue_of,
            counters=parts.counters,
            on_planned=self._writer.wake,
        )

    async def run(self) -> None:
        """Own the cell until cancelled; raises ``NotOwner`` once superseded."""
        store = self.parts.store
        began_s = boot_s()
        await self._inbox.load(store)
        await self._model_keeper.load()
        self.is_loaded = True
        _LOG.info(
            'cell loaded',
            cell=self.mandate.cell,
            fence=self.mandate.guard.mod_revision,
            jobs=len(self.book.jobs),
            took_s=round(boot_s() - began_s, 3),
        )
        inbox = PrefixWatcher(
            store,
            inbox_prefix(self.mandate.cell),
            self._inbox.apply,
        )
        workers = PrefixWatcher(
            store,
            self.board.prefix,
            self.board.apply,
            batch_delay_s=_HEARTBEATS_S,
        )
        async with trio.open_nursery() as nursery:
            self.board.attach(nursery)
            nursery.start_soon(self._writer.run)
            nursery.start_soon(inbox.run)
            nursery.start_soon(workers.run)
            nursery.start_soon(self._run_planner)
            nursery.start_soon(self._run_upkeep)
            nursery.start_soon(self._tickets.run)
            nursery.start_soon(self._model_keeper.run)

    async def hand_over(self) -> None:
        """Stop starting runs and store what has changed."""
        self.is_stopping = True
        await self._writer.flush()

    def status(self, job_id: JobId) -> ShownState | None:
        """Return the state of a job that may be shown, if it is known."""
        job = self.book.jobs.get(job_id)
        if job is None:
            return None
        final = _SHOWN_FINAL.get(job.shown_phase)
        if final is not None:
            return final
        if job.phase is JobPhase.CANCELLED:
            return ShownState.CANCELLED
        return ShownState.RUNNING if job.has_begun else ShownState.QUEUED

    def can_serve(self, request: JobRequest) -> bool:
        """Whether the workers could run every step of a job at all.

        While none is known, every job counts as servable.
        """
        workers = self.board.fleet.of_service(request.service)
        listed = [
            worker
            for worker in workers
            if worker.listing.state is not WorkerState.GONE
        ]
        return not listed or all(
            any(worker.could_hold(step) for worker in listed)
            for step in request.steps
        )

    def find_run(self, task: TaskId, number: int) -> Run | None:
        """Return a live run."""
        return self.book.find_run(task, number)

    def may_hold(self) -> bool:
        """Whether this entry may still extend leases."""
        return self.mandate.may_extend()

    def superseded(self) -> None:
        """Give the cell up: a worker has seen a higher fence."""
        self.mandate.give_up()

    def run_started(self, run: Run) -> None:
        """Take in that a worker has begun a run."""
        if run.started_s is None:
            waited_s = boot_s() - run.task.ready_since_s
            self.parts.counters.wait_samples_s.append(waited_s)
        self.book.started(run, now_s=boot_s())
        self._writer.wake()

    def run_ended(self, run: Run, how: RunEnd, saved: str) -> Job:
        """Take in the end of a run; returns its job."""
        job = job_of(run.task)
        if run.phase is RunPhase.ENDED:
            return job
        now_s = boot_s()
        was_open = job.is_open
        self.parts.counters.ends[how] += 1
        self.board.release(run, how, now_s=now_s)
        if how not in {RunEnd.DONE, RunEnd.STOPPED}:
            log_end(run, how)
        self.book.end(
            run,
            how,
            saved=saved,
            max_attempts=self._queue_of(run).max_attempts,
            now_s=now_s,
        )
        if was_open and not job.is_open:
            self._note_finished(job, now_s)
        self._stop_surplus(job)
        self._wake()
        return job

    def _note_finished(self, job: Job, now_s: float) -> None:
        self.parts.counters.finished_jobs[job.phase] += 1
        log_finished(job, now_s)

    def looked(self, worker_id: WorkerId) -> None:
        """Take in a look at a worker."""
        self.board.pace(worker_id)
        self._plan_signal.set()

    def _wake(self) -> None:
        self._plan_signal.set()
        self._writer.wake()

    async def _run_planner(self) -> None:
        while True:
            await self._plan_signal.wait(timeout_s=self._plan_pause_s())
            if not self.is_stopping and self.mandate.is_current():
                began_s = boot_s()
                self._plan()
                # Leaves the processor to orders and looks in a burst.
                took_s = boot_s() - began_s
                await trio.sleep(min(_PLAN_PERIOD_S, took_s * _REST_FACTOR))

    def _plan_pause_s(self) -> float:
        due_ms = self.book.next_due_ms()
        if due_ms is None:
            return _PLAN_PERIOD_S
        left_s = (due_ms - wall_ms()) / _MS_PER_S
        return min(_PLAN_PERIOD_S, max(0, left_s))

    def _plan(self) -> None:
        configuration = self.parts.configuration()
        if configuration is None:
            return
        now_s = boot_s()
        now_ms = wall_ms()
        self.book.advance(now_s=now_s, now_ms=now_ms)
        planned = self._planner.plan(
            configuration.queues,
            now_s=now_s,
            now_ms=now_ms,
        )
        for plan in planned:
            log_plan(plan, configuration.version)
        if planned:
            self._writer.wake()

    def _job_stored(self, job: Job) -> None:
        for run in tuple(job.live_runs()):
            is_stored = run.planned_version <= job.stored_version
            if run.phase is RunPhase.PLANNED and is_stored:
                self._order(run)
        self.board.note_stored()

    def _order(self, run: Run) -> None:
        useful = job_of(run.task).is_open and not run.task.is_done
        if not useful or not self.board.start(run):
            self.run_ended(run, RunEnd.VANISHED, '')

    def _stop_surplus(self, job: Job) -> None:
        for run in self.book.surplus_runs(job):
            if run.phase is RunPhase.PLANNED:
                self.run_ended(run, RunEnd.VANISHED, '')
            else:
                self.board.stop(run)

    def _queue_of(self, run: Run) -> QueuePolicy:
        configuration = self.parts.configuration()
        queues = {} if configuration is None else configuration.queues
        return queue_of(run.task, queues)

    async def _run_upkeep(self) -> None:
        while True:
            await trio.sleep(_UPKEEP_PERIOD_S)
            self._end_unreached()
            if not self.is_stopping and self.mandate.is_current():
                self._mover.move_all(now_s=boot_s())
            for job in tuple(self.book.jobs.values()):
                if job.occurrences:
                    self._stop_surplus(job)
            self.board.drop_gone()
            await forget_finished(
                self.parts.store,
                self.mandate.cell,
                self.mandate.guard,
                self.book,
                self._inbox,
                kept_ms=self.parts.bounds.status_ms,
            )

    def _end_unreached(self) -> None:
        """End runs of a former owner at workers that were never reached."""
        longest_s = self.parts.hold_ms / _MS_PER_S
        longest_s *= _SLOW_CLOCK_FACTOR
        if boot_s() < self.taken_s + longest_s + FORMER_OWNER_SLACK_S:
            return
        for run in tuple(self.book.live_runs()):
            is_unread = self.board.is_unread(run.worker_id)
            if is_unread and run.phase is not RunPhase.PLANNED:
                self.run_ended(run, RunEnd.VANISHED, '')
