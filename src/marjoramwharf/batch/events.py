"""Events of a job shard and the state that results from them.

Besides jobs and tasks, the state holds indexes. They are derived from the
tasks, so an event is undone by restoring the previous jobs and tasks.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import TypeAlias, TypeVar

from msgspec import Struct, msgpack, structs

from marjoramwharf.batch.job import (
    HELD_STATES,
    Job,
    JobSpec,
    JobState,
    Placement,
    Task,
    TaskState,
    derive_job_state,
    is_transition_allowed,
)
from marjoramwharf.errors import JournalDamaged, Reason
from marjoramwharf.ids import JobId, TaskId, TeamId, WorkerId

_Key = TypeVar('_Key')


class _Event(Struct, frozen=True, array_like=True, tag=True):
    """Base of all events; encoded as an array, an event has some 120 bytes."""


class JobSubmitted(_Event, frozen=True):
    """A job was accepted."""

    job_id: JobId
    spec: JobSpec
    submitted_at_ms: int


class TaskStarted(_Event, frozen=True):
    """A start was committed; the worker may be called from now on."""

    task_id: TaskId
    attempt: int
    placement: Placement


class TaskReturned(_Event, frozen=True):
    """An attempt ended without a result; the task returned to waiting."""

    task_id: TaskId
    attempt: int
    checkpoint: int
    is_failure: bool = False


class TaskEnded(_Event, frozen=True):
    """An attempt ended and its task reached a final state."""

    task_id: TaskId
    attempt: int
    state: TaskState


class JobCancelled(_Event, frozen=True):
    """A job was cancelled; its placed tasks still have to be stopped."""

    job_id: JobId


class JobSetAside(_Event, frozen=True):
    """A job was set aside as impossible: its waiting tasks fit no worker."""

    job_id: JobId
    reason: Reason


class JobReconsidered(_Event, frozen=True):
    """The impossible tasks of a job are waiting again."""

    job_id: JobId


class JobForgotten(_Event, frozen=True):
    """A job in a final state was removed after its retention time."""

    job_id: JobId


Event: TypeAlias = (
    JobSubmitted
    | TaskStarted
    | TaskReturned
    | TaskEnded
    | JobCancelled
    | JobSetAside
    | JobReconsidered
    | JobForgotten
)


class StateImage(Struct, array_like=True):
    """The contents of a snapshot: a shard's state without its indexes."""

    last_attempt: int
    jobs: list[Job]
    tasks: list[Task]


class ShardState:
    """Jobs and tasks of one shard, with indexes on them.

    ``held_by_worker`` has the tasks that each worker may be running.
    """

    def __init__(self) -> None:
        """Create a state without jobs."""
        # Attempts are numbered across the shard, so that fencing tokens also
        # increase between different jobs with the same exclusive key.
        self.last_attempt = 0
        self.jobs: dict[JobId, Job] = {}
        self.tasks: dict[TaskId, Task] = {}
        self.job_by_key: dict[tuple[TeamId, str], JobId] = {}
        self.jobs_by_exclusive_key: dict[str, dict[JobId, None]] = {}
        self.waiting_by_job: dict[JobId, dict[TaskId, None]] = {}
        self.stopping_tasks: dict[TaskId, None] = {}
        self.held_by_worker: dict[WorkerId, dict[TaskId, None]] = {}
        self.placed_millicores_by_team: defaultdict[TeamId, int] = defaultdict(
            int
        )

    def tasks_of(self, job_id: JobId) -> Iterator[Task]:
        """Iterate over the tasks of a job, in the order of its spec."""
        return (self.tasks[key] for key in self.jobs[job_id].task_ids)

    def state_of(self, job_id: JobId) -> JobState:
        """Return the derived state of a job."""
        return derive_job_state({task.state for task in self.tasks_of(job_id)})

    def find_key_holder(self, exclusive_key: str) -> JobId | None:
        """Return the job with an exclusive key that has begun and not ended."""
        for job_id in self.jobs_by_exclusive_key.get(exclusive_key, ()):
            tasks = tuple(self.tasks_of(job_id))
            has_begun = any(task.attempt for task in tasks)
            if has_begun and any(_may_still_run(task) for task in tasks):
                return job_id
        return None

    def put_job(self, job_id: JobId, job: Job | None) -> Job | None:
        """Store a job, or remove it for ``None``; return the previous one."""
        former = self.jobs.pop(job_id, None)
        if former is not None:
            self._unindex_job(former)
        if job is not None:
            self.jobs[job_id] = job
            spec = job.spec
            self.job_by_key[spec.team, spec.idempotency_key] = job_id
            if spec.exclusive_key is not None:
                jobs_of_key = self.jobs_by_exclusive_key.setdefault(
                    spec.exclusive_key, {}
                )
                jobs_of_key[job_id] = None
        return former

    def put_task(self, task_id: TaskId, task: Task | None) -> Task | None:
        """Store a task, or remove it for ``None``; return the previous one.

        The task's job must be present.
        """
        former = self.tasks.pop(task_id, None)
        if former is not None:
            self._unindex_task(former)
        if task is not None:
            self.tasks[task_id] = task
            self._index_task(task)
        return former

    def encode_snapshot(self) -> bytes:
        """Return the MessagePack body of a snapshot, for ``replay``."""
        return msgpack.encode(
            StateImage(
                self.last_attempt,
                list(self.jobs.values()),
                list(self.tasks.values()),
            ),
        )

    def _unindex_job(self, job: Job) -> None:
        spec = job.spec
        self.job_by_key.pop((spec.team, spec.idempotency_key), None)
        if spec.exclusive_key is not None:
            jobs_of_key = self.jobs_by_exclusive_key[spec.exclusive_key]
            jobs_of_key.pop(job.job_id)
            if not jobs_of_key:
                self.jobs_by_exclusive_key.pop(spec.exclusive_key)

    def _index_task(self, task: Task) -> None:
        if task.state is TaskState.WAITING:
            self.waiting_by_job.setdefault(task.job_id, {})[task.task_id] = None
        if task.state in HELD_STATES and task.placement is not None:
            if task.state is TaskState.STOPPING:
                self.stopping_tasks[task.task_id] = None
            worker_id = task.placement.worker_id
            on_worker = self.held_by_worker.setdefault(worker_id, {})
            on_worker[task.task_id] = None
            self._adjust_team_usage(task, 1)

    def _unindex_task(self, task: Task) -> None:
        if task.state is TaskState.WAITING:
            _remove_from_index(self.waiting_by_job, task.job_id, task.task_id)
        if task.state in HELD_STATES and task.placement is not None:
            self.stopping_tasks.pop(task.task_id, None)
            worker_id = task.placement.worker_id
            _remove_from_index(self.held_by_worker, worker_id, task.task_id)
            self._adjust_team_usage(task, -1)

    def _adjust_team_usage(self, task: Task, sign: int) -> None:
        spec = self.jobs[task.job_id].spec
        size = spec.tasks[task.index].cpu_millicores
        self.placed_millicores_by_team[spec.team] += sign * size


class UndoLog:
    """The previous values of the jobs and tasks that events changed."""

    def __init__(self, state: ShardState) -> None:
        """Create an empty log for changes of ``state``."""
        self._state = state
        self._tasks: list[tuple[TaskId, Task | None]] = []
        self._jobs: list[tuple[JobId, Job | None]] = []

    def put_task(self, task_id: TaskId, task: Task | None) -> None:
        """Store or remove a task and record its previous value."""
        self._tasks.append((task_id, self._state.put_task(task_id, task)))

    def put_job(self, job_id: JobId, job: Job | None) -> None:
        """Store or remove a job and record its previous value."""
        self._jobs.append((job_id, self._state.put_job(job_id, job)))

    def revert(self) -> None:
        """Restore all previous values.

        A task needs its job to be present, so the new tasks are removed first
        and the old tasks are restored last.
        """
        oldest = dict(reversed(self._tasks))
        for task_id in oldest:
            self._state.put_task(task_id, None)
        for job_id, job in reversed(self._jobs):
            self._state.put_job(job_id, job)
        for old_id, task in oldest.items():
            self._state.put_task(old_id, task)


def apply_event(state: ShardState, event: Event, undo: UndoLog) -> None:
    """Apply one event to the state and record the changes in ``undo``.

    Raises ``JournalDamaged`` for a state transition that is not allowed.
    """
    match event:
        case JobSubmitted():
            job = Job(event.job_id, event.spec, event.submitted_at_ms)
            undo.put_job(job.job_id, job)
            for index, task_id in enumerate(job.task_ids):
                undo.put_task(task_id, Task(task_id, job.job_id, index))
        case JobForgotten():
            for removed_id in state.jobs[event.job_id].task_ids:
                undo.put_task(removed_id, None)
            undo.put_job(event.job_id, None)
        case TaskStarted() | TaskReturned() | TaskEnded():
            _apply_task_event(state, undo, state.tasks[event.task_id], event)
        case JobCancelled() | JobSetAside() | JobReconsidered():
            for task in tuple(state.tasks_of(event.job_id)):
                _apply_job_event_to_task(state, undo, task, event)


def replay(snapshot: bytes | None, events: Iterable[Event]) -> ShardState:
    """Rebuild the state from a snapshot's body and the events after it."""
    state = ShardState()
    if snapshot is not None:
        decoded = msgpack.decode(snapshot, type=StateImage)
        state.last_attempt = decoded.last_attempt
        for job in decoded.jobs:
            state.put_job(job.job_id, job)
        for task in decoded.tasks:
            state.put_task(task.task_id, task)
    for event in events:
        apply_event(state, event, UndoLog(state))
    return state


def _apply_task_event(
    state: ShardState,
    undo: UndoLog,
    task: Task,
    event: TaskStarted | TaskReturned | TaskEnded,
) -> None:
    match event:
        case TaskStarted():
            state.last_attempt = max(state.last_attempt, event.attempt)
            changed = structs.replace(
                task,
                state=TaskState.PLACED,
                attempt=event.attempt,
                placement=event.placement,
            )
        case TaskReturned():
            changed = structs.replace(
                task,
                state=TaskState.WAITING,
                placement=None,
                checkpoint=event.checkpoint,
                failures_count=task.failures_count + event.is_failure,
            )
        case TaskEnded():
            changed = structs.replace(task, state=event.state, placement=None)
    _put_transition(undo, task, changed)


def _apply_job_event_to_task(
    state: ShardState,
    undo: UndoLog,
    task: Task,
    event: JobCancelled | JobSetAside | JobReconsidered,
) -> None:
    """Apply a job's event to a task; it changes only tasks in some states."""
    changed: Task | None = None
    match event, task.state:
        case JobCancelled(), TaskState.WAITING | TaskState.IMPOSSIBLE:
            changed = structs.replace(task, state=TaskState.CANCELLED)
        case JobCancelled(), TaskState.PLACED:
            changed = structs.replace(task, state=TaskState.STOPPING)
        case JobSetAside(reason=reason), TaskState.WAITING:
            changed = structs.replace(
                task,
                state=TaskState.IMPOSSIBLE,
                reason=reason,
            )
        case JobReconsidered(), TaskState.IMPOSSIBLE:
            changed = structs.replace(
                task, state=TaskState.WAITING, reason=None
            )
    if changed is not None:
        _put_transition(undo, task, changed)


def _put_transition(undo: UndoLog, task: Task, changed: Task) -> None:
    """Store a changed task; refuse a transition that is not allowed."""
    before, after = task.state.value, changed.state.value
    if not is_transition_allowed(task.state, changed.state):
        raise JournalDamaged(
            message=f'{task.task_id} can not go from {before} to {after}',
        )
    undo.put_task(task.task_id, changed)


def _may_still_run(task: Task) -> bool:
    return task.state is TaskState.WAITING or task.state in HELD_STATES


def _remove_from_index(
    index: dict[_Key, dict[TaskId, None]],
    key: _Key,
    task_id: TaskId,
) -> None:
    index[key].pop(task_id)
    if not index[key]:
        index.pop(key)
