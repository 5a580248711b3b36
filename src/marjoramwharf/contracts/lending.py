"""Management of the worker capacity that an entry owns, lends and borrows."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping

import trio

from marjoramwharf.contracts.allocator import CapacityAllocator
from marjoramwharf.contracts.borrowing import Borrower, PeerCaller, call_peer
from marjoramwharf.contracts.capacity_handlers import (
    CapacityHandlers,
    summary_message,
)
from marjoramwharf.contracts.heartbeats import Heartbeats
from marjoramwharf.contracts.ledger import WorkerLedger
from marjoramwharf.contracts.ownership import shard_of
from marjoramwharf.contracts.permit_pool import PermitPool
from marjoramwharf.contracts.permits import Permit
from marjoramwharf.ids import EntryId, Epoch, ServiceId, ShardId, WorkerId
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.peer_server import Handler
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.machines.calls import WorkerAgent, WorkerRefusal
from marjoramwharf.machines.worker import Worker, WorkerState
from marjoramwharf.settings import CapacitySettings

# Backoff after a refill that brought no grant; it doubles with each failure.
_REFILL_BACKOFF_S = 0.05
_MAX_REFILL_BACKOFF_S = 0.4

# Permits that were not needed for this long go back to their owners, so that
# an entry with a burst of requests gets them with one message.
_SURPLUS_INTERVAL_S = 0.2
_MIN_FREE_PERMITS_COUNT = 2


def assign_workers(
    capacity_manager: CapacityManager,
    listed: Mapping[WorkerId, Worker],
    owned: Mapping[ShardId, Epoch],
    settings: CapacitySettings,
    now_s: float,
) -> frozenset[ShardId]:
    """Own the listed workers of the owned shards and disown the others.

    The list lags, so a worker that is missing from it is kept while it
    answers heartbeats. Returns the shards that must advance to a new epoch,
    since one of their workers came back after it was disowned.
    """
    _disown_missing(capacity_manager, listed, owned, settings, now_s)
    outdated_shards = set()
    for worker_id, worker in listed.items():
        shard = shard_of(worker_id, settings.shard_count)
        epoch = owned.get(shard)
        if epoch is not None:
            capacity_manager.own(worker, epoch)
            if worker_id not in capacity_manager.allocator.ledgers:
                outdated_shards.add(shard)
        if worker.state is WorkerState.LEAVING:
            capacity_manager.mark_leaving(worker_id)
    return frozenset(outdated_shards)


def _disown_missing(
    capacity_manager: CapacityManager,
    listed: Collection[WorkerId],
    owned: Collection[ShardId],
    settings: CapacitySettings,
    now_s: float,
) -> None:
    for worker_id, ledger in tuple(capacity_manager.allocator.ledgers.items()):
        silent_ms = (now_s - ledger.reported_at_s) * 1000
        is_silent = silent_ms >= settings.worker_lease_ms
        is_owned = shard_of(worker_id, settings.shard_count) in owned
        if not is_owned or (is_silent and worker_id not in listed):
            capacity_manager.disown(worker_id)


def find_silent_shards(
    answered_s: Mapping[WorkerId, float],
    shard_count: int,
    *,
    silent_s: float,
    now_s: float,
) -> frozenset[ShardId]:
    """Return the shards of which no worker has answered for ``silent_s``.

    ``answered_s`` has the time of the latest answer of each owned worker, or
    that from which it was owned.
    """
    silent: set[ShardId] = set()
    answering: set[ShardId] = set()
    for worker_id, latest_s in answered_s.items():
        is_silent = now_s - latest_s >= silent_s
        found = silent if is_silent else answering
        found.add(shard_of(worker_id, shard_count))
    return frozenset(silent - answering)


def _ignore_refill(_service: ServiceId) -> None:
    """Do nothing; the default callback for ended refills."""


class CapacityManager:
    """Manages the ledgers of the owned workers and the entry's permit pool.

    ``get_agent`` returns the client of a worker's agent, ``now`` the present
    time in monotonic seconds. Set ``heartbeats.on_lease`` and
    ``heartbeats.on_superseded`` to follow the replies of the workers, and
    ``borrower.close_connections`` to close idle connections to a worker.
    ``run`` must be running before a worker is owned.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        settings: CapacitySettings,
        permit_pool: PermitPool,
        *,
        allocator: CapacityAllocator,
        get_agent: Callable[[WorkerId], WorkerAgent],
        peers: Callable[[], Mapping[EntryId, PeerCaller]],
        rng: random.Random,
        now: Callable[[], float] = trio.current_time,
    ) -> None:
        """Start without workers."""
        self.allocator = allocator
        self.permit_pool = permit_pool
        self._identity = identity
        self._settings = settings
        self.heartbeats = Heartbeats(allocator, settings, get_agent, now)
        self.heartbeats.on_leaving = self._notify_borrowers
        self._peers = peers
        self._rng = rng
        self._now = now
        self._nursery: trio.Nursery | None = None
        self._last_epochs: dict[WorkerId, Epoch] = {}
        self._refills: dict[ServiceId, trio.Event] = {}
        self._refill_backoff_s = _REFILL_BACKOFF_S
        self.on_refilled: Callable[[ServiceId], None] = _ignore_refill
        self.borrower = Borrower(
            identity, permit_pool, allocator, peers=peers, now=now
        )

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Send heartbeats and summaries and renew grants until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._renew_grants_forever)
            nursery.start_soon(self._send_summaries_forever)
            nursery.start_soon(self._return_surplus_forever)
            task_status.started()

    def own(self, worker: Worker, epoch: Epoch) -> None:
        """Start to own a worker; nothing is lent before it is fenced.

        An epoch serves one ledger only: a second ledger would issue the same
        grant ids again and not know what the first has lent. A worker that
        was disowned therefore needs a higher epoch; a lower or equal one is
        ignored.
        """
        former_epoch = self._last_epochs.get(worker.worker_id, Epoch(0))
        if self._nursery is None or former_epoch >= epoch:
            return
        self._last_epochs[worker.worker_id] = epoch
        ledger = WorkerLedger(
            worker,
            epoch,
            grant_ttl_s=self._settings.grant_ttl_ms / 1000,
            connections_per_session=self._settings.connections_per_session,
        )
        self.allocator.ledgers[worker.worker_id] = ledger
        self._nursery.start_soon(self.heartbeats.run, ledger)

    def disown(self, worker_id: WorkerId) -> None:
        """Stop owning a worker; its heartbeats and grants end."""
        self.allocator.ledgers.pop(worker_id, None)

    def mark_leaving(self, worker_id: WorkerId) -> None:
        """Stop using a worker that is leaving, and notify its borrowers."""
        self.borrower.drop_worker(worker_id)
        ledger = self.allocator.ledgers.get(worker_id)
        if ledger is not None and not ledger.leaving:
            ledger.leaving = True
            self._notify_borrowers(ledger)

    def refused(self, permit: Permit, refusal: WorkerRefusal) -> None:
        """Put back the permit of a refused call; drop what can't be used.

        The worker's grants are dropped if it is leaving, the permit's grant
        if its epoch is stale or it was revoked.
        """
        self.permit_pool.put_back(permit, self._now())
        if refusal is WorkerRefusal.LEAVING:
            self.mark_leaving(permit.worker_id)
        elif refusal in {
            WorkerRefusal.STALE_EPOCH,
            WorkerRefusal.REVOKED_GRANT,
        }:
            self.borrower.drop_grants([permit.grant_id])

    async def acquire(
        self, service: ServiceId, excluded: Collection[WorkerId], now_s: float
    ) -> Permit | None:
        """Take a permit of a worker that runs the service.

        It comes from the permit pool, else from the own ledgers, else from
        peers. ``None`` means that nothing was free; the caller decides
        whether to wait and ask again.
        """
        permit = self._take_permit(service, excluded, now_s)
        if permit is None:
            self.borrower.borrow_locally(service, excluded, now_s)
            permit = self._take_permit(service, excluded, now_s)
        if permit is not None:
            # The last free permit was taken: borrow before a request waits.
            # A higher threshold would let one caller collect all free slots.
            if not self.permit_pool.available_workers.count(service):
                self._start_refill(service)
            return permit
        refill_done = self._start_refill(service)
        if refill_done is None:
            return None
        await refill_done.wait()
        return self._take_permit(service, excluded, self._now())

    def refill(
        self, service: ServiceId, excluded: Collection[WorkerId], now_s: float
    ) -> bool:
        """Refill the permit pool from the own ledgers, or start to borrow.

        Returns whether the pool now has a free permit of a worker that is
        not excluded. ``on_refilled`` is called when the borrowing has ended.
        """
        self.borrower.borrow_locally(service, excluded, now_s)
        candidates = self.permit_pool.candidates(service, now_s, rng=self._rng)
        if any(worker_id not in excluded for worker_id in candidates):
            return True
        self._start_refill(service)
        return False

    def borrow_ahead(self, service: ServiceId, now_s: float) -> None:
        """Borrow before requests need it, if too few permits are free."""
        if self.permit_pool.free_count >= _MIN_FREE_PERMITS_COUNT:
            return
        self.borrower.borrow_locally(service, (), now_s)
        if self.permit_pool.free_count < _MIN_FREE_PERMITS_COUNT:
            self._start_refill(service)

    async def stop(self) -> None:
        """Return all free permits and announce a planned stop to the peers."""
        await self.borrower.return_idle(idle_after_s=0)
        leaving = ttypes.Leaving(entry_id=self._identity.entry_id)
        await self._broadcast(leaving)

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers of the capacity messages for the peer server."""
        return CapacityHandlers(
            self.allocator, self.borrower, now=self._now
        ).handlers()

    def _take_permit(
        self, service: ServiceId, excluded: Collection[WorkerId], now_s: float
    ) -> Permit | None:
        return self.permit_pool.take_random(
            service, now_s, rng=self._rng, excluded=excluded
        )

    def _start_refill(self, service: ServiceId) -> trio.Event | None:
        """Start a refill if the service has none; return its end event."""
        if self._nursery is None:
            return None
        refill_done = self._refills.get(service)
        if refill_done is None:
            refill_done = trio.Event()
            self._refills[service] = refill_done
            self._nursery.start_soon(self._borrow_once, service, refill_done)
        return refill_done

    async def _borrow_once(
        self, service: ServiceId, refill_done: trio.Event
    ) -> None:
        """Borrow once; the service gets no other refill during the backoff."""
        self.borrower.borrow_locally(service, (), self._now())
        has_borrowed = await self.borrower.borrow(service)
        refill_done.set()
        self.on_refilled(service)
        if has_borrowed:
            self._refill_backoff_s = _REFILL_BACKOFF_S
        else:
            await trio.sleep(self._refill_backoff_s)
            doubled_s = 2 * self._refill_backoff_s
            self._refill_backoff_s = min(doubled_s, _MAX_REFILL_BACKOFF_S)
        self._refills.pop(service)

    async def _renew_grants_forever(self) -> None:
        """Renew the grants in use and return the idle ones."""
        while True:
            due_at = trio.current_time() + self._settings.heartbeat_ms / 1000
            await self.borrower.return_idle(
                idle_after_s=self._settings.grant_ttl_ms / 1000
            )
            await self.borrower.renew()
            await trio.sleep_until(due_at)

    async def _return_surplus_forever(self) -> None:
        """Return the permits that were not needed since the last interval."""
        while True:
            await trio.sleep(_SURPLUS_INTERVAL_S)
            await self.borrower.return_surplus(
                min_free_count=_MIN_FREE_PERMITS_COUNT
            )

    async def _send_summaries_forever(self) -> None:
        """Send the free slots of the owned workers to all peers."""
        while True:
            due_at = trio.current_time() + self._settings.heartbeat_ms / 1000
            await self._broadcast(
                summary_message(self._identity, self.allocator)
            )
            await trio.sleep_until(due_at)

    def _notify_borrowers(self, ledger: WorkerLedger) -> None:
        self.borrower.drop_worker(ledger.worker.worker_id)
        peers = self._peers()
        for entry_id, grant_ids in ledger.grants_by_borrower().items():
            peer = peers.get(entry_id)
            if peer is not None and self._nursery is not None:
                revoke = ttypes.Revoke(grant_ids=grant_ids, worker_leaving=True)
                self._nursery.start_soon(call_peer, peer, revoke)

    async def _broadcast(self, message: Message) -> None:
        async with trio.open_nursery() as nursery:
            for peer in self._peers().values():
                nursery.start_soon(call_peer, peer, message)
