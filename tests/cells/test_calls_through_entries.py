"""Orders and polls that an owner sends to workers through other entries."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.ids import WorkerId
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)

_POLLED_S = 2
_DONE_LIMIT_S = 15
_FREEZE_S = 4


class CallsThroughEntriesTests(unittest.TestCase):
    """Guards against what an entry in between could do wrong."""

    def test_entry_wakes_with_orders(self) -> None:
        """Guards against a second run by an order that was held up."""
        run_with_clock(self._entry_wakes_with_orders)

    def test_entry_is_killed(self) -> None:
        """Guards against tasks that end with the entry in between."""
        run_with_clock(self._entry_is_killed)

    def test_worker_restarts(self) -> None:
        """Guards against orders of a former incarnation behind an entry."""
        run_with_clock(self._worker_restarts)

    def test_owner_changes(self) -> None:
        """Guards against two owners that call through the same entry."""
        run_with_clock(self._owner_changes)

    def test_owner_reaches_nobody(self) -> None:
        """Guards against an owner that keeps a cell without any path."""
        run_with_clock(self._owner_reaches_nobody)

    def test_owner_reaches_only_an_entry_without_paths(self) -> None:
        """Guards against an owner that keeps a cell for a useless entry."""
        run_with_clock(self._owner_reaches_only_a_useless_entry)

    def test_owner_reaches_few_workers_and_no_entry(self) -> None:
        """Guards against work that waits for the most of the workers."""
        run_with_clock(self._owner_reaches_few_workers)

    def test_owner_reaches_workers_but_no_entry(self) -> None:
        """Guards against a sound owner that gives its cell up."""
        run_with_clock(self._owner_reaches_no_entry)

    def test_paths_are_found_one_by_one(self) -> None:
        """Guards against an owner that gives way while it reaches more."""
        run_with_clock(self._paths_are_found_one_by_one)

    def test_nobody_reaches_workers(self) -> None:
        """Guards against owners that give a cell to each other in turn."""
        run_with_clock(self._nobody_reaches_workers)

    async def _entry_wakes_with_orders(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner, between, _ = await _spawn_three(cluster, nursery)
            between.unreachable.add(WorkerId('w1'))
            _cut_off(owner, cluster)
            await trio.sleep(_POLLED_S)
            between.gate.freeze(_FREEZE_S)
            request = job_request('aa', step(8), payload='ms=6000')
            await cluster.submit(request)
            await cluster.wait_until_done(request, limit_s=30)
            await _check_single_runs(cluster, _FREEZE_S)

    async def _entry_is_killed(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner, between, _ = await _spawn_three(cluster, nursery)
            lasting = step(6, is_lasting=True)
            await cluster.submit(job_request('aa', lasting, payload='serve'))
            await cluster.wait_until(lambda: cluster.starts().total() == 6)
            _cut_off(owner, cluster)
            await trio.sleep(_POLLED_S)
            between.scope.cancel()
            await _check_single_runs(cluster, 20)
            self.assertEqual({1}, set(cluster.starts().values()))
            running = [worker.running for worker in cluster.workers.values()]
            self.assertEqual(6, sum(map(len, running)))

    async def _worker_restarts(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner = (await _spawn_three(cluster, nursery))[0]
            _cut_off(owner, cluster)
            await trio.sleep(_POLLED_S)
            request = job_request('aa', step(8), payload='ms=3000')
            await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.starts().total() == 8)
            cluster.restart_worker('w1', is_dark=True)
            await cluster.wait_until_done(request, limit_s=_DONE_LIMIT_S)
            await _check_single_runs(cluster, 1)

    async def _owner_changes(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner, between, other = await _spawn_three(cluster, nursery)
            _cut_off(owner, cluster)
            _cut_off(other, cluster)
            request = job_request('aa', step(8), payload='ms=4000')
            await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.starts().total() == 8)
            owner.gate.freeze(_FREEZE_S)
            await cluster.wait_until_done(request, limit_s=30)
            await _check_single_runs(cluster, 1)
            self.assertEqual(8, cluster.starts().total())
            self.assertEqual(1, other.tenures_count + between.tenures_count)

    async def _owner_reaches_nobody(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner, *others = await _spawn_three(cluster, nursery)
            _cut_off(owner, cluster)
            owner.is_isolated = True
            request = job_request('aa', step(8))
            await cluster.submit(request)
            await cluster.wait_until_done(request, limit_s=_DONE_LIMIT_S)
            self.assertEqual(1, sum(entry.tenures_count for entry in others))

    async def _owner_reaches_only_a_useless_entry(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner, useless, other = await _spawn_three(cluster, nursery)
            _cut_off(owner, cluster)
            _cut_off(useless, cluster)
            owner.unconnected.append(other)
            request = job_request('aa', step(8))
            await cluster.submit(request)
            await cluster.wait_until_done(request, limit_s=30)

    async def _owner_reaches_few_workers(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner = (await _spawn_three(cluster, nursery))[0]
            owner.is_isolated = True
            owner.unreachable.update(map(WorkerId, ('w1', 'w2')))
            whole = step(3, cpu_millicores=8_000, is_lasting=True)
            await cluster.submit(job_request('aa', whole, payload='serve'))
            await cluster.wait_until(
                lambda: len(cluster.starts()) == whole.count, limit_s=30
            )

    async def _owner_reaches_no_entry(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner = (await _spawn_three(cluster, nursery))[0]
            owner.is_isolated = True
            owner.unreachable.add(WorkerId('w1'))
            await trio.sleep(20)
            self.assertIsNotNone(owner.cell)
            self.assertEqual(1, owner.tenures_count)

    async def _paths_are_found_one_by_one(self) -> None:
        names = [f'w{number}' for number in range(8)]
        async with open_cluster(names) as (cluster, nursery):
            owner = (await _spawn_three(cluster, nursery))[0]
            for entry in cluster.candidates:
                _cut_off(entry, cluster)
            await trio.sleep(6)
            for name in names:
                for entry in cluster.candidates:
                    entry.unreachable.discard(WorkerId(name))
                await trio.sleep(5)
            self.assertEqual(1, owner.tenures_count)
            self.assertIsNotNone(owner.cell)

    async def _nobody_reaches_workers(self) -> None:
        async with open_cluster() as (cluster, nursery):
            entries = await _spawn_three(cluster, nursery)
            for entry in entries:
                _cut_off(entry, cluster)
                entry.is_isolated = True
            await trio.sleep(60)
            tenures_count = sum(entry.tenures_count for entry in entries)
            self.assertLessEqual(tenures_count, 12)


async def _spawn_three(
    cluster: Cluster, nursery: trio.Nursery
) -> tuple[Candidate, Candidate, Candidate]:
    """Return an owner that has polled all workers, and two other entries."""
    owner = cluster.spawn(nursery, 'e1')
    await cluster.wait_until(lambda: owner.cell is not None)
    others = cluster.spawn(nursery, 'e2'), cluster.spawn(nursery, 'e3')
    await trio.sleep(_POLLED_S)
    return owner, *others


def _cut_off(entry: Candidate, cluster: Cluster) -> None:
    """Cut the paths between an entry and all workers."""
    entry.unreachable.update(cluster.workers)


async def _check_single_runs(cluster: Cluster, duration_s: float) -> None:
    end_s = trio.current_time() + duration_s
    while trio.current_time() < end_s:
        await trio.sleep(0.02)
        cluster.check_single_runs()


if __name__ == '__main__':
    unittest.main()
