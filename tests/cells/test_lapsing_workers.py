"""Marks of workers at which the leases of runs are left to lapse."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from marjoramwharf.cells.lapsing_view import LapsingView
from marjoramwharf.cells.lapsing_workers import LapsingWorkers
from marjoramwharf.cells.records import (
    CellId,
    LapsingMark,
    LapsingRecord,
    decode,
    encode,
    lapsing_key,
    owner_key,
)
from marjoramwharf.errors import NotOwner
from marjoramwharf.ids import WorkerId
from marjoramwharf.links.store import Guard, Write
from standins.polling_store import PollingMemoryStore
from tests.cells.cluster import run_with_clock

_CELL = CellId(0)
_WORKER = WorkerId('w1')
_OTHER = WorkerId('w2')


class LapsingWorkersTests(unittest.TestCase):
    """Guards against leases that a later owner doesn't know of."""

    def test_marks_of_a_worker_differ(self) -> None:
        """Guards against a second mark that counts from the first one."""
        run_with_clock(self._marks_differ)

    def test_marked_worker_until_it_is_stored(self) -> None:
        """Guards against a lease while the store may hold the mark."""
        run_with_clock(self._marked_until_stored)

    def test_write_without_an_answer(self) -> None:
        """Guards against a late write that brings a mark back."""
        run_with_clock(self._write_without_an_answer)

    def test_marks_nobody_vouched_for(self) -> None:
        """Guards against marks that the owner before didn't respect."""
        run_with_clock(self._marks_nobody_vouched_for)

    def test_owner_vouches_for_the_marks_it_found(self) -> None:
        """Guards against marks that only the next owner relies on."""
        run_with_clock(self._vouches_for_marks)

    def test_damaged_record(self) -> None:
        """Guards against an owner that can't load a damaged record."""
        run_with_clock(self._damaged_record)

    def test_another_owner(self) -> None:
        """Guards against marks of an owner that was replaced."""
        run_with_clock(self._another_owner)

    async def _marks_differ(self) -> None:
        store = PollingMemoryStore()
        async with _open_tenure(store) as lapsing:
            lapsing.mark({_WORKER})
            await trio.sleep(1)
            first = _stored_marks(store)
            lapsing.mark(set())
            lapsing.mark({_WORKER})
            await trio.sleep(1)
            second = _stored_marks(store)
        self.assertEqual([_WORKER], [mark.worker_id for mark in second])
        self.assertFalse(set(first) & set(second))

    async def _marked_until_stored(self) -> None:
        store = PollingMemoryStore()
        async with _open_tenure(store) as lapsing:
            lapsing.mark({_WORKER, _OTHER})
            self.assertFalse(lapsing.may_extend(_WORKER))
            await trio.sleep(1)
            store.is_down = True
            self.assertFalse(await lapsing.allow_extending(_WORKER))
            self.assertFalse(lapsing.may_extend(_WORKER))
            store.is_down = False
            self.assertTrue(await lapsing.allow_extending(_WORKER))
        self.assertEqual(
            [_OTHER], [mark.worker_id for mark in _stored_marks(store)]
        )

    async def _write_without_an_answer(self) -> None:
        store = PollingMemoryStore()
        async with _open_tenure(store) as lapsing:
            store.commits_to_delay = 1
            lapsing.mark({_WORKER})
            await trio.sleep(0.01)
            self.assertTrue(await lapsing.allow_extending(_WORKER))
            for apply in store.delayed_commits:
                apply()
            await trio.sleep(1)
            self.assertTrue(lapsing.may_extend(_WORKER))
        self.assertFalse(_stored_marks(store))

    async def _marks_nobody_vouched_for(self) -> None:
        store = PollingMemoryStore()
        await _store_record(store, fence=7)
        async with _open_tenure(store, former_fence=9) as lapsing:
            self.assertIsNone(lapsing.inherited_s(_WORKER))
            self.assertFalse(lapsing.may_extend(_WORKER))
            self.assertTrue(await lapsing.allow_extending(_WORKER))
        await _store_record(store, fence=7)
        async with _open_tenure(store, former_fence=7) as lapsing:
            self.assertIsNotNone(lapsing.inherited_s(_WORKER))

    async def _vouches_for_marks(self) -> None:
        store = PollingMemoryStore()
        fence = 7
        await _store_record(store, fence=fence)
        for _ in range(3):
            async with _open_tenure(store, former_fence=fence) as lapsing:
                self.assertIsNotNone(lapsing.inherited_s(_WORKER))
                fence = lapsing.ownership_guard.mod_revision
                await trio.sleep(1)
        self.assertEqual((LapsingMark(_WORKER, 7, 1),), _stored_marks(store))

    async def _damaged_record(self) -> None:
        store = PollingMemoryStore()
        store.state.apply([Write(lapsing_key(_CELL), b'no record')])
        async with _open_tenure(store, former_fence=7) as lapsing:
            lapsing.mark({_WORKER})
            await trio.sleep(1)
        self.assertEqual(
            [_WORKER], [mark.worker_id for mark in _stored_marks(store)]
        )

    async def _another_owner(self) -> None:
        store = PollingMemoryStore()
        with self.assertRaises(ExceptionGroup) as raised:
            async with _open_tenure(store) as lapsing:
                store.state.apply([Write(owner_key(_CELL), b'another')])
                lapsing.mark({_WORKER})
                await trio.sleep(1)
        self.assertTrue(raised.exception.subgroup(NotOwner))
        self.assertNotIn(lapsing_key(_CELL), store.state.stored)


@asynccontextmanager
async def _open_tenure(
    store: PollingMemoryStore, former_fence: int | None = None
) -> AsyncIterator[LapsingWorkers]:
    """Yield the marks of a new owner, which are stored as they change."""
    revision = store.state.apply([Write(owner_key(_CELL), b'owner')])
    lapsing = LapsingWorkers(
        store,
        _CELL,
        Guard(owner_key(_CELL), revision),
        LapsingView(),
        former_fence,
    )
    await lapsing.load()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lapsing.run)
        yield lapsing
        nursery.cancel_scope.cancel()


async def _store_record(store: PollingMemoryStore, fence: int) -> None:
    record = LapsingRecord(fence, (LapsingMark(_WORKER, fence, 1),))
    store.state.apply([Write(lapsing_key(_CELL), encode(record))])


def _stored_marks(store: PollingMemoryStore) -> tuple[LapsingMark, ...]:
    key = lapsing_key(_CELL)
    return decode(store.state.stored[key].body, LapsingRecord, key=key).marks
