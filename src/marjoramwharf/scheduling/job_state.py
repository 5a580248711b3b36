"""State of the jobs that a cell owns: their steps, tasks and runs.

A *run* is one start of a task at one worker, *live* until its end is recorded.
Its number rises with each start of the task, so that a worker can tell a late
order from a new one. The state here is the owner's view of it; ``cells`` stores
it before acting on it. Times in seconds are those of the boot clock.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from marjoramwharf.ids import JobId, TaskId, WorkerId
from marjoramwharf.scheduling.baseline_headroom import BaselineHeadroom
from marjoramwharf.scheduling.workload import (
    JobRequest,
    StepRequest,
    critical_paths_ms,
    task_name,
)


@enum.unique
class RunPhase(enum.Enum):
    """Phase in the life of a run.

    For a ``PLANNED`` run no start order was sent yet. An ``ORDERED`` run may
    have started. For a ``STOPPING`` one a stop order is sent. An ``UNCERTAIN``
    run was found in the store by a new owner that hasn't heard from its worker.
    """

    PLANNED = 'planned'
    ORDERED = 'ordered'
    RUNNING = 'running'
    STOPPING = 'stopping'
    UNCERTAIN = 'uncertain'
    ENDED = 'ended'


@enum.unique
class RunEnd(enum.Enum):
    """How a run ended, as reported by its worker unless it ``VANISHED``.

    ``FAILED`` is the only end that counts as an attempt. ``LAPSED`` runs ended
    with their lease. ``BROKEN`` and ``ALONE`` are as reported by the worker. A
    ``VANISHED`` run has no reported end: it never started, or was lost.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
    VANISHED = 'vanished'


@enum.unique
class JobPhase(enum.IntEnum):
    """``OPEN`` while a job is unfinished, or how it ended; stored by value."""

    OPEN = 0
    DONE = 1
    FAILED = 2
    CANCELLED = 3


@dataclass(slots=True)
class StageTimes:
    """What the steps of a job spent their time on, in seconds.

    Of each step, the run counts that ended it. ``retried_s`` passed from the
    step's readiness until the task of this run was ready again after other
    runs, ``waited_s`` until the run was planned, ``started_s`` until it began,
    and ``ran_s`` until its end was reported.
    """

    retried_s: float = 0
    waited_s: float = 0
    started_s: float = 0
    ran_s: float = 0

    def add(self, run: Run, *, now_s: float) -> None:
        """Add the run that ended a step at ``now_s``."""
        ready_s = run.task.ready_since_s
        step_ready_s = run.task.step.ready_since_s
        began_s = run.planned_s if run.started_s is None else run.started_s
        if step_ready_s is not None:
            self.retried_s += ready_s - step_ready_s
        self.waited_s += run.planned_s - ready_s
        self.started_s += began_s - run.planned_s
        self.ran_s += now_s - began_s


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task at a worker.

    ``percent`` is the progress that the worker reports, ``resumed_percent``
    the first one reported, ``progressed_s`` the time at which it last changed,
    and ``progress_read_s`` that of the latest report. The run began at about
    ``started_s``, which was known at ``confirmed_s``. ``pace_percent`` is
    the share of its full speed at which the run may work, last changed at
    ``pace_changed_s``. ``reading`` is the tail latency of a serving task in
    ms, the CPU in use by any other in millicores, and 0 if none was reported.
    The run may be ordered once ``planned_version`` of its job is stored. It
    ``is_listed`` once its worker has reported it as running, and its start
    ``is_start_unconfirmed`` once an order to start it got no answer.
    """

    task: Task
    number: int
    worker_id: WorkerId
    born_ms: int  # tells the incarnation of the worker
    phase: RunPhase
    planned_s: float
    started_s: float | None = None
    confirmed_s: float | None = None
    percent: int = 0
    resumed_percent: int = 0
    progressed_s: float = 0
    progress_read_s: float = 0
    pace_changed_s: float = 0
    reading: int = 0
    checkpoint: str = ''
    pace_percent: int = 100
    planned_version: int = 0
    stop_answered_s: float | None = None  # the worker has taken a stop order
    is_listed: bool = False
    is_start_unconfirmed: bool = False
    ticket: str = ''

    @property
    def step(self) -> StepRequest:
        """The request of the step that the run's task belongs to."""
        return self.task.step.request


@dataclass(slots=True, eq=False)
class Task:
    """A task of a step and its live runs by number.

    While it is ready, it may not have been at work since ``away_since_s``: a
    run that vanished was known to be there before, at its latest report. The
    first task of a gang counts the failures of the gang, one for each number
    of its runs; ``last_failed_run`` is the latest number counted.
    """

    step: Step
    index: int
    name: TaskId
    is_done: bool = False
    last_run: int = 0  # the highest run number used
    failures_count: int = 0
    last_failed_run: int = 0
    checkpoint: str = ''
    runs: dict[int, Run] = field(default_factory=dict)
    failed_workers: set[WorkerId] = field(default_factory=set)
    not_before_s: float = 0  # no run is planned earlier
    ready_since_s: float = 0
    away_since_s: float = 0
    has_begun: bool = False  # a run may have started

    @property
    def is_waiting(self) -> bool:
        """Whether the task neither is done nor has a live run."""
        return not self.is_done and not self.runs

    def add_run(self, run: Run) -> None:
        """Add a live run."""
        occurrence = self.step.occurrence
        self.runs[run.number] = run
        occurrence.runs_count += 1
        occurrence.job.runs[run] = None

    def remove_run(self, run: Run) -> None:
        """Remove a run that has ended."""
        occurrence = self.step.occurrence
        self.runs.pop(run.number)
        occurrence.runs_count -= 1
        occurrence.job.runs.pop(run)


@dataclass(slots=True, eq=False)
class Step:
    """The tasks of one step in one occurrence.

    ``critical_path_ms`` is the estimated time from the start of the step to
    the end of the longest chain of steps that it begins. Its first task became
    ready at ``ready_since_s``, and ``ready_count`` of them are ready now.
    ``ended_progress_rates`` are the percentages per second of the runs that
    ended done. ``baseline_headroom`` forecasts the headroom of a serving step;
    ``over_target_counts`` tells by worker how many of its tasks are expected
    to be over their target.
    """

    occurrence: Occurrence
    number: int
    request: StepRequest
    critical_path_ms: int = 0
    ended_progress_rates: list[float] = field(default_factory=list)
    baseline_headroom: BaselineHeadroom = field(
        default_factory=BaselineHeadroom
    )
    over_target_counts: dict[WorkerId, float] = field(default_factory=dict)
    tasks: list[Task] = field(default_factory=list)
    done_count: int = 0
    ready_count: int = 0
    ready_since_s: float | None = None

    @property
    def is_done(self) -> bool:
        """Whether all tasks of the step are done."""
        return self.done_count == len(self.tasks)

    @property
    def is_unblocked(self) -> bool:
        """Whether all steps that this one depends on are done."""
        steps = self.occurrence.steps
        return all(steps[before].is_done for before in self.request.after)


@dataclass(slots=True, eq=False)
class Occurrence:
    """One execution of the steps of a job, which may repeat.

    ``runs_count`` is the number of its live runs.
    """

    job: Job
    number: int
    due_ms: int  # the Unix time before which no task starts
    steps: list[Step] = field(default_factory=list)
    is_due: bool = False
    runs_count: int = 0

    @property
    def is_done(self) -> bool:
        """Whether all steps are done."""
        return all(step.is_done for step in self.steps)


@dataclass(slots=True, eq=False)
class Job:
    """A job that this cell owns.

    ``version`` grows with each change that has to be stored, and
    ``stored_version`` is the latest stored one. ``stored_phase`` is the phase
    of the job in the store, which is what callers are told. The job
    ``is_urgent`` if an order or a caller waits until a change is stored.
    ``known_since_s`` is the time at which this owner learned of the job.
    ``occurrences`` are the open ones, of which something may start or still
    runs. All others below ``next_occurrence`` are over, but for those that are
    ``unopened``: a former owner had them open, and nothing of them has begun.
    ``runs`` are the live runs in the order in which they were planned.
    ``ready_steps_count`` is the number of steps with tasks that may start now.
    """

    request: JobRequest
    phase: JobPhase = JobPhase.OPEN
    stored_phase: JobPhase = JobPhase.OPEN
    occurrences: dict[int, Occurrence] = field(default_factory=dict)
    next_occurrence: int = 0
    unopened: deque[int] = field(default_factory=deque)
    runs: dict[Run, None] = field(default_factory=dict, repr=False)
    ready_steps_count: int = 0
    version: int = 0
    stored_version: int = 0
    stored_revision: int = 0  # of the job's progress record; 0 if it has none
    request_revision: int = 0  # of the job's request in the store
    is_urgent: bool = False
    has_begun: bool = False
    finished_s: float = 0
    known_since_s: float = 0
    stage_times: StageTimes = field(default_factory=StageTimes)

    @property
    def job_id(self) -> JobId:
        """The caller's id of the job."""
        return self.request.job_id

    @property
    def is_open(self) -> bool:
        """Whether tasks of the job may still start."""
        return self.phase is JobPhase.OPEN

    def mark_changed(self, *, is_urgent: bool) -> None:
        """Increment the version after a change that has to be stored."""
        self.version += 1
        self.is_urgent = self.is_urgent or is_urgent

    def create_occurrence(self, number: int) -> Occurrence:
        """Create an occurrence with its steps and tasks."""
        occurrence = Occurrence(self, number, self.request.due_ms(number))
        paths_ms = critical_paths_ms(self.request.steps)
        for step_number, request in enumerate(self.request.steps):
            step = Step(occurrence, step_number, request, paths_ms[step_number])
            step.tasks = [
                Task(step, index, self._task_name(number, step_number, index))
                for index in range(request.count)
            ]
            occurrence.steps.append(step)
        self.occurrences[number] = occurrence
        self.next_occurrence = max(self.next_occurrence, number + 1)
        return occurrence

    def tasks(self) -> Iterator[Task]:
        """Return the tasks of all occurrences that are not over."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                yield from step.tasks

    def live_runs(self) -> Iterator[Run]:
        """Return all runs that have not ended, planned ones included."""
        return iter(self.runs)

    def find(self, occurrence: int, step: int, index: int) -> Task | None:
        """Return a task by its numbers, ``None`` if there is none."""
        found = self.occurrences.get(occurrence)
        if found is None or not 0 <= step < len(found.steps):
            return None
        tasks = found.steps[step].tasks
        return tasks[index] if 0 <= index < len(tasks) else None

    def _task_name(self, occurrence: int, step: int, index: int) -> TaskId:
        return task_name(
            self.job_id,
            occurrence=occurrence,
            step=step,
            index=index,
        )
