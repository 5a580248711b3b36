"""The tasks that may start now, in the order in which they became ready."""

from __future__ import annotations

from collections.abc import Sequence

from marjoramwharf.ids import TaskId
from marjoramwharf.scheduling.job_state import Step, Task

ReadyTasks = dict[TaskId, Task]


def add_ready(
    ready: ReadyTasks, step: Step, tasks: Sequence[Task], now_s: float
) -> None:
    """Add those of some tasks of a step that wait.

    The tasks of a gang are added only if all of them wait.
    """
    if step.request.is_gang:
        if not all(task.is_waiting for task in tasks):
            return
    for task in tasks:
        if task.is_waiting and task.name not in ready:
            if step.ready_since_s is None:
                step.ready_since_s = now_s
            task.ready_since_s = now_s
            task.away_since_s = now_s
            ready[task.name] = task
            _count(step, 1)


def drop_ready(ready: ReadyTasks, task: Task) -> None:
    """Remove a task, if it is there."""
    if ready.pop(task.name, None) is not None:
        _count(task.step, -1)


def _count(step: Step, change: int) -> None:
    """Count the ready tasks of a step, and the steps of its job with any."""
    job = step.occurrence.job
    job.ready_steps_count -= step.ready_count > 0
    step.ready_count += change
    job.ready_steps_count += step.ready_count > 0
