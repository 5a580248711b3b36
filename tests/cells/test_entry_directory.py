"""Discovery of the other entries."""

from __future__ import annotations

import unittest
import zlib

import trio

from marjoramwharf.cells.entry_directory import EntryDirectory
from marjoramwharf.cells.records import EntryRecord
from marjoramwharf.links.store import Write
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

    def test_entries_of_one_slot(self) -> None:
        """Guards against an entry that another one hides from its peers."""
        run_with_clock(self._entries_of_one_slot)

    def test_record_is_gone(self) -> None:
        """Guards against an entry that is hidden while its lease lasts."""
        run_with_clock(self._record_is_gone)

    def test_records_lapse(self) -> None:
        """Guards against peers that are lost with their records in the store."""
        run_with_clock(self._records_lapse)

    def test_former_process(self) -> None:
        """Guards against peers that know only the former process."""
        run_with_clock(self._former_process)

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
                self.assertEqual({'e1', 'e2'}, _peer_ids(directory))
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

    async def _entries_of_one_slot(self) -> None:
        store = PollingMemoryStore()
        names = [
            name
            for name in map('e{}'.format, range(500))
            if zlib.crc32(name.encode()) % 64 == 7
        ][:3]
        async with trio.open_nursery() as nursery:
            directories = [_directory(store, name) for name in names]
            for directory in directories:
                nursery.start_soon(directory.run)
            await trio.sleep(20)
            for directory in directories:
                self.assertEqual(set(names), _peer_ids(directory))
            nursery.cancel_scope.cancel()

    async def _record_is_gone(self) -> None:
        store = PollingMemoryStore()
        directory = _directory(store, 'e1')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(directory.run)
            await trio.sleep(2)
            for stored in store.state.values_below('mw/entry/'):
                await store.commit([], [Write(stored.key, None)])
            await trio.sleep(30)
            self.assertEqual({'e1'}, _peer_ids(directory))
            nursery.cancel_scope.cancel()

    async def _records_lapse(self) -> None:
        store = PollingMemoryStore()
        directory = _directory(store, 'e1')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(directory.run)
            with trio.move_on_after(2):
                await _directory(store, 'e2').run()
            for stored in store.state.values_below('mw/entry/'):
                await store.commit([], [Write(stored.key, None)])
            await trio.sleep(15)
            self.assertEqual({'e1', 'e2'}, _peer_ids(directory))
            await trio.sleep(60)
            self.assertEqual({'e1'}, _peer_ids(directory))
            nursery.cancel_scope.cancel()

    async def _former_process(self) -> None:
        store = PollingMemoryStore()
        with trio.move_on_after(2):
            await _directory(store, 'e1').run()
        record = EntryRecord('e1', 'e1', 1, 'of its next process')
        next_process = EntryDirectory(store, record)
        with trio.move_on_after(2):
            await next_process.run()
        self.assertEqual(
            ['of its next process'],
            [peer.secret for peer in next_process.peers],
        )


def _peer_ids(directory: EntryDirectory) -> set[str]:
    return {peer.entry_id for peer in directory.peers}
