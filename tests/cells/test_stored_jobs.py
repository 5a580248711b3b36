"""Jobs that are stored while the owner's view of the inbox is interrupted."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import trio

from marjoramwharf.cells.job_status import PublicJobState
from marjoramwharf.errors import StoreUnavailable
from marjoramwharf.links.store import WatchBatch
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
)

_LOWEST_NUMBER = 40
_STORE_INTERVAL_S = 0.13
_COMPACTION_INTERVAL_S = 0.31
_CUT_POLLS_INTERVAL = 3
_OWNER_KILLED_S = 2
_DONE_LIMIT_S = 10


class _CutWatch:
    """Fails every third poll of the store, some after the changes are read."""

    def __init__(self, cluster: Cluster) -> None:
        """Wrap the poll of a cluster's store."""
        self._poll = cluster.store.poll
        self._polls_count = 0

    async def __call__(
        self, prefix: str, *, after_revision: int, wait_ms: int
    ) -> WatchBatch:
        """Poll, or fail as if the connection were cut."""
        self._polls_count += 1
        is_cut = self._polls_count % _CUT_POLLS_INTERVAL == 0
        batch = await self._poll(
            prefix, after_revision=after_revision, wait_ms=wait_ms
        )
        if is_cut:
            raise StoreUnavailable(message='the watch was cut')
        return batch


class StoredJobTests(unittest.TestCase):
    """Guards against an accepted job or a cancellation that stays unseen."""

    def test_watch_is_cut(self) -> None:
        """Guards against changes that are lost with an answer."""
        run_with_clock(self._watch_is_cut)

    def test_history_is_compacted(self) -> None:
        """Guards against changes that the store can't tell any more."""
        run_with_clock(self._history_is_compacted)

    def test_owner_is_replaced(self) -> None:
        """Guards against changes between two owners' views of the inbox."""
        run_with_clock(self._owner_is_replaced)

    async def _watch_is_cut(self) -> None:
        async with open_cluster() as (cluster, nursery):
            await _elect(cluster, nursery)
            with patch.object(cluster.store, 'poll', _CutWatch(cluster)):
                await self._check_all_seen(cluster)

    async def _history_is_compacted(self) -> None:
        async with open_cluster() as (cluster, nursery):
            await _elect(cluster, nursery)
            nursery.start_soon(_compact_often, cluster)
            await self._check_all_seen(cluster)

    async def _owner_is_replaced(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            cluster.spawn(nursery, 'e2')
            owner.scope.deadline = trio.current_time() + _OWNER_KILLED_S
            await self._check_all_seen(cluster)

    async def _check_all_seen(self, cluster: Cluster) -> None:
        """Store jobs and a cancellation, and check that each takes effect."""
        requests = [
            job_request(str(number), payload='ms=50')
            for number in range(_LOWEST_NUMBER, _LOWEST_NUMBER * 2)
        ]
        cancelled = job_request('f' * 16, payload='ms=60000')
        await cluster.submit(cancelled)
        for request in requests:
            await cluster.submit(request)
            await trio.sleep(_STORE_INTERVAL_S)
        await cluster.cancel(cancelled.job_id)
        await cluster.wait_until_done(*requests, limit_s=_DONE_LIMIT_S)
        await cluster.wait_until(
            lambda: cluster.state(cancelled) is PublicJobState.CANCELLED,
            limit_s=_DONE_LIMIT_S,
        )
        self.assertEqual({1}, set(cluster.starts().values()))


async def _elect(cluster: Cluster, nursery: trio.Nursery) -> Candidate:
    """Spawn an entry and wait until it is the owner."""
    owner = cluster.spawn(nursery, 'e1')
    await cluster.wait_until(lambda: owner.cell is not None)
    return owner


async def _compact_often(cluster: Cluster) -> None:
    while True:
        await trio.sleep(_COMPACTION_INTERVAL_S)
        cluster.store.state.compact()
