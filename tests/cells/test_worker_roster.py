"""The workers that an owner leaves to the next one."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import trio

from marjoramwharf.cells.records import CellId, owner_key, roster_prefix
from marjoramwharf.cells.worker_roster import WorkerRoster
from marjoramwharf.errors import NotOwner
from marjoramwharf.ids import WorkerId
from marjoramwharf.links.store import Guard, Write
from marjoramwharf.scheduling.fleet import WorkerListing, WorkerState
from standins.polling_store import PollingMemoryStore
from tests.cells.cluster import run_with_clock
from tests.scheduling.fixtures import make_worker

_CELL = CellId(0)
_NAMES = tuple(f'w{number}' for number in range(40))
_STORED_S = 2


class WorkerRosterTests(unittest.TestCase):
    """Guards against workers that the next owner doesn't learn of."""

    def test_all_fields_are_kept(self) -> None:
        """Guards against a listing that loses something on the way."""
        run_with_clock(self._all_fields)

    def test_store_is_away(self) -> None:
        """Guards against changes that are lost in an outage."""
        run_with_clock(self._store_is_away)

    def test_write_without_an_answer(self) -> None:
        """Guards against an older roster that a late write brings back."""
        run_with_clock(self._write_without_an_answer)

    def test_unchanged_listing(self) -> None:
        """Guards against a write for each heartbeat."""
        run_with_clock(self._unchanged)

    def test_damaged_part(self) -> None:
        """Guards against one damaged record that hides all workers."""
        run_with_clock(self._damaged_part)

    def test_another_owner(self) -> None:
        """Guards against the roster of an owner that was replaced."""
        run_with_clock(self._another_owner)

    async def _all_fields(self) -> None:
        store = PollingMemoryStore()
        known = _listings()
        known['w1'] = replace(
            known['w1'], state=WorkerState.DRAINING, born_ms=7, machine='m1'
        )
        async with _open_tenure(store, known) as roster:
            _mark_all(roster)
            await trio.sleep(_STORED_S)
        self.assertEqual(known, await _loaded(store))

    async def _store_is_away(self) -> None:
        store = PollingMemoryStore()
        known = _listings()
        async with _open_tenure(store, known) as roster:
            store.is_down = True
            _mark_all(roster)
            await trio.sleep(_STORED_S)
            known.pop('w2')
            roster.mark_changed(WorkerId('w2'))
            await trio.sleep(_STORED_S)
            store.is_down = False
            await trio.sleep(_STORED_S)
        self.assertEqual(known, await _loaded(store))

    async def _write_without_an_answer(self) -> None:
        store = PollingMemoryStore()
        known = _listings()
        async with _open_tenure(store, known) as roster:
            store.commits_to_delay = 1
            _mark_all(roster)
            await trio.sleep(_STORED_S)
            known.pop('w2')
            roster.mark_changed(WorkerId('w2'))
            await trio.sleep(_STORED_S)
            for apply in store.delayed_commits:
                apply()
            await trio.sleep(_STORED_S)
        self.assertEqual(known, await _loaded(store))

    async def _unchanged(self) -> None:
        store = PollingMemoryStore()
        known = _listings()
        async with _open_tenure(store, known) as roster:
            _mark_all(roster)
            await trio.sleep(_STORED_S)
            before = store.state.revision
            known['w1'] = replace(known['w1'], remaining_ms=100)
            roster.mark_changed(WorkerId('w1'))
            await trio.sleep(_STORED_S)
        self.assertEqual(before, store.state.revision)

    async def _damaged_part(self) -> None:
        store = PollingMemoryStore()
        known = _listings()
        async with _open_tenure(store, known) as roster:
            _mark_all(roster)
            await trio.sleep(_STORED_S)
        damaged = next(
            key
            for key in store.state.stored
            if key.startswith(roster_prefix(_CELL))
        )
        store.state.apply([Write(damaged, b'no record')])
        found = await _loaded(store)
        self.assertTrue(found)
        self.assertLess(found.items(), known.items())
        async with _open_tenure(store, known) as roster:
            _mark_all(roster)
            await trio.sleep(_STORED_S)
        self.assertEqual(known, await _loaded(store))

    async def _another_owner(self) -> None:
        store = PollingMemoryStore()
        with self.assertRaises(ExceptionGroup) as raised:
            async with _open_tenure(store, _listings()) as roster:
                store.state.apply([Write(owner_key(_CELL), b'another')])
                _mark_all(roster)
                await trio.sleep(_STORED_S)
        self.assertTrue(raised.exception.subgroup(NotOwner))
        self.assertFalse(await _loaded(store))


def _listings() -> dict[str, WorkerListing]:
    return {name: make_worker(name).listing for name in _NAMES}


def _mark_all(roster: WorkerRoster) -> None:
    for name in _NAMES:
        roster.mark_changed(WorkerId(name))


@asynccontextmanager
async def _open_tenure(
    store: PollingMemoryStore, known: dict[str, WorkerListing]
) -> AsyncIterator[WorkerRoster]:
    """Yield the roster of a new owner, which is stored as it changes."""
    revision = store.state.apply([Write(owner_key(_CELL), b'owner')])
    guard = Guard(owner_key(_CELL), revision)
    roster = WorkerRoster(store, _CELL, guard, known.values)
    await roster.load()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(roster.run)
        yield roster
        nursery.cancel_scope.cancel()


async def _loaded(store: PollingMemoryStore) -> dict[str, WorkerListing]:
    """Return what the next owner would load, by worker id."""
    roster = WorkerRoster(store, _CELL, Guard('unused', 0), tuple)
    return {str(listing.worker_id): listing for listing in await roster.load()}
