"""The tasks that have waited long to start, for logs and metrics.

Nothing here decides or changes anything. A task waits while it is ready, and
while a run holds it whose start its worker hasn't confirmed.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from marjoramwharf.scheduling.job_state import Job, Run, Step, Task
from marjoramwharf.scheduling.job_table import JobTable, job_of
from marjoramwharf.scheduling.open_occurrences import next_occurrence_number

# What started within this time has not waited long.
_LONG_WAIT_S = 3.0

_MAX_SHOWN_COUNT = 3


@dataclass(frozen=True, slots=True)
class WaitingTask:
    """A task that waits, and the run that holds it unless it is ready."""

    task: Task
    waits_s: float
    run: Run | None = None


@dataclass(frozen=True, slots=True)
class LongWaits:
    """What waits long: the ``ready`` tasks, and the number held by a run.

    ``longest`` are those that wait longest, one of each step. ``idle_jobs`` are
    open jobs without a ready task, a run, or an occurrence that is due later.
    """

    ready: list[WaitingTask]
    held_count: int
    longest: list[WaitingTask]
    idle_jobs: list[Job]


def waiting_since_s(task: Task) -> float:
    """Return since when a task waits for its first start, or to start again.

    Runs that never began don't interrupt the wait.
    """
    first_s = task.step.ready_since_s
    if task.has_begun or first_s is None:
        return task.ready_since_s
    return first_s


def oldest_wait_s(job_table: JobTable, now_s: float) -> float:
    """Return for how long the longest-waiting ready task waits, 0 if none."""
    since_s = map(waiting_since_s, job_table.ready.values())
    return now_s - min(since_s, default=now_s)


def find_long_waits(job_table: JobTable, now_s: float) -> LongWaits:
    """Return the tasks and jobs that have waited long at ``now_s``."""
    runs = tuple(job_table.live_runs())
    ready = _ready_waits(job_table, now_s)
    held = _held_waits(runs, now_s)
    active = {job_of(task) for task in job_table.ready.values()}
    active.update(job_of(run.task) for run in runs)
    idle = [
        job
        for job in job_table.jobs.values()
        if job not in active and _should_be_active(job, now_s)
    ]
    return LongWaits(
        ready=ready,
        held_count=len(held),
        longest=_longest((*ready, *held)),
        idle_jobs=idle,
    )


def _ready_waits(job_table: JobTable, now_s: float) -> list[WaitingTask]:
    latest_s = now_s - _LONG_WAIT_S
    return [
        WaitingTask(task, now_s - waiting_since_s(task))
        for task in job_table.ready.values()
        if waiting_since_s(task) < latest_s
    ]


def _held_waits(runs: Iterable[Run], now_s: float) -> list[WaitingTask]:
    """Return the waits of tasks of which no run is known to have started."""
    latest_s = now_s - _LONG_WAIT_S
    return [
        WaitingTask(run.task, now_s - waiting_since_s(run.task), run)
        for run in runs
        if run.started_s is None
        and waiting_since_s(run.task) < latest_s
        and not _has_started(run.task)
    ]


def _has_started(task: Task) -> bool:
    return any(run.started_s is not None for run in task.runs.values())


def _longest(waits: Iterable[WaitingTask]) -> list[WaitingTask]:
    """Return the longest waits, one of each step."""
    by_step: dict[Step, WaitingTask] = {}
    for waiting in waits:
        step = waiting.task.step
        known = by_step.setdefault(step, waiting)
        if waiting.waits_s > known.waits_s:
            by_step[step] = waiting
    return heapq.nlargest(
        _MAX_SHOWN_COUNT,
        by_step.values(),
        key=lambda waiting: waiting.waits_s,
    )


def _should_be_active(job: Job, now_s: float) -> bool:
    """Whether an open job has work to do by now."""
    is_known_long = now_s - job.known_since_s > _LONG_WAIT_S
    has_all = next_occurrence_number(job) is None
    are_due = all(found.is_due for found in job.occurrences.values())
    return job.is_open and is_known_long and has_all and are_due
