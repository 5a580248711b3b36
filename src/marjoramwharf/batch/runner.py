"""Starts the ready tasks of the owned job shards and handles their ends.

The guarantees follow from the order of the steps: reserve, commit the start,
call the worker, commit the outcome, release the reservation. A task whose
start is committed is never started again until its worker reports that the
attempt ended or never ran, or the worker has left the platform's list.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from contextlib import ExitStack
from dataclasses import dataclass
from itertools import islice

import trio

from marjoramwharf.batch.capacity import CapacityClient
from marjoramwharf.batch.failing_workers import WorkerFailureTracker
from marjoramwharf.batch.job import HELD_STATES, Task, TaskSpec, parse_shard_id
from marjoramwharf.batch.ordering import ready_tasks
from marjoramwharf.batch.outcomes import OutcomeCommitter
from marjoramwharf.batch.retry_pauses import RetryPauses
from marjoramwharf.batch.settling import (
    RUNNING_PHASES,
    AgentLookup,
    AttemptSettler,
)
from marjoramwharf.batch.shard import JobShard
from marjoramwharf.batch.task_starter import TaskStarter
from marjoramwharf.ids import ShardId, TaskId, WorkerId
from marjoramwharf.machines.calls import Demand, LeaseReply, TaskReport


@dataclass(frozen=True, slots=True)
class RunnerLimits:
    """Intervals and limits for the starts of one entry.

    ``max_active_calls_count`` limits the calls for tasks that are in flight,
    ``max_scanned_tasks_count`` the ready tasks of a shard examined per poll.
    """

    poll_s: float = 0.1
    retry_s: float = 0.5
    max_active_calls_count: int = 64
    max_scanned_tasks_count: int = 2_000


class JobRunner:
    """Runs the tasks of the job shards that this entry owns."""

    def __init__(
        self,
        capacity: CapacityClient,
        get_agent: AgentLookup,
        *,
        size_of: Callable[[TaskSpec], Demand] | None = None,
        limits: RunnerLimits | None = None,
    ) -> None:
        """Create a runner; ``size_of`` corrects the declared task sizes."""
        self.worker_failures = WorkerFailureTracker()
        self._limits = limits or RunnerLimits()
        self._shards: dict[ShardId, JobShard] = {}
        self._outcomes = OutcomeCommitter(
            self._shards,
            capacity,
            self.worker_failures,
        )
        self._pauses = RetryPauses(self._limits.retry_s)
        # Tasks with a call in flight; there is at most one call per task.
        self._active: set[TaskId] = set()
        self._settler = AttemptSettler(get_agent, self._outcomes, self._pauses)
        self._starter = TaskStarter(
            capacity,
            get_agent,
            self._outcomes,
            self._pauses,
            self.worker_failures,
            size_of or _declared_demand,
        )

    async def serve_shard(self, shard: JobShard) -> None:
        """Serve a recovered shard until it has another owner.

        Tasks that the former owner started count as running until their
        workers' reports tell how they ended.
        """
        self._shards[shard.shard] = shard
        with ExitStack() as stack:
            stack.callback(self._disown, shard)
            await shard.journal.run()

    def held_workers(self) -> frozenset[WorkerId]:
        """Return the workers that may be running tasks of the owned shards.

        After a takeover, the caller compares them with the platform's list
        and calls ``on_worker_gone`` for those that are missing there.
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
        """Return an owned shard, ``None`` for a shard of another owner."""
        return self._shards.get(shard_id)

    async def run(self) -> None:
        """Start, stop and settle tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._outcomes.run, self._limits.retry_s)
            while True:
                for shard in tuple(self._shards.values()):
                    self._spawn_calls(nursery, shard)
                await trio.sleep(self._limits.poll_s)

    async def on_lease_reply(
        self,
        worker_id: WorkerId,
        reply: LeaseReply,
        *,
        shards: Collection[ShardId] | None = None,
    ) -> tuple[TaskReport, ...]:
        """Handle a worker's task reports; return those of other shards.

        The caller forwards the returned reports to the shards' owners.
        ``shards`` are those for which the reply is complete; ``None`` means
        all.
        """
        self._outcomes.mark_worker_seen(worker_id)
        foreign: list[TaskReport] = []
        settler = self._settler
        reported = self._reported_or_active(reply)
        async with trio.open_nursery() as nursery:
            for report in reply.tasks:
                shard = self._shard_of(report.task_id)
                if shard is None:
                    foreign.append(report)
                elif _needs_handling(shard, report):
                    nursery.start_soon(
                        settler.handle_report,
                        shard,
                        worker_id,
                        report,
                    )
            for owned in self._select_shards(shards):
                for task in settler.find_missing_tasks(
                    owned,
                    worker_id,
                    reported,
                ):
                    self._active.add(task.task_id)
                    nursery.start_soon(self._stop, task)
        return tuple(foreign)

    def on_worker_gone(self, worker_id: WorkerId) -> None:
        """Let a worker's tasks wait again after it left the platform's list.

        The commit is retried until the store accepts it.
        """
        self._outcomes.mark_worker_gone(worker_id)

    async def evict(self, task_id: TaskId) -> bool:
        """Stop a task at a checkpoint, from which its next attempt resumes.

        Returns false if the task is not running, has another call in flight,
        or its worker did not answer.
        """
        shard = self._shard_of(task_id)
        task = None if shard is None else shard.state.tasks.get(task_id)
        if shard is None or task is None or task.state not in HELD_STATES:
            return False
        if task_id in self._active:
            return False
        self._active.add(task_id)
        return await self._stop(task)

    def _select_shards(
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

    def _reported_or_active(
        self,
        reply: LeaseReply,
    ) -> frozenset[tuple[TaskId, tuple[int, int]]]:
        """Return the attempts in a reply and those with a call in flight."""
        reported = {(report.task_id, report.fence) for report in reply.tasks}
        for task_id in self._active:
            shard = self._shard_of(task_id)
            task = None if shard is None else shard.state.tasks.get(task_id)
            if task is not None:
                reported.add((task_id, task.fence))
        return frozenset(reported)

    def _spawn_calls(self, nursery: trio.Nursery, shard: JobShard) -> None:
        """Stop the stopping tasks and start ready ones, in the background."""
        now_s = trio.current_time()
        for stopping_id in tuple(shard.state.stopping_tasks):
            if self._can_call(stopping_id, now_s):
                self._active.add(stopping_id)
                nursery.start_soon(self._stop, shard.state.tasks[stopping_id])
        for ready in self._startable_tasks(shard, now_s):
            self._active.add(ready.task_id)
            nursery.start_soon(self._start, shard, ready)

    def _startable_tasks(self, shard: JobShard, now_s: float) -> Iterator[Task]:
        """Yield ready tasks that are not paused, within the limits."""
        scanned = islice(
            ready_tasks(shard.state, shard.policy),
            self._limits.max_scanned_tasks_count,
        )
        for task in scanned:
            if len(self._active) >= self._limits.max_active_calls_count:
                return
            spec = shard.state.jobs[task.job_id].spec
            demand = spec.tasks[task.index].demand
            if self._pauses.is_paused(demand, now_s):
                continue
            if self._can_call(task.task_id, now_s):
                yield task

    def _can_call(self, task_id: TaskId, now_s: float) -> bool:
        if task_id in self._active:
            return False
        return not self._pauses.is_paused(task_id, now_s)

    async def _start(self, shard: JobShard, task: Task) -> None:
        await self._starter.start(shard, task)
        self._active.discard(task.task_id)

    async def _stop(self, task: Task) -> bool:
        has_answered = await self._settler.stop(task)
        self._active.discard(task.task_id)
        return has_answered


def _needs_handling(shard: JobShard, report: TaskReport) -> bool:
    """Tell whether a report may change the shard or require a stop.

    Workers repeat the ends of attempts in every reply, so most have no effect.
    """
    task = shard.state.tasks.get(report.task_id)
    is_held = task is not None and task.state in HELD_STATES
    if is_held and task is not None and task.fence == report.fence:
        return True
    return report.phase in RUNNING_PHASES


def _declared_demand(size: TaskSpec) -> Demand:
    return size.demand
