"""Evacuation of a data centre at an operator's request, with failures."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from marjoramwharf.scheduling.workload import JobRequest
from standins.simulated_worker import SimulatedWorker
from tests.cells.cluster import (
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)

_EVACUATED = 'ruse'

# The longest time until an entry that can read the store knows of a request.
_FOLLOW_S = 1.5
_LONG_S = 10


@asynccontextmanager
async def _two_data_centres(
    *stays: str,
) -> AsyncIterator[tuple[Cluster, trio.Nursery, SimulatedWorker]]:
    """Yield a cluster and the one worker of the data centre to evacuate."""
    async with open_cluster(stays) as (cluster, nursery):
        leaving = await cluster.add_worker('w9', data_centre=_EVACUATED)
        yield cluster, nursery, leaving


def _started_after(worker: SimulatedWorker, time_s: float) -> list[str]:
    return [task for task, at_s in worker.start_times if at_s > time_s]


class EvacuationTests(unittest.TestCase):
    """Guards against starts in a data centre that is evacuated."""

    def test_only_elsewhere(self) -> None:
        """Guards against new starts there, and against runs that are cut."""
        run_with_clock(self._only_elsewhere)

    def test_planned_before(self) -> None:
        """Guards against orders that wait for their turn meanwhile."""
        run_with_clock(self._planned_before)

    def test_owner_killed(self) -> None:
        """Guards against a successor that plans before it has read."""
        run_with_clock(self._owner_killed)

    def test_owner_paused(self) -> None:
        """Guards against an owner that wakes and doesn't know."""
        run_with_clock(self._owner_paused)

    def test_history_lost(self) -> None:
        """Guards against requests and ends that a watch has missed."""
        run_with_clock(self._history_lost)

    def test_all_evacuated(self) -> None:
        """Guards against starts, or jobs that never start, with no one left."""
        run_with_clock(self._all_evacuated)

    async def _only_elsewhere(self) -> None:
        async with _two_data_centres('w1') as (cluster, nursery, leaving):
            cluster.spawn(nursery, 'e1')
            early = job_request('a', step(16), payload='ms=4000')
            await cluster.submit(early)
            await cluster.wait_until(lambda: cluster.starts().total() == 16)
            await cluster.evacuate('nowhere')
            await cluster.evacuate(_EVACUATED)
            asked_s = trio.current_time()
            await trio.sleep(_FOLLOW_S)
            await self._run_gang_and_lasting(cluster, early)
            self.assertEqual({1}, set(_starts_of(cluster, early.job_id)))
            self.assertFalse(_started_after(leaving, asked_s))

    async def _run_gang_and_lasting(
        self, cluster: Cluster, early: JobRequest
    ) -> None:
        """Run a gang until its end, beside lasting tasks that restart."""
        gang = job_request('b', step(3, is_gang=True), payload='ms=100')
        lasting = job_request('c', step(2, is_lasting=True), payload='fail')
        await cluster.submit(gang)
        await cluster.submit(lasting)
        await cluster.wait_until_done(early, gang)

    async def _planned_before(self) -> None:
        async with _two_data_centres() as (cluster, nursery, leaving):
            cluster.spawn(nursery, 'e1')
            await trio.sleep(_FOLLOW_S * 2)
            # Unanswered orders keep the turn from those behind them.
            cluster.worker_client.starts_to_delay = 3
            await cluster.submit(job_request('a', step(8)))
            await cluster.wait_until(
                lambda: bool(cluster.worker_client.delayed_orders)
            )
            await cluster.evacuate(_EVACUATED)
            await trio.sleep(_LONG_S)
            self.assertFalse(leaving.starts)

    async def _owner_killed(self) -> None:
        async with _two_data_centres('w1') as (cluster, nursery, leaving):
            first = cluster.spawn(nursery, 'e1')
            await cluster.wait_until(lambda: first.cell is not None)
            await cluster.evacuate(_EVACUATED)
            first.scope.cancel()
            cluster.spawn(nursery, 'e2')
            request = job_request('a', step(12))
            await cluster.submit(request)
            await cluster.wait_until_done(request)
            self.assertFalse(leaving.starts)

    async def _owner_paused(self) -> None:
        async with _two_data_centres('w1') as (cluster, nursery, leaving):
            first = cluster.spawn(nursery, 'e1')
            await trio.sleep(_FOLLOW_S * 2)
            first.gate.freeze(_LONG_S)
            await cluster.evacuate(_EVACUATED)
            asked_s = trio.current_time()
            request = job_request('a', step(12))
            await cluster.submit(request)
            await cluster.wait_until_done(request)
            self.assertFalse(_started_after(leaving, asked_s))

    async def _history_lost(self) -> None:
        async with _two_data_centres('w1') as (cluster, nursery, leaving):
            owner = cluster.spawn(nursery, 'e1')
            await trio.sleep(_FOLLOW_S)
            owner.gate.freeze(1)
            await cluster.evacuate(_EVACUATED)
            cluster.store.state.compact()
            await trio.sleep(_FOLLOW_S * 2)
            self.assertIn(_EVACUATED, owner.evacuations.data_centres)
            owner.gate.freeze(1)
            await cluster.take_back(_EVACUATED)
            cluster.store.state.compact()
            await trio.sleep(_FOLLOW_S * 2)
            self.assertFalse(owner.evacuations.data_centres)
            await cluster.submit(job_request('a', step(12)))
            await cluster.wait_until(lambda: bool(leaving.starts))

    async def _all_evacuated(self) -> None:
        async with _two_data_centres() as (cluster, nursery, leaving):
            cluster.spawn(nursery, 'e1')
            await cluster.evacuate(_EVACUATED)
            await trio.sleep(_FOLLOW_S)
            request = job_request('a', step(2))
            await cluster.submit(request)
            await trio.sleep(_LONG_S)
            self.assertFalse(leaving.starts)
            await cluster.take_back(_EVACUATED)
            await cluster.wait_until_done(request)


def _starts_of(cluster: Cluster, job_id: str) -> list[int]:
    return [
        count
        for task, count in cluster.starts().items()
        if task.startswith(job_id)
    ]
