"""Values in the store, listings and reports that nobody can make sense of."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from unittest import TestCase, mock

import trio

from marjoramwharf.cells.entry_directory import EntryDirectory
from marjoramwharf.cells.job_status import PublicJobState
from marjoramwharf.cells.owner_view import OwnerView
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
    step,
)

_JUNK = b'\xc1 not a record'


async def _wait_done(cluster: Cluster, name: str) -> None:
    request = job_request(name)
    await cluster.submit(request)
    await cluster.wait_until(
        lambda: cluster.state(request) is PublicJobState.DONE, limit_s=10
    )


class _FailingOrder:
    """Fails in an unexpected way, before or after the order is carried out."""

    def __init__(self, start: Any, *, is_carried_out: bool) -> None:
        """Wrap the method that sends a start order."""
        self.has_failed = False
        self._start = start
        self._is_carried_out = is_carried_out

    async def __call__(self, *order: Any, **options: Any) -> None:
        """Raise an error."""
        self.has_failed = True
        if self._is_carried_out:
            await self._start(*order, **options)
        raise ValueError('file descriptor')


class MalformedRecordTests(TestCase):
    """Guards against one bad value that stops a process or a cell."""

    def test_request(self) -> None:
        """Guards against a bad request that hides those after it."""
        run_with_clock(self._request)

    def test_request_of_a_step_after_a_missing_one(self) -> None:
        """Guards against a job that no owner can load, which hides all."""
        run_with_clock(self._request_that_cannot_be_scheduled)

    def test_progress(self) -> None:
        """Guards against a job that runs again as its progress is lost."""
        run_with_clock(self._progress)

    def test_listing(self) -> None:
        """Guards against a listing that hides the other workers."""
        run_with_clock(self._listing)

    def test_listing_names_another_address(self) -> None:
        """Guards against a second run because another worker answers.

        Somebody else has written the listing of a worker that runs on.
        """
        run_with_clock(self._listing_names_another_address)

    def test_report(self) -> None:
        """Guards against a report that ends the ownership of the cell."""
        run_with_clock(self._report)

    def test_order(self) -> None:
        """Guards against a task that never runs after an error in its order.

        The worker may have carried the order out.
        """
        run_with_clock(self._order)

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

    async def _request_that_cannot_be_scheduled(self) -> None:
        async with open_cluster() as (cluster, nursery):
            await cluster.submit(job_request('xx', step(1, after=(5,))))
            candidate = cluster.spawn(nursery, 'e1')
            await _wait_done(cluster, 'aa')
            await cluster.submit(job_request('yy', step(1, after=(5,))))
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

    async def _listing_names_another_address(self) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            request = job_request('aa', payload='ms=60000')
            await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.starts().total() == 1)
            await trio.sleep(2)
            holder = next(
                name
                for name, worker in cluster.workers.items()
                if worker.running
            )
            cluster.worker_client.foreign_hosts.add('10.0.0.9')
            cluster.listings[holder] = replace(
                cluster.listings[holder], host='10.0.0.9'
            )
            await cluster.store.commit([], [Write(f'servers/{holder}', b'x')])
            await cluster.wait_until(lambda: cluster.starts().total() == 2)

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

    async def _order(self) -> None:
        for is_carried_out in (False, True):
            await self._failing_order(is_carried_out=is_carried_out)

    async def _failing_order(self, *, is_carried_out: bool) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            start = cluster.worker_client.start
            failing = _FailingOrder(start, is_carried_out=is_carried_out)
            with mock.patch.object(cluster.worker_client, 'start', failing):
                request = job_request('aa', payload='ms=3000')
                await cluster.submit(request)
                await cluster.wait_until(lambda: failing.has_failed)
            await cluster.wait_until_done(request)
            cluster.check_single_runs()

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
