"""Jobs of a cell from submission to their end, with faults on the way."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.records import progress_key
from marjoramwharf.cells.status import ShownState
from marjoramwharf.ids import WorkerId
from marjoramwharf.scheduling.fleet import WorkerState
from standins.simulated_worker import SimulatedWorker
from tests.cells.world import (
    CELL,
    job_request,
    open_world,
    run_with_clock,
    step,
)


class PlainRunTests(unittest.TestCase):
    """What callers get while nothing fails."""

    def test_steps_in_order(self) -> None:
        """Guards against a task that starts before the steps before it."""
        run_with_clock(self._steps_in_order)

    def test_failed_job(self) -> None:
        """Guards against more attempts than allowed, or fewer."""
        run_with_clock(self._failed_job)

    def test_cancelled_job(self) -> None:
        """Guards against a task that runs on after its job's cancelling."""
        run_with_clock(self._cancelled_job)

    def test_lasting_job(self) -> None:
        """Guards against a lasting task that is not started again."""
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
        async with open_world() as (world, nursery):
            world.spawn(nursery, 'e1')
            requests = [
                job_request(
                    str(number),
                    step(6, cpu_millicores=100),
                    payload=f'ms={least_ms} more=20',
                )
                for number, least_ms in enumerate(range(300, 460, 20))
            ]
            for request in requests:
                await world.submit(request)
            before = world.store.commits_count
            await world.until(
                lambda: all(
                    world.state(request) is ShownState.DONE
                    for request in requests
                ),
            )
            # One call for four tasks, start and end.
            self.assertLess(world.store.commits_count - before, 12)

    async def _steps_in_order(self) -> None:
        async with open_world() as (world, nursery):
            world.spawn(nursery, 'e1')
            request = job_request('aa', step(3), step(2, after=(0,)))
            await world.submit(request)
            await world.until(lambda: len(world.starts()) > 3)
            first = [f'{request.job_id}.0.0.{index}' for index in range(3)]
            running = {
                task
                for worker in world.workers.values()
                for task in worker.running
            }
            self.assertFalse(running & set(first))
            await world.until(
                lambda: world.state(request) is ShownState.DONE,
            )
            self.assertEqual(5, world.starts().total())

    async def _failed_job(self) -> None:
        async with open_world() as (world, nursery):
            world.spawn(nursery, 'e1')
            request = job_request('aa', payload='fail')
            await world.submit(request)
            await world.until(
                lambda: world.state(request) is ShownState.FAILED,
            )
            self.assertEqual([3], list(world.starts().values()))

    async def _cancelled_job(self) -> None:
        async with open_world() as (world, nursery):
            world.spawn(nursery, 'e1')
            request = job_request('aa', step(4), payload='ms=60000')
            await world.submit(request)
            await world.until(lambda: world.starts().total() == 4)
            await world.cancel(request.job_id)
            await world.until(
                lambda: (
                    not any(worker.running for worker in world.workers.values())
                ),
                limit_s=1,
            )
            self.assertIs(ShownState.CANCELLED, world.state(request))

    async def _lasting_job(self) -> None:
        async with open_world() as (world, nursery):
            world.spawn(nursery, 'e1')
            request = job_request(
                'aa',
                step(1, is_lasting=True),
                payload='fail ms=500',
            )
            await world.submit(request)
            await world.until(lambda: world.starts().total() > 5)
            self.assertIs(ShownState.RUNNING, world.state(request))

    async def _gang(self) -> None:
        async with open_world() as (world, nursery):
            world.spawn(nursery, 'e1')
            request = job_request('aa', step(4, is_gang=True))
            await world.submit(request)
            await world.until(
                lambda: world.state(request) is ShownState.DONE,
            )
            numbers = {
                number
                for worker in world.workers.values()
                for _, number, _ in worker.starts
            }
            self.assertEqual({1}, numbers)

    async def _occurrences(self) -> None:
        async with open_world() as (world, nursery):
            world.spawn(nursery, 'e1')
            begun_ms = int(trio.current_time() * 1_000)
            request = job_request(
                'aa',
                repeat_count=3,
                first_due_ms=begun_ms + 5_000,
                interval_ms=5_000,
            )
            await world.submit(request)
            await trio.sleep(4.9)
            self.assertEqual(0, world.starts().total())
            await trio.sleep(5.2)
            self.assertEqual(2, world.starts().total())
            await world.until(
                lambda: world.state(request) is ShownState.DONE,
            )


class FaultTests(unittest.TestCase):
    """What holds while owners, workers and answers are lost."""

    def test_owner_is_killed(self) -> None:
        """Guards against work done twice or lost by a change of owner."""
        run_with_clock(self._owner_is_killed)

    def test_start_answer_is_lost(self) -> None:
        """Guards against a second start of a run whose answer was lost."""
        run_with_clock(self._start_answer_is_lost)

    def test_run_ended_unseen(self) -> None:
        """Guards against a second start of a run that ended unseen.

        Its order is sent again by the client, and refused as too old; the
        answers of the next looks are lost.
        """
        run_with_clock(self._run_ended_unseen)

    def test_late_start(self) -> None:
        """Guards against a late start that runs beside its replacement."""
        run_with_clock(self._late_start)

    def test_late_start_of_former_owner(self) -> None:
        """Guards against an order of a former owner that is carried out."""
        run_with_clock(self._late_start_of_former_owner)

    def test_worker_is_cut(self) -> None:
        """Guards against a second run before the lease of the first ended."""
        run_with_clock(self._worker_is_cut)

    def test_worker_restarts(self) -> None:
        """Guards against runs that are waited for after a restart."""
        run_with_clock(self._worker_restarts)

    def test_store_is_down(self) -> None:
        """Guards against running work that ends with the store."""
        run_with_clock(self._store_is_down)

    def test_write_answer_is_lost(self) -> None:
        """Guards against an owner that stops at its own lost write."""
        run_with_clock(self._write_answer_is_lost)

    def test_late_write(self) -> None:
        """Guards against an old record that overwrites a newer one."""
        run_with_clock(self._late_write)

    def test_worker_leaves(self) -> None:
        """Guards against lasting tasks that stay on a leaving worker."""
        run_with_clock(self._worker_leaves)

    async def _owner_is_killed(self) -> None:
        async with open_world() as (world, nursery):
            first = world.spawn(nursery, 'e1')
            await world.until(lambda: first.cell is not None)
            world.spawn(nursery, 'e2')
            requests = [
                job_request(f'a{number}', step(3), step(2, after=(0,)))
                for number in range(4)
            ]
            for request in requests:
                await world.submit(request)
            await world.until(lambda: world.starts().total() > 4)
            first.scope.cancel()
            await world.until(
                lambda: all(
                    world.state(request) is ShownState.DONE
                    for request in requests
                ),
            )
            self.assertEqual({1}, set(world.starts().values()))

    async def _start_answer_is_lost(self) -> None:
        async with open_world() as (world, nursery):
            world.spawn(nursery, 'e1')
            world.calls.start_answers_to_lose = 2
            request = job_request('aa')
            await world.submit(request)
            await world.until(
                lambda: world.state(request) is ShownState.DONE,
            )
            self.assertEqual([1], list(world.starts().values()))

    async def _run_ended_unseen(self) -> None:
        async with open_world(('w1',)) as (world, nursery):
            world.spawn(nursery, 'e1')
            await world.until(lambda: world.owners[0].cell is not None)
            await trio.sleep(1)
            world.calls.starts_to_repeat = 1
            world.calls.hold_answers_to_lose = 2
            request = job_request('aa', payload='ms=50')
            await world.submit(request)
            await world.until(
                lambda: world.state(request) is ShownState.DONE,
            )
            self.assertEqual([1], list(world.starts().values()))

    async def _late_start(self) -> None:
        async with open_world() as (world, nursery):
            world.spawn(nursery, 'e1')
            world.calls.starts_to_delay = 4
            request = job_request('aa', payload='ms=3000')
            await world.submit(request)
            await world.until(lambda: world.starts().total() == 1)
            for late in world.calls.delayed_orders:
                late()
            world.check_runs()
            await world.until(
                lambda: world.state(request) is ShownState.DONE,
            )
            self.assertEqual([1], list(world.starts().values()))

    async def _late_start_of_former_owner(self) -> None:
        async with open_world(('w1',)) as (world, nursery):
            first = world.spawn(nursery, 'e1')
            await world.until(lambda: first.cell is not None)
            world.calls.starts_to_delay = 1
            request = job_request('aa', payload='ms=3000')
            await world.submit(request)
            await world.until(lambda: bool(world.calls.delayed_orders))
            first.scope.cancel()
            world.spawn(nursery, 'e2')
            await world.until(lambda: world.starts().total() == 1)
            await trio.sleep(5)
            world.calls.delayed_orders[0]()
            await world.until(
                lambda: world.state(request) is ShownState.DONE,
            )
            self.assertEqual([1], list(world.starts().values()))

    async def _worker_is_cut(self) -> None:
        async with open_world() as (world, nursery):
            world.spawn(nursery, 'e1')
            request = job_request('aa', payload='ms=60000')
            await world.submit(request)
            await world.until(lambda: world.starts().total() == 1)
            holder = next(
                name for name, worker in world.workers.items() if worker.running
            )
            world.calls.unreachable.add(holder)
            await world.until(lambda: world.starts().total() == 2)
            self.assertFalse(world.workers[holder].running)

    async def _worker_restarts(self) -> None:
        async with open_world(('w1',)) as (world, nursery):
            world.spawn(nursery, 'e1')
            request = job_request('aa', payload='ms=2000')
            await world.submit(request)
            await world.until(lambda: world.starts().total() == 1)
            world.workers[WorkerId('w1')] = SimulatedWorker(trio.current_time())
            await world.until(
                lambda: world.state(request) is ShownState.DONE,
                limit_s=6,
            )

    async def _store_is_down(self) -> None:
        async with open_world() as (world, nursery):
            world.spawn(nursery, 'e1')
            request = job_request('aa', payload='ms=4000')
            await world.submit(request)
            await world.until(lambda: world.starts().total() == 1)
            world.store.is_down = True
            await trio.sleep(5)
            world.store.is_down = False
            await world.until(
                lambda: world.state(request) is ShownState.DONE,
            )
            self.assertEqual([1], list(world.starts().values()))

    async def _write_answer_is_lost(self) -> None:
        async with open_world() as (world, nursery):
            owner = world.spawn(nursery, 'e1')
            await world.until(lambda: owner.cell is not None)
            cell = owner.cell
            request = job_request('aa')
            await world.submit(request)
            world.store.answers_to_lose = 2
            await world.until(
                lambda: world.state(request) is ShownState.DONE,
            )
            self.assertIs(cell, owner.cell)

    async def _late_write(self) -> None:
        async with open_world() as (world, nursery):
            owner = world.spawn(nursery, 'e1')
            await world.until(lambda: owner.cell is not None)
            request = job_request('aa')
            await world.submit(request)
            world.store.commits_to_delay = 1
            await world.until(
                lambda: world.state(request) is ShownState.DONE,
            )
            key = progress_key(CELL, request.job_id)
            last = world.store.state.stored[key]
            for late in world.store.delayed_commits:
                late()
            self.assertEqual(last, world.store.state.stored[key])

    async def _worker_leaves(self) -> None:
        async with open_world(('w1',)) as (world, nursery):
            world.spawn(nursery, 'e1')
            request = job_request(
                'aa',
                step(1, is_lasting=True),
                payload='last',
            )
            await world.submit(request)
            await world.until(lambda: world.starts().total() == 1)
            second = await world.add_worker('w2')
            await trio.sleep(1)
            await world.add_worker(
                'w1',
                state=WorkerState.DRAINING,
                remaining_ms=4_000,
            )
            await world.until(lambda: bool(second.running), limit_s=3)
