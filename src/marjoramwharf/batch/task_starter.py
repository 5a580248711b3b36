"""Starts single tasks: reserves, commits the start, calls the worker."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

from marjoramwharf.batch.capacity import (
    CapacityClient,
    NoWorkerFound,
    Reservation,
    ReservationRequest,
)
from marjoramwharf.batch.failing_workers import WorkerFailureTracker
from marjoramwharf.batch.job import Task, TaskSpec
from marjoramwharf.batch.outcomes import OutcomeCommitter
from marjoramwharf.batch.retry_pauses import RetryPauses
from marjoramwharf.batch.settling import RUNNING_PHASES, AgentLookup
from marjoramwharf.batch.shard import JobShard
from marjoramwharf.errors import (
    Failure,
    Reason,
    StoreAnswerLost,
    WorkerUnreachable,
)
from marjoramwharf.ids import WorkerId
from marjoramwharf.logs import part_logger
from marjoramwharf.machines.calls import (
    Demand,
    TaskPhase,
    TaskReport,
    TaskStart,
    WorkerRefusal,
)

_LOG = part_logger('jobs')


@dataclass(frozen=True, slots=True)
class TaskStarter:
    """Starts tasks; ``size_of`` returns the size to reserve for one."""

    capacity: CapacityClient
    get_agent: AgentLookup
    outcomes: OutcomeCommitter
    pauses: RetryPauses
    worker_failures: WorkerFailureTracker
    size_of: Callable[[TaskSpec], Demand]

    async def start(self, shard: JobShard, task: Task) -> None:
        """Start a task; after a failure, pause it before the next try."""
        try:
            await self._reserve_and_start(shard, task)
        except Failure as failure:
            self.pauses.pause(task.task_id, trio.current_time())
            _LOG.warning(
                'task not started',
                task=task.task_id,
                reason=failure.reason.value,
            )

    async def _reserve_and_start(self, shard: JobShard, task: Task) -> None:
        job = shard.state.jobs.get(task.job_id)
        if job is None:
            # The commit of the job's submission failed and was reverted.
            return
        spec = job.spec
        size = spec.tasks[task.index]
        excluded = self.worker_failures.excluded_workers(trio.current_time())
        request = ReservationRequest(
            task_id=task.task_id,
            fence=(shard.epoch, shard.next_attempt()),
            demand=self.size_of(size),
            task_class=size.task_class,
            priority=spec.priority,
            avoid_workers=excluded,
            declared=size.demand,
        )
        found = await self.capacity.reserve(request)
        if isinstance(found, NoWorkerFound):
            if found.reason is Reason.NEVER_FITS:
                await shard.mark_impossible(task.task_id)
            self.pauses.pause(size.demand, trio.current_time())
        elif found.worker_id in excluded:
            self.pauses.pause(size.demand, trio.current_time())
            await self.outcomes.release(found.reservation_id)
        else:
            start = await self._commit_start(shard, request, found)
            if start is not None:
                start = replace(start, demand=request.demand)
                await self._call_worker(found.worker_id, start)

    async def _commit_start(
        self,
        shard: JobShard,
        request: ReservationRequest,
        found: Reservation,
    ) -> TaskStart | None:
        """Commit a start, or release the reservation if it can't happen."""
        try:
            start = await shard.start(
                request.task_id,
                attempt=request.fence[1],
                worker_id=found.worker_id,
                worker_epoch=found.epoch,
                reservation_id=found.reservation_id,
            )
        except StoreAnswerLost:
            # The start may be durable; the shard's next owner finds out.
            raise
        except Failure:
            await self.outcomes.release(found.reservation_id)
            raise
        if start is None:
            await self.outcomes.release(found.reservation_id)
        return start

    async def _call_worker(self, worker_id: WorkerId, start: TaskStart) -> None:
        """Send a start to its worker.

        If the answer is lost, later lease replies tell whether it arrived.
        """
        agent = self.get_agent(worker_id)
        if agent is None:
            return
        try:
            outcome = await agent.start_task(start)
        except WorkerUnreachable:
            self.worker_failures.record_unreachable(
                worker_id, trio.current_time()
            )
            return
        self.worker_failures.record_reached(worker_id)
        if isinstance(outcome, WorkerRefusal):
            self.pauses.pause(start.task_id, trio.current_time())
            await self.outcomes.commit_end(_never_ran_report(start))
        elif outcome.phase not in RUNNING_PHASES:
            await self.outcomes.commit_end(outcome)


def _never_ran_report(start: TaskStart) -> TaskReport:
    return TaskReport(
        task_id=start.task_id,
        fence=start.fence,
        phase=TaskPhase.UNKNOWN,
        checkpoint=start.checkpoint,
        demand=start.demand,
    )
