"""Two entries that lend the slots of one worker to each other."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import trio
from trio.testing import MockClock

from marjoramwharf.contracts.allocator import CapacityAllocator
from marjoramwharf.contracts.lending import CapacityManager
from marjoramwharf.contracts.permits import Permit
from marjoramwharf.errors import (
    PeerUnreachable,
    WorkerUnreachable,
)
from marjoramwharf.ids import (
    CallId,
    DataCentreId,
    EntryId,
    Epoch,
    GrantId,
    Incarnation,
    WorkerId,
)
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.machines.calls import LeaseReply
from marjoramwharf.machines.worker import Capacity
from marjoramwharf.settings import CapacitySettings
from tests.contracts.lending_model import (
    SERVICE,
    WORKER,
    ModelWorker,
    make_permit_pool,
)

_DELAY_S = 0.005
WORKER_ID = WORKER.worker_id
LENT_WORKER = replace(WORKER, capacity=Capacity(8, 64, 4000, 8000, 1))


class _Agent:
    """A worker agent that forwards the lease call to a model worker."""

    def __init__(self) -> None:
        self.worker = ModelWorker()
        self.leaving = False
        self.is_reachable = True

    async def lease(
        self,
        epoch: Epoch,
        *,
        revoked: tuple[GrantId, ...],
        lease_ms: int,
    ) -> LeaseReply:
        await trio.sleep(_DELAY_S)
        if not self.is_reachable:
            raise WorkerUnreachable(message='no route')
        reply = self.worker.lease(epoch, list(revoked))
        return LeaseReply(
            reply.epoch,
            self.leaving,
            reply.running,
            (),
            reply.connections,
        )


class Peer:
    """A peer client that calls the handlers of another entry."""

    def __init__(self, region: Region, sender: str, receiver: str) -> None:
        """Call ``receiver`` as ``sender``."""
        self._region = region
        self._sender = _identity(sender)
        self._receiver = receiver

    async def call(self, message: Message, *, timeout_s: float) -> Message:
        """Return the reply; raises ``PeerUnreachable`` while partitioned."""
        if self._region.is_partitioned:
            await trio.sleep(timeout_s)
            raise PeerUnreachable(message='cut')
        await trio.sleep(_DELAY_S)
        self._region.messages_count += 1
        capacity_manager = self._region.managers[self._receiver]
        handle = capacity_manager.handlers()[type(message)]
        reply = await handle(self._sender, message)
        await trio.sleep(_DELAY_S)
        return reply


class Region:
    """Two entries, of which the first owns the only worker."""

    def __init__(self) -> None:
        """Create both entries; nothing runs yet."""
        self.is_partitioned = False
        self.messages_count = 0
        self.agent = _Agent()
        self.superseded: list[WorkerId] = []
        self.managers: dict[str, CapacityManager] = {}
        for name, other in (('e1', 'e2'), ('e2', 'e1')):
            self.managers[name] = self._capacity_manager(name, other)

    async def acquire(self, name: str) -> Permit | None:
        """Acquire a permit at one entry."""
        now_s = trio.current_time()
        return await self.managers[name].acquire(SERVICE, (), now_s)

    def send(self, name: str, permit: Permit) -> bool:
        """Run a call at the worker; return whether it accepts the call."""
        call_id = CallId(f'{name}/{permit.serial}')
        return self.agent.worker.accept(call_id, permit, EntryId(name))

    def _capacity_manager(self, name: str, other: str) -> CapacityManager:
        peers = {EntryId(other): Peer(self, name, other)}
        capacity_manager = CapacityManager(
            _identity(name),
            CapacitySettings(),
            make_permit_pool(),
            allocator=CapacityAllocator(),
            get_agent=lambda _worker_id: self.agent,  # type: ignore[arg-type, return-value]
            peers=lambda: peers,
            rng=random.Random(1),
        )
        capacity_manager.heartbeats.on_superseded = self.superseded.append
        return capacity_manager


@asynccontextmanager
async def open_region() -> AsyncIterator[Region]:
    """Yield a region in which ``e1`` owns the worker and ``e2`` borrows."""
    region = Region()
    async with trio.open_nursery() as nursery:
        for capacity_manager in region.managers.values():
            await nursery.start(capacity_manager.run)
        region.managers['e1'].own(LENT_WORKER, Epoch(1))
        await trio.sleep(2.5)
        yield region
        nursery.cancel_scope.cancel()


def _identity(name: str) -> PeerIdentity:
    return PeerIdentity(
        EntryId(name),
        Incarnation(f'{name}-1'),
        DataCentreId('dc-1'),
    )


def run_with_clock(scenario: Callable[[], Awaitable[Any]]) -> Any:
    """Run a scenario on a simulated clock that skips idle time."""
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))
