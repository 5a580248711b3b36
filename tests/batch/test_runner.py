"""Job runner: order of its steps, failing and unreachable workers."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio
from trio.testing import MockClock

from marjoramwharf.batch.capacity import NoWorkerFound
from marjoramwharf.batch.job import JobState
from marjoramwharf.batch.runner import JobRunner
from marjoramwharf.batch.shard import JobShard
from marjoramwharf.errors import Reason
from marjoramwharf.ids import WorkerId
from marjoramwharf.machines.calls import TaskPhase
from tests.batch.fakes import Cluster, job_spec

_FIRST = WorkerId('w-0')
_SECOND = WorkerId('w-1')


class RunnerTests(unittest.TestCase):
    """Guards against tasks that are lost or run twice."""

    def setUp(self) -> None:
        """Start with two idle workers."""
        self.cluster = Cluster()

    def test_reservation_is_released_after_the_outcome(self) -> None:
        """Guards against reservations that are never released."""

        async def script(shard: JobShard, runner: JobRunner) -> None:
            job_id = await shard.submit(job_spec('a', tasks_count=3), 0)
            await trio.sleep(0.2)
            self.assertFalse(self.cluster.capacity.released)
            status = await shard.wait(job_id, 60)
            self.assertIs(status.state, JobState.DONE)
            await trio.sleep(1)
            self.assertEqual(
                dict(self.cluster.capacity.released),
                {'r-1': 1, 'r-2': 1, 'r-3': 1},
            )

        self._serve(script)

    def test_unreachable_worker_keeps_its_tasks(self) -> None:
        """Guards against a second start of a task that may still run."""

        async def script(shard: JobShard, runner: JobRunner) -> None:
            spec = job_spec('a', exclusive_key='die', run_ms=5)
            job_id = await shard.submit(spec, 0)
            await trio.sleep(0.3)
            held = next(iter(runner.held_workers()))
            self.cluster.workers[held].is_reachable = False
            self.assertFalse(await runner.evict(next(iter(shard.state.tasks))))
            status = await shard.wait(job_id, 600)
            self.assertIs(status.state, JobState.RUNNING)
            self.cluster.workers[held].attempts.clear()
            runner.on_worker_gone(held)
            status = await shard.wait(job_id, 600)
            self.assertIs(status.state, JobState.DONE)

        self._serve(script)

    def test_failing_worker_is_avoided(self) -> None:
        """Guards against a worker that fails every task it gets."""

        async def script(shard: JobShard, runner: JobRunner) -> None:
            self.cluster.workers[_FIRST].is_failing = True
            for number in range(12):
                spec = job_spec(str(number), max_failures_count=20)
                await shard.submit(spec, 0)
            await trio.sleep(10)
            self.assertEqual(
                runner.worker_failures.excluded_workers(trio.current_time()),
                {_FIRST},
            )
            done = await shard.list_jobs(state=JobState.DONE)
            self.assertEqual(len(done), 12)

        self._serve(script)

    def test_worker_out_of_reach_is_avoided(self) -> None:
        """Guards against placing task after task on a worker that is cut off.

        The worker reports to the entry that owns its capacity.
        """

        async def script(shard: JobShard, runner: JobRunner) -> None:
            self.cluster.workers[_FIRST].is_cut_off = True
            for number in range(12):
                await shard.submit(job_spec(str(number)), 0)
                await trio.sleep(0.5)
            await trio.sleep(5)
            done = await shard.list_jobs(state=JobState.DONE)
            self.assertGreaterEqual(len(done), 10)

        self._serve(script)

    def test_job_that_never_fits_is_impossible(self) -> None:
        """Guards against endless requests for a worker that can't exist."""

        async def script(shard: JobShard, runner: JobRunner) -> None:
            self.cluster.capacity.refusal = NoWorkerFound(Reason.NEVER_FITS)
            job_id = await shard.submit(job_spec('a'), 0)
            await trio.sleep(1)
            status = await shard.status(job_id)
            self.assertIs(status.state, JobState.IMPOSSIBLE)

        self._serve(script)

    def test_stray_attempt_is_stopped(self) -> None:
        """Guards against an attempt that runs on after it was given up."""

        async def script(shard: JobShard, runner: JobRunner) -> None:
            await shard.submit(job_spec('a', run_ms=900), 0)
            await trio.sleep(0.3)
            held = next(iter(runner.held_workers()))
            other = _FIRST if held == _SECOND else _SECOND
            self.cluster.workers[held].is_reachable = False
            self.cluster.capacity.worker_ids = [other]
            stray = self.cluster.workers[held].attempts
            self.cluster.workers[held].attempts = {}
            runner.on_worker_gone(held)
            await trio.sleep(3)
            self.assertEqual(runner.held_workers(), {other})
            self.cluster.workers[held].is_reachable = True
            self.cluster.workers[held].attempts = stray
            reply = await self.cluster.workers[held].heartbeat()
            await runner.on_lease_reply(held, reply)
            phases = {report.phase for report in stray.values()}
            self.assertEqual(phases, {TaskPhase.STOPPED})
            self.assertEqual(runner.held_workers(), {other})

        self._serve(script)

    def test_former_owner_leaves_the_attempts_of_its_successor(self) -> None:
        """Guards against a paused owner that stops its successor's tasks."""

        async def script(shard: JobShard, runner: JobRunner) -> None:
            await shard.submit(job_spec('a', run_ms=900), 0)
            await trio.sleep(0.3)
            held = next(iter(runner.held_workers()))
            worker = self.cluster.workers[held]
            task_id, first = next(iter(worker.attempts.items()))
            newer = replace(first, fence=(2, 2))
            worker.attempts = {task_id: newer}
            await runner.on_lease_reply(held, await worker.heartbeat())
            self.assertEqual(worker.attempts, {task_id: newer})

        self._serve(script)

    def test_reports_of_other_shards_are_returned(self) -> None:
        """Guards against a report that never reaches its shard's owner."""

        async def script(shard: JobShard, runner: JobRunner) -> None:
            await shard.submit(job_spec('a'), 0)
            await trio.sleep(0.3)
            held = next(iter(runner.held_workers()))
            reply = await self.cluster.workers[held].heartbeat()
            idle = JobRunner(self.cluster.capacity, self.cluster.get_agent)
            foreign = await idle.on_lease_reply(held, reply)
            self.assertEqual(foreign, reply.tasks)

        self._serve(script)

    def _serve(
        self,
        script: Callable[[JobShard, JobRunner], Awaitable[None]],
    ) -> None:
        async def serve() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.cluster.run_workers)
                async with self.cluster.owner() as (shard, runner):
                    await script(shard, runner)
                nursery.cancel_scope.cancel()

        trio.run(serve, clock=MockClock(autojump_threshold=0))
