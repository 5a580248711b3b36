"""Decides which tasks of a job shard may start, and in which order."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from marjoramwharf.batch.events import ShardState
from marjoramwharf.batch.job import (
    HELD_STATES,
    Job,
    JobPriority,
    Task,
    TaskState,
)
from marjoramwharf.ids import JobId, TeamId


@dataclass(frozen=True, slots=True)
class ShardPolicy:
    """Quotas, priority aging and retention of one shard.

    ``quota_millicores`` returns the CPU that a team's placed tasks may declare
    in total on this shard: the team's quota divided by the number of shards.
    A job gains one level of priority per ``aging_ms`` of waiting. Jobs in a
    final state are removed after ``retention_ms``.
    """

    quota_millicores: Callable[[TeamId], int]
    aging_ms: int = 600_000
    retention_ms: int = 86_400_000


class _QuotaTracker:
    """CPU charged to each team: placed tasks and those chosen so far."""

    def __init__(self, state: ShardState, policy: ShardPolicy) -> None:
        self._used = dict(state.placed_millicores_by_team)
        self._policy = policy

    def try_charge(self, job: Job, task: Task) -> bool:
        """Charge a task to its team unless that exceeds the quota.

        A team without other placed tasks may start one task above the shard's
        share of the quota, since that task could never start otherwise.
        """
        team = job.spec.team
        size = job.spec.tasks[task.index].cpu_millicores
        used = self._used.get(team, 0)
        if used and used + size > self._policy.quota_millicores(team):
            return False
        self._used[team] = used + size
        return True


def ready_tasks(state: ShardState, policy: ShardPolicy) -> Iterator[Task]:
    """Yield tasks that may start together, the most important first.

    The order does not depend on the current time, because all waiting jobs
    gain priority at the same rate.
    """
    quotas = _QuotaTracker(state, policy)
    for job in _startable_jobs(state, policy):
        for task in _startable_tasks(state, job):
            if not quotas.try_charge(job, task):
                break
            yield task


def may_start(state: ShardState, policy: ShardPolicy, task: Task) -> bool:
    """Tell whether a single task may start now."""
    if task.state is not TaskState.WAITING:
        return False
    job = state.jobs[task.job_id]
    key = job.spec.exclusive_key
    if key is not None and not _is_exclusive_key_free(state, key, task.job_id):
        return False
    return _QuotaTracker(state, policy).try_charge(job, task)


def _sort_key(job: Job, aging_ms: int) -> tuple[bool, int, JobId]:
    priority = job.spec.priority
    return (
        priority is not JobPriority.URGENT,
        job.submitted_at_ms - priority * aging_ms,
        job.job_id,
    )


def _startable_jobs(state: ShardState, policy: ShardPolicy) -> list[Job]:
    """Return the jobs to start, by priority; one for each exclusive key."""
    taken: set[str] = set()
    startable: list[Job] = []
    ranked = sorted(
        _sort_key(state.jobs[job_id], policy.aging_ms)
        for job_id in state.waiting_by_job
    )
    for _, _, ranked_id in ranked:
        job = state.jobs[ranked_id]
        key = job.spec.exclusive_key
        if key is None:
            startable.append(job)
        elif key not in taken and _is_exclusive_key_free(
            state, key, job.job_id
        ):
            taken.add(key)
            startable.append(job)
    return startable


def _startable_tasks(state: ShardState, job: Job) -> list[Task]:
    waiting = [
        state.tasks[task_id] for task_id in state.waiting_by_job[job.job_id]
    ]
    # The tasks of one exclusive job also run one at a time.
    return waiting if job.spec.exclusive_key is None else waiting[:1]


def _is_exclusive_key_free(state: ShardState, key: str, job_id: JobId) -> bool:
    """Tell whether no other job has begun with the key and no task is held."""
    if state.find_key_holder(key) not in {None, job_id}:
        return False
    return not any(
        task.state in HELD_STATES
        for other in state.jobs_by_exclusive_key[key]
        for task in state.tasks_of(other)
    )
