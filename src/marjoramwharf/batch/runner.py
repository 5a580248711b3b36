"""Starts the ready tasks of the owned job shards and takes in their ends.

The order of the steps carries the guarantees: reserve, commit the start, call
the worker, commit the outcome, release the reservation. A task whose start is
committed is never started again before its worker says that the attempt ended
or never ran, or the platform's list says that the instance is gone.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from contextlib import ExitStack
from dataclasses import dataclass
from itertools import islice

import trio

from marjoramwharf.batch.capacity import CapacityClient
from marjoramwharf.batch.worker_failures import WorkerFailureTracker
from marjoramwharf.batch.job import HELD_STATES, Task, TaskSpec, parse_shard_id
from marjoramwharf.batch.ordering import ready_tasks
from marjoramwharf.batch.outcomes import OutcomeCommitter
from marjoramwharf.batch.retry_pauses import RetryPauses
from marjoramwharf.batch.settling import RUNNING_PHASES, AgentLookup, AttemptSettler
from marjoramwharf.batch.shard import JobShard
from marjoramwharf.batch.task_starter import TaskStarter
from marjoramwharf.ids import ShardId, TaskId, WorkerId
from marjoramwharf.machines.calls import Demand, LeaseReply, TaskReport


@dataclass(frozen=True, slots=True)
class RunnerLimits:
    """Bounds of the starts of one entry."""

    poll_s: float = 0.1
    retry_s: float = 0.5
    starts_count: int = 64
    scan_count: int = 2_000


class JobRunner:
    """Runs the tasks of the job shards that this entry owns."""

    def __init__(
        self,
        capacity: CapacityClient,
        agent_of: AgentLookup,
        *,
        size_of: Callable[[TaskSpec], Demand] | None = None,
        limits: RunnerLimits | None = None,
    ) -> None:
        """Prepare a runner; ``size_of`` corrects the declared sizes."""
        self.failing = WorkerFailureTracker()
        self._limits = limits or RunnerLimits()
        self._shards: dict[ShardId, JobShard] = {}
        self._outcomes = OutcomeCommitter(self._shards, capacity, self.failing)
        self._pauses = RetryPauses(self._limits.retry_s)
        # Tasks with a call under way; one call per task at a time.
        self._active: set[TaskId] = set()
        self._settling = AttemptSettler(agent_of, self._outcomes, self._pauses)
        self._starts = TaskStarter(
            capacity,
            agent_of,
            self._outcomes,
            self._pauses,
            self.failing,
            size_of or _declared,
        )

    async def serve_shard(self, shard: JobShard) -> None:
        """Serve a recovered shard until it has another owner.

        Tasks that the former owner started count as held. Their workers'
        reports say what became of them.
        """
        self._shards[shard.shard] = shard
        with ExitStack() as stack:
            stack.callback(self._disown, shard)
            await shard.journal.run()

    def held_workers(self) -> frozenset[WorkerId]:
        """Return the workers that may run tasks of the owned shards.

        After a takeover, the caller compares them with the platform's list
        and calls ``on_instance_gone`` for those that are not on it.
        """
        return frozenset(
            worker_id
            for shard in self._shards.values()
            for worker_id in shard.state.held_by_worker
        )

    def shards(self) -> tuple[JobShard, ...]:
        """Return the owned shards."""
        return tuple(self._shards.values())

    def shard(self, shard_id: ShardId) -> JobShard | None:
        """Return an owned shard."""
        return self._shards.get(shard_id)

    async def run(self) -> None:
        """Start, stop and settle tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._outcomes.run, self._limits.retry_s)
            while True:
                for shard in tuple(self._shards.values()):
                    self._spawn(nursery, shard)
                await trio.sleep(self._limits.poll_s)

    async def on_lease_reply(
        self,
        worker_id: WorkerId,
        reply: LeaseReply,
        *,
        shards: Collection[ShardId] | None = None,
    ) -> tuple[TaskReport, ...]:
        """Take in a worker's reports; return those of other shards.

        The caller passes the returned reports on to the owners. ``shards``
        names those for which the reply is complete, ``None`` means all.
        """
        self._outcomes.instance_seen(worker_id)
        foreign: list[TaskReport] = []
        settling = self._settling
        busy = self._busy_or_reported(reply)
        async with trio.open_nursery() as nursery:
            for report in reply.tasks:
                shard = self._shard_of(report.task_id)
                if shard is None:
                    foreign.append(report)
                elif _is_news(shard, report):
                    nursery.start_soon(settling.take, shard, worker_id, report)
            for owned in self._named(shards):
                for task in settling.lost(owned, worker_id, busy):
                    self._active.add(task.task_id)
                    nursery.start_soon(self._stop, task)
        return tuple(foreign)

    def on_instance_gone(self, worker_id: WorkerId) -> None:
        """Return the tasks of an instance that the platform's list lost.

        The commit is repeated until the store takes it.
        """
        self._outcomes.instance_gone(worker_id)

    async def evict(self, task_id: TaskId) -> bool:
        """Checkpoint and stop a task; it resumes from there later.

        Returns false if the task does not run or its worker did not answer.
        """
        shard = self._shard_of(task_id)
        task = None if shard is None else shard.state.tasks.get(task_id)
        if shard is None or task is None or task.state not in HELD_STATES:
            return False
        if task_id in self._active:
            return False
        self._active.add(task_id)
        return await self._stop(task)

    def _named(
        self,
        shards: Collection[ShardId] | None,
    ) -> list[JobShard]:
        return [
            shard
            for number, shard in self._shards.items()
            if shards is None or number in shards
        ]

    def _disown(self, shard: JobShard) -> None:
        if self._shards.get(shard.shard) is shard:
            self._shards.pop(shard.shard)
        shard.wake_waiters()

    def _shard_of(self, task_id: TaskId) -> JobShard | None:
        shard_id = parse_shard_id(task_id)
        return None if shard_id is None else self._shards.get(shard_id)

    def _busy_or_reported(
        self,
        reply: LeaseReply,
    ) -> frozenset[tuple[TaskId, tuple[int, int]]]:
        reported = {(report.task_id, report.fence) for report in reply.tasks}
        for task_id in self._active:
            shard = self._shard_of(task_id)
            task = None if shard is None else shard.state.tasks.get(task_id)
            if task is not None:
                reported.add((task_id, task.fence))
        return frozenset(reported)

    def _spawn(self, nursery: trio.Nursery, shard: JobShard) -> None:
        now_s = trio.current_time()
        for stopping_id in tuple(shard.state.stopping):
            if self._may_try(stopping_id, now_s):
                self._active.add(stopping_id)
                nursery.start_soon(self._stop, shard.state.tasks[stopping_id])
        for ready in self._to_start(shard, now_s):
            self._active.add(ready.task_id)
            nursery.start_soon(self._start, shard, ready)

    def _to_start(self, shard: JobShard, now_s: float) -> Iterator[Task]:
        scanned = islice(
            ready_tasks(shard.state, shard.policy),
            self._limits.scan_count,
        )
        for task in scanned:
            if len(self._active) >= self._limits.starts_count:
                return
            spec = shard.state.jobs[task.job_id].spec
            demand = spec.tasks[task.index].demand
            if self._pauses.is_paused(demand, now_s):
                continue
            if self._may_try(task.task_id, now_s):
                yield task

    def _may_try(self, task_id: TaskId, now_s: float) -> bool:
        if task_id in self._active:
            return False
        return not self._pauses.is_paused(task_id, now_s)

    async def _start(self, shard: JobShard, task: Task) -> None:
        await self._starts.start(shard, task)
        self._active.discard(task.task_id)

    async def _stop(self, task: Task) -> bool:
        has_answered = await self._settling.stop(task)
        self._active.discard(task.task_id)
        return has_answered


def _is_news(shard: JobShard, report: TaskReport) -> bool:
    """Tell whether a report may change the shard or needs a stop.

    Workers repeat the ends of attempts in each reply.
    """
    task = shard.state.tasks.get(report.task_id)
    is_held = task is not None and task.state in HELD_STATES
    if is_held and task is not None and task.fence == report.fence:
        return True
    return report.phase in RUNNING_PHASES


def _declared(size: TaskSpec) -> Demand:
    return size.demand
