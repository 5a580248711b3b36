"""Entries that could own the cell but serve it worse than others."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from unittest.mock import patch

import trio

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.ownership import Campaign, Tenure
from marjoramwharf.errors import StoreUnavailable
from marjoramwharf.ids import JobId
from marjoramwharf.links.store import Committed, Conflict, Guard, Write
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    CELL,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
)

_READ_TIMEOUT_S = 0.6
_COMMIT_S = 0.02
_CHANGE_PERIOD_S = 0.005
_STOPPED_OWNERS_COUNT = 4


async def _fail_to_load(_tenure: Tenure) -> None:
    await trio.sleep(_READ_TIMEOUT_S)
    raise StoreUnavailable(message='the jobs can not be read')


def _is_never_prepared() -> bool:
    return False


async def _change_job(cell: Cell, job_id: JobId) -> None:
    job_table = cell.job_table
    while True:
        job_table._mark_changed(job_table.jobs[job_id], is_urgent=True)
        cell._progress_writer.wake()
        await trio.sleep(_CHANGE_PERIOD_S)


async def _wait_until_owner(cluster: Cluster, candidate: Candidate) -> None:
    await cluster.wait_until(lambda: candidate.cell is not None)


def _campaign_of(candidate: Candidate) -> Campaign:
    if candidate.campaign is None:
        raise AssertionError('the candidate does not campaign')
    return candidate.campaign


class GivingWayTests(unittest.TestCase):
    """Guards against an entry that keeps the cell from those that can work."""

    def test_owner_fails_to_load(self) -> None:
        """Guards against an owner that fails, and is first again each time."""
        run_with_clock(self._owner_fails_to_load)

    def test_hand_over_amid_changes(self) -> None:
        """Guards against a hand-over that waits until nothing changes."""
        run_with_clock(self._hand_over_amid_changes)

    def test_unprepared_entry(self) -> None:
        """Guards against an owner that can't plan where another one could."""
        run_with_clock(self._unprepared_entry)

    def test_owners_were_stopped_before(self) -> None:
        """Guards against patience that grows with planned changes of owner."""
        run_with_clock(self._owners_were_stopped_before)

    def test_owner_gave_way_long_ago(self) -> None:
        """Guards against an entry that counts what it finds at its start."""
        run_with_clock(self._owner_gave_way_long_ago)

    async def _owner_gave_way_long_ago(self) -> None:
        async with open_cluster() as (cluster, nursery):
            first = cluster.spawn(nursery, 'e1')
            await _wait_until_owner(cluster, first)
            first.give_way()
            await trio.sleep(1)
            second = cluster.spawn(nursery, 'e2')
            await trio.sleep(1)
            now_s = trio.current_time()
            self.assertEqual(1, first.view.given_way_count(CELL, now_s=now_s))
            self.assertEqual(0, second.view.given_way_count(CELL, now_s=now_s))

    async def _owners_were_stopped_before(self) -> None:
        """The last owner reaches nobody but the store."""
        async with open_cluster() as (cluster, nursery):
            cut_off = cluster.spawn(nursery, 'cut-off')
            _campaign_of(cut_off).has_resigned = True
            for number in range(_STOPPED_OWNERS_COUNT):
                stopped = cluster.spawn(nursery, f'e{number}')
                await _wait_until_owner(cluster, stopped)
                await _campaign_of(stopped).resign()
                stopped.scope.cancel()
            cut_off.unreachable.update(cluster.workers)
            cut_off.is_isolated = True
            _campaign_of(cut_off).has_resigned = False
            await _wait_until_owner(cluster, cut_off)
            cluster.spawn(nursery, 'sound')
            request = job_request('aa')
            await cluster.submit(request)
            await cluster.wait_until_done(request, limit_s=10)

    async def _unprepared_entry(self) -> None:
        """It is the owner only if no other entry campaigns."""
        async with open_cluster() as (cluster, nursery):
            unprepared = cluster.spawn(nursery, 'e1')
            _campaign_of(unprepared).is_prepared = _is_never_prepared
            prepared = cluster.spawn(nursery, 'e2')
            _campaign_of(prepared).cpu_share = 0.1
            await cluster.wait_until(lambda: prepared.cell is not None)
            self.assertEqual(0, unprepared.tenures_count)
            prepared.scope.cancel()
            await cluster.wait_until(lambda: unprepared.cell is not None)

    async def _owner_fails_to_load(self) -> None:
        async with open_cluster() as (cluster, nursery):
            request = job_request('aa')
            await cluster.submit(request)
            failing = _campaign_of(cluster.spawn(nursery, 'e1'))
            failing.run_cell = _fail_to_load
            slow = _campaign_of(cluster.spawn(nursery, 'e2'))
            slow.cpu_share = 0.1
            await cluster.wait_until_done(request, limit_s=10)

    async def _hand_over_amid_changes(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner = cluster.spawn(nursery, 'e1')
            request = job_request('aa', payload='ms=60000')
            await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.state(request) is not None)
            cell = owner.cell
            if cell is None:
                self.fail('there is no owner')
            commit = cluster.store.commit

            async def commit_later(
                guards: Sequence[Guard], writes: Sequence[Write]
            ) -> Committed | Conflict:
                await trio.sleep(_COMMIT_S)
                return await commit(guards, writes)

            with patch.object(cluster.store, 'commit', commit_later):
                nursery.start_soon(_change_job, cell, request.job_id)
                await trio.sleep(1)
                with trio.fail_after(1):
                    await cell.hand_over()
