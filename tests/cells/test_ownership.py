"""Records of owners that follow each other closely, or without answers."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import trio
from trio.testing import wait_all_tasks_blocked

from marjoramwharf.cells.owner_view import OwnerView
from marjoramwharf.cells.ownership import Campaign, Tenure
from marjoramwharf.cells.records import EntryRecord, encode, owner_key
from marjoramwharf.ids import LeaseId
from marjoramwharf.links.store import StoredValue, StoreEvent, WatchBatch
from standins.polling_store import PollingMemoryStore
from tests.cells.cluster import CELL, TTL_MS

_KEY = owner_key(CELL)
_OWN = EntryRecord('e1', '10.0.0.1', 7, 'secret')
_NEXT = EntryRecord('e2', '10.0.0.2', 7, 'another secret')


def _campaign(store: PollingMemoryStore) -> Campaign:
    return Campaign(
        store=store,
        view=OwnerView(),
        cell=CELL,
        record=_OWN,
        ttl_ms=TTL_MS,
        cpu_share=1,
        run_cell=_run_nothing,
    )


async def _run_nothing(_tenure: Tenure) -> None:
    await trio.lowlevel.checkpoint()


def _written(record: EntryRecord, revision: int) -> StoreEvent:
    return StoreEvent(
        _KEY, StoredValue(_KEY, encode(record), revision, revision)
    )


class OwnershipTests(unittest.TestCase):
    """Guards against a record of one tenure that counts for another."""

    def test_successor_is_seen_with_own_record(self) -> None:
        """Guards against an owner that goes on beside its successor."""
        trio.run(self._successor_is_seen_with_own_record)

    def test_older_record_is_seen_first(self) -> None:
        """Guards against a tenure that ends for the sake of an old record."""
        trio.run(self._older_record_is_seen_first)

    def test_answers_of_two_attempts_are_lost(self) -> None:
        """Guards against a record whose lease nobody renews."""
        trio.run(self._answers_of_two_attempts_are_lost)

    async def _answers_of_two_attempts_are_lost(self) -> None:
        """The first attempt is carried out after the second one failed."""
        store = PollingMemoryStore()
        campaign = _campaign(store)
        store.commits_to_delay = 2
        self.assertIsNone(await campaign._acquire(0))
        read = store.read

        async def read_after_late_commit(key: str) -> StoredValue | None:
            store.delayed_commits[0]()
            return await read(key)

        with patch.object(store, 'read', read_after_late_commit):
            self.assertIsNone(await campaign._acquire(0))

    async def _successor_is_seen_with_own_record(self) -> None:
        """The view lags, and gets both records in one batch."""
        own, successor = _written(_OWN, 10), _written(_NEXT, 11)
        self.assertTrue(await self._ends_after(own, successor))

    async def _older_record_is_seen_first(self) -> None:
        self.assertFalse(await self._ends_after(_written(_NEXT, 9)))

    async def _ends_after(self, *events: StoreEvent) -> bool:
        """Return whether a tenure of revision 10 ends after a batch."""
        campaign = _campaign(PollingMemoryStore())
        tenure = Tenure(CELL, LeaseId(1), 10, 0, 0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(campaign._watch_record, tenure)
            await wait_all_tasks_blocked()
            await campaign.view.apply(WatchBatch(11, events))
            await wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        return tenure.scope.cancel_called
