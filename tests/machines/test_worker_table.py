"""Worker table: a reported leaving state overrides the lagging list."""

from __future__ import annotations

import unittest
from dataclasses import replace

from marjoramwharf.ids import DataCentreId, RackId, WorkerId
from marjoramwharf.links.directory import Listing
from marjoramwharf.machines.worker import Capacity, Worker, WorkerState
from marjoramwharf.machines.worker_table import WorkerTable, WorkerTableChange

_ID = WorkerId('w-1')


class RosterTests(unittest.TestCase):
    """Guards against new work for leaving workers."""

    def setUp(self) -> None:
        """List one live worker."""
        self.worker_table = WorkerTable()
        self.worker_table.apply(Listing(1, (_worker(),)))

    def test_heartbeat_overrides_the_list(self) -> None:
        """Guards against a lagging list that makes a worker live again."""
        self.assertTrue(self.worker_table.mark_leaving(_ID))
        self.assertFalse(self.worker_table.mark_leaving(_ID))
        self.worker_table.apply(Listing(2, (_worker(),)))
        self.assertEqual(self.worker_table.live(), ())
        self.assertEqual(len(self.worker_table.known()), 1)

    def test_same_list_again_changes_nothing(self) -> None:
        """Guards against a repeated list that makes a leaving worker live."""
        listing = Listing(2, (_worker(),))
        self.worker_table.apply(listing)
        self.worker_table.mark_leaving(_ID)
        change = self.worker_table.apply(listing)
        self.assertEqual(change, WorkerTableChange())
        self.assertEqual(self.worker_table.live(), ())
        self.assertEqual(len(self.worker_table.known()), 1)

    def test_leaving_in_the_list_is_final_too(self) -> None:
        """Guards against a leaving incarnation that becomes live again."""
        change = self.worker_table.apply(
            Listing(2, (_worker(state=WorkerState.LEAVING),)),
        )
        self.assertEqual(len(change.updated), 1)
        self.worker_table.apply(Listing(3, (_worker(),)))
        self.assertEqual(self.worker_table.live(), ())

    def test_new_incarnation_is_live(self) -> None:
        """Guards against a restarted worker that never gets work again."""
        self.worker_table.mark_leaving(_ID)
        change = self.worker_table.apply(Listing(2, ()))
        self.assertEqual(change.removed, (_ID,))
        change = self.worker_table.apply(Listing(3, (_worker(),)))
        self.assertEqual(change.added, self.worker_table.live())
        self.assertEqual(len(self.worker_table.live()), 1)

    def test_other_url_is_a_new_incarnation(self) -> None:
        """Guards against a replaced worker that never gets work again."""
        self.worker_table.mark_leaving(_ID)
        moved = replace(_worker(), url='http://127.0.0.1:7002')
        change = self.worker_table.apply(Listing(2, (moved,)))
        self.assertEqual(change.updated, (moved,))
        self.assertEqual(self.worker_table.live(), (moved,))

    def test_older_list_is_ignored(self) -> None:
        """Guards against a removed worker that an older list restores."""
        self.worker_table.mark_leaving(_ID)
        self.worker_table.apply(Listing(3, ()))
        self.worker_table.apply(Listing(2, (_worker(),)))
        self.assertIsNone(self.worker_table.find(_ID))

    def test_report_before_the_list_counts(self) -> None:
        """Guards against a lost report that came before the first list."""
        worker_table = WorkerTable()
        worker_table.mark_leaving(_ID)
        worker_table.apply(Listing(1, (_worker(),)))
        self.assertEqual(worker_table.live(), ())


def _worker(*, state: WorkerState = WorkerState.LIVE) -> Worker:
    return Worker(
        worker_id=_ID,
        url='http://127.0.0.1:7001',
        data_centre=DataCentreId('dc-1'),
        rack=RackId('rack-1'),
        capacity=Capacity(8, 64, 32_000, 125_000),
        services=frozenset(('notice',)),
        state=state,
    )
