"""The handlers of the lending messages between entries."""

from __future__ import annotations

from collections.abc import Callable

from marjoramwharf.contracts.allocator import (
    AttemptRequest,
    CapacityAllocator,
    reservation_id,
)
from marjoramwharf.contracts.borrowing import Borrower, grant_message
from marjoramwharf.contracts.permits import GrantShare
from marjoramwharf.ids import EntryId, GrantId, ServiceId, TaskId, WorkerId
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.peer_server import Handler
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.machines.calls import Demand


def summary_message(
    identity: PeerIdentity, allocator: CapacityAllocator
) -> Message:
    """Return the message that shows the free slots of the owned workers."""
    return ttypes.Summary(
        entry_id=identity.entry_id,
        incarnation=identity.incarnation,
        workers=[
            ttypes.WorkerSummary(
                worker_id=worker_id,
                free_slots_count=ledger.free_slots_count,
                leaving=ledger.leaving,
                service_latency_ms=0,
                interference_ratio=1,
            )
            for worker_id, ledger in allocator.ledgers.items()
        ],
        free_millicores=free_millicores(allocator),
    )


def free_millicores(allocator: CapacityAllocator) -> int:
    """Return the processors of the usable owned workers that are free."""
    return sum(
        max(0, ledger.reservations.free.cpu_millicores)
        for ledger in allocator.ledgers.values()
        if ledger.fenced and not ledger.leaving
    )


def demand_of(message: Message) -> Demand:
    """Return the size that a message states."""
    return Demand(
        cpu_millicores=message.cpu_millicores,
        memory_mb=message.memory_mb,
        accelerators_count=message.accelerators_count,
    )


class CapacityHandlers:
    """Answers peers from the desk, and takes their news to the borrower.

    The sender is the identity that was proved in Hello, never a name that a
    message states.
    """

    def __init__(
        self,
        allocator: CapacityAllocator,
        borrower: Borrower,
        *,
        now: Callable[[], float],
    ) -> None:
        """Keep the parts; ``now`` is the present in monotonic seconds."""
        self._allocator = allocator
        self._borrower = borrower
        self._now = now

    def handlers(self) -> dict[type, Handler]:
        """Return the table for the peer server."""
        return {
            ttypes.Borrow: self._on_borrow,
            ttypes.Renew: self._on_renew,
            ttypes.GiveBack: self._on_give_back,
            ttypes.Revoke: self._on_revoke,
            ttypes.Summary: self._on_summary,
            ttypes.Reserve: self._on_reserve,
            ttypes.Release: self._on_release,
            ttypes.Leaving: self._on_leaving,
        }

    async def _on_borrow(self, sender: PeerIdentity, asked: Message) -> Message:
        now_s = self._now()
        wants = [
            (WorkerId(want.worker_id), want.slots_count) for want in asked.wants
        ]
        wants += self._allocator.spread(
            ServiceId(asked.service_id),
            asked.any_slots_count,
            now_s,
        )
        grants = self._allocator.lend(
            sender.entry_id,
            sender.incarnation,
            wants,
            now_s,
        )
        return ttypes.Lent(
            grants=[grant_message(grant, now_s) for grant in grants],
        )

    async def _on_renew(self, sender: PeerIdentity, asked: Message) -> Message:
        now_s = self._now()
        renewed, refused = self._allocator.renew(
            sender.entry_id,
            list(map(GrantId, asked.grant_ids)),
            now_s,
        )
        return ttypes.Renewed(
            renewed=[grant_message(grant, now_s) for grant in renewed],
            refused=refused,
        )

    async def _on_give_back(
        self,
        sender: PeerIdentity,
        returned: Message,
    ) -> Message:
        shares = [
            GrantShare(
                GrantId(share.grant_id),
                WorkerId(share.worker_id),
                share.slots_count,
            )
            for share in returned.shares
        ]
        self._allocator.give_back(sender.entry_id, shares)
        return ttypes.Ack()

    async def _on_revoke(self, sender: PeerIdentity, news: Message) -> Message:
        self._borrower.drop_revoked(
            sender.entry_id, map(GrantId, news.grant_ids)
        )
        return ttypes.Ack()

    async def _on_summary(self, sender: PeerIdentity, news: Message) -> Message:
        self._borrower.record_summary(sender.entry_id, news)
        return ttypes.Ack()

    async def _on_reserve(
        self,
        _sender: PeerIdentity,
        asked: Message,
    ) -> Message:
        placement = AttemptRequest(
            task_id=TaskId(asked.task_id),
            fence=(asked.shard_epoch or 0, asked.attempt),
            demand=demand_of(asked.demand),
            task_class=asked.task_class,
            priority=asked.priority,
            avoid_racks=frozenset(asked.avoid_racks),
            avoid_workers=frozenset(map(WorkerId, asked.avoid_workers or ())),
            declared=demand_of(asked.declared or asked.demand),
        )
        ledger = self._allocator.reserve(placement, self._now())
        return ttypes.Reserved(
            reservation_id=reservation_id(placement, ledger.worker.worker_id),
            worker_id=ledger.worker.worker_id,
            worker_url=ledger.worker.url,
            epoch=ledger.epoch,
        )

    async def _on_release(
        self,
        _sender: PeerIdentity,
        asked: Message,
    ) -> Message:
        self._allocator.release(asked.reservation_id)
        return ttypes.Ack()

    async def _on_leaving(
        self, sender: PeerIdentity, _news: Message
    ) -> Message:
        self._borrower.forget_peer(EntryId(sender.entry_id))
        return ttypes.Ack()
