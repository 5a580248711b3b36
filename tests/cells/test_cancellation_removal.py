"""Removal of cancellations whose jobs were never stored."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import trio

from marjoramwharf.cells.maintenance import Maintenance
from marjoramwharf.cells.records import cancel_key, request_key
from marjoramwharf.cells.retention import LONGEST_SUBMISSION_S, retention_s
from marjoramwharf.ids import JobId
from marjoramwharf.links.store import Write
from tests.cells.cluster import (
    CELL,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
)
from tests.cells.fronts import (
    JOB_BODY,
    JOB_ID,
    JOB_PATH,
    Front,
    carry_out_late,
    open_front,
    wait_for_owner,
)

_CANCEL_KEY = cancel_key(CELL, JOB_ID)
_REQUEST_KEY = request_key(CELL, JOB_ID)
_KEPT_S = 10.0
_LIMIT_COUNT = 25


def _open_front(cluster: Cluster) -> Front:
    front = open_front(cluster.store.state)
    front.intake.tombstone_limit.kept_s = _KEPT_S
    return front


def _path(number: int) -> str:
    """Return the path of an unknown job."""
    return JOB_PATH.replace(JOB_ID, str(number).zfill(16))


def _cancel_keys(cluster: Cluster) -> list[str]:
    prefix = cancel_key(CELL, JobId(''))
    return [key for key in cluster.store.state.stored if key.startswith(prefix)]


class CancellationRemovalTests(unittest.TestCase):
    """Guards against cancellations of unknown jobs that go or stay wrongly."""

    def setUp(self) -> None:
        """Shorten the time for which they are kept."""
        self.enterContext(
            patch(f'{Maintenance.__module__}.retention_s', return_value=_KEPT_S)
        )

    def test_retention(self) -> None:
        """Guards against a tombstone that goes before the latest write."""
        self.assertEqual(150, retention_s(120_000))
        self.assertGreaterEqual(retention_s(0), 2 * LONGEST_SUBMISSION_S)

    def test_id_again(self) -> None:
        """Guards against an id that stays refused, or a refusal that runs."""
        run_with_clock(self._id_again)

    def test_store_grows_no_further(self) -> None:
        """Guards against a store that cancels of unknown ids fill."""
        run_with_clock(self._store_grows_no_further)

    def test_renewed_cancellation(self) -> None:
        """Guards against a removed tombstone that a later cancel needs."""
        run_with_clock(self._renewed_cancellation)

    def test_lost_removal(self) -> None:
        """Guards against a removal that blocks all others, or hits a job."""
        run_with_clock(self._lost_removal)

    def test_unreadable_request(self) -> None:
        """Guards against a cancelled job that a later version could start."""
        run_with_clock(self._unreadable_request)

    async def _id_again(self) -> None:
        async with open_cluster() as (cluster, nursery):
            front = _open_front(cluster)
            await wait_for_owner(cluster, cluster.spawn(nursery, 'e1'))
            self.assertEqual(410, await front.cancel())
            await trio.sleep(_KEPT_S - 1)
            refusal = await front.ask('POST', body=JOB_BODY)
            self.assertEqual(429, refusal.status)
            self.assertEqual('10', dict(refusal.headers)['Retry-After'])
            await trio.sleep(2)
            self.assertEqual(200, await front.submit())
            await cluster.wait_until(lambda: bool(cluster.starts()))

    async def _store_grows_no_further(self) -> None:
        async with open_cluster() as (cluster, nursery):
            front = _open_front(cluster)
            front.intake.tombstone_limit.limit_count = _LIMIT_COUNT
            owner = cluster.spawn(nursery, 'e1')
            cell = await wait_for_owner(cluster, owner)
            statuses = [
                await front.cancel(_path(number))
                for number in range(_LIMIT_COUNT + 1)
            ]
            self.assertEqual({410}, set(statuses[:-1]))
            self.assertEqual(429, statuses[-1])
            self.assertEqual(410, await front.cancel(_path(0)))
            # A job that is stored can be cancelled all the same.
            self.assertEqual(200, await front.submit())
            self.assertEqual(200, await front.cancel())
            await trio.sleep(_KEPT_S + 5)
            self.assertFalse(_cancel_keys(cluster))
            self.assertEqual(0, len(cell.maintenance.inbox.cancellations))
            self.assertEqual(410, await front.cancel(_path(_LIMIT_COUNT)))

    async def _renewed_cancellation(self) -> None:
        async with open_cluster() as (cluster, nursery):
            front = _open_front(cluster)
            await wait_for_owner(cluster, cluster.spawn(nursery, 'e1'))
            await front.cancel()
            await trio.sleep(_KEPT_S - 1)
            self.assertEqual(410, await front.cancel())
            await trio.sleep(_KEPT_S - 1)
            self.assertEqual(429, await front.submit())
            await trio.sleep(3)
            self.assertEqual(200, await front.submit())

    async def _lost_removal(self) -> None:
        async with open_cluster() as (cluster, nursery):
            front = _open_front(cluster)
            await wait_for_owner(cluster, cluster.spawn(nursery, 'e1'))
            await front.cancel()
            await trio.sleep(_KEPT_S - 1)
            cluster.store.commits_to_delay = 1
            await cluster.wait_until(
                lambda: not _cancel_keys(cluster), limit_s=10
            )
            self.assertEqual(200, await front.submit())
            request = job_request(JOB_ID)
            await cluster.wait_until(lambda: bool(cluster.starts()))
            carry_out_late(cluster.store)
            await cluster.wait_until_done(request)
            self.assertEqual(1, sum(cluster.starts().values()))

    async def _unreadable_request(self) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.store.state.apply([Write(_REQUEST_KEY, b'?')])
            await cluster.cancel(JOB_ID)
            await wait_for_owner(cluster, cluster.spawn(nursery, 'e1'))
            await trio.sleep(_KEPT_S + 5)
            self.assertIn(_CANCEL_KEY, cluster.store.state.stored)
