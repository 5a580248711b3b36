"""Watching a prefix through an outage and a lost history."""

from __future__ import annotations

import unittest

import trio
from trio.testing import MockClock

from marjoramwharf.links.prefix_watcher import PrefixWatcher
from marjoramwharf.links.store import WatchBatch, Write
from standins.polling_store import PollingMemoryStore


class PrefixWatcherTests(unittest.TestCase):
    """Guards against a watcher that misses the latest value of a key."""

    def setUp(self) -> None:
        """Set up a watcher of one prefix."""
        self.store = PollingMemoryStore()
        self.seen: dict[str, bytes] = {}
        self.restarts_count = 0
        self.watcher = PrefixWatcher(self.store, 'a/', self._apply)

    def test_changes(self) -> None:
        """Guards against changes that are lost between two polls."""
        trio.run(self._changes, clock=MockClock(autojump_threshold=0))

    def test_faults(self) -> None:
        """Guards against a watcher that stops after an outage.

        The same holds for a history that the store has compacted.
        """
        trio.run(self._faults, clock=MockClock(autojump_threshold=0))

    async def _apply(self, batch: WatchBatch) -> None:
        await trio.lowlevel.checkpoint()
        if batch.restarted:
            self.seen.clear()
            self.restarts_count += 1
        for event in batch.events:
            if event.stored is None:
                self.seen.pop(event.key)
            else:
                self.seen[event.key] = event.stored.body

    async def _changes(self) -> None:
        await self._put('a/1', b'before')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watcher.run)
            await self._check_seen(0.1, {'a/1': b'before'})
            await self._put('b/1', b'elsewhere')
            await self._put('a/2', b'new')
            await self._put('a/1', None)
            await self._check_seen(0.1, {'a/2': b'new'})
            nursery.cancel_scope.cancel()

    async def _faults(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watcher.run)
            await self._check_seen(1, {})
            self.store.is_down = True
            await trio.sleep(3)
            self.store.is_down = False
            await self._put('a/3', b'after the outage')
            await self._check_seen(1, {'a/3': b'after the outage'})
            self.assertEqual(1, self.restarts_count)
            await self._put('a/3', b'in a lost history')
            self.store.state.compact()
            await self._check_seen(2, {'a/3': b'in a lost history'})
            self.assertEqual(2, self.restarts_count)
            nursery.cancel_scope.cancel()

    async def _check_seen(
        self,
        after_s: float,
        expected: dict[str, bytes],
    ) -> None:
        await trio.sleep(after_s)
        self.assertEqual(expected, self.seen)

    async def _put(self, key: str, body: bytes | None) -> None:
        await self.store.commit([], [Write(key, body)])
