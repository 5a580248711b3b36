"""Scheduler of one cell, run by the entry that owns the cell.

Every decision is stored before it takes effect: a run before its start order
is sent, the end of a run before it is acknowledged to the worker, and a final
state before callers see it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.advice import TicketCache
from marjoramwharf.cells.auto_reset_event import AutoResetEvent
from marjoramwharf.cells.cell_context import CellContext, CellOwnership
from marjoramwharf.cells.clocks import boot_s, wall_ms
from marjoramwharf.cells.decision_log import log_end, log_finished
from marjoramwharf.cells.inbox import Inbox
from marjoramwharf.cells.job_status import (
    FINAL_STATES,
    PublicJobState,
    StatusAnswer,
    public_state,
)
from marjoramwharf.cells.maintenance import Maintenance
from marjoramwharf.cells.plan_loop import PlanLoop
from marjoramwharf.cells.preemptor import Preemptor
from marjoramwharf.cells.progress_writer import ProgressWriter
from marjoramwharf.cells.records import inbox_prefix
from marjoramwharf.cells.run_mover import RunMover
from marjoramwharf.cells.succession import Succession, build_succession
from marjoramwharf.cells.unlisted_workers import (
    enforces_capacity,
    may_use_replacement,
)
from marjoramwharf.cells.worker_registry import WorkerRegistry
from marjoramwharf.ids import JobId, TaskId, WorkerId
from marjoramwharf.isolation import run_restarted
from marjoramwharf.links.prefix_watcher import PrefixWatcher
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import Fleet, Worker
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_state import (
    Job,
    Run,
    RunEnd,
    RunPhase,
)
from marjoramwharf.scheduling.job_table import (
    JobTable,
    job_of,
    surplus_runs_beside,
)
from marjoramwharf.scheduling.ordering import queue_of
from marjoramwharf.scheduling.planner import Planner
from marjoramwharf.scheduling.policy import QueuePolicy
from marjoramwharf.scheduling.workload import JobRequest

_LOG = part_logger('cell')

# Every worker rewrites its listing periodically, which wakes the watch, so
# events are collected for this long.
_HEARTBEAT_COLLECTION_S = 0.25

_MS_PER_S = 1_000


@dataclass(slots=True, eq=False)
class Cell:
    """Schedules the jobs of one cell while this entry owns it."""

    ownership: CellOwnership
    context: CellContext
    is_loaded: bool = False
    is_stopping: bool = False
    job_table: JobTable = field(default_factory=JobTable)
    worker_registry: WorkerRegistry = field(init=False)
    _model: InterferenceModel = field(default_factory=InterferenceModel)
    _plan_signal: AutoResetEvent = field(default_factory=AutoResetEvent)
    _progress_writer: ProgressWriter = field(init=False)
    _plan_loop: PlanLoop = field(init=False)
    _ticket_cache: TicketCache = field(init=False)
    maintenance: Maintenance = field(init=False)
    _inbox: Inbox = field(init=False)
    _succession: Succession = field(init=False)
    _workers_watcher: PrefixWatcher = field(init=False)

    def __post_init__(self) -> None:
        """Create the components that share this cell's state."""
        ownership = self.ownership
        context = self.context
        self.worker_registry = WorkerRegistry(
            prefix=context.workers_prefix,
            decode=context.decode_listing,
            job_table=self.job_table,
            model=self._model,
            owner=self,
            context=context.link_context(ownership.guard.mod_revision),
            max_over_target_s=context.bounds.max_over_target_ms / _MS_PER_S,
            drain_ms=context.bounds.drain_ms,
            on_change=self._plan_signal.set,
            on_worker_changed=lambda worker_id: (
                self._succession.roster.mark_changed(worker_id)
            ),
            checks=context.unlisted_checks(),
            fleet=Fleet(evacuated=context.evacuated),
        )
        self._workers_watcher = PrefixWatcher(
            context.store,
            context.workers_prefix,
            self.worker_registry.apply,
            batch_delay_s=_HEARTBEAT_COLLECTION_S,
        )
        self._progress_writer = ProgressWriter(
            store=context.store,
            cell=ownership.cell,
            job_table=self.job_table,
            ownership_guard=ownership.guard,
            on_stored=self._on_job_stored,
            counters=context.counters,
        )
        self._inbox = Inbox(
            cell=ownership.cell,
            job_table=self.job_table,
            on_cancelled=self._stop_surplus_runs,
            on_change=self._wake_planner_and_writer,
        )
        self._succession = build_succession(
            context,
            ownership,
            self._model,
            self.worker_registry,
            lambda: self._workers_watcher.revision,
        )
        self._ticket_cache = TicketCache(
            client=context.advice_client,
            job_table=self.job_table,
            fleet=self.worker_registry.fleet,
            configuration=context.configuration,
            on_change=self._plan_signal.set,
        )
        planner = Planner(
            self.job_table,
            self.worker_registry.fleet,
            self._model,
            self._ticket_cache.tickets,
        )
        preemptor = Preemptor(
            planner,
            self._queue_of,
            self.worker_registry.stop,
            context.counters,
        )
        self._plan_loop = PlanLoop(
            planner=planner,
            job_table=self.job_table,
            configuration=context.configuration,
            signal=self._plan_signal,
            may_plan=self._may_plan,
            on_planned=self._progress_writer.wake,
            preempt=lambda: preemptor.preempt(now_s=boot_s()),
        )
        self.maintenance = Maintenance(
            ownership=ownership,
            context=context,
            job_table=self.job_table,
            worker_registry=self.worker_registry,
            inbox=self._inbox,
            lapsing=self._succession.lapsing,
            run_mover=RunMover(
                worker_registry=self.worker_registry,
                planner=planner,
                queue_of=self._queue_of,
                counters=context.counters,
                on_planned=self._progress_writer.wake,
            ),
            may_plan=self._may_plan,
            end_run=self.end_run,
            stop_surplus_runs=self._stop_surplus_runs,
        )

    async def run(self) -> None:
        """Load the cell's jobs and schedule them until cancelled.

        Raises ``NotOwner`` when another entry has become the owner.
        """
        store = self.context.store
        began_s = boot_s()
        await self._inbox.load(store)
        known_workers = await self._succession.load()
        self.is_loaded = True
        _LOG.info(
            'cell loaded',
            cell=self.ownership.cell,
            fence=self.ownership.guard.mod_revision,
            jobs=len(self.job_table.jobs),
            took_s=round(boot_s() - began_s, 3),
        )
        inbox = PrefixWatcher(
            store,
            inbox_prefix(self.ownership.cell),
            self._inbox.apply,
        )
        async with trio.open_nursery() as nursery:
            self.worker_registry.attach(nursery)
            self.worker_registry.restore(known_workers)
            nursery.start_soon(self._progress_writer.run)
            self._succession.start(nursery)
            nursery.start_soon(inbox.run)
            nursery.start_soon(self._workers_watcher.run)
            nursery.start_soon(self._plan_loop.run)
            nursery.start_soon(self.maintenance.run)
            nursery.start_soon(run_restarted, 'tickets', self._ticket_cache.run)

    async def hand_over(self) -> None:
        """Stop planning runs, and return when the plans made are stored.

        The next owner learns from the workers of what ends from then on.
        """
        self.is_stopping = True
        await self._progress_writer.flush()

    def status(self, job_id: JobId) -> PublicJobState | None:
        """Return the state of a job to show to callers, if the job is known."""
        job = self.job_table.jobs.get(job_id)
        return None if job is None else public_state(job)

    def answer_status(self, job_id: JobId) -> StatusAnswer | None:
        """Return the state of a job and whether it may be outdated."""
        state = self.status(job_id)
        if state is None:
            return None
        is_certain = state in FINAL_STATES or self.ownership.is_current()
        return StatusAnswer(state, may_be_outdated=not is_certain)

    def waiting_count(self, queue: str) -> int | None:
        """Return the number of jobs of a queue that have not begun.

        Returns ``None`` if another entry may have become the owner, since the
        jobs stored from then on are not known here.
        """
        if not self.ownership.is_current():
            return None
        return self.job_table.waiting_count(queue)

    def can_serve(self, request: JobRequest) -> bool:
        """Whether for each step some worker of the service is large enough.

        While no worker is known, every job counts as servable.
        """
        workers = self.worker_registry.fleet.workers_of(request.service)
        available = [worker for worker in workers if worker.is_present]
        return not available or all(
            any(worker.could_ever_run(step) for worker in available)
            for step in request.steps
        )

    def find_run(self, task: TaskId, number: int) -> Run | None:
        """Return a run that has not ended, by its task and number."""
        return self.job_table.find_run(task, number)

    def may_start_runs(self, worker: Worker) -> bool:
        """Whether this entry may send orders to start runs at a worker.

        Its data centre may have been evacuated since the runs were planned, or
        the worker lost.
        """
        is_evacuated = self.worker_registry.fleet.is_evacuated(worker)
        is_allowed = self._succession.lapsing.may_extend(worker.worker_id)
        return self.ownership.is_current() and is_allowed and not is_evacuated

    def may_extend_leases(self) -> bool:
        """Whether this entry may still extend the leases of runs."""
        return self.ownership.may_extend_leases()

    async def allow_extending(self, worker_id: WorkerId) -> bool:
        """Allow leases at a worker that answers again; return whether they are.

        ``True`` holds until the next checkpoint of the caller.
        """
        return await self._succession.lapsing.allow_extending(worker_id)

    def on_replaced(self, former: Worker, worker_id: WorkerId) -> bool:
        """Use a worker in the place of a former one, if allowed.

        Returns whether it is known from now on.
        """
        if may_use_replacement(former, self.context.configuration()):
            self.worker_registry.adopt(
                former,
                worker_id,
                now_s=boot_s(),
                list_revision=self._workers_watcher.revision,
            )
        return worker_id in self.worker_registry.fleet.workers

    def on_superseded(self) -> None:
        """Give up the cell, since a worker has seen a higher fence."""
        self.ownership.give_up()

    def on_run_started(self, run: Run, *, started_s: float) -> None:
        """Record that a worker has started a run, at about ``started_s``."""
        if run.started_s is None:
            waited_s = started_s - run.task.ready_since_s
            self.context.counters.wait_samples_s.append(waited_s)
        self.job_table.mark_started(run, started_s=started_s, now_s=boot_s())
        self._progress_writer.wake()

    def end_run(self, run: Run, how: RunEnd, checkpoint: str) -> Job:
        """Record the end of a run and free its resources; returns its job.

        A run that has ended already is left as it is.
        """
        job = job_of(run.task)
        if run.phase is RunPhase.ENDED:
            return job
        now_s = boot_s()
        was_open = job.is_open
        self.context.counters.ends[how] += 1
        self.worker_registry.release(run, how, now_s=now_s)
        if how not in {RunEnd.DONE, RunEnd.STOPPED}:
            log_end(run, how)
        self.job_table.end_run(
            run,
            how,
            checkpoint=checkpoint,
            max_attempts=self._queue_of(run).max_attempts,
            now_s=now_s,
        )
        if was_open and not job.is_open:
            self._record_finished_job(job, now_s)
            self._stop_surplus_runs(job)
        else:
            self._stop_all(surplus_runs_beside(run.task))
        self._wake_planner_and_writer()
        return job

    def _record_finished_job(self, job: Job, now_s: float) -> None:
        self.context.counters.finished_jobs[job.phase] += 1
        log_finished(job, now_s=now_s, now_ms=wall_ms())

    def on_polled(self, worker_id: WorkerId) -> None:
        """Update the worker's paces and wake the planner after a poll."""
        worker = self.worker_registry.fleet.workers.get(worker_id)
        if worker is not None:
            worker.refuses_overload = enforces_capacity(
                worker.listing.service, self.context.configuration()
            )
        self.worker_registry.update_paces(worker_id)
        self._plan_signal.set()

    def _may_plan(self) -> bool:
        return not self.is_stopping and self.ownership.is_current()

    def _wake_planner_and_writer(self) -> None:
        self._plan_signal.set()
        self._progress_writer.wake()

    def _on_job_stored(self, job: Job) -> None:
        """Send the start orders and acknowledge the ends stored by now."""
        for run in tuple(job.live_runs()):
            is_stored = run.planned_version <= job.stored_version
            if run.phase is RunPhase.PLANNED and is_stored:
                self._send_start(run)
        self.worker_registry.acknowledge_stored_ends()

    def _send_start(self, run: Run) -> None:
        is_needed = job_of(run.task).is_open and not run.task.is_done
        if not is_needed or not self.worker_registry.start(run):
            self.end_run(run, RunEnd.VANISHED, '')

    def _stop_surplus_runs(self, job: Job) -> None:
        """Stop the runs that a job no longer needs; drop the planned ones."""
        self._stop_all(self.job_table.surplus_runs(job))

    def _stop_all(self, runs: list[Run]) -> None:
        for run in runs:
            if run.phase is RunPhase.PLANNED:
                self.end_run(run, RunEnd.VANISHED, '')
            else:
                self.worker_registry.stop(run)

    def _queue_of(self, run: Run) -> QueuePolicy:
        configuration = self.context.configuration()
        queues = {} if configuration is None else configuration.queues
        return queue_of(run.task, queues)
