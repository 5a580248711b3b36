"""Places tasks on workers of this entry and of its peers.

An entry reserves capacity in the allocator of whichever entry owns the worker.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping

from marjoramwharf.batch.capacity import (
    NoWorkerFound,
    Reservation,
    ReservationRequest,
)
from marjoramwharf.batch.placement import (
    NoFit,
    PlacementIndex,
    PlacementRequest,
)
from marjoramwharf.contracts.allocator import (
    AttemptRequest,
    CapacityAllocator,
    Ledgers,
    has_capacity,
    reservation_id,
)
from marjoramwharf.contracts.borrowing import PEER_TIMEOUT_S, PeerCaller
from marjoramwharf.contracts.capacity_handlers import free_millicores
from marjoramwharf.contracts.ledger import WorkerLedger
from marjoramwharf.contracts.reservations import AttemptKey
from marjoramwharf.errors import PeerRefused, PeerUnreachable, Reason
from marjoramwharf.ids import EntryId, Epoch, RackId, TaskId, WorkerId
from marjoramwharf.links.peer_messages import Message
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.machines.calls import Demand
from marjoramwharf.machines.worker import Worker

# The index lags behind the ledgers by up to one heartbeat, so a choice can be
# outdated; each failed try corrects the index for one worker.
_MAX_TRIES_COUNT = 4
_CORDON_S = 1.0

# How many owners are asked for one task before it waits for the next round.
_MAX_OWNERS_ASKED_COUNT = 3


class IndexedWorkerSelector:
    """Selects an owned worker for a task with a placement index.

    ``get_reserved_demand`` returns what a worker keeps free for its services.
    """

    def __init__(
        self,
        get_reserved_demand: Callable[[Worker], Demand],
        *,
        seed: int,
    ) -> None:
        """Start without workers."""
        self._get_reserved_demand = get_reserved_demand
        self._index = PlacementIndex(_no_penalty, seed=seed)

    def choose(
        self,
        ledgers: Ledgers,
        attempt_request: AttemptRequest,
        now_s: float,
    ) -> WorkerLedger | None:
        """Return the ledger of a worker with capacity, or ``None``.

        The cost does not depend on the number of workers.
        """
        placement_request = PlacementRequest(
            task_id=attempt_request.task_id,
            job=_get_job_id(attempt_request.task_id),
            demand=attempt_request.demand,
            task_class=attempt_request.task_class,
            avoid_racks=frozenset(map(RackId, attempt_request.avoid_racks)),
            avoid_workers=attempt_request.avoid_workers,
        )
        for _ in range(_MAX_TRIES_COUNT):
            found = self._index.place(placement_request, now_s)
            if isinstance(found, NoFit):
                return None
            ledger = ledgers.get(found)
            if ledger is None:
                self._index.remove(found)
            elif has_capacity(ledger, attempt_request, now_s):
                return ledger
            else:
                self.update_index(ledger)
                self._index.exclude(found, now_s + _CORDON_S)
        return None

    def update_index(self, ledger: WorkerLedger) -> None:
        """Copy the reservations of a ledger after its worker has reported."""
        worker = ledger.worker
        if ledger.leaving:
            self._index.remove(worker.worker_id)
            return
        self._index.add(worker, self._get_reserved_demand(worker))
        for attempt, demand in ledger.reservations.demands().items():
            task_id = attempt[0]
            self._index.hold(
                worker.worker_id,
                task_id,
                demand,
                _get_job_id(task_id),
            )

    def on_released(self, worker_id: WorkerId, attempt: AttemptKey) -> None:
        """Free the capacity of an attempt in the index."""
        self._index.free(worker_id, attempt[0])


class EntryCapacity:
    """Reserves capacity in this entry's allocator and at peers.

    ``owner_of`` returns the owner of a worker, ``sizes`` the distinct sizes
    of all listed workers.
    """

    def __init__(
        self,
        entry_id: EntryId,
        allocator: CapacityAllocator,
        *,
        peers: Callable[[], Mapping[EntryId, PeerCaller]],
        owner_of: Callable[[WorkerId], EntryId | None],
        sizes: Callable[[], Collection[Demand]],
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        """Start without the free processors of this entry and its peers."""
        self._entry_id = entry_id
        self._allocator = allocator
        self._peers = peers
        self._owner_of = owner_of
        self._sizes = sizes
        self._rng = rng
        self._now = now
        self._free_millicores: dict[EntryId, int] = {}

    def update_own_capacity(self) -> None:
        """Update the number of free processors of the owned workers."""
        self._free_millicores[self._entry_id] = free_millicores(self._allocator)

    def on_peer_summary(self, sender: EntryId, summary: Message) -> None:
        """Store the number of free processors that a peer reports."""
        self._free_millicores[sender] = summary.free_millicores or 0

    async def reserve(
        self, request: ReservationRequest
    ) -> Reservation | NoWorkerFound:
        """Reserve capacity at one of a few randomly drawn owners.

        An owner is drawn with a probability in proportion to its free
        processors. An owner whose answer was lost frees the reservation after
        the worker has confirmed that the attempt never ran.
        """
        if not self.can_hold(request.demand):
            return NoWorkerFound(Reason.NEVER_FITS)
        peers = self._peers()
        for owner in self._draw_owners(request.demand, peers):
            found = await self._try_reserve(owner, peers.get(owner), request)
            if found is not None:
                self._free_millicores[owner] -= request.demand.cpu_millicores
                return found
            # Until its next summary, this owner is not asked again for tasks
            # of this size.
            self._free_millicores[owner] = min(
                self._free_millicores[owner],
                request.demand.cpu_millicores - 1,
            )
        return NoWorkerFound()

    async def release(self, reservation: str) -> None:
        """Release a reservation at the owner of the worker."""
        worker_id = WorkerId(reservation.rpartition('@')[2])
        owner = self._owner_of(worker_id)
        if owner == self._entry_id:
            self._allocator.release(reservation)
            return
        peer = None if owner is None else self._peers().get(owner)
        if peer is None:
            raise PeerUnreachable(
                message='the owner of the worker is not connected'
            )
        release = ttypes.Release(reservation_id=reservation)
        await peer.call(release, timeout_s=PEER_TIMEOUT_S)

    def can_hold(self, demand: Demand) -> bool:
        """Tell whether a listed worker is large enough, or none is listed."""
        sizes = self._sizes()
        return not sizes or any(_fits(demand, size) for size in sizes)

    def _draw_owners(
        self,
        demand: Demand,
        peers: Mapping[EntryId, PeerCaller],
    ) -> list[EntryId]:
        weights = {
            owner: free
            for owner, free in self._free_millicores.items()
            if free >= demand.cpu_millicores
            and (owner == self._entry_id or owner in peers)
        }
        # Weighted sampling without replacement (Efraimidis and Spirakis).
        owners = sorted(
            weights,
            key=lambda owner: self._rng.random() ** (1 / weights[owner]),
            reverse=True,
        )
        return owners[:_MAX_OWNERS_ASKED_COUNT]

    async def _try_reserve(
        self,
        owner: EntryId,
        peer: PeerCaller | None,
        request: ReservationRequest,
    ) -> Reservation | None:
        try:
            if peer is None:
                return self._reserve_locally(request)
            return await _reserve_at(peer, request)
        except (PeerRefused, PeerUnreachable):
            return None

    def _reserve_locally(self, request: ReservationRequest) -> Reservation:
        attempt_request = AttemptRequest(
            task_id=request.task_id,
            fence=request.fence,
            demand=request.demand,
            task_class=request.task_class,
            priority=int(request.priority),
            avoid_workers=request.avoid_workers,
            declared=request.declared,
        )
        ledger = self._allocator.reserve(attempt_request, self._now())
        worker_id = ledger.worker.worker_id
        return Reservation(
            worker_id,
            ledger.epoch,
            reservation_id(attempt_request, worker_id),
        )


async def _reserve_at(
    peer: PeerCaller, request: ReservationRequest
) -> Reservation:
    reply = await peer.call(
        ttypes.Reserve(
            task_id=request.task_id,
            attempt=request.fence[1],
            demand=demand_message(request.demand),
            task_class=request.task_class,
            priority=int(request.priority),
            avoid_racks=[],
            avoid_workers=sorted(request.avoid_workers),
            shard_epoch=request.fence[0],
            declared=demand_message(request.declared or request.demand),
        ),
        timeout_s=PEER_TIMEOUT_S,
    )
    return Reservation(
        WorkerId(reply.worker_id),
        Epoch(reply.epoch),
        reply.reservation_id,
    )


def demand_message(demand: Demand) -> Message:
    """Encode a demand as a message."""
    return ttypes.Demand(
        cpu_millicores=demand.cpu_millicores,
        memory_mb=demand.memory_mb,
        accelerators_count=demand.accelerators_count,
    )


def _fits(demand: Demand, size: Demand) -> bool:
    return (
        demand.cpu_millicores <= size.cpu_millicores
        and demand.memory_mb <= size.memory_mb
        and demand.accelerators_count <= size.accelerators_count
    )


def _get_job_id(task_id: TaskId) -> str:
    return task_id.rpartition('.')[0]


def _no_penalty(_worker: WorkerId, _task_class: str, _now_s: float) -> float:
    return 0
