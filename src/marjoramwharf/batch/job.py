"""Data model of batch jobs and tasks, and the allowed state transitions.

A job is a list of tasks. Its state is derived from the states of its tasks.

    >>> shard_of(JobSpec(TeamId('t'), 'k', (TaskSpec(1, 1, 1),)), 16)
    9
"""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Collection, Mapping
from types import MappingProxyType
from typing import Annotated

from msgspec import Meta, Struct

from marjoramwharf.errors import Reason
from marjoramwharf.ids import Epoch, JobId, ShardId, TaskId, TeamId, WorkerId
from marjoramwharf.machines.calls import Demand


@enum.unique
class JobPriority(enum.IntEnum):
    """Priority of a job; urgent jobs start before all others."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    URGENT = 3


@enum.unique
class TaskState(enum.Enum):
    """State of a task.

    ``PLACED`` means that a start is committed, so the task may be running.
    ``STOPPING`` is a placed task whose job was cancelled and whose worker has
    not confirmed the stop yet. An ``IMPOSSIBLE`` task fits on no worker.
    """

    WAITING = 'waiting'
    PLACED = 'placed'
    STOPPING = 'stopping'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    IMPOSSIBLE = 'impossible'


@enum.unique
class JobState(enum.Enum):
    """State of a job, derived from the states of its tasks."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    IMPOSSIBLE = 'impossible'


# States of a held task, that is, one that a worker may be running.
HELD_STATES = frozenset((TaskState.PLACED, TaskState.STOPPING))

# States that a job never leaves.
FINAL_STATES = frozenset(
    (JobState.DONE, JobState.FAILED, JobState.CANCELLED),
)

TASK_TRANSITIONS: Mapping[TaskState, frozenset[TaskState]] = MappingProxyType(
    {
        TaskState.WAITING: frozenset(
            (TaskState.PLACED, TaskState.CANCELLED, TaskState.IMPOSSIBLE),
        ),
        TaskState.PLACED: frozenset(
            (
                TaskState.WAITING,
                TaskState.STOPPING,
                TaskState.DONE,
                TaskState.FAILED,
            ),
        ),
        TaskState.STOPPING: frozenset(
            (TaskState.CANCELLED, TaskState.DONE, TaskState.FAILED),
        ),
        TaskState.IMPOSSIBLE: frozenset(
            (TaskState.WAITING, TaskState.CANCELLED),
        ),
        TaskState.DONE: frozenset(),
        TaskState.FAILED: frozenset(),
        TaskState.CANCELLED: frozenset(),
    },
)


class TaskSpec(Struct, frozen=True, forbid_unknown_fields=True):
    """Declared size and run time of one task."""

    cpu_millicores: Annotated[int, Meta(ge=1, le=1_000_000)]
    memory_mb: Annotated[int, Meta(ge=1, le=10_000_000)]
    run_ms: Annotated[int, Meta(ge=1, le=2_592_000_000)]
    accelerators_count: Annotated[int, Meta(ge=0, le=1_024)] = 0
    task_class: Annotated[str, Meta(min_length=1, max_length=64)] = 'default'

    @property
    def demand(self) -> Demand:
        """The declared size in the form that messages carry."""
        return Demand(
            cpu_millicores=self.cpu_millicores,
            memory_mb=self.memory_mb,
            accelerators_count=self.accelerators_count,
        )


class JobSpec(Struct, frozen=True, forbid_unknown_fields=True):
    """A job as a team submits it; an equal spec is a repeated submission."""

    team: Annotated[TeamId, Meta(min_length=1, max_length=64)]
    idempotency_key: Annotated[str, Meta(min_length=1, max_length=128)]
    tasks: Annotated[
        tuple[TaskSpec, ...],
        Meta(min_length=1, max_length=5_000),
    ]
    exclusive_key: Annotated[str, Meta(min_length=1, max_length=128)] | None = (
        None
    )
    priority: JobPriority = JobPriority.NORMAL
    max_failures_count: Annotated[int, Meta(ge=1, le=100)] = 3


class Job(Struct, frozen=True):
    """An accepted job; ``submitted_at_ms`` is wall-clock time."""

    job_id: JobId
    spec: JobSpec
    submitted_at_ms: int

    @property
    def task_ids(self) -> tuple[TaskId, ...]:
        """Ids of the tasks, in the order of the spec."""
        return tuple(
            TaskId(f'{self.job_id}.{index}')
            for index in range(len(self.spec.tasks))
        )


class Placement(Struct, frozen=True):
    """The worker and the reservation of an attempt.

    ``shard_epoch`` and the attempt number form the fencing token;
    ``worker_epoch`` is the epoch of the capacity owner that made the
    reservation.
    """

    worker_id: WorkerId
    worker_epoch: Epoch
    reservation_id: str
    shard_epoch: Epoch


class Task(Struct, frozen=True):
    """A task and its latest attempt; attempt 0 means never started.

    ``checkpoint`` is the progress, in ms of work, from which the next attempt
    resumes.
    """

    task_id: TaskId
    job_id: JobId
    index: int
    state: TaskState = TaskState.WAITING
    attempt: int = 0
    placement: Placement | None = None
    checkpoint: int = 0
    failures_count: int = 0
    reason: Reason | None = None

    @property
    def fence(self) -> tuple[int, int]:
        """Fencing token of the placed attempt, ``(0, 0)`` if not placed."""
        if self.placement is None:
            return (0, 0)
        return (self.placement.shard_epoch, self.attempt)


def is_transition_allowed(before: TaskState, after: TaskState) -> bool:
    """Tell whether a task may go from state ``before`` to ``after``."""
    return after in TASK_TRANSITIONS[before]


def derive_job_state(states: Collection[TaskState]) -> JobState:
    """Return a job's state, by the order of precedence of its tasks' states."""
    present = frozenset(states)
    if present & HELD_STATES:
        return JobState.RUNNING
    if TaskState.WAITING in present:
        return JobState.WAITING
    for state in (
        TaskState.IMPOSSIBLE,
        TaskState.CANCELLED,
        TaskState.FAILED,
    ):
        if state in present:
            return JobState(state.value)
    return JobState.DONE


def shard_of(spec: JobSpec, shard_count: int) -> ShardId:
    """Return the shard that a job hashes to, the same in every process."""
    if spec.exclusive_key is None:
        digest = _digest('job', spec.team, spec.idempotency_key)
    else:
        digest = _digest('exclusive', spec.exclusive_key)
    return ShardId(int(digest[:15], 16) % shard_count)


def job_id_of(spec: JobSpec, shard: ShardId) -> JobId:
    """Return the id of a job, which starts with the shard's number."""
    digest = _digest(spec.team, spec.idempotency_key)[:18]
    return JobId(f'{shard}-{digest}')


def parse_shard_id(job_or_task_id: str) -> ShardId | None:
    """Return the shard in a job or task id, ``None`` if it is malformed."""
    number, dash, _ = job_or_task_id.partition('-')
    if not dash or not number.isdecimal() or not number.isascii():
        return None
    return ShardId(int(number))


def _digest(*parts: str) -> str:
    # Length prefixes give ('ab', 'c') and ('a', 'bc') different digests.
    text = ''.join(f'{len(part)}:{part}' for part in parts)
    return hashlib.sha256(text.encode()).hexdigest()
