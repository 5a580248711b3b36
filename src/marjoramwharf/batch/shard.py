"""Operations on one job shard, for the entry that owns it.

Every change goes through the journal: it is decided on the latest state and
reported once it is durable. Times are wall-clock milliseconds, because they
outlive the process that recorded them.
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
    derive_job_state,
    job_id_of,
)
from marjoramwharf.batch.journal import Journal, Proposal
from marjoramwharf.batch.ordering import ShardPolicy, ready_tasks
from marjoramwharf.errors import NotOwner, Reason, UnknownJob
from marjoramwharf.ids import Epoch, JobId, ShardId, TaskId, TeamId, WorkerId
from marjoramwharf.machines.calls import TaskReport, TaskStart

# A cancel event takes about 30 bytes. This number keeps a mass cancellation in
# few log entries, and each entry below the store's limit for a value.
_CANCEL_CHUNK_COUNT = 5_000


@dataclass(frozen=True, slots=True)
class JobStatus:
    """Status of a job as reported to callers."""

    job_id: JobId
    state: JobState
    team: TeamId
    submitted_at_ms: int
    task_counts: dict[TaskState, int]
    reason: Reason | None = None


@dataclass(slots=True)
class JobShard:
    """The jobs of one shard while this entry owns it."""

    shard: ShardId
    epoch: Epoch
    journal: Journal
    policy: ShardPolicy
    _changed: trio.Event = field(default_factory=trio.Event)
    _last_allocated_attempt: int = 0
    _final_since_ms: dict[JobId, int] = field(default_factory=dict)

    async def submit(self, spec: JobSpec, now_ms: int) -> JobId:
        """Accept a job and return its id once it is durable.

        A repeated submission returns the same id. Raises ``KeyReused`` if the
        key belongs to a job with another spec, and the failures of
        ``Journal.commit``.
        """
        job_id = job_id_of(spec, self.shard)
        await self._commit(
            partial(
                decisions.submit_job,
                job_id=job_id,
                spec=spec,
                now_ms=now_ms,
            ),
        )
        return job_id

    async def status(self, job_id: JobId) -> JobStatus:
        """Return the status of a job after all its changes are durable.

        Raises ``UnknownJob``, ``NotOwner`` after a change of owner, or
        ``StoreUnavailable``.
        """
        await self._wait_until_durable()
        return self._status(job_id)

    async def wait(self, job_id: JobId, timeout_s: float) -> JobStatus:
        """Return the status once the job is final or the timeout has passed."""
        with trio.move_on_after(timeout_s):
            while (await self.status(job_id)).state not in FINAL_STATES:
                await self._changed.wait()
        return await self.status(job_id)

    async def cancel(self, job_ids: Sequence[JobId]) -> list[JobId]:
        """Cancel jobs and return the ids of those that exist.

        Tasks that may be running are stopped on their workers afterwards. A
        task that finishes before it is stopped counts as done.
        """
        existing: list[JobId] = []
        for start in range(0, len(job_ids), _CANCEL_CHUNK_COUNT):
            chunk = job_ids[start : start + _CANCEL_CHUNK_COUNT]
            await self._commit(
                partial(decisions.cancel_jobs, job_ids=chunk),
            )
            existing.extend(job for job in chunk if job in self.state.jobs)
        return existing

    async def list_jobs(
        self,
        *,
        team: TeamId | None = None,
        state: JobState | None = None,
        limit: int = 100,
    ) -> list[JobStatus]:
        """Return the latest jobs that match the filters, newest first."""
        await self._wait_until_durable()
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
        """The jobs and tasks, including the events of the write in flight."""
        return self.journal.state

    def ready(self, limit: int) -> list[Task]:
        """Return up to ``limit`` tasks that may start, most important first."""
        return list(islice(ready_tasks(self.state, self.policy), limit))

    def next_attempt(self) -> int:
        """Return a new attempt number, unique within the shard.

        Numbers are allocated before the start is committed, so that the
        reservation carries the fencing token of its attempt.
        """
        self._last_allocated_attempt = 1 + max(
            self._last_allocated_attempt,
            self.state.last_attempt,
        )
        return self._last_allocated_attempt

    async def start(
        self,
        task_id: TaskId,
        *,
        attempt: int | None = None,
        worker_id: WorkerId,
        worker_epoch: Epoch,
        reservation_id: str,
    ) -> TaskStart | None:
        """Commit a start and return the message for the worker.

        Without ``attempt``, a new number is allocated. Returns ``None`` if the
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
                decisions.start_task,
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

    async def record_end(self, report: TaskReport) -> Placement | None:
        """Commit the end of an attempt that a worker reports.

        Returns the placement whose reservation can now be released. Returns
        ``None`` if the report ends nothing, because the attempt still runs or
        its end is already recorded. The phase ``UNKNOWN`` proves that the
        attempt will never run.
        """
        freed: list[Placement] = []
        await self._commit(
            partial(decisions.end_attempt, report=report, freed=freed),
        )
        return freed[0] if freed else None

    async def end_attempts_on(self, worker_id: WorkerId) -> list[Placement]:
        """End all attempts on a worker that left the platform's list.

        Returns the placements whose reservations can now be released.
        """
        freed: list[Placement] = []
        await self._commit(
            partial(
                decisions.end_attempts_on_worker,
                worker_id=worker_id,
                freed=freed,
            ),
        )
        return freed

    async def mark_impossible(self, task_id: TaskId) -> None:
        """Mark a task's job as impossible because no worker is large enough."""
        await self._commit(
            partial(decisions.mark_impossible, task_id=task_id),
        )

    async def reconsider(self) -> None:
        """Let impossible jobs wait again, after larger workers joined."""
        await self._commit(decisions.reconsider_impossible_jobs)

    async def forget_expired_jobs(self, now_ms: int) -> None:
        """Remove jobs that have been final for the retention time.

        The time starts with the first call that finds the job final; a new
        owner starts over with its own first call.
        """
        for job_id in self.state.jobs:
            if self.state.state_of(job_id) in FINAL_STATES:
                self._final_since_ms.setdefault(job_id, now_ms)
        old = [
            final
            for final, since_ms in self._final_since_ms.items()
            if now_ms - since_ms >= self.policy.retention_ms
        ]
        if old:
            await self._commit(partial(decisions.forget_jobs, job_ids=old))
        for forgotten in old:
            self._final_since_ms.pop(forgotten)

    async def flush(self) -> None:
        """Wait until all changes made so far are durable."""
        await self.journal.commit(lambda _state: ())
        await self.journal.wait_until_durable()

    def wake_waiters(self) -> None:
        """Wake up all calls of ``wait`` so that they check the state again."""
        self._changed.set()
        self._changed = trio.Event()

    async def _wait_until_durable(self) -> None:
        await self.journal.wait_until_durable()
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
    """Build the start message for the attempt of a placed task."""
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
