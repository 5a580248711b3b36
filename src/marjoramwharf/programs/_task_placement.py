"""Chooses workers for tasks, at this entry's desk and at the peers'."""

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

# The index follows the ledgers with a delay of one heartbeat, so a choice
# can be outdated; each try corrects one worker's entry.
_TRIES_COUNT = 4
_CLOSED_S = 1.0

# Owners asked for one task before it waits for the next round.
_OWNERS_ASKED_COUNT = 3


class IndexedChoice:
    """Chooses an owned worker for a task with a placement index.

    ``reserved_of`` returns what is kept free on a worker for its services.
    """

    def __init__(
        self,
        reserved_of: Callable[[Worker], Demand],
        *,
        seed: int,
    ) -> None:
        """Start without workers."""
        self._reserved_of = reserved_of
        self._index = PlacementIndex(_no_penalty, seed=seed)

    def choose(
        self,
        ledgers: Ledgers,
        placement: AttemptRequest,
        now_s: float,
    ) -> WorkerLedger | None:
        """Return a worker with room; the cost is independent of their number."""
        request = PlacementRequest(
            task_id=placement.task_id,
            job=_job_of(placement.task_id),
            demand=placement.demand,
            task_class=placement.task_class,
            avoid_racks=frozenset(map(RackId, placement.avoid_racks)),
            avoid_workers=placement.avoid_workers,
        )
        for _ in range(_TRIES_COUNT):
            found = self._index.place(request, now_s)
            if isinstance(found, NoFit):
                return None
            ledger = ledgers.get(found)
            if ledger is None:
                self._index.remove(found)
            elif has_capacity(ledger, placement, now_s):
                return ledger
            else:
                self.follow(ledger)
                self._index.exclude(found, now_s + _CLOSED_S)
        return None

    def follow(self, ledger: WorkerLedger) -> None:
        """Take over what a ledger holds, after a report of its worker."""
        worker = ledger.worker
        if ledger.leaving:
            self._index.remove(worker.worker_id)
            return
        self._index.add(worker, self._reserved_of(worker))
        for attempt, demand in ledger.reservations.demands().items():
            task_id = attempt[0]
            self._index.hold(
                worker.worker_id,
                task_id,
                demand,
                _job_of(task_id),
            )

    def released(self, worker_id: WorkerId, attempt: AttemptKey) -> None:
        """Free the room of an attempt."""
        self._index.free(worker_id, attempt[0])


class EntryCapacity:
    """Reservations at this entry's desk and at peers.

    ``owner_of`` names the owner of a worker, ``sizes`` returns the distinct
    sizes of all known workers.
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
        """Start without knowledge of the peers' free processors."""
        self._entry_id = entry_id
        self._allocator = allocator
        self._peers = peers
        self._owner_of = owner_of
        self._sizes = sizes
        self._rng = rng
        self._now = now
        self._free_millicores: dict[EntryId, int] = {}

    def count_own(self) -> None:
        """Take over the free processors of the own workers."""
        self._free_millicores[self._entry_id] = free_millicores(self._allocator)

    def summary_received(self, sender: EntryId, news: Message) -> None:
        """Take over the free processors of a peer's workers."""
        self._free_millicores[sender] = news.free_millicores or 0

    async def reserve(
        self, ask: ReservationRequest
    ) -> Reservation | NoWorkerFound:
        """Ask a few owners, at random in proportion to what is free there.

        An owner whose answer was lost frees the reservation after the worker
        has confirmed that the attempt never ran.
        """
        if not self.can_hold(ask.demand):
            return NoWorkerFound(Reason.NEVER_FITS)
        peers = self._peers()
        for owner in self._owners(ask.demand, peers):
            found = await self._ask(owner, peers.get(owner), ask)
            if found is not None:
                self._free_millicores[owner] -= ask.demand.cpu_millicores
                return found
            # Until its next summary, this owner is not asked again for tasks
            # of this size.
            self._free_millicores[owner] = min(
                self._free_millicores[owner],
                ask.demand.cpu_millicores - 1,
            )
        return NoWorkerFound()

    async def release(self, reservation: str) -> None:
        """Give room back at the owner of the worker."""
        worker_id = WorkerId(reservation.rpartition('@')[2])
        owner = self._owner_of(worker_id)
        if owner == self._entry_id:
            self._allocator.release(reservation)
            return
        peer = None if owner is None else self._peers().get(owner)
        if peer is None:
            raise PeerUnreachable(message='the owner is not connected')
        release = ttypes.Release(reservation_id=reservation)
        await peer.call(release, timeout_s=PEER_TIMEOUT_S)

    def can_hold(self, demand: Demand) -> bool:
        """Tell whether a known worker is large enough, or none is known."""
        sizes = self._sizes()
        return not sizes or any(_fits(demand, size) for size in sizes)

    def _owners(
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
        drawn = sorted(
            weights,
            key=lambda owner: self._rng.random() ** (1 / weights[owner]),
            reverse=True,
        )
        return drawn[:_OWNERS_ASKED_COUNT]

    async def _ask(
        self,
        owner: EntryId,
        peer: PeerCaller | None,
        ask: ReservationRequest,
    ) -> Reservation | None:
        try:
            if peer is None:
                return self._reserve_here(ask)
            return await _reserve_at(peer, ask)
        except (PeerRefused, PeerUnreachable):
            return None

    def _reserve_here(self, ask: ReservationRequest) -> Reservation:
        placement = AttemptRequest(
            task_id=ask.task_id,
            fence=ask.fence,
            demand=ask.demand,
            task_class=ask.task_class,
            priority=int(ask.priority),
            avoid_workers=ask.avoid_workers,
            declared=ask.declared,
        )
        ledger = self._allocator.reserve(placement, self._now())
        worker_id = ledger.worker.worker_id
        return Reservation(
            worker_id,
            ledger.epoch,
            reservation_id(placement, worker_id),
        )


async def _reserve_at(peer: PeerCaller, ask: ReservationRequest) -> Reservation:
    reply = await peer.call(
        ttypes.Reserve(
            task_id=ask.task_id,
            attempt=ask.fence[1],
            demand=demand_message(ask.demand),
            task_class=ask.task_class,
            priority=int(ask.priority),
            avoid_racks=[],
            avoid_workers=sorted(ask.avoid_workers),
            shard_epoch=ask.fence[0],
            declared=demand_message(ask.declared or ask.demand),
        ),
        timeout_s=PEER_TIMEOUT_S,
    )
    return Reservation(
        WorkerId(reply.worker_id),
        Epoch(reply.epoch),
        reply.reservation_id,
    )


def demand_message(demand: Demand) -> Message:
    """Return the message that states a size."""
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


def _job_of(task_id: TaskId) -> str:
    return task_id.rpartition('.')[0]


def _no_penalty(_worker: WorkerId, _task_class: str, _now_s: float) -> float:
    return 0
