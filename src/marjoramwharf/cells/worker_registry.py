"""Registry of a cell's workers, each with a link and a pace controller."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.link_context import LinkContext, LinkOwner
from marjoramwharf.cells.unlisted_checks import ListingDecoder, UnlistedChecks
from marjoramwharf.cells.unlisted_workers import (
    is_worth_handing_over,
    may_be_forgotten,
    replacement_listing,
)
from marjoramwharf.cells.worker_link import WorkerLink
from marjoramwharf.cells.worker_roster import KnownWorkers
from marjoramwharf.errors import Failure
from marjoramwharf.ids import WorkerId
from marjoramwharf.isolation import log_unexpected, run_isolated
from marjoramwharf.links.store import StoredValue, WatchBatch
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


@dataclass(slots=True)
class WorkerRegistry:
    """Tracks the workers that are listed or answer, and runs a link to each.

    A tail latency may be over its target for ``max_over_target_s``. A draining
    worker that doesn't state how much time it has left has ``drain_ms``.
    ``decode`` raises a ``Failure`` for a listing that names no worker, and
    ``on_change`` is called after each change of the list, and
    ``on_worker_changed`` when a worker comes, goes or is listed differently.
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
    on_worker_changed: Callable[[WorkerId], None]
    checks: UnlistedChecks
    fleet: Fleet = field(default_factory=Fleet)
    links: dict[WorkerId, WorkerLink] = field(default_factory=dict)
    _pace_controllers: dict[WorkerId, PaceController] = field(
        default_factory=dict
    )
    _learners: dict[WorkerId, InterferenceLearner] = field(default_factory=dict)
    _nursery: trio.Nursery | None = None
    _unchecked_count: int = 0
    _restorable: KnownWorkers = KnownWorkers()
    # Live runs by worker, while new workers are added.
    _placed_runs: dict[WorkerId, list[Run]] | None = None

    def attach(self, nursery: trio.Nursery) -> None:
        """Set the nursery in which links and orders run."""
        self._nursery = nursery
        nursery.start_soon(self.context.admission.run)

    async def apply(self, batch: WatchBatch) -> None:
        """Apply watch events of the platform's list of workers."""
        now_s = boot_s()
        listed: set[WorkerId] = set()
        self._placed_runs = None
        for event in batch.events:
            worker_id = WorkerId(event.key.removeprefix(self.prefix))
            if event.stored is None:
                self._mark_unlisted(worker_id, now_s)
                continue
            listed.add(worker_id)
            if not self._apply_stored(event.key, event.stored):
                self._mark_unreadable(worker_id)
        if batch.restarted:
            for tracked_id in self.fleet.workers.keys() - listed:
                self._mark_unlisted(tracked_id, now_s)
            self._add_restorable(listed, now_s)
        self.on_change()

    def restore(self, known: KnownWorkers) -> None:
        """Track the workers that a former owner knew and the list lacks.

        They are added once the list has been read, which may say otherwise.
        """
        self._restorable = known

    def _add_restorable(self, listed: set[WorkerId], now_s: float) -> None:
        known = self._restorable
        self._restorable = KnownWorkers()
        for listing in known.listings:
            if listing.worker_id not in listed:
                self._add_unlisted(listing, now_s, known.list_revision)

    def _add_unlisted(
        self, listing: WorkerListing, now_s: float, list_revision: int
    ) -> None:
        """Track a worker that gets runs once the store was asked about it.

        ``list_revision`` is the one up to which the list is known to lack it, or
        to have had this listing.
        """
        self._placed_runs = None
        worker = Worker(
            listing,
            is_listed=False,
            unlisted_at_s=now_s,
            blocked_until_s=math.inf,
        )
        self._add_worker(worker)
        if self._nursery is not None:
            self._nursery.start_soon(
                run_isolated,
                'check of an unlisted worker',
                partial(self._check, worker, list_revision),
            )

    @property
    def has_unchecked(self) -> bool:
        """Whether the store is still to be asked about some worker."""
        return bool(self._unchecked_count)

    async def _check(self, worker: Worker, list_revision: int) -> None:
        self._unchecked_count += 1
        try:
            await self.checks.run(
                worker, list_revision, is_unlisted=lambda: self._lacks(worker)
            )
        finally:
            self._unchecked_count -= 1
        self.on_worker_changed(worker.worker_id)
        self.on_change()

    def _lacks(self, worker: Worker) -> bool:
        """Whether a worker is tracked, and the list doesn't show it."""
        is_tracked = worker.worker_id in self.fleet.workers
        return is_tracked and not worker.is_listed

    def adopt(
        self,
        former: Worker,
        worker_id: WorkerId,
        *,
        now_s: float,
        list_revision: int,
    ) -> None:
        """Track a worker that answers in the place of a former one."""
        if worker_id not in self.fleet.workers:
            listing = replacement_listing(former.listing, worker_id)
            self._add_unlisted(listing, now_s, list_revision)

    def listings(self) -> list[WorkerListing]:
        """Return the latest listing of each worker that the next owner asks."""
        return [
            worker.listing
            for worker in self.fleet.workers.values()
            if not worker.is_left_out
        ]

    def start(self, run: Run) -> bool:
        """Send the start order of a run; return whether its worker is known."""
        link = self.links.get(run.worker_id)
        if link is None or self._nursery is None:
            return False
        link.wake()
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

    def never_answers(self, worker_id: WorkerId) -> bool:
        """Whether a worker has answered no poll by this owner, and won't."""
        link = self.links.get(worker_id)
        if link is None:
            return True
        return link.clock.reading_ms is None and not link.may_be_late

    def remove_gone_workers(self, *, now_s: float) -> None:
        """Remove the workers that are neither listed nor answer any more."""
        for worker in tuple(self.fleet.workers.values()):
            if may_be_forgotten(worker, now_s=now_s):
                self._remove(worker, now_s)
            else:
                self._judge_for_next_owner(worker, now_s)

    def _judge_for_next_owner(self, worker: Worker, now_s: float) -> None:
        is_left_out = not is_worth_handing_over(worker, now_s=now_s)
        if worker.is_left_out != is_left_out:
            worker.is_left_out = is_left_out
            self.on_worker_changed(worker.worker_id)

    def _remove(self, worker: Worker, now_s: float) -> None:
        worker_id = worker.worker_id
        _LOG.info(
            'worker forgotten',
            worker=worker_id,
            born_ms=worker.born_ms,
            silent_s=round(now_s - worker.reported_at_s, 3),
        )
        self.links.pop(worker_id).scope.cancel()
        self.context.idle_polls.workers_count = len(self.links)
        self.fleet.workers.pop(worker_id)
        self._pace_controllers.pop(worker_id)
        self._learners.pop(worker_id)
        self.on_worker_changed(worker_id)

    def _apply_stored(self, key: str, stored: StoredValue) -> bool:
        """Apply a listing; return whether it names a worker.

        An error in one listing must not hide the other workers.
        """
        try:
            listing = self.decode(key, stored.body)
        except Failure as failure:
            _LOG.warning('worker listing not decoded', error=str(failure))
            return False
        try:
            self._apply_listing(listing, stored.mod_revision)
        except Exception:
            log_unexpected(f'listing {key}')
            return False
        return True

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
        self._record_listed(worker, listing)
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
        self.on_worker_changed(worker_id)
        for run in self._runs_placed_at(worker_id):
            worker.add(run)
        link = WorkerLink(worker=worker, owner=self.owner, context=self.context)
        self.links[worker_id] = link
        self.context.idle_polls.workers_count = len(self.links)
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

    def _record_listed(self, worker: Worker, listing: WorkerListing) -> None:
        if not worker.is_listed:
            worker.is_listed = True
            worker.blocked_until_s = 0
            _LOG.info('worker listed', worker=worker.worker_id)
        is_changed = worker.listing != listing
        worker.listing = listing
        if is_changed:
            self.on_worker_changed(worker.worker_id)

    def _mark_unlisted(self, worker_id: WorkerId, now_s: float) -> None:
        worker = self.fleet.workers.get(worker_id)
        if worker is None or not worker.is_listed:
            return
        _LOG.info(
            'worker unlisted',
            worker=worker_id,
            runs=len(worker.runs),
            is_reachable=worker.is_reachable,
        )
        worker.is_listed = False
        worker.unlisted_at_s = now_s

    def _mark_unreadable(self, worker_id: WorkerId) -> None:
        worker = self.fleet.workers.get(worker_id)
        if worker is not None:
            worker.listing = replace(
                worker.listing, state=WorkerState.UNREADABLE
            )
