"""Lifecycle of jobs across faults and changes of owner.

Each rule runs a new shard owner for a while and then kills it at an arbitrary
point, while the store and the workers keep running.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from trio.testing import MockClock

from marjoramwharf.batch.job import FINAL_STATES, JobState, job_id_of
from marjoramwharf.batch.runner import JobRunner
from marjoramwharf.batch.shard import JobShard
from marjoramwharf.errors import Failure, StoreAnswerLost
from marjoramwharf.ids import JobId
from tests.batch.fakes import Cluster, job_spec

Script = Callable[[JobShard, JobRunner], Awaitable[None]]

_SECONDS = st.sampled_from((0.05, 0.3, 0.75, 1.6))
_RECOVERY_TIMEOUT_S = 120


class JobLifecycle(RuleBasedStateMachine):
    """Guards against lost, repeated and overlapping work."""

    def __init__(self) -> None:
        """Start with an empty store and idle workers."""
        super().__init__()
        self.cluster = Cluster()
        self.accepted: set[JobId] = set()
        self.not_run: set[JobId] = set()
        self.cancelled: set[JobId] = set()

    @initialize(exclusive_key=st.sampled_from((None, 'press')))
    def begin(self, exclusive_key: str | None) -> None:
        """Submit jobs first, so that the faults of later steps affect them."""

        async def script(shard: JobShard, runner: JobRunner) -> None:
            for key in ('x', 'y'):
                spec = job_spec(
                    key,
                    tasks_count=2,
                    run_ms=30,
                    exclusive_key=exclusive_key,
                )
                self.accepted.add(await shard.submit(spec, now_ms=0))

        self._run(script)

    @rule(
        key=st.sampled_from('abcdef'),
        tasks_count=st.integers(1, 3),
        run_ms=st.integers(5, 40),
        exclusive_key=st.sampled_from((None, 'press', 'die')),
        lose=st.integers(0, 2),
        is_down=st.booleans(),
        seconds=_SECONDS,
    )
    def submit(
        self,
        key: str,
        tasks_count: int,
        run_ms: int,
        exclusive_key: str | None,
        lose: int,
        is_down: bool,
        seconds: float,
    ) -> None:
        """Submit a job while the store has faults, and run for a while."""
        spec = job_spec(
            key,
            tasks_count=tasks_count,
            run_ms=run_ms,
            exclusive_key=exclusive_key,
        )

        async def script(shard: JobShard, runner: JobRunner) -> None:
            self.cluster.store.answers_to_lose = lose
            self.cluster.store.is_down = is_down
            job_id = job_id_of(spec, shard.shard)
            is_known = job_id in shard.state.jobs
            self.not_run.discard(job_id)
            with trio.move_on_after(seconds):
                try:
                    await shard.submit(spec, now_ms=self.cluster.epoch)
                except StoreAnswerLost:
                    return
                except Failure:
                    self.not_run |= set() if is_known else {job_id}
                    return
                self.accepted.add(job_id)
            await trio.sleep(seconds)

        self._run(script)

    @rule(
        lose_answers=st.integers(0, 3),
        delay_starts=st.integers(0, 3),
        lose_writes=st.integers(0, 3),
        unreachable=st.booleans(),
        seconds=_SECONDS,
    )
    def run_with_faults(
        self,
        lose_answers: int,
        delay_starts: int,
        lose_writes: int,
        unreachable: bool,
        seconds: float,
    ) -> None:
        """Lose answers of the store and a worker, or cut the worker off."""

        async def script(shard: JobShard, runner: JobRunner) -> None:
            worker = next(iter(self.cluster.workers.values()))
            worker.answers_to_lose = lose_answers
            worker.starts_to_delay = delay_starts
            worker.is_reachable = not unreachable
            self.cluster.store.answers_to_lose = lose_writes
            await trio.sleep(seconds)

        self._run(script)

    @rule(seconds=_SECONDS, down_s=_SECONDS)
    def outage(self, seconds: float, down_s: float) -> None:
        """Take the store down while tasks run, and bring it back."""

        async def script(shard: JobShard, runner: JobRunner) -> None:
            await trio.sleep(seconds)
            self.cluster.store.is_down = True
            await trio.sleep(down_s)
            self.cluster.store.is_down = False
            await trio.sleep(seconds)

        self._run(script)

    @rule(seconds=_SECONDS, lose=st.integers(0, 1))
    def evict(self, seconds: float, lose: int) -> None:
        """Evict all tasks, then let them resume."""

        async def script(shard: JobShard, runner: JobRunner) -> None:
            await trio.sleep(seconds)
            self.cluster.store.answers_to_lose = lose
            for task_id in tuple(shard.state.tasks):
                await runner.evict(task_id)
            await trio.sleep(seconds)

        self._run(script)

    @rule(seconds=_SECONDS, second_s=_SECONDS)
    def takeover(self, seconds: float, second_s: float) -> None:
        """Let a former owner keep running beside the new one."""

        async def script(shard: JobShard, runner: JobRunner) -> None:
            await trio.sleep(seconds)
            async with self.cluster.owner():
                await trio.sleep(second_s)

        self._run(script)

    @rule(seconds=_SECONDS)
    def cancel(self, seconds: float) -> None:
        """Cancel one job."""

        async def script(shard: JobShard, runner: JobRunner) -> None:
            known = sorted(shard.state.jobs)[:1]
            self.cancelled.update(known)
            await shard.cancel(known)
            await trio.sleep(seconds)

        self._run(script)

    @invariant()
    def no_unit_is_done_twice(self) -> None:
        """Tasks resume exactly: no unit of work is done more than once."""
        repeated = {
            unit: count
            for unit, count in self.cluster.executed.items()
            if count > 1
        }
        assert not repeated, repeated

    def teardown(self) -> None:
        """Remove all faults; each accepted job must then be done."""

        async def script(shard: JobShard, runner: JobRunner) -> None:
            for worker in self.cluster.workers.values():
                worker.is_reachable = True
            assert not self.not_run.intersection(shard.state.jobs)
            for job_id in self.accepted:
                status = await shard.wait(job_id, _RECOVERY_TIMEOUT_S)
                assert status.state in FINAL_STATES, status
                if job_id not in self.cancelled:
                    self._check_done(shard, job_id, status.state)

        self._run(script)
        self.no_unit_is_done_twice()

    def _check_done(
        self,
        shard: JobShard,
        job_id: JobId,
        state: JobState,
    ) -> None:
        assert state is JobState.DONE, state
        spec = shard.state.jobs[job_id].spec
        for task in shard.state.tasks_of(job_id):
            for unit in range(spec.tasks[task.index].run_ms):
                assert self.cluster.executed[task.task_id, unit] == 1

    def _run(self, script: Script) -> None:
        trio.run(
            self._serve,
            script,
            clock=MockClock(autojump_threshold=0),
        )

    async def _serve(self, script: Script) -> None:
        self.cluster.store.is_down = False
        self.cluster.store.answers_to_lose = 0
        self.cluster.runners.clear()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.cluster.run_workers)
            async with self.cluster.owner(snapshot_after_entries_count=3) as (
                shard,
                runner,
            ):
                await script(shard, runner)
            nursery.cancel_scope.cancel()


JobLifecycle.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=12,
)
JobLifecycleTests = JobLifecycle.TestCase
