"""Removal of finished jobs, and jobs that come after them under their ids."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import trio

from marjoramwharf.cells.maintenance import Maintenance
from marjoramwharf.cells.records import request_key
from tests.cells.cluster import (
    CELL,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
)
from tests.cells.fronts import (
    JOB_ID,
    Front,
    carry_out_late,
    open_front,
    wait_for_owner,
)

_REQUEST = job_request(JOB_ID)
_REQUEST_KEY = request_key(CELL, JOB_ID)
_KEPT_S = 10.0
_CHECK_S = 0.5


def _starts_count(cluster: Cluster) -> int:
    return sum(cluster.starts().values())


class JobRemovalTests(unittest.TestCase):
    """Guards against the loss of a job whose id another one had before."""

    def setUp(self) -> None:
        """Shorten the time for which finished jobs are kept."""
        self.enterContext(
            patch(f'{Maintenance.__module__}.retention_s', return_value=_KEPT_S)
        )

    def test_late_removal(self) -> None:
        """Guards against a removal that is carried out late and hits a job.

        The removal of the former job got no answer, and was repeated.
        """
        run_with_clock(self._late_removal)

    def test_unanswered_removal(self) -> None:
        """Guards against a job that is taken for the one removed before.

        The removal of the former one was carried out without an answer.
        """
        run_with_clock(self._unanswered_removal)

    def test_removal_is_settled(self) -> None:
        """Guards against jobs that stay after an unanswered removal."""
        run_with_clock(self._removal_is_settled)

    async def _late_removal(self) -> None:
        async with open_cluster() as (cluster, nursery):
            await wait_for_owner(cluster, cluster.spawn(nursery, 'e1'))
            front = await self._finish_job(cluster)
            cluster.store.commits_to_delay = 1
            await self._wait_until_removed(cluster)
            self.assertEqual(200, await front.submit())
            await cluster.wait_until(lambda: _starts_count(cluster) == 2)
            carry_out_late(cluster.store)
            self.assertIn(_REQUEST_KEY, cluster.store.state.stored)
            await cluster.wait_until_done(_REQUEST)
            self.assertEqual(200, (await front.ask('GET')).status)

    async def _unanswered_removal(self) -> None:
        async with open_cluster() as (cluster, nursery):
            await wait_for_owner(cluster, cluster.spawn(nursery, 'e1'))
            front = await self._finish_job(cluster)
            cluster.store.answers_to_lose = 1
            await self._wait_until_removed(cluster)
            self.assertEqual(200, await front.submit())
            await cluster.wait_until(
                lambda: _starts_count(cluster) == 2, limit_s=5
            )
            await cluster.wait_until_done(_REQUEST)
            self.assertIn(_REQUEST_KEY, cluster.store.state.stored)

    async def _removal_is_settled(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner = cluster.spawn(nursery, 'e1')
            cell = await wait_for_owner(cluster, owner)
            front = await self._finish_job(cluster)
            cluster.store.answers_to_lose = 1
            await self._wait_until_removed(cluster)
            await trio.sleep(2 * _CHECK_S)
            self.assertFalse(cell.job_table.jobs)
            self.assertEqual(410, (await front.ask('GET')).status)

    async def _finish_job(self, cluster: Cluster) -> Front:
        """Run the first job of the id; return just before its removal."""
        front = open_front(cluster.store.state)
        self.assertEqual(200, await front.submit())
        await cluster.wait_until_done(_REQUEST)
        await trio.sleep(_KEPT_S - 1)
        return front

    async def _wait_until_removed(self, cluster: Cluster) -> None:
        """Wait until the keys of the job are gone."""
        await cluster.wait_until(
            lambda: _REQUEST_KEY not in cluster.store.state.stored, limit_s=10
        )
