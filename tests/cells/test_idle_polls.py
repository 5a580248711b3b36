"""How often an owner polls its workers without runs."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from marjoramwharf.cells.idle_polls import IdlePolls
from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    HoldReport,
    WorkerAddress,
)
from marjoramwharf.ids import WorkerId
from standins.simulated_worker_client import MemoryWorkerClient
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)

_MS_PER_S = 1_000
_FEW_COUNT = 30
_MANY_COUNT = 1_500
_COUNTED_S = 8
_REACH_LIMIT_S = 30


class _PlainWorkerClient(MemoryWorkerClient):
    """Answers holds after their wait; nothing runs at its workers."""

    async def hold(
        self, worker: WorkerAddress, order: HoldOrder, *, timeout_s: float
    ) -> HoldReport:
        """Extend leases; report after the wait."""
        self.sent_holds[worker.worker_id] += 1
        await trio.sleep(0.01 + order.wait_ms / _MS_PER_S)
        return self._hold(worker.worker_id, order)


@asynccontextmanager
async def _owned_workers(
    count: int,
) -> AsyncIterator[tuple[Cluster, Candidate]]:
    """Yield a cluster whose owner has reached all workers."""
    names = [f'w{number}' for number in range(count)]
    async with open_cluster(names) as (cluster, nursery):
        if count > _FEW_COUNT:
            cluster.worker_client = _PlainWorkerClient(cluster.workers)
        owner = cluster.spawn(nursery, 'e1')
        with trio.fail_after(_REACH_LIMIT_S):
            while _reached_count(owner) < count:
                await trio.sleep(0.1)
        yield cluster, owner
        nursery.cancel_scope.cancel()


def _reached_count(owner: Candidate) -> int:
    if owner.cell is None:
        return 0
    workers = owner.cell.worker_registry.fleet.workers.values()
    return sum(worker.is_reachable for worker in workers)


async def _leave_alone(owner: Candidate) -> None:
    """Let the owner pause between polls as in a fleet of many workers."""
    assert owner.cell is not None
    polls = owner.cell.worker_registry.context.idle_polls
    polls.workers_count = 10 * _MANY_COUNT
    await trio.sleep(_COUNTED_S)


async def _count_polls(cluster: Cluster) -> int:
    before = cluster.worker_client.sent_holds.total()
    await trio.sleep(_COUNTED_S)
    return cluster.worker_client.sent_holds.total() - before


class IdlePollsTests(unittest.TestCase):
    """Guards against polls of idle workers that keep an owner busy."""

    def test_polls_of_many_idle_workers(self) -> None:
        """Guards against a number of polls that grows with the fleet."""
        run_with_clock(self._polls_of_many_idle_workers)

    def test_run_at_worker_that_is_left_alone(self) -> None:
        """Guards against an end that is noticed late, after the pause."""
        run_with_clock(self._run_at_worker_that_is_left_alone)

    def test_unlisted_worker_is_polled_as_ever(self) -> None:
        """Guards against a pause where only polls tell of a worker."""
        run_with_clock(self._unlisted_worker_is_polled_as_ever)

    def test_jitter(self) -> None:
        """Guards against workers that are polled together for good."""
        polls = IdlePolls(workers_count=_MANY_COUNT)
        pauses_s = {polls.pause_s(wait_s=2) for _ in range(20)}
        self.assertGreater(len(pauses_s), 10)

    async def _polls_of_many_idle_workers(self) -> None:
        async with _owned_workers(_FEW_COUNT) as (cluster, _):
            few_count = await _count_polls(cluster)
        async with _owned_workers(_MANY_COUNT) as (cluster, _):
            many_count = await _count_polls(cluster)
        self.assertGreater(few_count, 3 * _FEW_COUNT)
        self.assertLess(many_count / few_count, _MANY_COUNT / _FEW_COUNT * 0.8)
        self.assertGreater(many_count, _MANY_COUNT)

    async def _run_at_worker_that_is_left_alone(self) -> None:
        async with _owned_workers(_FEW_COUNT) as (cluster, owner):
            await _leave_alone(owner)
            request = job_request('a', step(count=100), payload='ms=20')
            await cluster.submit(request)
            await cluster.wait_until_done(request, limit_s=1)

    async def _unlisted_worker_is_polled_as_ever(self) -> None:
        async with _owned_workers(_FEW_COUNT) as (cluster, owner):
            await _leave_alone(owner)
            cluster.unlist('w0')
            await trio.sleep(_COUNTED_S)
            before = cluster.worker_client.sent_holds.copy()
            await trio.sleep(_COUNTED_S)
            sent = cluster.worker_client.sent_holds - before
            unlisted_count = sent.pop(WorkerId('w0'))
            self.assertGreater(unlisted_count, max(sent.values()))
