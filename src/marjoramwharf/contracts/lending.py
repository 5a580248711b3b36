"""The tasks of one entry that own, lend and borrow worker capacity."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping

import trio

from marjoramwharf.contracts.borrowing import (
    Borrower,
    PeerCaller,
    call_peer,
)
from marjoramwharf.contracts.desk import OwnerDesk
from marjoramwharf.contracts.heartbeats import Heartbeats
from marjoramwharf.contracts.ledger import WorkerLedger
from marjoramwharf.contracts.ownership import shard_of
from marjoramwharf.contracts.peer_desk import PeerDesk, summary_message
from marjoramwharf.contracts.permits import Permit
from marjoramwharf.contracts.wallet import Wallet
from marjoramwharf.ids import EntryId, Epoch, ServiceId, ShardId, WorkerId
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.peer_server import Handler
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.machines.calls import WorkerAgent, WorkerRefusal
from marjoramwharf.machines.worker import Worker, WorkerState
from marjoramwharf.settings import CapacitySettings

# After a supply that brought nothing, peers are left alone for this long.
_SUPPLY_PAUSE_S = 0.05
_MAX_SUPPLY_PAUSE_S = 0.4

# Permits that nobody needed for this long go back to their owners, so that
# another entry's burst finds them with one message.
_SURPLUS_S = 0.2
_RESERVE_COUNT = 2


def assign_workers(
    keeper: CapacityKeeper,
    listed: Mapping[WorkerId, Worker],
    owned: Mapping[ShardId, Epoch],
    settings: CapacitySettings,
    now_s: float,
) -> frozenset[ShardId]:
    """Own the listed workers of the owned shards and disown the others.

    A worker that is missing from the lagging list is kept while it answers
    heartbeats. Returns the shards that must advance to a new epoch, since a
    worker of theirs came back after it was disowned.
    """
    _disown_lost(keeper, listed, owned, settings, now_s)
    waiting = set()
    for worker_id, worker in listed.items():
        shard = shard_of(worker_id, settings.shard_count)
        epoch = owned.get(shard)
        if epoch is not None:
            keeper.own(worker, epoch)
            if worker_id not in keeper.desk.ledgers:
                waiting.add(shard)
        if worker.state is WorkerState.LEAVING:
            keeper.mark_leaving(worker_id)
    return frozenset(waiting)


def _disown_lost(
    keeper: CapacityKeeper,
    listed: Collection[WorkerId],
    owned: Collection[ShardId],
    settings: CapacitySettings,
    now_s: float,
) -> None:
    for worker_id, ledger in tuple(keeper.desk.ledgers.items()):
        silent_ms = (now_s - ledger.reported_at_s) * 1000
        is_silent = silent_ms >= settings.worker_lease_ms
        is_owned = shard_of(worker_id, settings.shard_count) in owned
        if not is_owned or (is_silent and worker_id not in listed):
            keeper.disown(worker_id)


def _ignore_supply(_service: ServiceId) -> None:
    """Do nothing; the default where nobody waits for permits."""


class CapacityKeeper:
    """Ledgers of the owned workers and the wallet of one entry.

    ``get_agent`` returns the agent of a worker, ``now`` the present in
    monotonic seconds. Set ``heartbeats.on_lease`` and
    ``heartbeats.on_superseded`` to follow the replies of the workers, and
    ``borrower.close_connections`` to close idle connections to a worker.
    ``run`` must run before a worker is owned.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        settings: CapacitySettings,
        wallet: Wallet,
        *,
        desk: OwnerDesk,
        get_agent: Callable[[WorkerId], WorkerAgent],
        peers: Callable[[], Mapping[EntryId, PeerCaller]],
        rng: random.Random,
        now: Callable[[], float] = trio.current_time,
    ) -> None:
        """Start without workers."""
        self.desk = desk
        self.wallet = wallet
        self._identity = identity
        self._settings = settings
        self.heartbeats = Heartbeats(desk, settings, get_agent, now)
        self.heartbeats.on_leaving = self._tell_leaving
        self._peers = peers
        self._rng = rng
        self._now = now
        self._nursery: trio.Nursery | None = None
        self._last_epochs: dict[WorkerId, Epoch] = {}
        self._supplies: dict[ServiceId, trio.Event] = {}
        self._supply_pause_s = _SUPPLY_PAUSE_S
        self.on_supplied: Callable[[ServiceId], None] = _ignore_supply
        self.borrower = Borrower(
            identity,
            wallet,
            desk,
            peers=peers,
            now=now,
        )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Heartbeat the owned workers and keep the grants until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._keep_grants)
            nursery.start_soon(self._summarise)
            nursery.start_soon(self._return_surplus)
            task_status.started()

    def own(self, worker: Worker, epoch: Epoch) -> None:
        """Begin to own a worker; nothing is lent before it is fenced.

        An epoch serves one ledger only: a second one would give out the same
        grant ids again and forget what the first has lent. A worker that was
        disowned therefore needs a higher epoch.
        """
        former_epoch = self._last_epochs.get(worker.worker_id, Epoch(0))
        if self._nursery is None or former_epoch >= epoch:
            return
        self._last_epochs[worker.worker_id] = epoch
        ledger = WorkerLedger(
            worker,
            epoch,
            grant_ttl_s=self._settings.grant_ttl_ms / 1000,
            session_size=self._settings.connections_per_session,
        )
        self.desk.ledgers[worker.worker_id] = ledger
        self._nursery.start_soon(self.heartbeats.keep, ledger)

    def disown(self, worker_id: WorkerId) -> None:
        """Stop owning a worker; its heartbeats and loans end."""
        self.desk.ledgers.pop(worker_id, None)

    def mark_leaving(self, worker_id: WorkerId) -> None:
        """Stop the use of a worker that is leaving, and tell the borrowers."""
        self.borrower.drop_worker(worker_id)
        ledger = self.desk.ledgers.get(worker_id)
        if ledger is not None and not ledger.leaving:
            ledger.leaving = True
            self._tell_leaving(ledger)

    def refused(self, permit: Permit, refusal: WorkerRefusal) -> None:
        """Take over what a worker's refusal says of a permit's grant."""
        self.wallet.put_back(permit, self._now())
        if refusal is WorkerRefusal.LEAVING:
            self.mark_leaving(permit.worker_id)
        elif refusal in {
            WorkerRefusal.STALE_EPOCH,
            WorkerRefusal.REVOKED_GRANT,
        }:
            self.borrower.drop([permit.grant_id])

    async def acquire(
        self,
        service: ServiceId,
        excluded: Collection[WorkerId],
        now_s: float,
    ) -> Permit | None:
        """Return a permit of a worker that runs the service.

        It comes from the wallet, else from the own ledgers, else from peers.
        ``None`` means that nothing was free now; the caller decides whether
        to wait and ask again.
        """
        permit = self._choose(service, excluded, now_s)
        if permit is None:
            self.borrower.supply_locally(service, excluded, now_s)
            permit = self._choose(service, excluded, now_s)
        if permit is not None:
            # The last free permit was taken: borrow before a request waits.
            # A higher mark would let one caller collect all free slots.
            if not self.wallet.with_free.count(service):
                self._start_supply(service)
            return permit
        supply = self._start_supply(service)
        if supply is None:
            return None
        await supply.wait()
        return self._choose(service, excluded, self._now())

    def supply(
        self,
        service: ServiceId,
        excluded: Collection[WorkerId],
        now_s: float,
    ) -> bool:
        """Fill the wallet from the own ledgers, or start to borrow.

        Returns whether the wallet has a free permit of another worker than
        the excluded ones now. ``on_supplied`` is called when the borrowing
        has ended.
        """
        self.borrower.supply_locally(service, excluded, now_s)
        found = self.wallet.candidates(service, now_s, rng=self._rng)
        if any(worker_id not in excluded for worker_id in found):
            return True
        self._start_supply(service)
        return False

    def used(self, service: ServiceId, now_s: float) -> None:
        """Borrow ahead when the last free permits are being taken."""
        if self.wallet.free_count >= _RESERVE_COUNT:
            return
        self.borrower.supply_locally(service, (), now_s)
        if self.wallet.free_count < _RESERVE_COUNT:
            self._start_supply(service)

    async def stop(self) -> None:
        """Return all free permits and tell the peers of a planned stop."""
        await self.borrower.return_idle(idle_after_s=0)
        leaving = ttypes.Leaving(entry_id=self._identity.entry_id)
        await self._tell_all(leaving)

    def handlers(self) -> dict[type, Handler]:
        """Return the lending part of the table for the peer server."""
        return PeerDesk(
            self.desk,
            self.borrower,
            now=self._now,
        ).handlers()

    def _choose(
        self,
        service: ServiceId,
        excluded: Collection[WorkerId],
        now_s: float,
    ) -> Permit | None:
        return self.wallet.choose(
            service,
            now_s,
            rng=self._rng,
            excluded=excluded,
        )

    def _start_supply(self, service: ServiceId) -> trio.Event | None:
        """Borrow in the background, once at a time for each service."""
        if self._nursery is None:
            return None
        supply = self._supplies.get(service)
        if supply is None:
            supply = trio.Event()
            self._supplies[service] = supply
            self._nursery.start_soon(self._supply, service, supply)
        return supply

    async def _supply(self, service: ServiceId, supply: trio.Event) -> None:
        self.borrower.supply_locally(service, (), self._now())
        has_borrowed = await self.borrower.borrow(service)
        supply.set()
        self.on_supplied(service)
        if has_borrowed:
            self._supply_pause_s = _SUPPLY_PAUSE_S
        else:
            await trio.sleep(self._supply_pause_s)
            longer_s = 2 * self._supply_pause_s
            self._supply_pause_s = min(longer_s, _MAX_SUPPLY_PAUSE_S)
        self._supplies.pop(service)

    async def _keep_grants(self) -> None:
        """Renew the used grants and return the idle ones."""
        while True:
            due_at = trio.current_time() + self._settings.heartbeat_ms / 1000
            await self.borrower.return_idle(
                idle_after_s=self._settings.grant_ttl_ms / 1000,
            )
            await self.borrower.renew()
            await trio.sleep_until(due_at)

    async def _return_surplus(self) -> None:
        """Return what was not needed since the last turn."""
        while True:
            await trio.sleep(_SURPLUS_S)
            await self.borrower.return_surplus(reserve_count=_RESERVE_COUNT)

    async def _summarise(self) -> None:
        """Show the free slots of the owned workers to all peers."""
        while True:
            due_at = trio.current_time() + self._settings.heartbeat_ms / 1000
            await self._tell_all(
                summary_message(self._identity, self.desk),
            )
            await trio.sleep_until(due_at)

    def _tell_leaving(self, ledger: WorkerLedger) -> None:
        self.borrower.drop_worker(ledger.worker.worker_id)
        peers = self._peers()
        for entry_id, grant_ids in ledger.borrowers().items():
            peer = peers.get(entry_id)
            if peer is not None and self._nursery is not None:
                revoke = ttypes.Revoke(
                    grant_ids=grant_ids,
                    worker_leaving=True,
                )
                self._nursery.start_soon(call_peer, peer, revoke)

    async def _tell_all(self, message: Message) -> None:
        async with trio.open_nursery() as nursery:
            for peer in self._peers().values():
                nursery.start_soon(call_peer, peer, message)
