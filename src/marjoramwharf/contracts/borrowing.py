"""The borrower's side of lending: borrow, renew and return at peers."""

from __future__ import annotations

import itertools
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Iterable,
    Mapping,
    Sequence,
)
from typing import Protocol

import trio

from marjoramwharf.contracts.allocator import CapacityAllocator
from marjoramwharf.contracts.ledger import worker_id_of
from marjoramwharf.contracts.permit_pool import PermitPool
from marjoramwharf.contracts.permits import Grant, GrantShare
from marjoramwharf.errors import PeerRefused, PeerUnreachable
from marjoramwharf.ids import EntryId, Epoch, GrantId, ServiceId, WorkerId
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.logs import part_logger

_LOG = part_logger('capacity')

# Covers one round trip between data centres several times over, and is well
# below the time of a grant.
PEER_TIMEOUT_S = 0.5

# One message serves this many calls at once; unused slots are returned.
BULK_SLOTS_COUNT = 4

# Owners asked for one supply before it counts as failed.
_OWNERS_ASKED_COUNT = 3


async def _nothing_open(_worker_id: WorkerId) -> None:
    """Do nothing; the default where no connections are kept open."""


class PeerCaller(Protocol):
    """The part of ``PeerClient`` that is needed here."""

    async def call(self, message: Message, *, timeout_s: float) -> Message:
        """Send a message; raises ``PeerUnreachable`` or ``PeerRefused``."""


class Borrower:
    """Keeps a wallet supplied from the own desk and from peers.

    ``peers`` returns the connections to the live peers, ``now`` the present
    in monotonic seconds. Set ``close_connections`` to a function that closes
    the idle connections to a worker; it runs before a session is returned.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        permit_pool: PermitPool,
        allocator: CapacityAllocator,
        *,
        peers: Callable[[], Mapping[EntryId, PeerCaller]],
        now: Callable[[], float],
    ) -> None:
        """Start without grants."""
        self.lenders: dict[GrantId, EntryId] = {}
        self.close_connections: Callable[[WorkerId], Awaitable[None]]
        self.close_connections = _nothing_open
        self._identity = identity
        self._permit_pool = permit_pool
        self._allocator = allocator
        self._peers = peers
        self._now = now
        self._summaries: dict[EntryId, Sequence[Message]] = {}
        self._turns = itertools.count()

    def record_summary(self, sender: EntryId, message: Message) -> None:
        """Keep a peer's free slots, and drop grants of leaving workers."""
        self._summaries[sender] = message.workers
        for worker in message.workers:
            if worker.leaving:
                self.drop_worker(WorkerId(worker.worker_id))

    def forget_peer(self, entry_id: EntryId) -> None:
        """Forget the free slots of a peer."""
        self._summaries.pop(entry_id, None)

    def drop_revoked(
        self, lender: EntryId, grant_ids: Iterable[GrantId]
    ) -> None:
        """Drop the grants that their lender has revoked."""
        self.drop_grants(
            [name for name in grant_ids if self.lenders.get(name) == lender],
        )

    def drop_grants(self, grant_ids: Collection[GrantId]) -> None:
        """Drop grants that are no longer valid."""
        self._permit_pool.drop_grants(grant_ids)
        for grant_id in grant_ids:
            self.lenders.pop(grant_id, None)

    def drop_worker(self, worker_id: WorkerId) -> None:
        """Drop all grants of one worker."""
        self.drop_grants(
            [name for name in self.lenders if worker_id_of(name) == worker_id]
        )

    def borrow_locally(
        self,
        service: ServiceId,
        excluded: Collection[WorkerId],
        now_s: float,
    ) -> None:
        """Lend from the own ledgers to the own wallet, without a message."""
        wants = self._allocator.spread(
            service,
            BULK_SLOTS_COUNT,
            now_s,
            excluded=excluded,
        )
        own_id = self._identity.entry_id
        grants = self._allocator.lend(
            own_id,
            self._identity.incarnation,
            wants,
            now_s,
        )
        for grant in grants:
            self._add(grant, own_id, now_s)

    async def borrow(self, service: ServiceId) -> bool:
        """Borrow in bulk from the owners that showed most free slots."""
        peers = self._peers()
        free = {
            entry_id: self._free_slots(entry_id, service) for entry_id in peers
        }
        # Summaries are up to a second old, so owners that showed nothing are
        # asked too; the turn decides between equal ones.
        start = next(self._turns) % max(1, len(free))
        names = sorted(free)
        ranked = sorted(
            names[start:] + names[:start],
            key=lambda entry_id: -free[entry_id],
        )
        for entry_id in ranked[:_OWNERS_ASKED_COUNT]:
            lent = await self._borrow_from(entry_id, peers[entry_id], service)
            if lent:
                return True
            self._summaries.pop(entry_id, None)
        return False

    async def renew(self) -> None:
        """Renew all grants, with one message for each lender."""
        self._permit_pool.drop_expired(self._now())
        held = set(self._permit_pool.renewable_grants())
        self.lenders = {
            grant_id: lender
            for grant_id, lender in self.lenders.items()
            if grant_id in held
        }
        by_lender: dict[EntryId, list[GrantId]] = {}
        for grant_id, lender in self.lenders.items():
            by_lender.setdefault(lender, []).append(grant_id)
        # Side by side: one peer that hangs must not let other grants expire.
        async with trio.open_nursery() as nursery:
            for lender, grant_ids in by_lender.items():
                nursery.start_soon(self._renew_at, lender, grant_ids)

    async def return_idle(self, *, idle_after_s: float) -> None:
        """Return the permits that were not used for some time."""
        shares = self._permit_pool.withdraw_idle(
            self._now(), idle_after_s=idle_after_s
        )
        kept = {
            worker_id_of(name) for name in self._permit_pool.renewable_grants()
        }
        for worker_id in {share.worker_id for share in shares} - kept:
            await self.close_connections(worker_id)
        await self._return_all(shares)

    async def return_surplus(self, *, min_free_count: int) -> None:
        """Return the permits that were not needed of late.

        Connections stay open: the worker is likely to be borrowed again, and
        the owner counts the session until they are closed.
        """
        await self._return_all(
            self._permit_pool.withdraw_surplus(min_free_count=min_free_count),
        )

    async def _return_all(self, shares: list[GrantShare]) -> None:
        shares.sort(key=self._lender_of)
        async with trio.open_nursery() as nursery:
            for lender, group in itertools.groupby(shares, self._lender_of):
                nursery.start_soon(self._return_to, lender, list(group))

    def _lender_of(self, share: GrantShare) -> EntryId:
        return self.lenders.get(share.grant_id, EntryId(''))

    def _add(self, grant: Grant, lender: EntryId, now_s: float) -> None:
        self.lenders[grant.grant_id] = lender
        self._permit_pool.add(grant, now_s)

    def _free_slots(self, entry_id: EntryId, service: ServiceId) -> int:
        return sum(
            worker.free_slots_count
            for worker in self._summaries.get(entry_id, ())
            if not worker.leaving
            and self._permit_pool.available_workers.runs(
                WorkerId(worker.worker_id),
                service,
            )
        )

    async def _borrow_from(
        self,
        lender: EntryId,
        peer: PeerCaller,
        service: ServiceId,
    ) -> bool:
        sent_at_s = self._now()
        request = ttypes.Borrow(
            borrower=self._identity.entry_id,
            incarnation=self._identity.incarnation,
            wants=[],
            any_slots_count=BULK_SLOTS_COUNT,
            service_id=service,
        )
        reply = await call_peer(peer, request)
        grants = () if reply is None else reply.grants
        for message in grants:
            self._add(
                grant_from_message(message, sent_at_s), lender, self._now()
            )
        return bool(grants)

    async def _renew_at(
        self,
        lender: EntryId,
        grant_ids: list[GrantId],
    ) -> None:
        sent_at_s = self._now()
        if lender == self._identity.entry_id:
            renewed, refused = self._allocator.renew(
                lender, grant_ids, sent_at_s
            )
            for own in renewed:
                self._permit_pool.renew(own.grant_id, own.expires_at_s)
            self.drop_grants(refused)
            return
        request = ttypes.Renew(
            borrower=self._identity.entry_id,
            grant_ids=grant_ids,
        )
        reply = await call_peer(self._peers().get(lender), request)
        if reply is None:
            return
        for message in reply.renewed:
            grant = grant_from_message(message, sent_at_s)
            self._permit_pool.renew(grant.grant_id, grant.expires_at_s)
        self.drop_grants(list(map(GrantId, reply.refused)))

    async def _return_to(
        self,
        lender: EntryId,
        shares: list[GrantShare],
    ) -> None:
        own_id = self._identity.entry_id
        if lender == own_id:
            self._allocator.give_back(own_id, shares)
            return
        request = ttypes.GiveBack(
            borrower=own_id,
            shares=[
                ttypes.GrantShareMessage(
                    grant_id=share.grant_id,
                    worker_id=share.worker_id,
                    slots_count=share.slots_count,
                )
                for share in shares
            ],
        )
        if await call_peer(self._peers().get(lender), request) is None:
            # Sent again, a return that had arrived would free slots twice.
            self._permit_pool.mark_return_failed(
                [share.grant_id for share in shares]
            )


def grant_from_message(message: Message, sent_at_s: float) -> Grant:
    """Return the grant of a message; it expires counted from the sending."""
    return Grant(
        grant_id=GrantId(message.grant_id),
        worker_id=WorkerId(message.worker_id),
        epoch=Epoch(message.epoch),
        slots_count=message.slots_count,
        connections_count=message.connections_count,
        expires_at_s=sent_at_s + message.ttl_ms / 1000,
    )


def grant_message(grant: Grant, now_s: float) -> Message:
    """Return the message that carries a grant with the time left."""
    return ttypes.GrantMessage(
        grant_id=grant.grant_id,
        worker_id=grant.worker_id,
        epoch=grant.epoch,
        slots_count=grant.slots_count,
        connections_count=grant.connections_count,
        ttl_ms=max(0, int((grant.expires_at_s - now_s) * 1000)),
    )


async def call_peer(
    peer: PeerCaller | None, message: Message
) -> Message | None:
    """Call a peer; ``None`` if it was not reached or refused."""
    if peer is None:
        return None
    try:
        return await peer.call(message, timeout_s=PEER_TIMEOUT_S)
    except (PeerUnreachable, PeerRefused) as failure:
        name = type(message).__name__
        _LOG.info('call to peer failed', call=name, error=failure.message)
        return None
