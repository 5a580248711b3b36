"""Stops attempts, and finds out from their workers how they ended."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TypeAlias

import trio

from marjoramwharf.batch.job import Task, TaskState
from marjoramwharf.batch.outcomes import OutcomeCommitter
from marjoramwharf.batch.retry_pauses import RetryPauses
from marjoramwharf.batch.shard import JobShard
from marjoramwharf.errors import WorkerUnreachable
from marjoramwharf.ids import TaskId, WorkerId
from marjoramwharf.machines.calls import TaskPhase, TaskReport, WorkerAgent

AgentLookup: TypeAlias = Callable[[WorkerId], WorkerAgent | None]

RUNNING_PHASES = frozenset((TaskPhase.RUNNING, TaskPhase.THROTTLED))

# A reply can be older than a start that was acknowledged meanwhile, so a single
# reply without a task proves nothing. After the second one, the worker is asked
# to stop the attempt, which also tells whether it ran.
_MAX_REPLIES_WITHOUT_TASK_COUNT = 2


@dataclass(slots=True)
class AttemptSettler:
    """Determines the outcomes of the attempts of the owned shards."""

    get_agent: AgentLookup
    outcomes: OutcomeCommitter
    pauses: RetryPauses
    _absences: dict[TaskId, int] = field(default_factory=dict)

    async def stop(self, task: Task) -> bool:
        """Stop an attempt, or find out how it ended, and commit the end.

        Returns false if the worker can't be reached.
        """
        placement = task.placement
        agent = None
        if placement is not None:
            agent = self.get_agent(placement.worker_id)
        self.pauses.pause(task.task_id, trio.current_time())
        if agent is None:
            return False
        try:
            await self._stop_on_worker(agent, task)
        except WorkerUnreachable:
            return False
        return True

    async def _stop_on_worker(self, agent: WorkerAgent, task: Task) -> None:
        report = await agent.stop_task(
            task.task_id,
            task.fence,
            with_checkpoint=task.state is TaskState.PLACED,
        )
        if report.phase not in RUNNING_PHASES:
            await self.outcomes.commit_end(report)

    async def handle_report(
        self,
        shard: JobShard,
        worker_id: WorkerId,
        report: TaskReport,
    ) -> None:
        """Commit a reported end; stop an attempt that is not current."""
        if report.phase not in RUNNING_PHASES:
            await self.outcomes.commit_end(report)
            return
        self._absences.pop(report.task_id, None)
        task = shard.state.tasks.get(report.task_id)
        if task is not None and task.fence == report.fence:
            return
        # The attempt was given up, for example because its worker left the
        # list and came back. A higher epoch belongs to a later owner.
        agent = self.get_agent(worker_id)
        if agent is not None and report.fence[0] <= shard.epoch:
            with suppress(WorkerUnreachable):
                await agent.stop_task(
                    report.task_id,
                    report.fence,
                    with_checkpoint=False,
                )

    def find_missing_tasks(
        self,
        shard: JobShard,
        worker_id: WorkerId,
        reported: frozenset[tuple[TaskId, tuple[int, int]]],
    ) -> Iterator[Task]:
        """Yield held tasks that are missing from repeated worker replies.

        ``reported`` has the tasks and fences that the worker did report or
        that have a call in flight.
        """
        for task_id in tuple(shard.state.held_by_worker.get(worker_id, ())):
            task = shard.state.tasks[task_id]
            if (task_id, task.fence) in reported:
                self._absences.pop(task_id, None)
                continue
            self._absences[task_id] = self._absences.get(task_id, 0) + 1
            if self._absences[task_id] >= _MAX_REPLIES_WITHOUT_TASK_COUNT:
                self._absences.pop(task_id)
                yield task
