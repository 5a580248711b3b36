"""A store client with a budget, a health state and retried reads.

``ResilientStore`` wraps any ``Store``. Reads are repeated with jittered backoff;
writes are never repeated by it. :mod:`links.store_settlement` finds out what
became of a commit whose answer was lost.

Example:
    guarded = ResilientStore(store, settings)
    if guarded.health is not StoreHealth.DOWN:
        found = await guarded.read('/note/head', urgency=Urgency.STATUS)
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import ExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import TypeVar

import trio

from marjoramwharf.errors import (
    StoreAnswerLost,
    StoreBudgetSpent,
    StoreRefused,
    StoreUnavailable,
)
from marjoramwharf.ids import LeaseId
from marjoramwharf.links.backoff import Backoff
from marjoramwharf.links.store import (
    Committed,
    Conflict,
    Guard,
    PrefixSnapshot,
    Store,
    StoredValue,
    Urgency,
    WatchBatch,
    Write,
)
from marjoramwharf.links.store_budget import StoreBudget
from marjoramwharf.links.store_health import HealthTracker, StoreHealth
from marjoramwharf.settings import StoreSettings

# A read is tried this often while the store is up, once while it is down.
_READ_ATTEMPTS = 3
_FIRST_WAIT_S = 0.02
_LIMIT_WAIT_S = 0.5

_Outcome = TypeVar('_Outcome')


@dataclass(slots=True)
class StoreCounters:
    """Calls since the start, for metrics."""

    reads_count: int = 0
    writes_count: int = 0
    retries_count: int = 0
    shed_count: int = 0
    failed_count: int = 0
    lost_count: int = 0
    watches_count: int = 0


class ResilientStore:
    """Implements the ``Store`` interface over another store.

    Besides the failures of the interface, a call may raise
    ``StoreBudgetSpent``; nothing was sent then.
    """

    def __init__(
        self,
        store: Store,
        settings: StoreSettings,
        *,
        clock: Callable[[], float] = trio.current_time,
        rng: random.Random | None = None,
    ) -> None:
        """Wrap a store; ``clock`` gives monotonic seconds."""
        self.counters = StoreCounters()
        self._store = store
        self._clock = clock
        self._source = rng or random.Random()
        self._budget = StoreBudget(settings, now_s=clock())
        self._tracker = HealthTracker(timeout_s=settings.timeout_ms / 1000)

    @property
    def health(self) -> StoreHealth:
        """The state of the store as seen by the calls so far."""
        return self._tracker.health

    async def read(self, key: str, *, urgency: Urgency) -> StoredValue | None:
        """Return the value of a key, or ``None`` if it does not exist."""
        return await self._read(
            urgency,
            lambda: self._store.read(key, urgency=urgency),
        )

    async def read_prefix(
        self,
        prefix: str,
        *,
        urgency: Urgency,
    ) -> PrefixSnapshot:
        """Return all keys below a prefix at one revision."""
        return await self._read(
            urgency,
            lambda: self._store.read_prefix(prefix, urgency=urgency),
        )

    async def commit(
        self,
        guards: Sequence[Guard],
        writes: Sequence[Write],
        *,
        urgency: Urgency,
    ) -> Committed | Conflict:
        """Apply all writes in one call if all guards hold."""
        return await self._write(
            urgency,
            lambda: self._store.commit(guards, writes, urgency=urgency),
        )

    async def grant_lease(self, ttl_s: int) -> LeaseId:
        """Create a lease that lapses when it is not kept alive."""
        return await self._write(
            Urgency.OWNERSHIP,
            lambda: self._store.grant_lease(ttl_s),
        )

    async def keep_alive(self, lease: LeaseId) -> int:
        """Extend a lease and return its time to live in seconds, 0 if gone."""
        return await self._write(
            Urgency.OWNERSHIP,
            lambda: self._store.keep_alive(lease),
        )

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete the keys attached to it."""
        await self._write(
            Urgency.OWNERSHIP,
            lambda: self._store.revoke_lease(lease),
        )

    @asynccontextmanager
    async def watch(
        self,
        prefix: str,
        *,
        from_revision: int,
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        """Follow the changes below a prefix, across cuts."""
        with ExitStack() as stack:
            self._count_watch(1)
            stack.callback(self._count_watch, -1)
            async with self._store.watch(
                prefix,
                from_revision=from_revision,
            ) as batches:
                yield batches

    def _count_watch(self, change: int) -> None:
        self.counters.watches_count += change
        if change > 0:
            self._budget.add_watch(self._clock())
        else:
            self._budget.remove_watch(self._clock())

    async def _read(
        self,
        urgency: Urgency,
        call: Callable[[], Awaitable[_Outcome]],
    ) -> _Outcome:
        backoff = Backoff(
            initial_s=_FIRST_WAIT_S,
            max_s=_LIMIT_WAIT_S,
            rng=self._source,
        )
        for _ in range(_READ_ATTEMPTS - 1):
            try:
                return await self._read_once(urgency, call)
            except StoreRefused:
                raise
            except StoreUnavailable:
                if self.health is StoreHealth.DOWN:
                    raise
            self.counters.retries_count += 1
            await trio.sleep(backoff.next_wait_s())
        return await self._read_once(urgency, call)

    async def _read_once(
        self,
        urgency: Urgency,
        call: Callable[[], Awaitable[_Outcome]],
    ) -> _Outcome:
        self._spend(self._budget.admit_read, urgency)
        self.counters.reads_count += 1
        return await self._judged(call)

    async def _write(
        self,
        urgency: Urgency,
        call: Callable[[], Awaitable[_Outcome]],
    ) -> _Outcome:
        self._spend(self._budget.admit_write, urgency)
        self.counters.writes_count += 1
        return await self._judged(call)

    def _spend(
        self,
        spend: Callable[[Urgency, float], None],
        urgency: Urgency,
    ) -> None:
        try:
            spend(urgency, self._clock())
        except StoreBudgetSpent:
            self.counters.shed_count += 1
            raise

    async def _judged(
        self,
        call: Callable[[], Awaitable[_Outcome]],
    ) -> _Outcome:
        """Make a call and let the health follow its outcome."""
        started_s = self._clock()
        try:
            outcome = await call()
        except StoreRefused:
            self._tracker.record_answer(self._clock() - started_s)
            raise
        except StoreUnavailable:
            self.counters.failed_count += 1
            self._tracker.record_failure()
            raise
        except StoreAnswerLost:
            self.counters.lost_count += 1
            self._tracker.record_failure()
            raise
        self._tracker.record_answer(self._clock() - started_s)
        return outcome
