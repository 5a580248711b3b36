"""Clients of a process that may stand still for a while, as in a suspension.

Nothing that a frozen process has asked for leaves it, and no answer is
processed, until it thaws. Its clocks go on meanwhile.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

import trio

from marjoramwharf.cells.worker_messages import WorkerAddress
from marjoramwharf.ids import LeaseId
from marjoramwharf.links.store import (
    Committed,
    Conflict,
    Guard,
    PollingStore,
    PrefixSnapshot,
    StoredValue,
    WatchBatch,
    Write,
)
from standins.interposed_worker_client import InterposedWorkerClient

_Reply = TypeVar('_Reply')


@dataclass
class FreezeGate:
    """Holds up all traffic of one process until ``frozen_until_s``."""

    frozen_until_s: float = 0

    def freeze(self, duration_s: float) -> None:
        """Let the process stand still from now on."""
        self.frozen_until_s = trio.current_time() + duration_s

    async def wait_thawed(self) -> None:
        """Return at once unless the process stands still."""
        while trio.current_time() < self.frozen_until_s:
            await trio.sleep_until(self.frozen_until_s)


@dataclass
class FreezableWorkerClient(InterposedWorkerClient):
    """Implements ``WorkerClient`` for a process with a gate."""

    gate: FreezeGate = field(default_factory=FreezeGate)

    async def make_call(
        self,
        _worker: WorkerAddress,
        call: Callable[[], Awaitable[_Reply]],
        _timeout_s: float,
    ) -> _Reply | None:
        """Make a call once the process is thawed."""
        await self.gate.wait_thawed()
        reply = await call()
        await self.gate.wait_thawed()
        return reply


@dataclass
class FreezableStore:
    """Implements ``PollingStore`` for a process with a gate."""

    store: PollingStore
    gate: FreezeGate = field(default_factory=FreezeGate)

    async def read(self, key: str) -> StoredValue | None:
        """Return the value of a key."""
        await self.gate.wait_thawed()
        stored = await self.store.read(key)
        await self.gate.wait_thawed()
        return stored

    async def read_prefix(self, prefix: str) -> PrefixSnapshot:
        """Return all values below a prefix."""
        await self.gate.wait_thawed()
        snapshot = await self.store.read_prefix(prefix)
        await self.gate.wait_thawed()
        return snapshot

    async def commit(
        self, guards: Sequence[Guard], writes: Sequence[Write]
    ) -> Committed | Conflict:
        """Apply writes if the guards hold."""
        await self.gate.wait_thawed()
        outcome = await self.store.commit(guards, writes)
        await self.gate.wait_thawed()
        return outcome

    async def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Create a lease."""
        await self.gate.wait_thawed()
        lease = await self.store.grant_lease(ttl_ms)
        await self.gate.wait_thawed()
        return lease

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Extend a lease."""
        await self.gate.wait_thawed()
        exists = await self.store.keep_alive(lease)
        await self.gate.wait_thawed()
        return exists

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease."""
        await self.gate.wait_thawed()
        await self.store.revoke_lease(lease)

    async def poll(
        self, prefix: str, *, after_revision: int, wait_ms: int
    ) -> WatchBatch:
        """Wait for changes after a revision."""
        await self.gate.wait_thawed()
        batch = await self.store.poll(
            prefix, after_revision=after_revision, wait_ms=wait_ms
        )
        await self.gate.wait_thawed()
        return batch
