"""The workers of a cell: from the platform's list to links and pacing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.link_parts import LinkOwner, LinkTerms
from marjoramwharf.cells.worker_link import WorkerLink
from marjoramwharf.errors import Failure
from marjoramwharf.ids import WorkerId
from marjoramwharf.links.store import StoreEvent, WatchBatch
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import (
    Fleet,
    Worker,
    WorkerListing,
    WorkerState,
)
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.job_state import Run, RunEnd
from marjoramwharf.scheduling.pacing import PaceController
from marjoramwharf.scheduling.readings import InterferenceLearner

_LOG = part_logger('worker')

_MS_PER_S = 1_000

ListingDecoder = Callable[[str, bytes], WorkerListing]


@dataclass(slots=True)
class WorkerBoard:
    """Keeps a link and a pace keeper for each listed worker.

    ``harm_s`` is the time for which a tail may be over its target, and
    ``drain_ms`` how long a worker drains that doesn't say so. ``decode``
    raises a ``Failure`` for an entry that names no worker, and
    ``on_change`` is called when workers come, go or change.
    """

    prefix: str
    decode: ListingDecoder
    job_table: JobTable
    model: InterferenceModel
    owner: LinkOwner
    terms: LinkTerms
    harm_s: float
    drain_ms: int
    on_change: Callable[[], None]
    fleet: Fleet = field(default_factory=Fleet)
    links: dict[WorkerId, WorkerLink] = field(default_factory=dict)
    _keepers: dict[WorkerId, PaceController] = field(default_factory=dict)
    _learners: dict[WorkerId, InterferenceLearner] = field(default_factory=dict)
    _nursery: trio.Nursery | None = None

    def attach(self, nursery: trio.Nursery) -> None:
        """Run links and orders in a nursery from now on."""
        self._nursery = nursery

    async def apply(self, batch: WatchBatch) -> None:
        """Take in changes of the list."""
        named: set[WorkerId] = set()
        for event in batch.events:
            worker_id = WorkerId(event.key.removeprefix(self.prefix))
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
        self.on_change()

    def start(self, run: Run) -> bool:
        """Order a run; tell whether its worker is known."""
        link = self.links.get(run.worker_id)
        if link is None or self._nursery is None:
            return False
        self._nursery.start_soon(link.orders.start, run)
        return True

    def stop(self, run: Run) -> None:
        """Stop a run, if its worker is known."""
        link = self.links.get(run.worker_id)
        if link is not None and self._nursery is not None:
            self._nursery.start_soon(link.orders.stop, run)

    def note_stored(self) -> None:
        """Let workers forget the ends that are stored by now."""
        for link in self.links.values():
            link.note_stored()

    def release(self, run: Run, how: RunEnd, *, now_s: float) -> None:
        """Free the room of a run that has ended."""
        worker = self.fleet.workers.get(run.worker_id)
        if worker is None:
            return
        worker.remove(run)
        self._learners[worker.worker_id].record_end(run, now_s=now_s)
        if how in {RunEnd.DONE, RunEnd.FAILED}:
            worker.record_outcome(
                has_failed=how is RunEnd.FAILED,
                now_s=now_s,
            )

    def pace(self, worker_id: WorkerId) -> None:
        """Learn from a look at a worker, and pace what fills there."""
        keeper = self._keepers.get(worker_id)
        link = self.links.get(worker_id)
        if keeper is None or link is None or self._nursery is None:
            return
        now_s = boot_s()
        self._learners[worker_id].learn(now_s=now_s)
        for run, percent in keeper.decide(now_s=now_s).items():
            _LOG.info(
                'pace',
                task=run.task.name,
                run=run.number,
                worker=run.worker_id,
                percent=percent,
            )
            run.pace_percent = percent
            run.pace_changed_s = now_s
            self._nursery.start_soon(link.orders.pace, run, percent)
        link.is_urgent = keeper.needs_early_poll()

    def is_unread(self, worker_id: WorkerId) -> bool:
        """Whether a worker was never reached by this owner."""
        link = self.links.get(worker_id)
        return link is None or link.clock.reading_ms is None

    def drop_gone(self) -> None:
        """Forget workers that are gone and run nothing."""
        for worker_id, worker in tuple(self.fleet.workers.items()):
            gone = worker.listing.state is WorkerState.GONE
            if gone and not worker.runs and not worker.is_reachable:
                self.links.pop(worker_id).scope.cancel()
                self.fleet.workers.pop(worker_id)
                self._keepers.pop(worker_id)
                self._learners.pop(worker_id)

    def _listing_of(self, event: StoreEvent) -> WorkerListing | None:
        if event.stored is None:
            return None
        try:
            return self.decode(event.key, event.stored.body)
        except Failure as failure:
            _LOG.warning('worker entry unreadable', error=str(failure))
            return None

    def _take_listing(self, listing: WorkerListing) -> None:
        worker = self.fleet.workers.get(listing.worker_id)
        if worker is None:
            worker = Worker(listing)
            self._add(worker)
        if listing.state is WorkerState.DRAINING:
            left_ms = listing.remaining_ms
            if left_ms is None:
                left_ms = self.drain_ms
            worker.leaves_s = boot_s() + left_ms / _MS_PER_S
        if worker.listing.state is not listing.state:
            _LOG.info(
                'worker changes state',
                worker=listing.worker_id,
                state=listing.state.value,
            )
        worker.listing = listing

    def _add(self, worker: Worker) -> None:
        worker_id = worker.worker_id
        self.fleet.workers[worker_id] = worker
        for run in self.job_table.live_runs():
            if run.worker_id == worker_id:
                worker.add(run)
        link = WorkerLink(worker=worker, owner=self.owner, terms=self.terms)
        self.links[worker_id] = link
        self._keepers[worker_id] = PaceController(
            worker,
            self.model,
            self.harm_s,
        )
        self._learners[worker_id] = InterferenceLearner(worker, self.model)
        if self._nursery is not None:
            self._nursery.start_soon(link.run)

    def _take_gone(self, worker_id: WorkerId) -> None:
        worker = self.fleet.workers.get(worker_id)
        if worker is None or worker.listing.state is WorkerState.GONE:
            return
        _LOG.info('worker gone', worker=worker_id, runs=len(worker.runs))
        worker.listing = replace(worker.listing, state=WorkerState.GONE)
