"""The order in which waiting steps are placed.

In a burst, more work waits than fits on the workers. Steps of jobs that can
still meet their objective, which is a time limit, are placed first, by slack;
jobs that are too late to be of any use come last.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

from marjoramwharf.scheduling.accepted_policy import withdrawn_queue
from marjoramwharf.scheduling.job_state import Step, Task
from marjoramwharf.scheduling.job_table import job_of
from marjoramwharf.scheduling.policy import QueuePolicy

# A job is of no use once it takes longer than this multiple of its objective.
_MAX_USEFUL_OBJECTIVES = 3

# Estimates are rough: a critical path may turn out shorter by this share.
_ESTIMATE_ERROR_SHARE = 0.4

# A lasting task that is away for longer goes first, so that none starves.
_MAX_LASTING_WAIT_S = 4.0


@enum.unique
class Tier(enum.IntEnum):
    """Whether a job can be on time, or of use at all; lower goes first.

    Lasting tasks come after short ones that can be on time: a second later,
    they lose a second of their life, and the others their objective.
    """

    ON_TIME = 0
    LASTING = 1
    LATE = 2
    USELESS = 3


class Rank(NamedTuple):
    """Sort key of a waiting step; lower goes first.

    ``slack_ms`` is the time that the step can still wait without missing the
    objective of its job. ``since_ms`` is the time since which the job waits.
    """

    tier: Tier
    slack_ms: float
    priority: int
    since_ms: int


def group_by_step(tasks: list[Task]) -> list[list[Task]]:
    """Group tasks by step, in the given order."""
    groups: dict[int, list[Task]] = {}
    for task in tasks:
        groups.setdefault(id(task.step), []).append(task)
    return list(groups.values())


def objective_ms(step: Step, queue: QueuePolicy) -> float:
    """Return how long a step's job may take from its acceptance."""
    critical_path_ms = max(
        other.critical_path_ms for other in step.occurrence.steps
    )
    return queue.stretch * critical_path_ms + queue.target_latency_ms


def step_rank(
    step: Step, queue: QueuePolicy, *, now_ms: int, away_for_s: float = 0
) -> Rank:
    """Return the sort key of a step that has been away for ``away_for_s``.

    Jobs that can hardly meet their objective any more come after those that
    can. Lasting steps come between them, until they have been away for long.
    """
    request = step.occurrence.job.request
    since_ms = max(request.accepted_at_ms, step.occurrence.due_ms)
    if step.request.is_lasting:
        is_overdue = away_for_s > _MAX_LASTING_WAIT_S
        tier = Tier.ON_TIME if is_overdue else Tier.LASTING
        return Rank(tier, 0, queue.priority, since_ms)
    allowed_ms = objective_ms(step, queue)
    passed_ms = now_ms - since_ms
    slack_ms = allowed_ms - passed_ms - step.critical_path_ms
    tier = Tier.ON_TIME
    if passed_ms > _MAX_USEFUL_OBJECTIVES * allowed_ms:
        tier = Tier.USELESS
    elif slack_ms < -_ESTIMATE_ERROR_SHARE * step.critical_path_ms:
        tier = Tier.LATE
    return Rank(tier, slack_ms, queue.priority, since_ms)


def queue_of(task: Task, queues: Mapping[str, QueuePolicy]) -> QueuePolicy:
    """Return the policy of the queue of a task's job.

    If the configuration lacks the queue, that is the policy under which the job
    was accepted.
    """
    request = job_of(task).request
    found = queues.get(request.queue)
    if found is not None:
        return found
    return withdrawn_queue(request.queue, request.service, request.policy)
