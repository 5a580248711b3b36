"""The order in which waiting steps are placed.

Load answered: bursts in which more work waits than there is room for. What
can still meet its objective goes first, by the time that it has left; what
can no longer earn anything goes last.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

from marjoramwharf.scheduling.job_table import job_of
from marjoramwharf.scheduling.job_state import Step, Task
from marjoramwharf.scheduling.policy import QueuePolicy

# A job that takes longer than this many objectives is of no more use.
_USEFUL_OBJECTIVES = 3

# Estimates are rough: a chain may turn out shorter by this share.
_ESTIMATE_SLACK_SHARE = 0.4


@enum.unique
class Tier(enum.IntEnum):
    """What a waiting job can still be worth; lower goes first."""

    ON_TIME = 0
    LATE = 1
    USELESS = 2


class Rank(NamedTuple):
    """Place of a step among those that wait; lower goes first.

    ``slack_ms`` is the time that the step can wait and still meet the
    objective of its job.
    """

    tier: Tier
    slack_ms: float
    priority: int
    since_ms: int


def group_by_step(tasks: list[Task]) -> list[list[Task]]:
    """Return tasks in groups of one step, in the given order."""
    groups: dict[int, list[Task]] = {}
    for task in tasks:
        groups.setdefault(id(task.step), []).append(task)
    return list(groups.values())


def objective_ms(step: Step, queue: QueuePolicy) -> float:
    """Return the time that a job may take, from its acceptance."""
    critical_path_ms = max(
        other.critical_path_ms for other in step.occurrence.steps
    )
    return queue.stretch * critical_path_ms + queue.target_latency_ms


def step_rank(step: Step, queue: QueuePolicy, *, now_ms: int) -> Rank:
    """Return the place of a step among those that wait.

    A job that can hardly meet its objective any more lets those go first
    that can.
    """
    request = step.occurrence.job.request
    since_ms = max(request.accepted_at_ms, step.occurrence.due_ms)
    if step.request.is_lasting:
        return Rank(Tier.ON_TIME, 0, queue.priority, since_ms)
    allowed_ms = objective_ms(step, queue)
    passed_ms = now_ms - since_ms
    slack_ms = allowed_ms - passed_ms - step.critical_path_ms
    tier = Tier.ON_TIME
    if passed_ms > _USEFUL_OBJECTIVES * allowed_ms:
        tier = Tier.USELESS
    elif slack_ms < -_ESTIMATE_SLACK_SHARE * step.critical_path_ms:
        tier = Tier.LATE
    return Rank(tier, slack_ms, queue.priority, since_ms)


def queue_of(task: Task, queues: Mapping[str, QueuePolicy]) -> QueuePolicy:
    """Return the policy of a task's queue.

    A queue that the configuration no longer has keeps the service that its
    job was accepted for.
    """
    request = job_of(task).request
    found = queues.get(request.queue)
    if found is not None:
        return found
    return QueuePolicy(
        name=request.queue,
        host='',
        prefix='',
        service=request.service,
        max_attempts=3,
    )
