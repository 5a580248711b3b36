"""Answers that are processed long after they were made.

The network delays them, or the owner stands still between an answer and its
processing, or between a check and the order that it allows.
"""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from contextlib import AbstractContextManager
from unittest.mock import patch

import trio

from marjoramwharf.cells.job_status import PublicJobState
from marjoramwharf.cells.records import progress_prefix
from marjoramwharf.cells.worker_messages import HoldReport, OrderOutcome
from marjoramwharf.ids import WorkerId
from marjoramwharf.links.store import Committed, Conflict, Guard, Write
from marjoramwharf.scheduling.fleet import WorkerState
from standins.simulated_worker import SimulatedWorker
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    CELL,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)

# What thaws first is random, so this is tried more than once.
_THAW_ATTEMPTS_COUNT = 8


async def _elect(cluster: Cluster, nursery: trio.Nursery) -> Candidate:
    """Spawn an entry and wait until it has polled the workers."""
    candidate = cluster.spawn(nursery, 'e1')
    await cluster.wait_until(lambda: candidate.cell is not None)
    await trio.sleep(1)
    return candidate


def _freeze_at_commit(
    cluster: Cluster, owner: Candidate, duration_s: float
) -> AbstractContextManager[object]:
    """Let the owner stand still once its progress is stored.

    It learns of the commit, and may send the order, after it thaws.
    """
    commit = cluster.store.commit
    prefix = progress_prefix(CELL)

    async def freezing_commit(
        guards: Sequence[Guard], writes: Sequence[Write]
    ) -> Committed | Conflict:
        outcome = await commit(guards, writes)
        is_progress = any(write.key.startswith(prefix) for write in writes)
        if is_progress and not owner.gate.frozen_until_s:
            owner.gate.freeze(duration_s)
        return outcome

    return patch.object(cluster.store, 'commit', freezing_commit)


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

    def test_former_owner_thaws(self) -> None:
        """Guards against a start long after the right to start has ended."""
        for _ in range(_THAW_ATTEMPTS_COUNT):
            run_with_clock(self._former_owner_thaws)

    def test_late_start_at_restarted_worker(self) -> None:
        """Guards against a lease that was meant for another clock."""
        run_with_clock(self._late_start_at_restarted_worker)

    def test_late_start_ends_at_restarted_worker(self) -> None:
        """Guards against an end that is forgotten before it is reported."""
        run_with_clock(self._late_start_ends_at_restarted_worker)

    def test_run_ends_before_restart_is_noticed(self) -> None:
        """Guards against a done run that is lost with a former incarnation."""
        run_with_clock(self._run_ends_before_restart_is_noticed)

    def test_run_starts_before_restart_is_noticed(self) -> None:
        """Guards against a sound run that is taken for one of before."""
        run_with_clock(self._run_starts_before_restart_is_noticed)

    def test_stop_is_lost(self) -> None:
        """Guards against a run that counts as stopped without an answer."""
        run_with_clock(self._stop_is_lost)

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
            await cluster.wait_until_done(*requests)
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
            await cluster.wait_until_done(*requests)
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
            await cluster.wait_until_done(request)
            self.assertEqual([1], list(cluster.starts().values()))

    async def _order_leaves_late(self) -> None:
        """Freeze the owner just before a start order leaves."""
        async with open_cluster(('w1',)) as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            with _freeze_at_commit(cluster, owner, 30):
                await cluster.submit(job_request('aa', payload='ms=2000'))
                await cluster.wait_until(
                    lambda: bool(owner.gate.frozen_until_s)
                )
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

    async def _former_owner_thaws(self) -> None:
        """The former owner reaches the worker again before the new one does.

        It stands still while a run is being stored. Its order would leave after
        the new owner has waited for the end of all leases.
        """
        async with open_cluster(('w1',)) as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            with _freeze_at_commit(cluster, owner, 30):
                await cluster.submit(job_request('aa', payload='ms=60000'))
                await cluster.wait_until(
                    lambda: bool(owner.gate.frozen_until_s)
                )
            cluster.worker_client.unreachable.add(WorkerId('w1'))
            second = await cluster.add_worker('w2')
            cluster.spawn(nursery, 'e2')
            await cluster.wait_until(lambda: bool(second.starts))
            await trio.sleep_until(owner.gate.frozen_until_s)
            cluster.worker_client.unreachable.clear()
            for _ in range(50):
                await trio.sleep(0.02)
                cluster.check_single_runs()

    async def _late_start_at_restarted_worker(self) -> None:
        """The worker is silent from then on, so nothing can be stopped there.

        The end of the lease in the order was a time of the former clock, so the
        late run lasts as long as the worker allows at most.
        """
        name = WorkerId('w1')
        async with open_cluster((name,)) as (cluster, nursery):
            await _elect(cluster, nursery)
            await trio.sleep(30)
            client = cluster.worker_client
            client.starts_to_delay = 4
            client.stops_to_drop = 100
            await cluster.submit(job_request('aa', payload='ms=60000'))
            await cluster.wait_until(lambda: bool(client.delayed_orders))
            cluster.workers[name] = SimulatedWorker(trio.current_time())
            await trio.sleep(2.5)
            client.delayed_orders[0]()
            self.assertTrue(cluster.workers[name].running)
            client.unreachable.add(name)
            second = await cluster.add_worker('w2')
            await cluster.wait_until(lambda: bool(second.starts))

    async def _late_start_ends_at_restarted_worker(self) -> None:
        """Both incarnations number their ends from 1."""
        name = WorkerId('w1')
        async with open_cluster((name,)) as (cluster, nursery):
            await _elect(cluster, nursery)
            early = job_request('aa', step(5), payload='ms=50')
            await cluster.submit(early)
            await cluster.wait_until_done(early)
            await trio.sleep(3)
            client = cluster.worker_client
            client.starts_to_delay = 4
            late = job_request('bb', payload='ms=50')
            await cluster.submit(late)
            await cluster.wait_until(lambda: bool(client.delayed_orders))
            client.unreachable.add(name)
            await trio.sleep(1.5)
            cluster.workers[name] = SimulatedWorker(trio.current_time())
            client.delayed_orders[0]()
            await trio.sleep(0.2)
            client.unreachable.clear()
            await cluster.wait_until_done(late)
            self.assertEqual([1], list(cluster.starts().values()))

    async def _run_ends_before_restart_is_noticed(self) -> None:
        name = WorkerId('w1')
        async with open_cluster((name,)) as (cluster, nursery):
            await _elect(cluster, nursery)
            cluster.workers[name] = SimulatedWorker(trio.current_time())
            request = job_request('aa', payload='ms=50')
            await cluster.submit(request)
            await cluster.wait_until_done(request)
            self.assertEqual([1], list(cluster.starts().values()))

    async def _run_starts_before_restart_is_noticed(self) -> None:
        """The first report of the new incarnation is older than the run."""
        name = WorkerId('w1')
        async with open_cluster((name,)) as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            polled_s = trio.current_time()
            request = job_request('aa', payload='ms=3000')
            await cluster.submit(request)
            await cluster.wait_until(
                lambda: cluster.state(request) is PublicJobState.RUNNING
            )
            report = HoldReport(
                OrderOutcome.ACCEPTED, clock_ms=100, born_ms=10**12
            )
            self.assertIsNotNone(owner.cell)
            if owner.cell is not None:
                link = owner.cell.worker_registry.links[name]
                link._reports.process(report, sent_s=polled_s, nursery=nursery)
            await cluster.wait_until_done(request)
            self.assertEqual([1], list(cluster.starts().values()))

    async def _stop_is_lost(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            await _elect(cluster, nursery)
            await cluster.submit(
                job_request('aa', step(1, is_lasting=True), payload='last')
            )
            await cluster.wait_until(lambda: cluster.starts().total() == 1)
            await trio.sleep(1)
            second = await cluster.add_worker('w2')
            cluster.worker_client.stops_to_drop = 3
            await cluster.add_worker(
                'w1', state=WorkerState.DRAINING, remaining_ms=60_000
            )
            await cluster.wait_until(lambda: bool(second.running), limit_s=5)

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
