"""Discovery of the other entries."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.entry_directory import EntryDirectory
from marjoramwharf.cells.records import EntryRecord
from standins.polling_store import PollingMemoryStore
from tests.cells.cluster import run_with_clock

# Both ids have the same slot.
_SHARING_IDS = ('e6', 'e20')


async def _run_in(scope: trio.CancelScope, directory: EntryDirectory) -> None:
    with scope:
        await directory.run()


def _directory(store: PollingMemoryStore, name: str) -> EntryDirectory:
    return EntryDirectory(store, EntryRecord(name, name, 1, f'of {name}'))


class EntryDirectoryTests(unittest.TestCase):
    """Guards against an entry that knows no peer when it needs one."""

    def test_entries_find_each_other(self) -> None:
        """Guards against entries that start together and miss each other."""
        run_with_clock(self._entries_find_each_other)

    def test_store_outage(self) -> None:
        """Guards against peers that are dropped while the store is down."""
        run_with_clock(self._store_outage)

    def test_many_entries(self) -> None:
        """Guards against a read whose size grows with the number of entries."""
        run_with_clock(self._many_entries)

    def test_shared_slot(self) -> None:
        """Guards against an entry that is hidden by one that has gone."""
        run_with_clock(self._shared_slot)

    async def _shared_slot(self) -> None:
        store = PollingMemoryStore()
        hidden, hiding = (_directory(store, name) for name in _SHARING_IDS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hidden.run)
            await trio.sleep(1)
            scope = trio.CancelScope()
            nursery.start_soon(_run_in, scope, hiding)
            await trio.sleep(1)
            scope.cancel()
            await trio.sleep(60)
            self.assertEqual(
                [hidden.record.entry_id],
                [peer.entry_id for peer in hidden.peers],
            )
            nursery.cancel_scope.cancel()

    async def _entries_find_each_other(self) -> None:
        store = PollingMemoryStore()
        directories = [_directory(store, name) for name in ('e1', 'e2')]
        async with trio.open_nursery() as nursery:
            for directory in directories:
                nursery.start_soon(directory.run)
            await trio.sleep(2)
            for directory in directories:
                entry_ids = {peer.entry_id for peer in directory.peers}
                self.assertEqual({'e1', 'e2'}, entry_ids)
            nursery.cancel_scope.cancel()

    async def _store_outage(self) -> None:
        store = PollingMemoryStore()
        directory = _directory(store, 'e1')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(directory.run)
            await trio.sleep(2)
            store.is_down = True
            await trio.sleep(30)
            self.assertTrue(directory.peers)
            store.is_down = False
            await trio.sleep(11)
            self.assertTrue(store.state.values_below('mw/entry/'))
            nursery.cancel_scope.cancel()

    async def _many_entries(self) -> None:
        store = PollingMemoryStore()
        async with trio.open_nursery() as nursery:
            for number in range(300):
                nursery.start_soon(_directory(store, f'e{number}').run)
            await trio.sleep(0.5)
            self.assertLessEqual(len(store.state.values_below('mw/entry/')), 64)
            nursery.cancel_scope.cancel()
