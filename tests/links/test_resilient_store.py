"""Shedding, health and retries of the resilient store."""

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
from marjoramwharf.links.resilient_store import ResilientStore
from marjoramwharf.links.store import Guard, Urgency, Write
from marjoramwharf.links.store_health import StoreHealth
from marjoramwharf.settings import StoreSettings
from standins.memory_store import MemoryStore

_KEY = '/once/team/1'
_CREATE = (Guard(_KEY, 0),)
_OURS = (Write(_KEY, b'ours'),)


def _run(check: Callable[[], Awaitable[None]]) -> None:
    trio.run(check, clock=MockClock(autojump_threshold=0))


class ResilientStoreTests(unittest.TestCase):
    """Guards against a client that overloads a failing store."""

    def test_health_has_hysteresis(self) -> None:
        """Guards against a health that changes with every call."""
        _run(self._health)

    def test_slow_store_is_seen(self) -> None:
        """Guards against a slow store that is reported as healthy."""
        _run(self._slowness)

    def test_lost_write_is_not_repeated(self) -> None:
        """Guards against a retried write that may already be applied."""
        _run(self._lost_write)

    def test_ownership_is_not_shed(self) -> None:
        """Guards against a lost lease under a burst of job commits."""
        _run(self._shedding)

    def setUp(self) -> None:
        """Wrap an empty store with a budget of 10 writes per second."""
        self.store = MemoryStore()

    async def _health(self) -> None:
        resilient = self._make_store()
        self.store.is_down = True
        with self.assertRaises(StoreUnavailable):
            await resilient.read(_KEY, urgency=Urgency.JOB)
        self.assertEqual(resilient.health, StoreHealth.DOWN)
        self.assertEqual(resilient.counters.failed_count, 3)
        self.store.is_down = False
        await resilient.read(_KEY, urgency=Urgency.JOB)
        self.assertEqual(resilient.health, StoreHealth.DOWN)
        await resilient.read(_KEY, urgency=Urgency.JOB)
        self.assertEqual(resilient.health, StoreHealth.HEALTHY)

    async def _slowness(self) -> None:
        resilient = self._make_store()
        self.store.delay_s = 0.4
        for _ in range(8):
            await resilient.read(_KEY, urgency=Urgency.JOB)
        self.assertEqual(resilient.health, StoreHealth.SLOW)
        self.store.delay_s = 0
        for _ in range(8):
            await resilient.read(_KEY, urgency=Urgency.JOB)
        self.assertEqual(resilient.health, StoreHealth.HEALTHY)

    async def _lost_write(self) -> None:
        resilient = self._make_store()
        self.store.answers_to_lose = 1
        with self.assertRaises(StoreAnswerLost):
            await resilient.commit(_CREATE, _OURS, urgency=Urgency.CLAIM)
        self.assertEqual(self.store.writes_count, 1)
        self.assertEqual(resilient.counters.lost_count, 1)

    async def _shedding(self) -> None:
        resilient = self._make_store()
        for _ in range(10):
            await resilient.commit((), _OURS, urgency=Urgency.JOB)
        with self.assertRaises(StoreBudgetSpent):
            await resilient.commit((), _OURS, urgency=Urgency.JOB)
        lease = await resilient.grant_lease(5)
        self.assertEqual(await resilient.keep_alive(lease), 5)
        self.assertEqual(resilient.counters.shed_count, 1)

    def _make_store(self) -> ResilientStore:
        return ResilientStore(
            self.store,
            StoreSettings(url='http://unused', writes_per_s=10),
            rng=random.Random(1),
        )
