"""Job shard: repeats, quotas, order, exclusive keys and ends."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from marjoramwharf.batch.job import JobPriority, JobState, Task, TaskState
from marjoramwharf.batch.ordering import ShardPolicy
from marjoramwharf.batch.shard import JobShard
from marjoramwharf.errors import KeyReused, Reason, UnknownJob
from marjoramwharf.ids import Epoch, JobId, TaskId, WorkerId
from marjoramwharf.machines.calls import (
    Demand,
    TaskPhase,
    TaskReport,
    TaskStart,
)
from tests.batch.fakes import POLICY, Cluster, job_spec

_WORKER = WorkerId('w-0')


class ShardTests(unittest.TestCase):
    """Guards against wrong starts and ends of tasks."""

    def setUp(self) -> None:
        """Start with an empty store."""
        self.cluster = Cluster()

    def test_repeat_returns_the_same_job(self) -> None:
        """Guards against a job that runs twice after a repeated call."""

        async def script(shard: JobShard) -> None:
            first = await shard.submit(job_spec('a'), 0)
            self.assertEqual(await shard.submit(job_spec('a'), 9), first)
            with self.assertRaises(KeyReused):
                await shard.submit(job_spec('a', run_ms=9), 0)
            with self.assertRaises(UnknownJob):
                await shard.status(JobId('3-none'))

        self._serve(script)

    def test_urgent_first_then_aged_priority(self) -> None:
        """Guards against starvation and against late urgent work."""

        async def script(shard: JobShard) -> None:
            aging_ms = POLICY.aging_ms
            low, high = JobPriority.LOW, JobPriority.HIGH
            await shard.submit(job_spec('high', priority=high), 3 * aging_ms)
            await shard.submit(job_spec('old', priority=low), 0)
            await shard.submit(job_spec('low', priority=low), 2 * aging_ms)
            urgent = JobPriority.URGENT
            await shard.submit(job_spec('now', priority=urgent), 9 * aging_ms)
            self.assertEqual(
                [self._key_of(shard, task) for task in shard.ready(9)],
                ['now', 'old', 'high', 'low'],
            )

        self._serve(script)

    def test_quota_bounds_placed_tasks(self) -> None:
        """Guards against a team that takes the whole fleet."""

        async def script(shard: JobShard) -> None:
            await shard.submit(job_spec('a', tasks_count=5), 0)
            self.assertEqual(len(shard.ready(9)), 2)
            stale = shard.ready(9) + [shard.state.tasks[self._last(shard)]]
            started = [await self._start(shard, task) for task in stale]
            self.assertEqual([start is None for start in started], [0, 0, 1])
            self.assertEqual(shard.ready(9), [])

        policy = ShardPolicy(quota_millicores=lambda team: 250)
        self._serve(script, policy)

    def test_exclusive_key_is_held_until_the_worker_confirms(self) -> None:
        """Guards against a second job with the key while the first may run."""

        async def script(shard: JobShard) -> None:
            first = await shard.submit(job_spec('a', exclusive_key='die'), 0)
            await shard.submit(job_spec('b', exclusive_key='die'), 1)
            start = await self._start(shard, shard.ready(9)[0])
            assert start is not None
            await shard.cancel([first])
            self.assertEqual(shard.ready(9), [])
            await shard.record_end(_report(start, TaskPhase.STOPPED))
            self.assertEqual(self._key_of(shard, shard.ready(9)[0]), 'b')
            second = await self._start(shard, shard.ready(9)[0])
            assert second is not None
            self.assertGreater(second.fence, start.fence)

        self._serve(script)

    def test_end_is_recorded_once_per_attempt(self) -> None:
        """Guards against a late report that ends a newer attempt."""

        async def script(shard: JobShard) -> None:
            await shard.submit(job_spec('a'), 0)
            old = await self._start(shard, shard.ready(1)[0])
            assert old is not None
            await shard.record_end(
                _report(old, TaskPhase.STOPPED, checkpoint=2),
            )
            new = await self._start(shard, shard.ready(1)[0])
            assert new is not None
            self.assertEqual(new.checkpoint, 2)
            late = _report(old, TaskPhase.FINISHED)
            self.assertIsNone(await shard.record_end(late))
            done = _report(new, TaskPhase.FINISHED)
            self.assertIsNotNone(await shard.record_end(done))
            self.assertIsNone(await shard.record_end(done))

        self._serve(script)

    def test_failures_are_limited(self) -> None:
        """Guards against a failing task that is retried for ever."""

        async def script(shard: JobShard) -> None:
            job_id = await shard.submit(job_spec('a', max_failures_count=2), 0)
            for _ in range(2):
                start = await self._start(shard, shard.ready(1)[0])
                assert start is not None
                await shard.record_end(_report(start, TaskPhase.FAILED))
            status = await shard.status(job_id)
            self.assertIs(status.state, JobState.FAILED)

        self._serve(script)

    def test_mass_cancellation_takes_few_writes(self) -> None:
        """Guards against one write per cancelled job."""

        async def script(shard: JobShard) -> None:
            async with trio.open_nursery() as nursery:
                for number in range(3000):
                    spec = job_spec(str(number))
                    nursery.start_soon(shard.submit, spec, 0)
            before = self.cluster.store.writes_count
            known = await shard.cancel(list(shard.state.jobs))
            self.assertEqual(len(known), 3000)
            self.assertEqual(self.cluster.store.writes_count - before, 1)
            cancelled = await shard.list_jobs(
                state=JobState.CANCELLED,
                limit=5000,
            )
            self.assertEqual(len(cancelled), 3000)

        self._serve(script)

    def test_impossible_job_has_a_reason_and_can_return(self) -> None:
        """Guards against an impossible job that is retried or lost for ever."""

        async def script(shard: JobShard) -> None:
            job_id = await shard.submit(job_spec('a'), 0)
            await shard.mark_impossible(shard.ready(1)[0].task_id)
            status = await shard.status(job_id)
            self.assertIs(status.state, JobState.IMPOSSIBLE)
            self.assertIs(status.reason, Reason.NEVER_FITS)
            self.assertEqual(shard.ready(1), [])
            await shard.reconsider()
            self.assertEqual(len(shard.ready(1)), 1)

        self._serve(script)

    def test_wait_ends_with_the_job(self) -> None:
        """Guards against a waiter that is not woken."""

        async def script(shard: JobShard) -> None:
            job_id = await shard.submit(job_spec('a'), 0)
            early = await shard.wait(job_id, 1)
            self.assertIs(early.state, JobState.WAITING)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(shard.cancel, [job_id])
                late = await shard.wait(job_id, 1e6)
            self.assertIs(late.state, JobState.CANCELLED)
            self.assertLess(trio.current_time(), 1e5)

        self._serve(script)

    def test_old_jobs_are_removed(self) -> None:
        """Guards against a shard state that grows without bound."""

        async def script(shard: JobShard) -> None:
            job_id = await shard.submit(job_spec('a'), 0)
            await shard.submit(job_spec('b'), 0)
            await shard.cancel([job_id])
            await shard.forget_expired_jobs(1_000)
            await shard.forget_expired_jobs(1_000 + POLICY.retention_ms)
            self.assertNotIn(job_id, shard.state.jobs)
            self.assertEqual(len(shard.state.tasks), 1)

        self._serve(script)

    def test_lost_instance_frees_its_tasks(self) -> None:
        """Guards against tasks that wait for a worker that is gone."""

        async def script(shard: JobShard) -> None:
            await shard.submit(job_spec('a'), 0)
            await self._start(shard, shard.ready(1)[0])
            freed = await shard.end_attempts_on(_WORKER)
            self.assertEqual([one.reservation_id for one in freed], ['r'])
            task = shard.ready(1)[0]
            self.assertIs(task.state, TaskState.WAITING)

        self._serve(script)

    async def _start(self, shard: JobShard, task: Task) -> TaskStart | None:
        return await shard.start(
            task.task_id,
            worker_id=_WORKER,
            worker_epoch=Epoch(1),
            reservation_id='r',
        )

    def _key_of(self, shard: JobShard, task: Task) -> str:
        return shard.state.jobs[task.job_id].spec.idempotency_key

    def _last(self, shard: JobShard) -> TaskId:
        return max(shard.state.tasks)

    def _serve(
        self,
        script: Callable[[JobShard], Awaitable[None]],
        policy: ShardPolicy = POLICY,
    ) -> None:
        async def serve() -> None:
            shard = await self.cluster.take_over(policy)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(shard.journal.run)
                await script(shard)
                nursery.cancel_scope.cancel()

        trio.run(serve, clock=MockClock(autojump_threshold=0))


def _report(
    start: TaskStart,
    phase: TaskPhase,
    checkpoint: int = 0,
) -> TaskReport:
    return TaskReport(
        start.task_id,
        start.fence,
        phase,
        checkpoint,
        Demand(1, 1),
    )
