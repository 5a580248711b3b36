"""Heartbeats from one entry to the workers that it owns."""

from __future__ import annotations

from collections.abc import Callable

import trio

from marjoramwharf.contracts.allocator import CapacityAllocator
from marjoramwharf.contracts.ledger import WorkerLedger
from marjoramwharf.errors import WorkerUnreachable
from marjoramwharf.ids import GrantId, WorkerId
from marjoramwharf.logs import part_logger
from marjoramwharf.machines.calls import LeaseReply, WorkerAgent
from marjoramwharf.settings import CapacitySettings

_LOG = part_logger('capacity')


def ignore_event(
    _worker_id: WorkerId,
    _reply: LeaseReply | None = None,
) -> None:
    """Do nothing; the default callback."""


class Heartbeats:
    """Fences each owned worker, then extends its lease at intervals.

    A worker is fenced when it has acknowledged the epoch of its owner.
    ``on_lease`` is called with each reply under the ledger's epoch,
    ``on_superseded`` with each worker that has acknowledged a higher epoch,
    and ``on_leaving`` once with the ledger of a worker that starts to leave.
    """

    def __init__(
        self,
        allocator: CapacityAllocator,
        settings: CapacitySettings,
        get_agent: Callable[[WorkerId], WorkerAgent],
        now: Callable[[], float],
    ) -> None:
        """Start without heartbeats; ``now`` returns monotonic seconds."""
        self.on_lease: Callable[[WorkerId, LeaseReply], None] = ignore_event
        self.on_superseded: Callable[[WorkerId], None] = ignore_event
        self.on_leaving: Callable[[WorkerLedger], None] | None = None
        self.failed_count = 0
        self.revoked_count = 0
        self._allocator = allocator
        self._settings = settings
        self._get_agent = get_agent
        self._now = now

    async def run(self, ledger: WorkerLedger) -> None:
        """Send heartbeats to a worker while the allocator has its ledger.

        The heartbeats of a worker never overlap: a reply must be the newest
        when the ledger records it.
        """
        worker_id = ledger.worker.worker_id
        interval_s = self._settings.heartbeat_ms / 1000
        while self._allocator.ledgers.get(worker_id) is ledger:
            due_at = trio.current_time() + interval_s
            with trio.move_on_at(due_at):
                await self._send_heartbeat(ledger)
            await trio.sleep_until(due_at)

    async def _send_heartbeat(self, ledger: WorkerLedger) -> None:
        worker_id = ledger.worker.worker_id
        sent_at_s = self._now()
        revoked = tuple(ledger.start_revocations(sent_at_s))
        try:
            reply = await self._get_agent(worker_id).lease(
                ledger.epoch,
                revoked=revoked,
                lease_ms=self._settings.worker_lease_ms,
            )
        except WorkerUnreachable as failure:
            self.failed_count += 1
            _LOG.info(
                'no heartbeat',
                worker=worker_id,
                error=failure.message,
            )
            return
        if self._allocator.ledgers.get(worker_id) is ledger:
            self._process_reply(ledger, reply, revoked, sent_at_s)

    def _process_reply(
        self,
        ledger: WorkerLedger,
        reply: LeaseReply,
        revoked: tuple[GrantId, ...],
        sent_at_s: float,
    ) -> None:
        worker_id = ledger.worker.worker_id
        if reply.epoch != ledger.epoch:
            self._allocator.ledgers.pop(worker_id)
            _LOG.warning('superseded', worker=worker_id, epoch=reply.epoch)
            self.on_superseded(worker_id)
            return
        was_leaving = ledger.leaving
        if ledger.fenced:
            ledger.record_revocations(revoked, reply.running)
            self.revoked_count += len(revoked)
            ledger.record_report(reply, sent_at_s)
        else:
            ledger.record_fence(reply, sent_at_s)
        if ledger.leaving and not was_leaving and self.on_leaving:
            self.on_leaving(ledger)
        self.on_lease(worker_id, reply)
