"""What the job runner needs of the owners of workers.

A reservation keeps the size of one task attempt free on one worker, under the
epoch of that worker's owner. It is released when the outcome of the attempt is
durable.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from marjoramwharf.batch.job import JobPriority
from marjoramwharf.errors import Reason
from marjoramwharf.ids import Epoch, TaskId, WorkerId
from marjoramwharf.machines.calls import Demand


@dataclass(frozen=True, slots=True)
class ReservationRequest:
    """A task that needs a worker.

    ``fence`` is the fence of the attempt if it starts. ``declared`` is the
    size that the team stated, ``demand`` the size to reserve.
    """

    task_id: TaskId
    fence: tuple[int, int]
    demand: Demand
    task_class: str
    priority: JobPriority
    avoid_workers: frozenset[WorkerId] = frozenset()
    declared: Demand | None = None


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room for one attempt on a worker."""

    worker_id: WorkerId
    epoch: Epoch
    reservation_id: str


@dataclass(frozen=True, slots=True)
class NoWorkerFound:
    """No worker was found.

    ``Reason.NEVER_FITS`` says that no known worker is large enough, even when
    it is empty; every other reason is temporary.
    """

    reason: Reason = Reason.NO_CAPACITY


class CapacityClient(Protocol):
    """Reservations of worker capacity.

    Both methods may raise ``PeerUnreachable``. A reservation whose answer was
    lost is not used; its owner frees it when the worker reports no such task.
    """

    async def reserve(self, ask: ReservationRequest) -> Reservation | NoWorkerFound:
        """Find a worker and keep room for a task."""

    async def release(self, reservation_id: str) -> None:
        """Give room back; a repeat has no effect."""
