"""Life of jobs in a cell, from submission to end, with and without faults."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.job_status import PublicJobState
from marjoramwharf.cells.records import progress_key
from marjoramwharf.ids import WorkerId
from marjoramwharf.scheduling.fleet import WorkerState
from standins.simulated_worker import SimulatedWorker
from tests.cells.cluster import (
    CELL,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)


class PlainRunTests(unittest.TestCase):
    """Guards against wrong results of jobs while nothing fails."""

    def test_steps_in_order(self) -> None:
        """Guards against a task that starts before an earlier step is done."""
        run_with_clock(self._steps_in_order)

    def test_failed_job(self) -> None:
        """Guards against more or fewer attempts of a task than allowed."""
        run_with_clock(self._failed_job)

    def test_cancelled_job(self) -> None:
        """Guards against a task that runs on after its job is cancelled."""
        run_with_clock(self._cancelled_job)

    def test_lasting_job(self) -> None:
        """Guards against a lasting task that is not restarted when it fails."""
        run_with_clock(self._lasting_job)

    def test_gang(self) -> None:
        """Guards against members of a gang with different run numbers."""
        run_with_clock(self._gang)

    def test_occurrences(self) -> None:
        """Guards against an occurrence that starts before it is due."""
        run_with_clock(self._occurrences)

    def test_calls_to_the_store(self) -> None:
        """Guards against a call to the store for each task that ends."""
        run_with_clock(self._calls_to_the_store)

    async def _calls_to_the_store(self) -> None:
        """Run 8 jobs of one step, whose 48 tasks end at different times."""
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            requests = [
                job_request(
                    str(number),
                    step(6, cpu_millicores=100),
                    payload=f'ms={least_ms} more=20',
                )
                for number, least_ms in enumerate(range(300, 460, 20))
            ]
            for request in requests:
                await cluster.submit(request)
            before = cluster.store.commits_count
            await cluster.wait_until_done(*requests)
            # On average one call stores the starts and ends of four tasks.
            self.assertLess(cluster.store.commits_count - before, 12)

    async def _steps_in_order(self) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            request = job_request('aa', step(3), step(2, after=(0,)))
            await cluster.submit(request)
            await cluster.wait_until(lambda: len(cluster.starts()) > 3)
            first = [f'{request.job_id}.0.0.{index}' for index in range(3)]
            running = {
                task
                for worker in cluster.workers.values()
                for task in worker.running
            }
            self.assertFalse(running & set(first))
            await cluster.wait_until_done(request)
            self.assertEqual(5, cluster.starts().total())

    async def _failed_job(self) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            request = job_request('aa', payload='fail')
            await cluster.submit(request)
            await cluster.wait_until(
                lambda: cluster.state(request) is PublicJobState.FAILED,
            )
            self.assertEqual([3], list(cluster.starts().values()))

    async def _cancelled_job(self) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            request = job_request('aa', step(4), payload='ms=60000')
            await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.starts().total() == 4)
            await cluster.cancel(request.job_id)
            await cluster.wait_until(
                lambda: (
                    not any(
                        worker.running for worker in cluster.workers.values()
                    )
                ),
                limit_s=1,
            )
            self.assertIs(PublicJobState.CANCELLED, cluster.state(request))

    async def _lasting_job(self) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            request = job_request(
                'aa',
                step(1, is_lasting=True),
                payload='fail ms=500',
            )
            await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.starts().total() > 5)
            self.assertIs(PublicJobState.RUNNING, cluster.state(request))

    async def _gang(self) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            request = job_request('aa', step(4, is_gang=True))
            await cluster.submit(request)
            await cluster.wait_until_done(request)
            numbers = {
                number
                for worker in cluster.workers.values()
                for _, number, _ in worker.starts
            }
            self.assertEqual({1}, numbers)

    async def _occurrences(self) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            begun_ms = int(trio.current_time() * 1_000)
            request = job_request(
                'aa',
                repeat_count=3,
                first_due_ms=begun_ms + 5_000,
                interval_ms=5_000,
            )
            await cluster.submit(request)
            await trio.sleep(4.9)
            self.assertEqual(0, cluster.starts().total())
            await trio.sleep(5.2)
            self.assertEqual(2, cluster.starts().total())
            await cluster.wait_until_done(request)


class FaultTests(unittest.TestCase):
    """Guards against work lost or doubled when parts of the system fail."""

    def test_owner_is_killed(self) -> None:
        """Guards against work done twice or lost by a change of owner."""
        run_with_clock(self._owner_is_killed)

    def test_start_answer_is_lost(self) -> None:
        """Guards against a second start of a run whose answer was lost."""
        run_with_clock(self._start_answer_is_lost)

    def test_run_ended_unseen(self) -> None:
        """Guards against a second start of a run whose end was not reported.

        The client repeats the start order, which is refused as too old, and
        the answers of the next polls are lost.
        """
        run_with_clock(self._run_ended_unseen)

    def test_late_start(self) -> None:
        """Guards against a delayed start that runs beside its replacement."""
        run_with_clock(self._late_start)

    def test_late_start_of_former_owner(self) -> None:
        """Guards against a delayed order of a former owner that is executed."""
        run_with_clock(self._late_start_of_former_owner)

    def test_worker_is_cut(self) -> None:
        """Guards against a second run before the lease of the first one ends.

        The worker of the first run is unreachable.
        """
        run_with_clock(self._worker_is_cut)

    def test_worker_restarts(self) -> None:
        """Guards against waiting for the runs of a worker that restarted."""
        run_with_clock(self._worker_restarts)

    def test_store_is_down(self) -> None:
        """Guards against runs that end because the store is unavailable."""
        run_with_clock(self._store_is_down)

    def test_write_answer_is_lost(self) -> None:
        """Guards against an owner that gives up when a write has no answer."""
        run_with_clock(self._write_answer_is_lost)

    def test_late_write(self) -> None:
        """Guards against a delayed write that overwrites a newer record."""
        run_with_clock(self._late_write)

    def test_worker_leaves(self) -> None:
        """Guards against lasting tasks that stay on a leaving worker."""
        run_with_clock(self._worker_leaves)

    async def _owner_is_killed(self) -> None:
        async with open_cluster() as (cluster, nursery):
            first = cluster.spawn(nursery, 'e1')
            await cluster.wait_until(lambda: first.cell is not None)
            cluster.spawn(nursery, 'e2')
            requests = [
                job_request(f'a{number}', step(3), step(2, after=(0,)))
                for number in range(4)
            ]
            for request in requests:
                await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.starts().total() > 4)
            first.scope.cancel()
            await cluster.wait_until_done(*requests)
            self.assertEqual({1}, set(cluster.starts().values()))

    async def _start_answer_is_lost(self) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            cluster.worker_client.start_answers_to_lose = 2
            request = job_request('aa')
            await cluster.submit(request)
            await cluster.wait_until_done(request)
            self.assertEqual([1], list(cluster.starts().values()))

    async def _run_ended_unseen(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            await cluster.wait_until(
                lambda: cluster.candidates[0].cell is not None
            )
            await trio.sleep(1)
            cluster.worker_client.starts_to_repeat = 1
            cluster.worker_client.hold_answers_to_lose = 2
            request = job_request('aa', payload='ms=50')
            await cluster.submit(request)
            await cluster.wait_until_done(request)
            self.assertEqual([1], list(cluster.starts().values()))

    async def _late_start(self) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            cluster.worker_client.starts_to_delay = 4
            request = job_request('aa', payload='ms=3000')
            await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.starts().total() == 1)
            for late in cluster.worker_client.delayed_orders:
                late()
            cluster.check_single_runs()
            await cluster.wait_until_done(request)
            self.assertEqual([1], list(cluster.starts().values()))

    async def _late_start_of_former_owner(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            first = cluster.spawn(nursery, 'e1')
            await cluster.wait_until(lambda: first.cell is not None)
            cluster.worker_client.starts_to_delay = 1
            request = job_request('aa', payload='ms=3000')
            await cluster.submit(request)
            await cluster.wait_until(
                lambda: bool(cluster.worker_client.delayed_orders)
            )
            first.scope.cancel()
            cluster.spawn(nursery, 'e2')
            await cluster.wait_until(lambda: cluster.starts().total() == 1)
            await trio.sleep(5)
            cluster.worker_client.delayed_orders[0]()
            await cluster.wait_until_done(request)
            self.assertEqual([1], list(cluster.starts().values()))

    async def _worker_is_cut(self) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            request = job_request('aa', payload='ms=60000')
            await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.starts().total() == 1)
            holder = next(
                name
                for name, worker in cluster.workers.items()
                if worker.running
            )
            cluster.worker_client.unreachable.add(holder)
            await cluster.wait_until(lambda: cluster.starts().total() == 2)
            self.assertFalse(cluster.workers[holder].running)

    async def _worker_restarts(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            request = job_request('aa', payload='ms=2000')
            await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.starts().total() == 1)
            cluster.workers[WorkerId('w1')] = SimulatedWorker(
                trio.current_time()
            )
            await cluster.wait_until(
                lambda: cluster.state(request) is PublicJobState.DONE,
                limit_s=6,
            )

    async def _store_is_down(self) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            request = job_request('aa', payload='ms=4000')
            await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.starts().total() == 1)
            cluster.store.is_down = True
            await trio.sleep(5)
            cluster.store.is_down = False
            await cluster.wait_until_done(request)
            self.assertEqual([1], list(cluster.starts().values()))

    async def _write_answer_is_lost(self) -> None:
        async with open_cluster() as (cluster, nursery):
            candidate = cluster.spawn(nursery, 'e1')
            await cluster.wait_until(lambda: candidate.cell is not None)
            cell = candidate.cell
            request = job_request('aa')
            await cluster.submit(request)
            cluster.store.answers_to_lose = 2
            await cluster.wait_until_done(request)
            self.assertIs(cell, candidate.cell)

    async def _late_write(self) -> None:
        async with open_cluster() as (cluster, nursery):
            candidate = cluster.spawn(nursery, 'e1')
            await cluster.wait_until(lambda: candidate.cell is not None)
            request = job_request('aa')
            await cluster.submit(request)
            cluster.store.commits_to_delay = 1
            await cluster.wait_until_done(request)
            key = progress_key(CELL, request.job_id)
            last = cluster.store.state.stored[key]
            for late in cluster.store.delayed_commits:
                late()
            self.assertEqual(last, cluster.store.state.stored[key])

    async def _worker_leaves(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            request = job_request(
                'aa',
                step(1, is_lasting=True),
                payload='last',
            )
            await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.starts().total() == 1)
            second = await cluster.add_worker('w2')
            await trio.sleep(1)
            await cluster.add_worker(
                'w1',
                state=WorkerState.DRAINING,
                remaining_ms=4_000,
            )
            await cluster.wait_until(lambda: bool(second.running), limit_s=3)
