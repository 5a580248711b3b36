"""Interface through which the job runner reserves capacity on workers.

A reservation holds the capacity for one task attempt on one worker, under the
epoch of that worker's owner. It is released once the outcome of the attempt is
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
    """A request to reserve capacity for the next attempt of a task.

    ``fence`` is the fencing token that the attempt gets if it starts.
    ``demand`` is the size to reserve: the size that the team declared
    (``declared``; ``None`` if it is the same), corrected by observed usage.
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
    """Capacity reserved for one attempt on a worker."""

    worker_id: WorkerId
    epoch: Epoch
    reservation_id: str


@dataclass(frozen=True, slots=True)
class NoWorkerFound:
    """The answer to a request for which no worker was found.

    ``Reason.NEVER_FITS`` means that no known worker is large enough even when
    it is empty. Every other reason is temporary.
    """

    reason: Reason = Reason.NO_CAPACITY


class CapacityClient(Protocol):
    """Reserves and releases capacity on workers.

    Both methods may raise ``PeerUnreachable``. A reservation whose answer was
    lost is not used; the worker's owner frees it when the worker does not
    report such a task.
    """

    async def reserve(
        self,
        request: ReservationRequest,
    ) -> Reservation | NoWorkerFound:
        """Reserve capacity on a worker that has enough, if there is one."""

    async def release(self, reservation_id: str) -> None:
        """Release a reservation; a repeat has no effect."""
