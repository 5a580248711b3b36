"""Answers that are processed long after they were made.

The network delays them, or the owner stands still between an answer and its
processing, or between a check and the order that it allows.
"""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.job_status import PublicJobState
from marjoramwharf.ids import WorkerId
from tests.cells.cluster import (
    Candidate,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
)


async def _elect(cluster: Cluster, nursery: trio.Nursery) -> Candidate:
    """Spawn an entry and wait until it has polled the workers."""
    candidate = cluster.spawn(nursery, 'e1')
    await cluster.wait_until(lambda: candidate.cell is not None)
    await trio.sleep(1)
    return candidate


class LateAnswerTests(unittest.TestCase):
    """Guards against work that is started again for the sake of old news."""

    def test_report_is_delayed(self) -> None:
        """Guards against a delayed report that is taken for a restart."""
        run_with_clock(self._report_is_delayed)

    def test_owner_stands_still(self) -> None:
        """Guards against reports of before a suspension."""
        run_with_clock(self._owner_stands_still)

    def test_silent_worker_keeps_its_runs(self) -> None:
        """Guards against runs moved off a worker silent for a short time."""
        run_with_clock(self._silent_worker)

    def test_order_leaves_after_a_suspension(self) -> None:
        """Guards against an order sent by a right that has run out."""
        run_with_clock(self._order_leaves_late)

    def test_order_reaches_an_unreached_worker(self) -> None:
        """Guards against a former owner's late run beside a new one."""
        run_with_clock(self._order_reaches_unreached_worker)

    def test_owner_dies_before_progress_is_stored(self) -> None:
        """Guards against a run that the next owner doesn't know of."""
        run_with_clock(self._owner_dies_before_progress_is_stored)

    def test_worker_is_lost_after_first_poll(self) -> None:
        """Guards against forgetting the lease that a former owner granted."""
        run_with_clock(self._worker_is_lost_after_first_poll)

    async def _report_is_delayed(self) -> None:
        async with open_cluster(('w1', 'w2')) as (cluster, nursery):
            await _elect(cluster, nursery)
            short = job_request('aa', payload='ms=50')
            cluster.worker_client.hold_answer_delays_s = [1.2, 1.2]
            await cluster.submit(short)
            await cluster.wait_until(lambda: cluster.starts().total() == 1)
            await trio.sleep(0.2)
            requests = [
                job_request(name, payload='ms=4000') for name in 'bcdefgh'
            ]
            for request in requests:
                await cluster.submit(request)
            await cluster.wait_until(
                lambda: all(
                    cluster.state(request) is PublicJobState.DONE
                    for request in requests
                ),
            )
            self.assertEqual({1}, set(cluster.starts().values()))

    async def _owner_stands_still(self) -> None:
        """Freeze the owner while reports and starts are on their way."""
        async with open_cluster(('w1', 'w2')) as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            cluster.worker_client.hold_answer_delays_s = [0.3, 0.3]
            await cluster.submit(job_request('aa', payload='ms=50'))
            await cluster.wait_until(lambda: cluster.starts().total() == 1)
            await trio.sleep(0.06)
            requests = [
                job_request(name, payload='ms=4000') for name in 'bcdefgh'
            ]
            for request in requests:
                await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.starts().total() > 4)
            owner.gate.freeze(1.9)
            await cluster.wait_until(
                lambda: all(
                    cluster.state(request) is PublicJobState.DONE
                    for request in requests
                ),
            )
            self.assertEqual({1}, set(cluster.starts().values()))

    async def _silent_worker(self) -> None:
        """Silence a worker for less than the lease of its run."""
        async with open_cluster() as (cluster, nursery):
            await _elect(cluster, nursery)
            request = job_request('aa', payload='ms=9000')
            await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.starts().total() == 1)
            holder = next(
                name
                for name, worker in cluster.workers.items()
                if worker.running
            )
            cluster.worker_client.unreachable.add(holder)
            await trio.sleep(4)
            cluster.worker_client.unreachable.clear()
            await cluster.wait_until(
                lambda: cluster.state(request) is PublicJobState.DONE,
            )
            self.assertEqual([1], list(cluster.starts().values()))

    async def _order_leaves_late(self) -> None:
        """Freeze the owner just before a start order leaves."""
        async with open_cluster(('w1',)) as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            stored = cluster.store.commits_count
            await cluster.submit(job_request('aa', payload='ms=2000'))
            await cluster.wait_until(
                lambda: cluster.store.commits_count > stored + 1
            )
            owner.gate.freeze(30)
            cluster.spawn(nursery, 'e2')
            await trio.sleep(35)
            cluster.check_single_runs()
            fences = [fence for _, _, fence in cluster.starts_with_fences()]
            self.assertEqual(1, len(set(fences)))

    async def _order_reaches_unreached_worker(self) -> None:
        """The former owner's order leaves late, and reaches a worker alone.

        The new owner never reaches that worker, so only the lease in the order
        tells how long its run may last.
        """
        async with open_cluster(('w1',)) as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            cluster.worker_client.starts_to_delay = 1
            request = job_request('aa', payload='ms=60000')
            await cluster.submit(request)
            await cluster.wait_until(
                lambda: bool(cluster.worker_client.delayed_orders)
            )
            owner.scope.cancel()
            cluster.worker_client.unreachable.add(WorkerId('w1'))
            await cluster.add_worker('w2')
            cluster.spawn(nursery, 'e2')
            await trio.sleep(4)
            cluster.worker_client.delayed_orders[0]()
            await cluster.wait_until(lambda: cluster.starts().total() == 2)
            await trio.sleep(1)
            cluster.check_single_runs()

    async def _owner_dies_before_progress_is_stored(self) -> None:
        """The worker of the run can't be reached by the next owner."""
        async with open_cluster(('w1',)) as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            request = job_request('aa', payload='ms=60000')
            await cluster.submit(request)
            cluster.store.commits_to_delay = 100
            await trio.sleep(1)
            owner.scope.cancel()
            cluster.store.commits_to_delay = 0
            cluster.worker_client.unreachable.add(WorkerId('w1'))
            await cluster.add_worker('w2')
            cluster.spawn(nursery, 'e2')
            await cluster.wait_until(
                lambda: bool(cluster.workers[WorkerId('w2')].starts)
            )
            cluster.check_single_runs()

    async def _worker_is_lost_after_first_poll(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            await cluster.submit(job_request('aa', payload='ms=60000'))
            await cluster.wait_until(lambda: cluster.starts().total() == 1)
            await trio.sleep(3)
            owner.scope.cancel()
            polls = cluster.worker_client.holds_count
            await cluster.add_worker('w2')
            cluster.worker_client.unreachable.add(WorkerId('w2'))
            cluster.spawn(nursery, 'e2')
            await cluster.wait_until(
                lambda: cluster.worker_client.holds_count > polls
            )
            cluster.worker_client.unreachable = {WorkerId('w1')}
            await cluster.wait_until(lambda: cluster.starts().total() == 2)
            cluster.check_single_runs()
