"""Which tasks of a job shard may start, and in which order."""

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
    """Rules for the order of starts.

    ``quota_millicores`` gives the processors that a team's placed tasks may
    ask for on this shard; it is the team's quota divided by the number of
    shards. A job gains one level of priority per ``aging_ms`` of waiting.
    """

    quota_millicores: Callable[[TeamId], int]
    aging_ms: int = 600_000
    retention_ms: int = 86_400_000


class _Quotas:
    """Processors per team, with the tasks chosen so far."""

    def __init__(self, state: ShardState, policy: ShardPolicy) -> None:
        self._used = dict(state.placed_millicores_by_team)
        self._policy = policy

    def take(self, job: Job, task: Task) -> bool:
        """Charge a task to its team unless that exceeds the quota.

        A single task above a shard's part of the quota may run, since it
        could never start otherwise.
        """
        team = job.spec.team
        size = job.spec.tasks[task.index].cpu_millicores
        used = self._used.get(team, 0)
        if used and used + size > self._policy.quota_millicores(team):
            return False
        self._used[team] = used + size
        return True


def ready_tasks(state: ShardState, policy: ShardPolicy) -> Iterator[Task]:
    """Return tasks that may start together, the most important first.

    The order does not depend on the present time: a job that waits gains
    priority at the same rate as all others.
    """
    quotas = _Quotas(state, policy)
    for job in _startable_jobs(state, policy):
        for task in _startable_tasks(state, job):
            if not quotas.take(job, task):
                break
            yield task


def may_start(state: ShardState, policy: ShardPolicy, task: Task) -> bool:
    """Tell whether a single task may start now."""
    if task.state is not TaskState.WAITING:
        return False
    job = state.jobs[task.job_id]
    key = job.spec.exclusive_key
    if key is not None and not _key_is_free(state, key, task.job_id):
        return False
    return _Quotas(state, policy).take(job, task)


def _rank(job: Job, aging_ms: int) -> tuple[bool, int, JobId]:
    priority = job.spec.priority
    return (
        priority is not JobPriority.URGENT,
        job.submitted_at_ms - priority * aging_ms,
        job.job_id,
    )


def _startable_jobs(state: ShardState, policy: ShardPolicy) -> list[Job]:
    taken: set[str] = set()
    startable: list[Job] = []
    ranked = sorted(
        _rank(state.jobs[job_id], policy.aging_ms) for job_id in state.waiting
    )
    for _, _, ranked_id in ranked:
        job = state.jobs[ranked_id]
        key = job.spec.exclusive_key
        if key is None:
            startable.append(job)
        elif key not in taken and _key_is_free(state, key, job.job_id):
            taken.add(key)
            startable.append(job)
    return startable


def _startable_tasks(state: ShardState, job: Job) -> list[Task]:
    waiting = [state.tasks[task_id] for task_id in state.waiting[job.job_id]]
    # Tasks of an exclusive job run one at a time as well.
    return waiting if job.spec.exclusive_key is None else waiting[:1]


def _key_is_free(state: ShardState, key: str, job_id: JobId) -> bool:
    if state.find_key_holder(key) not in {None, job_id}:
        return False
    return not any(
        task.state in HELD_STATES
        for other in state.jobs_by_exclusive_key[key]
        for task in state.tasks_of(other)
    )
