"""A scheduled job of which many times have passed, beside plain jobs."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.job_status import PublicJobState
from marjoramwharf.scheduling.workload import JobRequest
from tests.cells.cluster import (
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
)

_TIMES_COUNT = 400
_PLAIN_LIMIT_S = 3
_OWNERS_COUNT = 4
_TENURE_S = 0.7


class PassedTimesTests(unittest.TestCase):
    """Guards against times that run twice or never, or hold others up."""

    def test_owners_change(self) -> None:
        """Guards against a time that is lost or repeated with its owner."""
        run_with_clock(self._owners_change)

    def test_plain_jobs(self) -> None:
        """Guards against jobs that wait for all times of another one."""
        run_with_clock(self._plain_jobs)

    def test_job_is_cancelled(self) -> None:
        """Guards against times that start after their job was cancelled."""
        run_with_clock(self._job_is_cancelled)

    async def _owners_change(self) -> None:
        async with open_cluster(('w1', 'w2')) as (cluster, nursery):
            scheduled = _scheduled_job()
            await cluster.submit(scheduled)
            for number in range(_OWNERS_COUNT):
                began_count = len(cluster.starts())
                await _own_for_a_while(cluster, nursery, f'e{number}')
                self.assertLess(began_count, len(cluster.starts()))
            self.assertLess(len(cluster.starts()), _TIMES_COUNT)
            cluster.spawn(nursery, 'last')
            await cluster.wait_until_done(scheduled)
            starts = cluster.starts()
            self.assertEqual(_TIMES_COUNT, len(starts))
            self.assertEqual({1}, set(starts.values()))

    async def _plain_jobs(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            await _begin_scheduled_job(cluster, nursery)
            plain = job_request('b', payload='ms=50')
            await cluster.submit(plain)
            await cluster.wait_until_done(plain, limit_s=_PLAIN_LIMIT_S)
            self.assertLess(len(cluster.starts()), _TIMES_COUNT)

    async def _job_is_cancelled(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            scheduled = await _begin_scheduled_job(cluster, nursery)
            await cluster.cancel(scheduled.job_id)
            await cluster.wait_until(
                lambda: cluster.state(scheduled) is PublicJobState.CANCELLED
            )
            await trio.sleep(1)
            began_count = len(cluster.starts())
            await trio.sleep(_PLAIN_LIMIT_S)
            self.assertEqual(began_count, len(cluster.starts()))


def _scheduled_job() -> JobRequest:
    """Return a job whose times have all passed."""
    return job_request(
        'a', payload='ms=300', repeat_count=_TIMES_COUNT, interval_ms=1
    )


async def _own_for_a_while(
    cluster: Cluster, nursery: trio.Nursery, name: str
) -> None:
    """Let an entry own the cell for a short time, and kill it."""
    owner = cluster.spawn(nursery, name)
    await cluster.wait_until(lambda: owner.cell is not None)
    await trio.sleep(_TENURE_S)
    owner.scope.cancel()


async def _begin_scheduled_job(
    cluster: Cluster, nursery: trio.Nursery
) -> JobRequest:
    """Elect an owner; return once some of the times have begun."""
    owner = cluster.spawn(nursery, 'e1')
    await cluster.wait_until(lambda: owner.cell is not None)
    scheduled = _scheduled_job()
    await cluster.submit(scheduled)
    await cluster.wait_until(lambda: bool(cluster.starts()))
    return scheduled
