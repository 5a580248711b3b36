"""Registry of a cell's workers, each with a link and a pace controller."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.link_context import LinkContext, LinkOwner
from marjoramwharf.cells.worker_link import WorkerLink
from marjoramwharf.errors import Failure
from marjoramwharf.ids import WorkerId
from marjoramwharf.isolation import log_unexpected, run_isolated
from marjoramwharf.links.store import StoreEvent, WatchBatch
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import (
    Fleet,
    Worker,
    WorkerListing,
    WorkerState,
)
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_state import Run, RunEnd
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.pacing import PaceController
from marjoramwharf.scheduling.readings import InterferenceLearner
from marjoramwharf.scheduling.run_moves import relative_rate

_LOG = part_logger('worker')

_MS_PER_S = 1_000

ListingDecoder = Callable[[str, bytes], WorkerListing]


@dataclass(slots=True)
class WorkerRegistry:
    """Tracks the workers that the platform lists and runs a link to each.

    A tail latency may be over its target for ``max_over_target_s``. A draining
    worker that doesn't state how much time it has left has ``drain_ms``.
    ``decode`` raises a ``Failure`` for a listing that names no worker, and
    ``on_change`` is called when workers come, go or change.
    """

    prefix: str
    decode: ListingDecoder
    job_table: JobTable
    model: InterferenceModel
    owner: LinkOwner
    context: LinkContext
    max_over_target_s: float
    drain_ms: int
    on_change: Callable[[], None]
    fleet: Fleet = field(default_factory=Fleet)
    links: dict[WorkerId, WorkerLink] = field(default_factory=dict)
    _pace_controllers: dict[WorkerId, PaceController] = field(
        default_factory=dict
    )
    _learners: dict[WorkerId, InterferenceLearner] = field(default_factory=dict)
    _nursery: trio.Nursery | None = None
    # Live runs by worker, during a batch that has new workers.
    _placed_runs: dict[WorkerId, list[Run]] | None = None

    def attach(self, nursery: trio.Nursery) -> None:
        """Set the nursery in which links and orders run."""
        self._nursery = nursery
        nursery.start_soon(self.context.admission.run)

    async def apply(self, batch: WatchBatch) -> None:
        """Apply watch events of the platform's list of workers."""
        listed: set[WorkerId] = set()
        self._placed_runs = None
        for event in batch.events:
            worker_id = WorkerId(event.key.removeprefix(self.prefix))
            if self._apply_event(event):
                listed.add(worker_id)
            else:
                self._mark_gone(worker_id)
        if batch.restarted:
            for tracked_id in tuple(self.fleet.workers):
                if tracked_id not in listed:
                    self._mark_gone(tracked_id)
        self.on_change()

    def start(self, run: Run) -> bool:
        """Send the start order of a run; return whether its worker is known."""
        link = self.links.get(run.worker_id)
        if link is None or self._nursery is None:
            return False
        self._nursery.start_soon(
            run_isolated, 'start order', link.orders.start, run
        )
        return True

    def stop(self, run: Run) -> None:
        """Send the stop order of a run if its worker is known."""
        link = self.links.get(run.worker_id)
        if link is not None and self._nursery is not None:
            self._nursery.start_soon(
                run_isolated, 'stop order', link.orders.stop, run
            )

    def acknowledge_stored_ends(self) -> None:
        """Acknowledge the ends of runs that are stored by now."""
        for acknowledgements in tuple(self.context.waiting_acknowledgements):
            acknowledgements.acknowledge_stored()

    def release(self, run: Run, how: RunEnd, *, now_s: float) -> None:
        """Free the resources of a run that has ended and learn from its end."""
        worker = self.fleet.workers.get(run.worker_id)
        if worker is None:
            return
        worker.remove(run)
        self._learners[worker.worker_id].record_end(run, now_s=now_s)
        if how is RunEnd.DONE:
            rate = relative_rate(run, now_s)
            if rate is not None:
                worker.speed.record(rate, now_s=now_s)
        if how in {RunEnd.DONE, RunEnd.FAILED}:
            worker.record_outcome(
                has_failed=how is RunEnd.FAILED,
                now_s=now_s,
            )

    def update_paces(self, worker_id: WorkerId) -> None:
        """Learn from the latest poll and send new paces to filling tasks."""
        controller = self._pace_controllers.get(worker_id)
        link = self.links.get(worker_id)
        if controller is None or link is None or self._nursery is None:
            return
        now_s = boot_s()
        self._learners[worker_id].learn(now_s=link.worker.reported_at_s)
        for run, percent in controller.decide(now_s=now_s).items():
            _LOG.info(
                'pace',
                task=run.task.name,
                run=run.number,
                worker=run.worker_id,
                percent=percent,
            )
            run.pace_percent = percent
            run.pace_changed_s = now_s
            self._nursery.start_soon(
                run_isolated, 'pace order', link.orders.pace, run, percent
            )
        link.is_urgent = controller.needs_early_poll()

    def was_never_polled(self, worker_id: WorkerId) -> bool:
        """Whether a worker has never answered a poll by this owner."""
        link = self.links.get(worker_id)
        return link is None or link.clock.reading_ms is None

    def remove_gone_workers(self) -> None:
        """Remove unreachable, no longer listed workers that have no runs."""
        for worker_id, worker in tuple(self.fleet.workers.items()):
            is_gone = worker.listing.state is WorkerState.GONE
            if is_gone and not worker.runs and not worker.is_reachable:
                self.links.pop(worker_id).scope.cancel()
                self.fleet.workers.pop(worker_id)
                self._pace_controllers.pop(worker_id)
                self._learners.pop(worker_id)

    def _apply_event(self, event: StoreEvent) -> bool:
        """Apply one event; return whether it lists a usable worker.

        An error in one listing must not hide the other workers.
        """
        listing = self._decode_event(event)
        if listing is None or event.stored is None:
            return False
        try:
            self._apply_listing(listing, event.stored.mod_revision)
        except Exception:
            log_unexpected(f'listing {event.key}')
            return False
        return True

    def _decode_event(self, event: StoreEvent) -> WorkerListing | None:
        if event.stored is None:
            return None
        try:
            return self.decode(event.key, event.stored.body)
        except Failure as failure:
            _LOG.warning('worker listing not decoded', error=str(failure))
            return None

    def _apply_listing(self, listing: WorkerListing, revision: int) -> None:
        worker = self.fleet.workers.get(listing.worker_id)
        if worker is None:
            worker = Worker(listing)
            self._add_worker(worker)
        worker.record_listing(revision, now_s=boot_s())
        if listing.state is WorkerState.DRAINING:
            remaining_ms = listing.remaining_ms
            if remaining_ms is None:
                remaining_ms = self.drain_ms
            worker.leaves_at_s = boot_s() + remaining_ms / _MS_PER_S
        if worker.listing.state is not listing.state:
            _LOG.info(
                'worker state changed',
                worker=listing.worker_id,
                state=listing.state.value,
            )
        former_born_ms = worker.listing.born_ms
        worker.listing = listing
        if listing.born_ms not in {0, former_born_ms, worker.born_ms}:
            _LOG.info(
                'worker listed by another incarnation',
                worker=listing.worker_id,
                born_ms=listing.born_ms,
                previous_born_ms=worker.born_ms,
            )
            self.links[listing.worker_id].interrupt_poll()

    def _add_worker(self, worker: Worker) -> None:
        """Track a new worker, and reserve for the runs placed there before."""
        worker_id = worker.worker_id
        self.fleet.workers[worker_id] = worker
        for run in self._runs_placed_at(worker_id):
            worker.add(run)
        link = WorkerLink(worker=worker, owner=self.owner, context=self.context)
        self.links[worker_id] = link
        self._pace_controllers[worker_id] = PaceController(
            worker,
            self.model,
            self.max_over_target_s,
        )
        self._learners[worker_id] = InterferenceLearner(worker, self.model)
        if self._nursery is not None:
            self._nursery.start_soon(link.run)

    def _runs_placed_at(self, worker_id: WorkerId) -> Sequence[Run]:
        """Return the live runs at a worker that isn't tracked yet.

        A new owner adds all workers in one batch, so that a search for the runs
        of each would go through all jobs as often as there are workers.
        """
        if self._placed_runs is None:
            self._placed_runs = {}
            for run in self.job_table.live_runs():
                runs = self._placed_runs.setdefault(run.worker_id, [])
                runs.append(run)
        return self._placed_runs.get(worker_id, [])

    def _mark_gone(self, worker_id: WorkerId) -> None:
        worker = self.fleet.workers.get(worker_id)
        if worker is None or worker.listing.state is WorkerState.GONE:
            return
        _LOG.info('worker gone', worker=worker_id, runs=len(worker.runs))
        worker.listing = replace(worker.listing, state=WorkerState.GONE)
