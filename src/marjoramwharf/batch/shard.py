"""The owner's state machine for one job shard.

Every change goes through the journal: it is decided on the latest state and
reported when it is durable. Times are wall-clock milliseconds, because they
outlive the process that took them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import islice

import trio

from marjoramwharf.batch import decisions
from marjoramwharf.batch.events import ShardState
from marjoramwharf.batch.job import (
    FINAL_STATES,
    JobSpec,
    JobState,
    Placement,
    Task,
    TaskState,
    job_id_of,
    derive_job_state,
)
from marjoramwharf.batch.journal import Journal, Proposal
from marjoramwharf.batch.ordering import ShardPolicy, ready_tasks
from marjoramwharf.errors import NotOwner, Reason, UnknownJob
from marjoramwharf.ids import Epoch, JobId, ShardId, TaskId, TeamId, WorkerId
from marjoramwharf.machines.calls import TaskReport, TaskStart

# A cancel event takes about 30 bytes; this keeps a wave in few log entries
# and each entry below the store's limit for a value.
_CANCEL_CHUNK_COUNT = 5_000


@dataclass(frozen=True, slots=True)
class JobStatus:
    """What a caller is told about a job."""

    job_id: JobId
    state: JobState
    team: TeamId
    submitted_at_ms: int
    task_counts: dict[TaskState, int]
    reason: Reason | None = None


@dataclass(slots=True)
class JobShard:
    """Jobs of one shard, while this entry owns it."""

    shard: ShardId
    epoch: Epoch
    journal: Journal
    policy: ShardPolicy
    _changed: trio.Event = field(default_factory=trio.Event)
    _asked_attempt: int = 0
    _final_since_ms: dict[JobId, int] = field(default_factory=dict)

    async def submit(self, spec: JobSpec, now_ms: int) -> JobId:
        """Accept a job once it is durable.

        A repeat returns the id of the job. Raises ``KeyReused`` for another
        job with the same key, and the failures of ``Journal.commit``.
        """
        job_id = job_id_of(spec, self.shard)

        await self._commit(
            partial(
                decisions.submission,
                job_id=job_id,
                spec=spec,
                now_ms=now_ms,
            ),
        )
        return job_id

    async def status(self, job_id: JobId) -> JobStatus:
        """Return the durable status.

        Raises ``UnknownJob``, or ``NotOwner`` after a change of owner.
        """
        await self._durable()
        return self._status(job_id)

    async def wait(self, job_id: JobId, timeout_s: float) -> JobStatus:
        """Return the status when the job is final or the time is over."""
        with trio.move_on_after(timeout_s):
            while (await self.status(job_id)).state not in FINAL_STATES:
                await self._changed.wait()
        return await self.status(job_id)

    async def cancel(self, job_ids: Sequence[JobId]) -> list[JobId]:
        """Cancel jobs and return those that are known.

        Tasks that may run are stopped at their workers afterwards; a task
        that ends before the stop counts as done.
        """
        known: list[JobId] = []
        for start in range(0, len(job_ids), _CANCEL_CHUNK_COUNT):
            chunk = job_ids[start : start + _CANCEL_CHUNK_COUNT]
            await self._commit(
                partial(decisions.cancellation, job_ids=chunk),
            )
            known.extend(job for job in chunk if job in self.state.jobs)
        return known

    async def list_jobs(
        self,
        *,
        team: TeamId | None = None,
        state: JobState | None = None,
        limit: int = 100,
    ) -> list[JobStatus]:
        """Return the latest jobs, newest first."""
        await self._durable()
        found: list[JobStatus] = []
        for job in reversed(tuple(self.state.jobs.values())):
            if len(found) >= limit:
                break
            if team in {None, job.spec.team}:
                status = self._status(job.job_id)
                found += [status] if state in {None, status.state} else []
        return found

    @property
    def state(self) -> ShardState:
        """The jobs and tasks, with the events of the write under way."""
        return self.journal.state

    def ready(self, limit: int) -> list[Task]:
        """Return tasks that may start now, the most important first."""
        return list(islice(ready_tasks(self.state, self.policy), limit))

    def next_attempt(self) -> int:
        """Return a number for an attempt that no other attempt gets.

        Numbers are given out before the commit, so that the reservation of
        an attempt has its fence.
        """
        self._asked_attempt = 1 + max(
            self._asked_attempt,
            self.state.last_attempt,
        )
        return self._asked_attempt

    async def start(
        self,
        task_id: TaskId,
        *,
        attempt: int | None = None,
        worker_id: WorkerId,
        worker_epoch: Epoch,
        reservation_id: str,
    ) -> TaskStart | None:
        """Commit a start and return the call for the worker.

        Without ``attempt``, the next number is taken. Returns ``None`` if the
        task may no longer start.
        """
        number = self.next_attempt() if attempt is None else attempt
        placement = Placement(
            worker_id,
            worker_epoch,
            reservation_id,
            self.epoch,
        )
        await self._commit(
            partial(
                decisions.start,
                policy=self.policy,
                task_id=task_id,
                placement=placement,
                attempt=number,
            ),
        )
        task = self.state.tasks.get(task_id)
        if task is None or task.placement != placement:
            return None
        return build_task_start(self.state, task)

    async def record(self, report: TaskReport) -> Placement | None:
        """Commit the end of an attempt that a worker reports.

        Returns the placement whose reservation is now free, ``None`` if the
        report ends nothing: a running phase, or an attempt that is counted
        already. ``UNKNOWN`` proves that the attempt never runs.
        """
        freed: list[Placement] = []

        await self._commit(
            partial(decisions.end, report=report, freed=freed),
        )
        return freed[0] if freed else None

    async def instance_gone(self, worker_id: WorkerId) -> list[Placement]:
        """End the attempts of a worker that the platform's list lost.

        Returns the placements whose reservations are now free.
        """
        freed: list[Placement] = []
        await self._commit(
            partial(decisions.loss, worker_id=worker_id, freed=freed),
        )
        return freed

    async def mark_impossible(self, task_id: TaskId) -> None:
        """Mark a job as impossible because no worker is large enough."""
        await self._commit(
            partial(decisions.setting_aside, task_id=task_id),
        )

    async def reconsider(self) -> None:
        """Let impossible jobs wait again, after larger workers joined."""
        await self._commit(decisions.reconsideration)

    async def forget_expired_jobs(self, now_ms: int) -> None:
        """Drop jobs that have been final for the retention time.

        The time is counted from the first call that finds the job final; a
        new owner counts from its own first call.
        """
        for known in self.state.jobs:
            if self.state.state_of(known) in FINAL_STATES:
                self._final_since_ms.setdefault(known, now_ms)
        old = [
            final
            for final, since_ms in self._final_since_ms.items()
            if now_ms - since_ms >= self.policy.retention_ms
        ]
        if old:
            await self._commit(partial(decisions.forgetting, job_ids=old))
        for forgotten in old:
            self._final_since_ms.pop(forgotten)

    async def flush(self) -> None:
        """Return when all changes so far are durable."""
        await self.journal.commit(lambda _state: ())
        await self.journal.durable()

    def wake_waiters(self) -> None:
        """Let ``wait`` look at the state again."""
        self._changed.set()
        self._changed = trio.Event()

    async def _durable(self) -> None:
        await self.journal.durable()
        if self.journal.is_ownership_lost:
            raise NotOwner(message='the shard has another owner')

    async def _commit(self, propose: Proposal) -> None:
        await self.journal.commit(propose)
        self.wake_waiters()

    def _status(self, job_id: JobId) -> JobStatus:
        job = self.state.jobs.get(job_id)
        if job is None:
            raise UnknownJob(message=f'no job {job_id}')
        tasks = tuple(self.state.tasks_of(job_id))
        counts = Counter(task.state for task in tasks)
        reasons = [task.reason for task in tasks if task.reason is not None]
        return JobStatus(
            job_id=job_id,
            state=derive_job_state(counts),
            team=job.spec.team,
            submitted_at_ms=job.submitted_at_ms,
            task_counts=dict(counts),
            reason=reasons[0] if reasons else None,
        )


def build_task_start(state: ShardState, task: Task) -> TaskStart:
    """Return the call that starts or settles a placed attempt."""
    spec = state.jobs[task.job_id].spec
    size = spec.tasks[task.index]
    placement = task.placement
    return TaskStart(
        task_id=task.task_id,
        fence=task.fence,
        epoch=Epoch(0) if placement is None else placement.worker_epoch,
        exclusive_key=spec.exclusive_key,
        demand=size.demand,
        task_class=size.task_class,
        run_ms=size.run_ms,
        checkpoint=task.checkpoint,
    )
