"""Why workers don't take a task that waits, for logs and metrics.

Nothing here decides or changes anything. The reasons follow the rules by which
the planner chooses workers, in :mod:`scheduling.fleet` and
:mod:`scheduling.placement`.
"""

from __future__ import annotations

import enum
import math
from collections import Counter
from collections.abc import Collection, Iterable

from marjoramwharf.ids import WorkerId
from marjoramwharf.scheduling.candidates import Candidate
from marjoramwharf.scheduling.fleet import (
    Fleet,
    Resources,
    Worker,
    WorkerState,
)
from marjoramwharf.scheduling.job_state import Run, RunPhase, Task
from marjoramwharf.scheduling.placement import PlacementContext, cost_function
from marjoramwharf.scheduling.workload import StepRequest

# A listing that changed within this time counts as being renewed.
_RENEWED_LISTING_AGE_S = 5.0


@enum.unique
class WorkerReason(enum.Enum):
    """Why a worker gets no run of a task; the first reason that applies.

    Those up to ``QUARANTINED`` hold for all tasks, and a worker without any of
    them is ``USABLE``. An ``UNREACHABLE_ALIVE`` worker doesn't answer the owner
    but renews its listing, so it is at work. The others hold for one task:

    - ``UNSUITABLE``: the worker is too small even if empty, or lacks the label.
    - ``FILLING_PAUSED``: the task fills, and the worker's filling runs pause.
    - ``NO_ROOM``: its free resources don't suffice. If they would without the
      runs whose start is unconfirmed, that is ``ROOM_UNCONFIRMED`` instead.
    - ``NO_TICKET``: the task needs a ticket, and there is none for the worker.
    - ``LIMIT``: it has as many tasks of the step, or as much filling work, as
      it may have.
    - ``HARM``: a filling task would do more harm there than is allowed.
    - ``HAS_ROOM``: none of these; the task could start there.
    """

    GONE = 'gone'
    UNREADABLE = 'unreadable'
    DRAINING = 'draining'
    UNREACHABLE_ALIVE = 'unreachable_alive'
    UNREACHABLE_SILENT = 'unreachable_silent'
    OTHER_INCARNATION = 'other_incarnation'
    EVACUATED = 'evacuated'
    BLOCKED = 'blocked'
    QUARANTINED = 'quarantined'
    USABLE = 'usable'
    UNSUITABLE = 'unsuitable'
    FILLING_PAUSED = 'filling_paused'
    ROOM_UNCONFIRMED = 'room_unconfirmed'
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    LIMIT = 'limit'
    HARM = 'harm'
    HAS_ROOM = 'has_room'


# The reasons that hold for all tasks.
FLEET_REASONS = (
    WorkerReason.GONE,
    WorkerReason.UNREADABLE,
    WorkerReason.DRAINING,
    WorkerReason.UNREACHABLE_ALIVE,
    WorkerReason.UNREACHABLE_SILENT,
    WorkerReason.OTHER_INCARNATION,
    WorkerReason.EVACUATED,
    WorkerReason.BLOCKED,
    WorkerReason.QUARANTINED,
    WorkerReason.USABLE,
)

_UNUSABLE_STATES = {
    WorkerState.UNREADABLE: WorkerReason.UNREADABLE,
    WorkerState.DRAINING: WorkerReason.DRAINING,
}


def worker_reason(fleet: Fleet, worker: Worker, now_s: float) -> WorkerReason:
    """Return why a worker gets no runs at all, or that it is usable."""
    listing_reason = _listing_reason(worker)
    if listing_reason is not None:
        return listing_reason
    if not worker.is_reachable:
        return _unreachable_reason(worker, now_s)
    if worker.is_listing_awaited:
        return WorkerReason.OTHER_INCARNATION
    if fleet.is_evacuated(worker):
        return WorkerReason.EVACUATED
    if worker.blocked_until_s > now_s:
        return WorkerReason.BLOCKED
    if worker.is_quarantined(now_s):
        return WorkerReason.QUARANTINED
    return WorkerReason.USABLE


def _listing_reason(worker: Worker) -> WorkerReason | None:
    """Return why the listing of a worker rules it out, ``None`` if not."""
    if worker.is_present:
        return _UNUSABLE_STATES.get(worker.listing.state)
    return WorkerReason.GONE


def _unreachable_reason(worker: Worker, now_s: float) -> WorkerReason:
    if now_s - worker.listed_at_s <= _RENEWED_LISTING_AGE_S:
        return WorkerReason.UNREACHABLE_ALIVE
    return WorkerReason.UNREACHABLE_SILENT


def count_workers(fleet: Fleet, now_s: float) -> Counter[WorkerReason]:
    """Return the number of workers by the reason that holds for all tasks."""
    return Counter(
        worker_reason(fleet, worker, now_s) for worker in fleet.workers.values()
    )


def count_workers_for(
    task: Task,
    fleet: Fleet,
    service: str,
    context: PlacementContext,
    tickets: Collection[WorkerId] | None,
) -> Counter[WorkerReason]:
    """Return the number of workers of a service by their reason for a task.

    ``context`` is that of the planner's latest pass, or as it would be now.
    ``tickets`` are the workers with a ticket, ``None`` if the task needs none.
    """
    cost_of = cost_function(task, context, with_harm=False)

    def reason_of(worker: Worker) -> WorkerReason:
        reason = worker_reason(fleet, worker, context.now_s)
        if reason is WorkerReason.USABLE:
            reason = _room_reason(task, worker)
        if reason is not WorkerReason.HAS_ROOM:
            return reason
        if tickets is not None and worker.worker_id not in tickets:
            return WorkerReason.NO_TICKET
        if cost_of(Candidate(worker, 0)) == math.inf:
            return WorkerReason.LIMIT
        if _known_harm(task, worker) > context.allowed_harm:
            return WorkerReason.HARM
        return reason

    return Counter(map(reason_of, fleet.workers_of(service)))


def _room_reason(task: Task, worker: Worker) -> WorkerReason:
    """Return whether a usable worker has the resources for a task."""
    request = task.step.request
    if not worker.could_ever_run(request):
        return WorkerReason.UNSUITABLE
    if worker.has_resources_for(request):
        return WorkerReason.HAS_ROOM
    if request.fills and worker.is_filling_paused:
        return WorkerReason.FILLING_PAUSED
    if _would_have_room(worker, request):
        return WorkerReason.ROOM_UNCONFIRMED
    return WorkerReason.NO_ROOM


def _would_have_room(worker: Worker, request: StepRequest) -> bool:
    """Whether a task would fit without the runs that may never have started."""
    held = held_by_unconfirmed(worker.runs)
    capacity = worker.capacity
    free_millicores = (
        capacity.cpu_millicores
        - worker.reserved_millicores
        + held.cpu_millicores
    )
    free_memory_mb = (
        capacity.memory_mb - worker.reserved_memory_mb + held.memory_mb
    )
    free_accelerators_count = (
        capacity.accelerators_count
        - worker.reserved_accelerators_count
        + held.accelerators_count
    )
    return (
        (request.fills or request.cpu_millicores <= free_millicores)
        and request.memory_mb <= free_memory_mb
        and request.accelerators_count <= free_accelerators_count
    )


def held_by_unconfirmed(runs: Iterable[Run]) -> Resources:
    """Return what is reserved for the runs whose start is unconfirmed."""
    steps = [run.step for run in runs if is_unconfirmed(run)]
    return Resources(
        sum(step.cpu_millicores for step in steps if not step.fills),
        sum(step.memory_mb for step in steps),
        sum(step.accelerators_count for step in steps),
    )


def is_unconfirmed(run: Run) -> bool:
    """Whether a run may have started, and its worker hasn't said so.

    That is a run whose start order got no answer, or one of a former owner.
    """
    if run.started_s is not None:
        return False
    return run.is_start_unconfirmed or run.phase is RunPhase.UNCERTAIN


def _known_harm(task: Task, worker: Worker) -> float:
    """Return the harm that the planner has worked out, 0 if it has not."""
    request = task.step.request
    if not request.fills:
        return 0
    return worker.harms.get((request.image, request.cpu_millicores), 0)
