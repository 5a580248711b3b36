"""Lasting runs that an owner stops to make room, and owners that end then."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.job_status import PublicJobState
from marjoramwharf.ids import WorkerId
from standins.simulated_worker import SimulatedWorker
from tests.cells.cluster import (
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)

# The worker has eight cores.
_LASTING_COUNT = 8
_LONG_S = 10


class PreemptionTests(unittest.TestCase):
    """Guards against room that is not made, or not given back."""

    def test_short_job_is_served(self) -> None:
        """Guards against a short job that waits behind lasting tasks."""
        run_with_clock(self._short_job_is_served)

    def test_owner_killed(self) -> None:
        """Guards against a task that stays away once its preemptor is dead."""
        run_with_clock(self._owner_killed)

    async def _short_job_is_served(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            worker = await self._fill(cluster)
            short = job_request('b', step(2), accepted_at_ms=_now_ms())
            await cluster.submit(short)
            await cluster.wait_until(
                lambda: cluster.state(short) is PublicJobState.DONE, limit_s=3
            )
            await cluster.wait_until(
                lambda: len(worker.running) == _LASTING_COUNT, limit_s=6
            )

    async def _owner_killed(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            first = cluster.spawn(nursery, 'e1')
            worker = await self._fill(cluster)
            short = job_request('b', step(1), accepted_at_ms=_now_ms())
            await cluster.submit(short)
            await cluster.wait_until(
                lambda: len(worker.running) < _LASTING_COUNT
            )
            first.scope.cancel()
            cluster.spawn(nursery, 'e2')
            await cluster.wait_until_done(short, limit_s=_LONG_S)
            await cluster.wait_until(
                lambda: len(worker.running) == _LASTING_COUNT, limit_s=_LONG_S
            )

    async def _fill(self, cluster: Cluster) -> SimulatedWorker:
        """Fill the worker with lasting tasks that have worked for a while."""
        lasting = step(_LASTING_COUNT, is_lasting=True)
        await cluster.submit(job_request('a', lasting, payload='serve'))
        worker = cluster.workers[WorkerId('w1')]
        await cluster.wait_until(lambda: len(worker.running) == _LASTING_COUNT)
        await trio.sleep(_LONG_S)
        return worker


def _now_ms() -> int:
    return round(trio.current_time() * 1_000)
