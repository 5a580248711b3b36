"""A store client with rate limits, health tracking and retried reads.

``ResilientStore`` wraps any ``Store``. It retries reads with jittered backoff
but never writes. :mod:`links.store_settlement` finds out whether a commit was
applied if its answer was lost.

Example:
    resilient = ResilientStore(store, settings)
    if resilient.health is not StoreHealth.DOWN:
        found = await resilient.read('/note/head', urgency=Urgency.STATUS)
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

# Attempts of a read. While the store is down, a read is not retried.
_READ_ATTEMPTS = 3
_INITIAL_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 0.5

_Outcome = TypeVar('_Outcome')


@dataclass(slots=True)
class StoreCounters:
    """Counts of calls since the start, and of open watches, for metrics."""

    reads_count: int = 0
    writes_count: int = 0
    retries_count: int = 0
    shed_count: int = 0
    failed_count: int = 0
    lost_count: int = 0
    watches_count: int = 0


class ResilientStore:
    """Adds rate limits, retries and health tracking to another ``Store``.

    Besides the failures of the interface, a call may raise
    ``StoreBudgetSpent``, in which case nothing was sent.
    """

    def __init__(
        self,
        store: Store,
        settings: StoreSettings,
        *,
        clock: Callable[[], float] = trio.current_time,
        rng: random.Random | None = None,
    ) -> None:
        """Wrap a store; ``clock`` returns monotonic seconds."""
        self.counters = StoreCounters()
        self._store = store
        self._clock = clock
        self._rng = rng or random.Random()
        self._budget = StoreBudget(settings, now_s=clock())
        self._health_tracker = HealthTracker(
            timeout_s=settings.timeout_ms / 1000
        )

    @property
    def health(self) -> StoreHealth:
        """The health of the store according to the calls so far."""
        return self._health_tracker.health

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
        """Create a lease that expires unless it is kept alive."""
        return await self._write(
            Urgency.OWNERSHIP,
            lambda: self._store.grant_lease(ttl_s),
        )

    async def keep_alive(self, lease: LeaseId) -> int:
        """Extend a lease; return its seconds to live, 0 if it has expired."""
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
        """Stream the changes below a prefix, reconnecting when disconnected."""
        with ExitStack() as stack:
            self._change_watches_count(1)
            stack.callback(self._change_watches_count, -1)
            async with self._store.watch(
                prefix,
                from_revision=from_revision,
            ) as batches:
                yield batches

    def _change_watches_count(self, change: int) -> None:
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
            initial_s=_INITIAL_BACKOFF_S,
            max_s=_MAX_BACKOFF_S,
            rng=self._rng,
        )
        for _ in range(_READ_ATTEMPTS - 1):
            try:
                return await self._attempt_read(urgency, call)
            except StoreRefused:
                raise
            except StoreUnavailable:
                if self.health is StoreHealth.DOWN:
                    raise
            self.counters.retries_count += 1
            await trio.sleep(backoff.next_wait_s())
        return await self._attempt_read(urgency, call)

    async def _attempt_read(
        self,
        urgency: Urgency,
        call: Callable[[], Awaitable[_Outcome]],
    ) -> _Outcome:
        self._admit(self._budget.admit_read, urgency)
        self.counters.reads_count += 1
        return await self._call_and_record(call)

    async def _write(
        self,
        urgency: Urgency,
        call: Callable[[], Awaitable[_Outcome]],
    ) -> _Outcome:
        self._admit(self._budget.admit_write, urgency)
        self.counters.writes_count += 1
        return await self._call_and_record(call)

    def _admit(
        self,
        admit: Callable[[Urgency, float], None],
        urgency: Urgency,
    ) -> None:
        try:
            admit(urgency, self._clock())
        except StoreBudgetSpent:
            self.counters.shed_count += 1
            raise

    async def _call_and_record(
        self,
        call: Callable[[], Awaitable[_Outcome]],
    ) -> _Outcome:
        """Make a call and update the health and the counters."""
        started_s = self._clock()
        try:
            outcome = await call()
        except StoreRefused:
            self._health_tracker.record_answer(self._clock() - started_s)
            raise
        except StoreUnavailable:
            self.counters.failed_count += 1
            self._health_tracker.record_failure()
            raise
        except StoreAnswerLost:
            self.counters.lost_count += 1
            self._health_tracker.record_failure()
            raise
        self._health_tracker.record_answer(self._clock() - started_s)
        return outcome
