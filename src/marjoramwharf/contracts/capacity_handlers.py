"""Handlers of the capacity messages between entries."""

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
    """Return the message with the free capacity of the owned workers."""
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
    """Return the free CPU of the fenced workers that are not leaving."""
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
    """Answers peers from the allocator, and passes events to the borrower.

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
        """Set up the handlers; ``now`` returns monotonic seconds."""
        self._allocator = allocator
        self._borrower = borrower
        self._now = now

    def handlers(self) -> dict[type, Handler]:
        """Return the handler of each message type for the peer server."""
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

    async def _on_borrow(self, sender: PeerIdentity, call: Message) -> Message:
        now_s = self._now()
        wants = [
            (WorkerId(want.worker_id), want.slots_count) for want in call.wants
        ]
        wants += self._allocator.spread(
            ServiceId(call.service_id),
            call.any_slots_count,
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

    async def _on_renew(self, sender: PeerIdentity, call: Message) -> Message:
        now_s = self._now()
        renewed, refused = self._allocator.renew(
            sender.entry_id,
            list(map(GrantId, call.grant_ids)),
            now_s,
        )
        return ttypes.Renewed(
            renewed=[grant_message(grant, now_s) for grant in renewed],
            refused=refused,
        )

    async def _on_give_back(
        self,
        sender: PeerIdentity,
        call: Message,
    ) -> Message:
        shares = [
            GrantShare(
                GrantId(share.grant_id),
                WorkerId(share.worker_id),
                share.slots_count,
            )
            for share in call.shares
        ]
        self._allocator.give_back(sender.entry_id, shares)
        return ttypes.Ack()

    async def _on_revoke(self, sender: PeerIdentity, call: Message) -> Message:
        self._borrower.drop_revoked(
            sender.entry_id, map(GrantId, call.grant_ids)
        )
        return ttypes.Ack()

    async def _on_summary(self, sender: PeerIdentity, call: Message) -> Message:
        self._borrower.record_summary(sender.entry_id, call)
        return ttypes.Ack()

    async def _on_reserve(
        self,
        _sender: PeerIdentity,
        call: Message,
    ) -> Message:
        attempt_request = AttemptRequest(
            task_id=TaskId(call.task_id),
            fence=(call.shard_epoch or 0, call.attempt),
            demand=demand_of(call.demand),
            task_class=call.task_class,
            priority=call.priority,
            avoid_racks=frozenset(call.avoid_racks),
            avoid_workers=frozenset(map(WorkerId, call.avoid_workers or ())),
            declared=demand_of(call.declared or call.demand),
        )
        ledger = self._allocator.reserve(attempt_request, self._now())
        return ttypes.Reserved(
            reservation_id=reservation_id(
                attempt_request, ledger.worker.worker_id
            ),
            worker_id=ledger.worker.worker_id,
            worker_url=ledger.worker.url,
            epoch=ledger.epoch,
        )

    async def _on_release(
        self,
        _sender: PeerIdentity,
        call: Message,
    ) -> Message:
        self._allocator.release(call.reservation_id)
        return ttypes.Ack()

    async def _on_leaving(
        self, sender: PeerIdentity, _call: Message
    ) -> Message:
        self._borrower.forget_peer(EntryId(sender.entry_id))
        return ttypes.Ack()
