"""An in-process store for tests, with the faults of the platform's store."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import trio

from marjoramwharf.errors import StoreAnswerLost, StoreUnavailable
from marjoramwharf.ids import LeaseId
from marjoramwharf.links.store import (
    Committed,
    Conflict,
    Guard,
    PrefixSnapshot,
    StoredValue,
    Urgency,
    WatchBatch,
    Write,
)
from standins.kv_state import KeyValueState


class MemoryStore:
    """Implements the ``Store`` interface on a ``KeyValueState``.

    Faults: ``is_down`` refuses every call. The next ``answers_to_lose`` commits
    are applied and then raise ``StoreAnswerLost``. Each call takes ``delay_s``.
    """

    def __init__(self, state: KeyValueState | None = None) -> None:
        """Share a state between several clients, or start a new one."""
        self.state = state or KeyValueState()
        self.is_down = False
        self.answers_to_lose = 0
        self.delay_s: float = 0
        self.writes_count = 0
        self.reads_count = 0
        self._changed = trio.Event()

    async def read(self, key: str, *, urgency: Urgency) -> StoredValue | None:
        """Return the value of a key, or ``None``."""
        await self._begin_call()
        self.reads_count += 1
        return self.state.stored.get(key)

    async def read_prefix(
        self,
        prefix: str,
        *,
        urgency: Urgency,
    ) -> PrefixSnapshot:
        """Return all values below a prefix."""
        await self._begin_call()
        self.reads_count += 1
        return PrefixSnapshot(
            self.state.revision, self.state.values_below(prefix)
        )

    async def commit(
        self,
        guards: Sequence[Guard],
        writes: Sequence[Write],
        *,
        urgency: Urgency,
    ) -> Committed | Conflict:
        """Apply the writes if the guards hold."""
        await self._begin_call()
        self.writes_count += 1
        outcome: Committed | Conflict = Conflict()
        if self.state.guards_hold(guards):
            outcome = Committed(self._apply(writes))
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise StoreAnswerLost(message='the answer was lost')
        return outcome

    async def grant_lease(self, ttl_s: int) -> LeaseId:
        """Create a lease."""
        await self._begin_call()
        return self.state.grant_lease(ttl_s, trio.current_time())

    async def keep_alive(self, lease: LeaseId) -> int:
        """Extend a lease and return its time to live in s, 0 if it ended."""
        await self._begin_call()
        return int(self.state.keep_alive(lease, trio.current_time()))

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        await self._begin_call()
        self.state.revoke_lease(lease)
        self._notify_watches()

    @asynccontextmanager
    async def watch(
        self,
        prefix: str,
        *,
        from_revision: int,
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        """Follow the changes below a prefix."""
        yield self._changes(prefix, from_revision)

    async def _changes(
        self,
        prefix: str,
        revision: int,
    ) -> AsyncIterator[WatchBatch]:
        while True:
            changed = self._changed
            for at_revision, events in self.state.changes_after(
                revision,
                prefix,
            ):
                revision = at_revision
                yield WatchBatch(at_revision, events)
            await changed.wait()

    async def _begin_call(self) -> None:
        await trio.sleep(self.delay_s)
        if self.is_down:
            raise StoreUnavailable(message='the store is down')
        before = self.state.revision
        self.state.expire_due_leases(trio.current_time())
        if self.state.revision != before:
            self._notify_watches()

    def _apply(self, writes: Sequence[Write]) -> int:
        try:
            revision = self.state.apply(writes)
        except ValueError as failure:
            raise StoreUnavailable(message=str(failure)) from failure
        self._notify_watches()
        return revision

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
