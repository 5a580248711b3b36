"""The workers of the platform's list, corrected by heartbeats.

A leaving worker reports this in each heartbeat reply, earlier than the list,
which lags. Leaving is final for an incarnation of a worker. The list has no
incarnations, so a new one is assumed when a worker is listed with another URL,
or is listed again after it was missing. Lists with a lower revision than the
latest one are ignored, so that an outdated list can't restore a removed worker.

Example:
    change = worker_table.apply(listing)
    for worker_id in change.removed:
        forget(worker_id)
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from marjoramwharf.ids import WorkerId
from marjoramwharf.links.directory import Listing
from marjoramwharf.machines.worker import Worker, WorkerState


@dataclass(frozen=True, slots=True)
class WorkerTableChange:
    """Workers that a list added, updated and removed."""

    added: tuple[Worker, ...] = ()
    updated: tuple[Worker, ...] = ()
    removed: tuple[WorkerId, ...] = ()


class WorkerTable:
    """The workers of the latest list, with leaving states from heartbeats."""

    def __init__(self) -> None:
        """Start without a list."""
        self._revision = -1
        self._latest_listing: Listing | None = None
        self._workers: dict[WorkerId, Worker] = {}
        # Workers reported as leaving, possibly before the list has them.
        self._leaving: set[WorkerId] = set()

    @property
    def revision(self) -> int:
        """Revision of the latest list, -1 before the first."""
        return self._revision

    def apply(self, listing: Listing) -> WorkerTableChange:
        """Make a list the latest and return what it changed.

        An older list, or the same one again, changes nothing.
        """
        if listing is self._latest_listing or listing.revision < self._revision:
            return WorkerTableChange()
        self._latest_listing = listing
        self._revision = listing.revision
        previous = self._workers
        # A worker with a new URL is a new incarnation, which is not leaving.
        self._leaving.difference_update(
            worker.worker_id
            for worker in listing.instances
            if _has_new_url(previous.get(worker.worker_id), worker)
        )
        self._leaving.update(_leaving_ids(listing.instances))
        self._workers = {
            worker.worker_id: self._apply_leaving(worker)
            for worker in listing.instances
        }
        removed_ids = tuple(previous.keys() - self._workers.keys())
        self._leaving.difference_update(removed_ids)
        return WorkerTableChange(
            added=tuple(
                worker
                for worker_id, worker in self._workers.items()
                if worker_id not in previous
            ),
            updated=tuple(
                worker
                for worker_id, worker in self._workers.items()
                if previous.get(worker_id, worker) != worker
            ),
            removed=tuple(sorted(removed_ids)),
        )

    def mark_leaving(self, worker_id: WorkerId) -> bool:
        """Mark a worker as leaving, perhaps before the list has it.

        Returns whether it was not marked before.
        """
        is_new = worker_id not in self._leaving
        self._leaving.add(worker_id)
        worker = self._workers.get(worker_id)
        if worker is not None:
            self._workers[worker_id] = self._apply_leaving(worker)
        return is_new

    def find(self, worker_id: WorkerId) -> Worker | None:
        """Return a worker of the latest list, or ``None`` if not listed."""
        return self._workers.get(worker_id)

    def known(self) -> tuple[Worker, ...]:
        """Return all workers of the latest list."""
        return tuple(self._workers.values())

    def live(self) -> tuple[Worker, ...]:
        """Return the workers that may receive new work."""
        return tuple(
            worker
            for worker in self._workers.values()
            if worker.state is WorkerState.LIVE
        )

    def _apply_leaving(self, worker: Worker) -> Worker:
        if worker.worker_id in self._leaving:
            return replace(worker, state=WorkerState.LEAVING)
        return worker


def _has_new_url(previous: Worker | None, worker: Worker) -> bool:
    return previous is not None and previous.url != worker.url


def _leaving_ids(workers: Iterable[Worker]) -> set[WorkerId]:
    return {
        worker.worker_id
        for worker in workers
        if worker.state is WorkerState.LEAVING
    }
