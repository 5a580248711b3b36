"""The known workers: the platform's list, corrected by heartbeats.

A worker that leaves says so in each heartbeat reply, before the lagging list
does. Leaving is final for an incarnation of a worker. The list has no
incarnations, so a new one is taken to begin when the worker is listed with
another URL, or disappears from the list and is listed again later. Lists with
a lower revision than the latest one are ignored; a list from before the worker
was removed can therefore not bring it back.

Example:
    change = roster.apply(listing)
    for worker_id in change.gone:
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
    """What a list changed: new, altered and removed workers."""

    added: tuple[Worker, ...] = ()
    updated: tuple[Worker, ...] = ()
    removed: tuple[WorkerId, ...] = ()


class WorkerTable:
    """The workers of the latest list, with what heartbeats said since."""

    def __init__(self) -> None:
        """Start without a list."""
        self._revision = -1
        self._latest: Listing | None = None
        self._known: dict[WorkerId, Worker] = {}
        # Workers reported as leaving, also before the list has them.
        self._leaving: set[WorkerId] = set()

    @property
    def revision(self) -> int:
        """Revision of the latest list, -1 before the first."""
        return self._revision

    def apply(self, listing: Listing) -> WorkerTableChange:
        """Take over a list, unless it is older than the latest."""
        if listing is self._latest or listing.revision < self._revision:
            return WorkerTableChange()
        self._latest = listing
        self._revision = listing.revision
        former = self._known
        self._leaving.difference_update(
            worker.worker_id
            for worker in listing.instances
            if _has_moved(former.get(worker.worker_id), worker)
        )
        self._leaving.update(_leaving_ids(listing.instances))
        self._known = {
            worker.worker_id: self._corrected(worker)
            for worker in listing.instances
        }
        gone = tuple(former.keys() - self._known.keys())
        self._leaving.difference_update(gone)
        return WorkerTableChange(
            added=tuple(
                worker
                for worker_id, worker in self._known.items()
                if worker_id not in former
            ),
            updated=tuple(
                worker
                for worker_id, worker in self._known.items()
                if former.get(worker_id, worker) != worker
            ),
            removed=tuple(sorted(gone)),
        )

    def mark_leaving(self, worker_id: WorkerId) -> bool:
        """Note a leaving state from a heartbeat, a refusal or a peer.

        Returns whether it is new.
        """
        is_new = worker_id not in self._leaving
        self._leaving.add(worker_id)
        worker = self._known.get(worker_id)
        if worker is not None:
            self._known[worker_id] = self._corrected(worker)
        return is_new

    def find(self, worker_id: WorkerId) -> Worker | None:
        """Return a worker of the latest list."""
        return self._known.get(worker_id)

    def known(self) -> tuple[Worker, ...]:
        """Return all workers of the latest list."""
        return tuple(self._known.values())

    def live(self) -> tuple[Worker, ...]:
        """Return the workers that may receive new work."""
        return tuple(
            worker
            for worker in self._known.values()
            if worker.state is WorkerState.LIVE
        )

    def _corrected(self, worker: Worker) -> Worker:
        if worker.worker_id in self._leaving:
            return replace(worker, state=WorkerState.LEAVING)
        return worker


def _has_moved(former: Worker | None, worker: Worker) -> bool:
    return former is not None and former.url != worker.url


def _leaving_ids(workers: Iterable[Worker]) -> set[WorkerId]:
    return {
        worker.worker_id
        for worker in workers
        if worker.state is WorkerState.LEAVING
    }
