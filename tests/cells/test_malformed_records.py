"""Values in the store, listings and reports that nobody can make sense of."""

from __future__ import annotations

from unittest import TestCase, mock

import trio

from marjoramwharf.cells.entry_directory import EntryDirectory
from marjoramwharf.cells.job_status import PublicJobState
from marjoramwharf.cells.ownership import OwnerView
from marjoramwharf.cells.records import (
    CellId,
    EntryRecord,
    encode,
    progress_key,
    request_key,
)
from marjoramwharf.ids import JobId, WorkerId
from marjoramwharf.links.store import StoredValue, StoreEvent, WatchBatch, Write
from standins.polling_store import PollingMemoryStore
from tests.cells.cluster import (
    CELL,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
)

_JUNK = b'\xc1 not a record'


async def _wait_done(cluster: Cluster, name: str) -> None:
    request = job_request(name)
    await cluster.submit(request)
    await cluster.wait_until(
        lambda: cluster.state(request) is PublicJobState.DONE, limit_s=10
    )


class MalformedRecordTests(TestCase):
    """Guards against one bad value that stops a process or a cell."""

    def test_request(self) -> None:
        """Guards against a bad request that hides those after it."""
        run_with_clock(self._request)

    def test_progress(self) -> None:
        """Guards against a job that runs again as its progress is lost."""
        run_with_clock(self._progress)

    def test_listing(self) -> None:
        """Guards against a listing that hides the other workers."""
        run_with_clock(self._listing)

    def test_report(self) -> None:
        """Guards against a report that ends the ownership of the cell."""
        run_with_clock(self._report)

    def test_owner_records(self) -> None:
        """Guards against a bad owner record that hides the others."""
        trio.run(self._owner_records)

    def test_entry_records(self) -> None:
        """Guards against a bad entry record that hides the others."""
        trio.run(self._entry_records)

    async def _request(self) -> None:
        async with open_cluster() as (cluster, nursery):
            junk = Write(request_key(CELL, JobId('0' * 16)), _JUNK)
            await cluster.store.commit([], [junk])
            candidate = cluster.spawn(nursery, 'e1')
            await _wait_done(cluster, 'aa')
            await cluster.store.commit([], [junk])
            await _wait_done(cluster, 'bb')
            self.assertEqual(1, candidate.tenures_count)

    async def _progress(self) -> None:
        async with open_cluster() as (cluster, nursery):
            damaged = job_request('dd')
            await cluster.submit(damaged)
            key = progress_key(CELL, damaged.job_id)
            await cluster.store.commit([], [Write(key, _JUNK)])
            candidate = cluster.spawn(nursery, 'e1')
            await _wait_done(cluster, 'aa')
            self.assertFalse(
                [task for task in cluster.starts() if task.startswith('dd')]
            )
            self.assertEqual(1, candidate.tenures_count)

    async def _listing(self) -> None:
        async with open_cluster() as (cluster, nursery):
            await cluster.store.commit([], [Write('servers/junk', _JUNK)])
            cluster.spawn(nursery, 'e1')
            with mock.patch.dict(
                cluster.listings, {WorkerId('w1'): mock.Mock(spec=[])}
            ):
                await cluster.store.commit([], [Write('servers/w1', b'w1')])
                await _wait_done(cluster, 'aa')

    async def _report(self) -> None:
        async with open_cluster() as (cluster, nursery):
            candidate = cluster.spawn(nursery, 'e1')
            await _wait_done(cluster, 'aa')
            worker = mock.Mock()
            worker.hold.side_effect = OverflowError('percent')
            cluster.worker_client.workers[WorkerId('w1')] = worker
            await trio.sleep(3)
            cluster.workers.pop(WorkerId('w1'))
            await _wait_done(cluster, 'bb')
            self.assertEqual(1, candidate.tenures_count)

    async def _owner_records(self) -> None:
        view = OwnerView()
        good = encode(EntryRecord('e1', '10.0.0.1', 7, 'secret'))
        events = [
            StoreEvent(key, StoredValue(key, body, 5, 5))
            for key, body in (
                ('mw/own/first', good),
                ('mw/own/1', _JUNK),
                ('mw/own/0', good),
            )
        ]
        await view.apply(WatchBatch(5, tuple(events)))
        self.assertEqual([CellId(0)], list(view.owners))
        self.assertTrue(view.is_loaded)

    async def _entry_records(self) -> None:
        store = PollingMemoryStore()
        good = EntryRecord('e2', '10.0.0.2', 7, 'secret')
        await store.commit(
            [], [Write('mw/entry/1', _JUNK), Write('mw/entry/2', encode(good))]
        )
        directory = EntryDirectory(
            store, EntryRecord('e1', '10.0.0.1', 7, 'secret')
        )
        with trio.move_on_after(1.5):
            await directory.run()
        self.assertIn('e2', {peer.entry_id for peer in directory.peers})
