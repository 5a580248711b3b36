"""Decisions of a job shard: functions from its state to new events.

The journal calls them when it assembles a log entry, and applies the events
that they return. A decision that changes nothing returns none.
"""

from __future__ import annotations

from collections.abc import Sequence

from marjoramwharf.batch import events as ev
from marjoramwharf.batch.job import (
    FINAL_STATES,
    HELD_STATES,
    JobSpec,
    JobState,
    Placement,
    Task,
    TaskState,
)
from marjoramwharf.batch.ordering import ShardPolicy, may_start
from marjoramwharf.errors import KeyReused, Reason
from marjoramwharf.ids import JobId, TaskId, WorkerId
from marjoramwharf.machines.calls import TaskPhase, TaskReport


def submit_job(
    state: ev.ShardState, job_id: JobId, spec: JobSpec, now_ms: int
) -> list[ev.Event]:
    """Accept a new job; raise ``KeyReused`` if its key has another spec."""
    existing = state.jobs.get(job_id)
    if existing is None:
        return [ev.JobSubmitted(job_id, spec, now_ms)]
    if existing.spec == spec:
        return []
    raise KeyReused(
        message='the idempotency key belongs to a job with another spec'
    )


def cancel_jobs(
    state: ev.ShardState, job_ids: Sequence[JobId]
) -> list[ev.Event]:
    """Cancel those jobs that exist and are not in a final state."""
    return [
        ev.JobCancelled(job_id)
        for job_id in dict.fromkeys(job_ids)
        if job_id in state.jobs and state.state_of(job_id) not in FINAL_STATES
    ]


def start_task(
    state: ev.ShardState,
    policy: ShardPolicy,
    task_id: TaskId,
    placement: Placement,
    attempt: int,
) -> list[ev.Event]:
    """Start an attempt of a task, unless the task may no longer start."""
    task = state.tasks.get(task_id)
    if task is None or not may_start(state, policy, task):
        return []
    return [ev.TaskStarted(task_id, attempt, placement)]


def end_attempt(
    state: ev.ShardState, report: TaskReport, freed: list[Placement]
) -> list[ev.Event]:
    """End an attempt, if not done yet; append its placement to ``freed``.

    A report of another attempt, or of one that is still running, has no effect.
    """
    task = state.tasks.get(report.task_id)
    if task is None or task.state not in HELD_STATES:
        return []
    event = _decide_end(state, task, report)
    if event is None or task.fence != report.fence:
        return []
    if task.placement is not None:
        freed.append(task.placement)
    return [event]


def end_attempts_on_worker(
    state: ev.ShardState, worker_id: WorkerId, freed: list[Placement]
) -> list[ev.Event]:
    """End the attempts on a worker that no longer exists.

    Their placements are appended to ``freed``.
    """
    lost = [
        state.tasks[task_id]
        for task_id in state.held_by_worker.get(worker_id, ())
    ]
    freed.extend(task.placement for task in lost if task.placement is not None)
    return [_end_lost_attempt(task) for task in lost]


def mark_impossible(state: ev.ShardState, task_id: TaskId) -> list[ev.Event]:
    """Mark a waiting task's job as impossible: no worker is large enough."""
    task = state.tasks.get(task_id)
    if task is None or task.state is not TaskState.WAITING:
        return []
    return [ev.JobSetAside(task.job_id, Reason.NEVER_FITS)]


def reconsider_impossible_jobs(state: ev.ShardState) -> list[ev.Event]:
    """Let all impossible jobs wait again."""
    return [
        ev.JobReconsidered(job_id)
        for job_id in state.jobs
        if state.state_of(job_id) is JobState.IMPOSSIBLE
    ]


def forget_jobs(
    state: ev.ShardState, job_ids: Sequence[JobId]
) -> list[ev.Event]:
    """Remove those jobs that are in a final state."""
    return [
        ev.JobForgotten(job_id)
        for job_id in job_ids
        if job_id in state.jobs and state.state_of(job_id) in FINAL_STATES
    ]


def _decide_end(
    state: ev.ShardState, task: Task, report: TaskReport
) -> ev.Event | None:
    """Return the event that ends an attempt, ``None`` if it still runs."""
    if report.phase in {TaskPhase.RUNNING, TaskPhase.THROTTLED}:
        return None
    ended: TaskState | None = None
    if report.phase is TaskPhase.FINISHED:
        ended = TaskState.DONE
    elif task.state is TaskState.STOPPING:
        ended = TaskState.CANCELLED
    has_failed = report.phase is TaskPhase.FAILED
    if has_failed and ended is None:
        limit = state.jobs[task.job_id].spec.max_failures_count
        if task.failures_count + 1 >= limit:
            ended = TaskState.FAILED
    if ended is not None:
        return ev.TaskEnded(task.task_id, task.attempt, ended)
    checkpoint = task.checkpoint
    if report.phase is TaskPhase.STOPPED:
        checkpoint = max(checkpoint, report.checkpoint)
    return ev.TaskReturned(
        task.task_id, task.attempt, checkpoint, is_failure=has_failed
    )


def _end_lost_attempt(task: Task) -> ev.Event:
    if task.state is TaskState.STOPPING:
        return ev.TaskEnded(task.task_id, task.attempt, TaskState.CANCELLED)
    return ev.TaskReturned(task.task_id, task.attempt, task.checkpoint)
