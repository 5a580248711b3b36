"""An in-process store with long polls, and the faults of the real one."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

import trio

from marjoramwharf.errors import (
    HistoryLost,
    LeaseEnded,
    StoreAnswerLost,
    StoreUnavailable,
)
from marjoramwharf.ids import LeaseId
from marjoramwharf.links.store import (
    Committed,
    Conflict,
    Guard,
    PrefixSnapshot,
    StoredValue,
    WatchBatch,
    Write,
)
from standins.kv_state import KeyValueState

_MS_PER_S = 1_000


class PollingMemoryStore:
    """Implements ``PollingStore`` on a ``KeyValueState``.

    Faults: ``is_down`` refuses every call. The next ``answers_to_lose`` commits
    are applied without an answer. The next ``commits_to_delay`` commits get no
    answer and wait in ``delayed_commits`` until a test calls them.
    """

    def __init__(self, state: KeyValueState | None = None) -> None:
        """Share a state between several clients, or start a new one."""
        self.state = state or KeyValueState()
        self.is_down = False
        self.answers_to_lose = 0
        self.commits_to_delay = 0
        self.delayed_commits: list[Callable[[], Committed | Conflict]] = []
        self.commits_count = 0
        self.reads_count = 0

    async def read(self, key: str) -> StoredValue | None:
        """Return the value of a key, or ``None``."""
        await self._begin_call()
        self.reads_count += 1
        return self.state.stored.get(key)

    async def read_prefix(self, prefix: str) -> PrefixSnapshot:
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
    ) -> Committed | Conflict:
        """Apply the writes if the guards hold."""
        await self._begin_call()
        self.commits_count += 1
        apply = partial(self._apply, tuple(guards), tuple(writes))
        if self.commits_to_delay:
            self.commits_to_delay -= 1
            self.delayed_commits.append(apply)
            raise StoreAnswerLost(message='the commit is not carried out yet')
        outcome = apply()
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise StoreAnswerLost(message='the answer was lost')
        return outcome

    async def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Create a lease."""
        await self._begin_call()
        # The state also takes fractions of a second.
        ttl_s: float = ttl_ms / _MS_PER_S
        return self.state.grant_lease(ttl_s, trio.current_time())

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Extend a lease and return whether it still exists."""
        await self._begin_call()
        return bool(self.state.keep_alive(lease, trio.current_time()))

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        await self._begin_call()
        self.state.revoke_lease(lease)

    async def poll(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_ms: int,
    ) -> WatchBatch:
        """Return the changes after a revision, none when the wait ends."""
        deadline_s = trio.current_time() + wait_ms / _MS_PER_S
        while True:
            await self._begin_call()
            if after_revision < self.state.compacted_revision:
                raise HistoryLost(
                    message=f'store has no history after {after_revision}'
                )
            found = self.state.changes_after(after_revision, prefix)
            if found or trio.current_time() >= deadline_s:
                events = [event for _, batch in found for event in batch]
                return WatchBatch(self.state.revision, tuple(events))
            await trio.sleep(0.01)

    async def _begin_call(self) -> None:
        await trio.lowlevel.checkpoint()
        if self.is_down:
            raise StoreUnavailable(message='the store is down')
        self.state.expire_due_leases(trio.current_time())

    def _apply(
        self,
        guards: Sequence[Guard],
        writes: Sequence[Write],
    ) -> Committed | Conflict:
        if not self.state.guards_hold(guards):
            return Conflict(
                tuple(
                    self.state.stored[guard.key]
                    for guard in guards
                    if guard.key in self.state.stored
                ),
            )
        try:
            return Committed(self.state.apply(writes))
        except ValueError as failure:
            raise LeaseEnded(message=str(failure)) from failure
