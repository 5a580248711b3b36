"""The borrower's side of lending: borrow, renew and return grants."""

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

# Several round trips between data centres; well below the lifetime of a grant.
PEER_TIMEOUT_S = 0.5

# Slots borrowed with one message, for as many calls; unused ones are returned.
BULK_SLOTS_COUNT = 4

# Owners that are asked for one refill before it counts as failed.
_MAX_OWNERS_ASKED_COUNT = 3


async def _close_nothing(_worker_id: WorkerId) -> None:
    """Do nothing; the default where no connections are kept open."""


class PeerCaller(Protocol):
    """The method of ``PeerClient`` that the borrower uses."""

    async def call(self, message: Message, *, timeout_s: float) -> Message:
        """Send a message; raises ``PeerUnreachable`` or ``PeerRefused``."""


class Borrower:
    """Fills a permit pool with grants of the own allocator and of peers.

    ``peers`` returns the clients of the live peers, ``now`` the present time
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
        self.close_connections = _close_nothing
        self._identity = identity
        self._permit_pool = permit_pool
        self._allocator = allocator
        self._peers = peers
        self._now = now
        self._summaries: dict[EntryId, Sequence[Message]] = {}
        self._rotation = itertools.count()

    def record_summary(self, sender: EntryId, message: Message) -> None:
        """Store a peer's free slots, and drop grants of leaving workers."""
        self._summaries[sender] = message.workers
        for worker in message.workers:
            if worker.leaving:
                self.drop_worker(WorkerId(worker.worker_id))

    def forget_peer(self, entry_id: EntryId) -> None:
        """Remove the stored summary of a peer that has left."""
        self._summaries.pop(entry_id, None)

    def drop_revoked(
        self, lender: EntryId, grant_ids: Iterable[GrantId]
    ) -> None:
        """Drop the grants that their lender has revoked."""
        self.drop_grants(
            [key for key in grant_ids if self.lenders.get(key) == lender],
        )

    def drop_grants(self, grant_ids: Collection[GrantId]) -> None:
        """Drop grants that are no longer valid."""
        self._permit_pool.drop_grants(grant_ids)
        for grant_id in grant_ids:
            self.lenders.pop(grant_id, None)

    def drop_worker(self, worker_id: WorkerId) -> None:
        """Drop all grants of one worker."""
        self.drop_grants(
            [key for key in self.lenders if worker_id_of(key) == worker_id]
        )

    def borrow_locally(
        self,
        service: ServiceId,
        excluded: Collection[WorkerId],
        now_s: float,
    ) -> None:
        """Borrow from the own allocator, without a message."""
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
            self._add_grant(grant, own_id, now_s)

    async def borrow(self, service: ServiceId) -> bool:
        """Borrow from the peers whose summaries showed most free slots.

        Returns whether a peer lent a grant.
        """
        peers = self._peers()
        free = {
            entry_id: self._shown_free_slots(entry_id, service)
            for entry_id in peers
        }
        # Summaries are up to a second old, so owners that showed no free slot
        # are asked too; equal ones are asked in rotation.
        start = next(self._rotation) % max(1, len(free))
        entry_ids = sorted(free)
        ranked = sorted(
            entry_ids[start:] + entry_ids[:start],
            key=lambda entry_id: -free[entry_id],
        )
        for entry_id in ranked[:_MAX_OWNERS_ASKED_COUNT]:
            lent = await self._borrow_from(entry_id, peers[entry_id], service)
            if lent:
                return True
            self._summaries.pop(entry_id, None)
        return False

    async def renew(self) -> None:
        """Renew all grants, with one message for each lender."""
        self._permit_pool.drop_expired(self._now())
        renewable = set(self._permit_pool.renewable_grants())
        self.lenders = {
            grant_id: lender
            for grant_id, lender in self.lenders.items()
            if grant_id in renewable
        }
        by_lender: dict[EntryId, list[GrantId]] = {}
        for grant_id, lender in self.lenders.items():
            by_lender.setdefault(lender, []).append(grant_id)
        # In parallel: a peer that hangs must not let other grants expire.
        async with trio.open_nursery() as nursery:
            for lender, grant_ids in by_lender.items():
                nursery.start_soon(self._renew_at_lender, lender, grant_ids)

    async def return_idle(self, *, idle_after_s: float) -> None:
        """Return the free permits of grants idle for ``idle_after_s``.

        Connections to workers without a renewable grant are closed first.
        """
        shares = self._permit_pool.withdraw_idle(
            self._now(), idle_after_s=idle_after_s
        )
        workers_in_use = {
            worker_id_of(key) for key in self._permit_pool.renewable_grants()
        }
        for worker_id in {share.worker_id for share in shares} - workers_in_use:
            await self.close_connections(worker_id)
        await self._return_shares(shares)

    async def return_surplus(self, *, min_free_count: int) -> None:
        """Return the permits that were not needed since the last call.

        Connections stay open: the worker is likely to be borrowed again, and
        the owner counts the session until they are closed.
        """
        await self._return_shares(
            self._permit_pool.withdraw_surplus(min_free_count=min_free_count),
        )

    async def _return_shares(self, shares: list[GrantShare]) -> None:
        shares.sort(key=self._lender_of)
        async with trio.open_nursery() as nursery:
            for lender, group in itertools.groupby(shares, self._lender_of):
                nursery.start_soon(self._return_to_lender, lender, list(group))

    def _lender_of(self, share: GrantShare) -> EntryId:
        return self.lenders.get(share.grant_id, EntryId(''))

    def _add_grant(self, grant: Grant, lender: EntryId, now_s: float) -> None:
        self.lenders[grant.grant_id] = lender
        self._permit_pool.add(grant, now_s)

    def _shown_free_slots(self, entry_id: EntryId, service: ServiceId) -> int:
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
            self._add_grant(
                grant_from_message(message, sent_at_s), lender, self._now()
            )
        return bool(grants)

    async def _renew_at_lender(
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

    async def _return_to_lender(
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
            # The return may have arrived; a repeat would free the slots twice.
            # The grants expire instead.
            self._permit_pool.stop_renewing(
                [share.grant_id for share in shares]
            )


def grant_from_message(message: Message, sent_at_s: float) -> Grant:
    """Return the grant of a message.

    Its lifetime counts from ``sent_at_s``, when the request was sent.
    """
    return Grant(
        grant_id=GrantId(message.grant_id),
        worker_id=WorkerId(message.worker_id),
        epoch=Epoch(message.epoch),
        slots_count=message.slots_count,
        connections_count=message.connections_count,
        expires_at_s=sent_at_s + message.ttl_ms / 1000,
    )


def grant_message(grant: Grant, now_s: float) -> Message:
    """Return the message for a grant, with its remaining lifetime."""
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
    """Call a peer; return ``None`` if it is unreachable or refuses."""
    if peer is None:
        return None
    try:
        return await peer.call(message, timeout_s=PEER_TIMEOUT_S)
    except (PeerUnreachable, PeerRefused) as failure:
        name = type(message).__name__
        _LOG.info('call to peer failed', call=name, error=failure.message)
        return None
