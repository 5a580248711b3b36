"""Shedding, health and retries of the guarded store."""

from __future__ import annotations

import random
import unittest
from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from marjoramwharf.errors import (
    StoreAnswerLost,
    StoreBudgetSpent,
    StoreUnavailable,
)
from marjoramwharf.links.store import Guard, Urgency, Write
from marjoramwharf.links.resilient_store import ResilientStore
from marjoramwharf.links.store_health import StoreHealth
from marjoramwharf.settings import StoreSettings
from standins.memory_store import MemoryStore

_KEY = '/once/team/1'
_CREATE = (Guard(_KEY, 0),)
_OURS = (Write(_KEY, b'ours'),)


def _run(check: Callable[[], Awaitable[None]]) -> None:
    trio.run(check, clock=MockClock(autojump_threshold=0))


class ResilientStoreTests(unittest.TestCase):
    """Guards against a client that harms a store in trouble."""

    def test_health_has_hysteresis(self) -> None:
        """Guards against a state that flips with every call."""
        _run(self._health)

    def test_slow_store_is_seen(self) -> None:
        """Guards against latency that counts as health."""
        _run(self._slowness)

    def test_lost_write_is_not_repeated(self) -> None:
        """Guards against a blind repetition of a write."""
        _run(self._lost_write)

    def test_ownership_is_not_shed(self) -> None:
        """Guards against a lost lease under a burst of job commits."""
        _run(self._shedding)

    def setUp(self) -> None:
        """Wrap an empty store with a budget of 10 writes per second."""
        self.store = MemoryStore()

    async def _health(self) -> None:
        guarded = self._guarded()
        self.store.is_down = True
        with self.assertRaises(StoreUnavailable):
            await guarded.read(_KEY, urgency=Urgency.JOB)
        self.assertEqual(guarded.health, StoreHealth.DOWN)
        self.assertEqual(guarded.counters.failed_count, 3)
        self.store.is_down = False
        await guarded.read(_KEY, urgency=Urgency.JOB)
        self.assertEqual(guarded.health, StoreHealth.DOWN)
        await guarded.read(_KEY, urgency=Urgency.JOB)
        self.assertEqual(guarded.health, StoreHealth.HEALTHY)

    async def _slowness(self) -> None:
        guarded = self._guarded()
        self.store.delay_s = 0.4
        for _ in range(8):
            await guarded.read(_KEY, urgency=Urgency.JOB)
        self.assertEqual(guarded.health, StoreHealth.SLOW)
        self.store.delay_s = 0
        for _ in range(8):
            await guarded.read(_KEY, urgency=Urgency.JOB)
        self.assertEqual(guarded.health, StoreHealth.HEALTHY)

    async def _lost_write(self) -> None:
        guarded = self._guarded()
        self.store.answers_to_lose = 1
        with self.assertRaises(StoreAnswerLost):
            await guarded.commit(_CREATE, _OURS, urgency=Urgency.CLAIM)
        self.assertEqual(self.store.writes_count, 1)
        self.assertEqual(guarded.counters.lost_count, 1)

    async def _shedding(self) -> None:
        guarded = self._guarded()
        for _ in range(10):
            await guarded.commit((), _OURS, urgency=Urgency.JOB)
        with self.assertRaises(StoreBudgetSpent):
            await guarded.commit((), _OURS, urgency=Urgency.JOB)
        lease = await guarded.grant_lease(5)
        self.assertEqual(await guarded.keep_alive(lease), 5)
        self.assertEqual(guarded.counters.shed_count, 1)

    def _guarded(self) -> ResilientStore:
        return ResilientStore(
            self.store,
            StoreSettings(url='http://unused', writes_per_s=10),
            rng=random.Random(1),
        )
