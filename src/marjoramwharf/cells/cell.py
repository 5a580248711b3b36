"""The owner's side of a cell: its jobs, its workers, and what it does.

Everything is stored before it is acted on: a run before its order, an end
before it is noted at the worker, a final state before it is shown.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import trio

from marjoramwharf.cells import records
from marjoramwharf.cells.clocks import boot_s, wall_ms
from marjoramwharf.cells.place import Bounds
from marjoramwharf.cells.progress_writer import ProgressWriter
from marjoramwharf.cells.records import CellId
from marjoramwharf.cells.signals import Signal
from marjoramwharf.cells.status import ShownState
from marjoramwharf.cells.worker_link import WorkerLink
from marjoramwharf.cells.worker_messages import WorkerCalls
from marjoramwharf.errors import Failure
from marjoramwharf.ids import JobId, TaskId, WorkerId
from marjoramwharf.links.follower import Follower
from marjoramwharf.links.store import (
    Guard,
    PollingStore,
    StoreEvent,
    WatchBatch,
    Write,
)
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling import ordering
from marjoramwharf.scheduling.fleet import (
    Fleet,
    Worker,
    WorkerListing,
    WorkerState,
)
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_book import JobBook, job_of
from marjoramwharf.scheduling.job_state import (
    Job,
    JobPhase,
    Run,
    RunEnd,
    RunPhase,
)
from marjoramwharf.scheduling.pacing import PaceKeeper
from marjoramwharf.scheduling.planner import Planner
from marjoramwharf.scheduling.policy import Configuration

_LOG = part_logger('cell')

_PLAN_PERIOD_S = 0.25
_UPKEEP_PERIOD_S = 0.5

# A finished job stays known for this much longer than promised.
_FORGET_SLACK_S = 30
_FORGET_COUNT = 10

# A former owner may extend leases until this much after its own has lapsed.
FORMER_OWNER_SLACK_S = 3.0

ConfigurationSource = Callable[[], Configuration | None]
ListingDecoder = Callable[[str, bytes], WorkerListing]


@dataclass(frozen=True, slots=True)
class CellParts:
    """What a cell needs of the process around it.

    ``decode_listing`` raises ``BadListing`` for an entry that names no worker.
    """

    store: PollingStore
    calls: WorkerCalls
    configuration: ConfigurationSource
    workers_prefix: str
    decode_listing: ListingDecoder
    bounds: Bounds
    hold_ms: int


@dataclass(slots=True, eq=False)
class Cell:
    """One cell while this entry owns it.

    ``owner`` is the condition of every write, and its revision the fence of
    every order. ``is_current`` tells whether runs may still be started, and
    ``may_extend`` whether leases of runs may still be extended.
    """

    cell_id: CellId
    parts: CellParts
    owner: Guard
    is_current: Callable[[], bool]
    may_extend: Callable[[], bool]
    on_superseded: Callable[[], None]
    book: JobBook = field(default_factory=JobBook)
    fleet: Fleet = field(default_factory=Fleet)
    links: dict[WorkerId, WorkerLink] = field(default_factory=dict)
    is_loaded: bool = False
    is_stopping: bool = False
    taken_s: float = field(default_factory=boot_s)
    _plan_signal: Signal = field(default_factory=Signal)
    _model: InterferenceModel = field(default_factory=InterferenceModel)
    _pacing: dict[WorkerId, PaceKeeper] = field(default_factory=dict)
    _cancelled: set[JobId] = field(default_factory=set)
    _nursery: trio.Nursery | None = None
    _writer: ProgressWriter = field(init=False)
    _planner: Planner = field(init=False)

    def __post_init__(self) -> None:
        """Wire the parts that work on this cell's state."""
        self._writer = ProgressWriter(
            store=self.parts.store,
            cell=self.cell_id,
            book=self.book,
            owner=self.owner,
            on_stored=self._job_stored,
        )
        self._planner = Planner(
            self.book,
            self.fleet,
            self._model,
            _no_tickets,
        )

    async def run(self) -> None:
        """Own the cell until cancelled; raises ``NotOwner`` once superseded."""
        await self._load()
        store = self.parts.store
        inbox = Follower(
            store,
            records.inbox_prefix(self.cell_id),
            self._take_inbox,
        )
        workers = Follower(
            store,
            self.parts.workers_prefix,
            self._take_listings,
        )
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._writer.run)
            nursery.start_soon(inbox.run)
            nursery.start_soon(workers.run)
            nursery.start_soon(self._run_planner)
            nursery.start_soon(self._run_upkeep)

    async def hand_over(self) -> None:
        """Stop starting runs and store what has changed."""
        self.is_stopping = True
        await self._writer.flush()

    def status(self, job_id: JobId) -> ShownState | None:
        """Return the state of a job that may be shown, if it is known."""
        job = self.book.jobs.get(job_id)
        if job is None:
            return None
        if job.shown_phase is JobPhase.DONE:
            return ShownState.DONE
        if job.shown_phase is JobPhase.FAILED:
            return ShownState.FAILED
        if job.phase is JobPhase.CANCELLED:
            return ShownState.CANCELLED
        return ShownState.RUNNING if job.has_begun else ShownState.QUEUED

    def waiting_count(self, queue: str) -> int:
        """Return the accepted jobs of a queue that have not begun."""
        return self.book.waiting_count(queue)

    def find_run(self, task: TaskId, number: int) -> Run | None:
        """Return a live run."""
        return self.book.find_run(task, number)

    def may_hold(self) -> bool:
        """Whether this entry may still extend leases."""
        return self.may_extend()

    def superseded(self) -> None:
        """Give the cell up: a worker has seen a higher fence."""
        self.on_superseded()

    def run_started(self, run: Run) -> None:
        """Take in that a worker has begun a run."""
        self.book.started(run, now_s=boot_s())
        self._writer.wake()

    def run_ended(self, run: Run, how: RunEnd, saved: str) -> Job:
        """Take in the end of a run; returns its job."""
        job = job_of(run.task)
        if run.phase is RunPhase.ENDED:
            return job
        now_s = boot_s()
        worker = self.fleet.workers.get(run.worker_id)
        if worker is not None:
            worker.remove(run)
            self._pacing[worker.worker_id].note_end(run, now_s=now_s)
            if how is RunEnd.FAILED:
                worker.note_failure(now_s)
        if how not in {RunEnd.DONE, RunEnd.STOPPED}:
            _LOG.info(
                'run ended',
                task=run.task.name,
                run=run.number,
                worker=run.worker_id,
                how=how.value,
                percent=run.percent,
            )
        self.book.end(
            run,
            how,
            saved=saved,
            max_attempts=self._max_attempts(run),
            now_s=now_s,
        )
        self._stop_surplus(job)
        self._plan_signal.set()
        self._writer.wake()
        return job

    def looked(self, link: WorkerLink) -> None:
        """Take in a look at a worker and pace what runs there."""
        now_s = boot_s()
        keeper = self._pacing.get(link.worker.worker_id)
        if keeper is not None and self._nursery is not None:
            keeper.learn(now_s=now_s)
            for run, percent in keeper.decide(now_s=now_s).items():
                _LOG.info(
                    'pace',
                    task=run.task.name,
                    run=run.number,
                    worker=run.worker_id,
                    percent=percent,
                )
                run.pace_percent = percent
                self._nursery.start_soon(link.pace, run, percent)
            link.is_urgent = keeper.needs_look()
        self._plan_signal.set()

    def stop_run(self, run: Run) -> None:
        """Stop a run at its worker."""
        link = self.links.get(run.worker_id)
        if run.phase is RunPhase.PLANNED:
            self.run_ended(run, RunEnd.VANISHED, '')
        elif link is not None and self._nursery is not None:
            self._nursery.start_soon(link.stop, run)

    async def _load(self) -> None:
        """Read the jobs of the cell from the store."""
        store = self.parts.store
        now_s = boot_s()
        progress: dict[JobId, tuple[records.ProgressRecord, int]] = {}
        prefix = records.progress_prefix(self.cell_id)
        for stored in (await store.read_prefix(prefix)).found:
            record = records.decode(
                stored.body,
                records.ProgressRecord,
                key=stored.key,
            )
            job_id = JobId(stored.key.removeprefix(prefix))
            progress[job_id] = (record, stored.mod_revision)
        inbox = await store.read_prefix(records.inbox_prefix(self.cell_id))
        for stored in inbox.found:
            request = self._request_of(stored.key, stored.body)
            if request is not None:
                known = progress.get(request.job_id, (None, 0))
                job = records.restore_job(
                    request,
                    known[0],
                    revision=known[1],
                    now_s=now_s,
                )
                self.book.adopt(job, now_s=now_s, now_ms=wall_ms())
        self.book.advance(now_s=now_s, now_ms=wall_ms())
        for stored in inbox.found:
            self._take_cancel(stored.key)
        self.is_loaded = True
        _LOG.info(
            'cell loaded',
            cell=self.cell_id,
            fence=self.owner.mod_revision,
            jobs=len(self.book.jobs),
            took_s=round(boot_s() - now_s, 3),
        )

    async def _take_inbox(self, batch: WatchBatch) -> None:
        now_s = boot_s()
        now_ms = wall_ms()
        for event in batch.events:
            if event.stored is None:
                continue
            request = self._request_of(event.key, event.stored.body)
            if request is not None:
                self.book.add(request, now_s=now_s, now_ms=now_ms)
                if request.job_id in self._cancelled:
                    self._cancel(request.job_id)
            self._take_cancel(event.key)
        self._plan_signal.set()
        self._writer.wake()

    def _request_of(
        self,
        key: str,
        body: bytes,
    ) -> records.JobRequest | None:
        """Return the request that a key of the inbox holds, if any."""
        prefix = records.request_key(self.cell_id, JobId(''))
        if not key.startswith(prefix):
            return None
        return records.decode(body, records.JobRequest, key=key)

    def _take_cancel(self, key: str) -> None:
        prefix = records.cancel_key(self.cell_id, JobId(''))
        if key.startswith(prefix):
            job_id = JobId(key.removeprefix(prefix))
            self._cancelled.add(job_id)
            self._cancel(job_id)

    def _cancel(self, job_id: JobId) -> None:
        known = self.book.jobs.get(job_id)
        if known is None or not known.is_open:
            return
        _LOG.info('job cancelled', job=job_id)
        job = self.book.cancel(job_id, now_s=boot_s())
        if job is not None:
            self._stop_surplus(job)

    async def _take_listings(self, batch: WatchBatch) -> None:
        named: set[WorkerId] = set()
        for event in batch.events:
            worker_id = WorkerId(
                event.key.removeprefix(self.parts.workers_prefix),
            )
            listing = self._listing_of(event)
            if listing is None:
                self._take_gone(worker_id)
            else:
                named.add(worker_id)
                self._take_listing(listing)
        if batch.restarted:
            for known in tuple(self.fleet.workers):
                if known not in named:
                    self._take_gone(known)
        self._plan_signal.set()

    def _listing_of(self, event: StoreEvent) -> WorkerListing | None:
        if event.stored is None:
            return None
        try:
            return self.parts.decode_listing(event.key, event.stored.body)
        except Failure as failure:
            _LOG.warning('worker entry unreadable', error=str(failure))
            return None

    def _take_listing(self, listing: WorkerListing) -> None:
        worker = self.fleet.workers.get(listing.worker_id)
        if worker is None:
            self._add_worker(Worker(listing))
            return
        if worker.listing.state is not listing.state:
            _LOG.info(
                'worker changes state',
                worker=listing.worker_id,
                state=listing.state.value,
            )
        worker.listing = listing

    def _add_worker(self, worker: Worker) -> None:
        self.fleet.workers[worker.worker_id] = worker
        for run in self.book.live_runs():
            if run.worker_id == worker.worker_id:
                worker.add(run)
        link = WorkerLink(
            worker=worker,
            calls=self.parts.calls,
            owner=self,
            fence=self.owner.mod_revision,
            hold_ms=self.parts.hold_ms,
            stop_ms=self.parts.bounds.stop_ms,
        )
        self.links[worker.worker_id] = link
        self._pacing[worker.worker_id] = PaceKeeper(worker, self._model)
        if self._nursery is not None:
            self._nursery.start_soon(link.run)

    def _take_gone(self, worker_id: WorkerId) -> None:
        worker = self.fleet.workers.get(worker_id)
        if worker is None or worker.listing.state is WorkerState.GONE:
            return
        _LOG.info('worker gone', worker=worker_id, runs=len(worker.runs))
        worker.listing = _as_gone(worker.listing)

    async def _run_planner(self) -> None:
        while True:
            await self._plan_signal.wait(timeout_s=self._plan_pause_s())
            if not self.is_stopping and self.is_current():
                self._plan()

    def _plan_pause_s(self) -> float:
        due_ms = self.book.next_due_ms()
        if due_ms is None:
            return _PLAN_PERIOD_S
        left_s = (due_ms - wall_ms()) / 1_000
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
        if planned:
            self._writer.wake()

    def _job_stored(self, job: Job) -> None:
        for run in tuple(job.live_runs()):
            if run.phase is RunPhase.PLANNED:
                if run.planned_version <= job.stored_version:
                    self._order(run)
        for link in self.links.values():
            link.note_stored()

    def _order(self, run: Run) -> None:
        link = self.links.get(run.worker_id)
        job = job_of(run.task)
        useless = not job.is_open or run.task.is_done
        if link is None or useless or self._nursery is None:
            self.run_ended(run, RunEnd.VANISHED, '')
        else:
            self._nursery.start_soon(link.start, run)

    def _stop_surplus(self, job: Job) -> None:
        for run in self.book.surplus_runs(job):
            self.stop_run(run)

    def _max_attempts(self, run: Run) -> int:
        configuration = self.parts.configuration()
        queues = {} if configuration is None else configuration.queues
        return ordering.queue_of(run.task, queues).max_attempts

    async def _run_upkeep(self) -> None:
        while True:
            await trio.sleep(_UPKEEP_PERIOD_S)
            self._end_unreached()
            self._stop_all_surplus()
            self._drop_gone_workers()
            await self._forget_old()

    def _stop_all_surplus(self) -> None:
        """Stop what a former owner left running."""
        for job in tuple(self.book.jobs.values()):
            if job.occurrences:
                self._stop_surplus(job)

    def _end_unreached(self) -> None:
        """End runs of a former owner at workers that were never reached."""
        longest_s = self.parts.bounds.max_hold_ms / 1_000 * 1.03
        bound_s = self.taken_s + longest_s + FORMER_OWNER_SLACK_S
        if boot_s() < bound_s:
            return
        for run in tuple(self.book.live_runs()):
            link = self.links.get(run.worker_id)
            unread = link is None or link.clock.reading_ms is None
            if unread and run.phase is not RunPhase.PLANNED:
                self.run_ended(run, RunEnd.VANISHED, '')

    def _drop_gone_workers(self) -> None:
        for worker_id, worker in tuple(self.fleet.workers.items()):
            gone = worker.listing.state is WorkerState.GONE
            if gone and not worker.runs and not worker.is_reachable:
                self.links.pop(worker_id).scope.cancel()
                self.fleet.workers.pop(worker_id)
                self._pacing.pop(worker_id)

    async def _forget_old(self) -> None:
        kept_s = self.parts.bounds.status_ms / 1_000 + _FORGET_SLACK_S
        old = [
            job
            for job in self.book.jobs.values()
            if not job.is_open
            and not job.occurrences
            and job.stored_version == job.version
            and boot_s() - job.finished_s > kept_s
        ]
        for start in range(0, len(old), _FORGET_COUNT):
            await self._forget(old[start : start + _FORGET_COUNT])

    async def _forget(self, jobs: list[Job]) -> None:
        writes = [
            Write(key, None)
            for job in jobs
            for key in (
                records.request_key(self.cell_id, job.job_id),
                records.cancel_key(self.cell_id, job.job_id),
                records.progress_key(self.cell_id, job.job_id),
            )
        ]
        try:
            await self.parts.store.commit([self.owner], writes)
        except Failure as failure:
            _LOG.info('jobs not forgotten yet', error=str(failure))
            return
        for job in jobs:
            self.book.forget(job.job_id)
            self._cancelled.discard(job.job_id)


def _no_tickets(_step: object) -> None:
    """No queue needs a ticket."""


def _as_gone(listing: WorkerListing) -> WorkerListing:
    return replace(listing, state=WorkerState.GONE)
