"""Watching a prefix through an outage and a lost history."""

from __future__ import annotations

import unittest

import trio
from trio.testing import MockClock

from marjoramwharf.links.prefix_watcher import PrefixWatcher
from marjoramwharf.links.store import WatchBatch, Write
from standins.polling_store import PollingMemoryStore

# Changes in one answer, and changes a second. With a pause of a quarter of a
# second after each answer, there would be more than are read.
_LIMIT_COUNT = 200
_CHANGES_PER_S = 1_000
_COLLECTION_S = 0.25
_WRITING_S = 20
_LAG_LIMIT_S = 1.0


class _LimitedAnswers(PollingMemoryStore):
    """A store that answers a poll with a limited number of changes."""

    def __init__(self) -> None:
        """Start empty; ``polls_count`` is the number of polls."""
        super().__init__()
        self.polls_count = 0

    async def poll(
        self, prefix: str, *, after_revision: int, wait_ms: int
    ) -> WatchBatch:
        """Return the first changes after a revision."""
        self.polls_count += 1
        batch = await super().poll(
            prefix, after_revision=after_revision, wait_ms=wait_ms
        )
        events = batch.events[:_LIMIT_COUNT]
        if len(events) == len(batch.events) or events[-1].stored is None:
            return batch
        return WatchBatch(events[-1].stored.mod_revision, events)


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

    def test_limited_answers(self) -> None:
        """Guards against a watch that falls behind further and further."""
        trio.run(self._limited_answers, clock=MockClock(autojump_threshold=0))

    def test_collection(self) -> None:
        """Guards against a poll for each of many changes."""
        trio.run(self._collection, clock=MockClock(autojump_threshold=0))

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

    async def _limited_answers(self) -> None:
        await self._write_for_long(_CHANGES_PER_S)
        latest_s = float(self.seen['a/latest'])
        self.assertLess(trio.current_time() - latest_s, _LAG_LIMIT_S)

    async def _collection(self) -> None:
        store = await self._write_for_long(_CHANGES_PER_S // 10)
        self.assertLess(store.polls_count, 2 * _WRITING_S / _COLLECTION_S)

    async def _write_for_long(self, changes_per_s: int) -> _LimitedAnswers:
        """Write the present time again and again, and follow it."""
        store = _LimitedAnswers()
        watcher = PrefixWatcher(
            store, 'a/', self._apply, batch_delay_s=_COLLECTION_S
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            for _ in range(changes_per_s * _WRITING_S):
                now = str(trio.current_time()).encode()
                store.state.apply([Write('a/latest', now)])
                await trio.sleep(1 / changes_per_s)
            nursery.cancel_scope.cancel()
        return store

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
