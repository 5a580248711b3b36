"""Choice of the worker for a task.

Load answered: many short tasks beside lasting tasks that serve users of their
own. Serving tasks are packed, so that some workers stay free of them. Tasks
that fill go there first, and then where they are expected to disturb least.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from marjoramwharf.ids import WorkerId
from marjoramwharf.scheduling.fleet import Fleet, Worker
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_state import Run, RunPhase, Task
from marjoramwharf.scheduling.headroom import expected_harm
from marjoramwharf.scheduling.workload import StepRequest

# Cost of a choice, in units of one whole worker in use.
_FAILURE_COST = 1.5
_SUSPECT_COST = 3.0
_SAME_FAILURE_COST = 4.0
_OTHER_RACK_COST = 6.0
_OVERFULL_COST = 3.0
_HARM_COST = 4.0
_SERVED_COST = 0.01
_USED_COST = 0.05
_OTHER_IMAGE_COST = 2.0
_TOGETHER_GAIN = 0.3

_FILL_BESIDE_SERVING_COST = 1.0

# A serving task uses about this share of the processors that it reserves.
_SERVING_USE_SHARE = 0.45

# Least share of a worker that counts as left by what serves there.
_LEAST_LEFT_SHARE = 0.05

# The size of a serving job in millicores as long as none is known.
DEFAULT_SERVING_JOB_MILLICORES = 40_000.0

# A worker takes filling tasks up to this share of its processors.
_FILL_LIMIT_SHARE = 1.0


@dataclass(frozen=True, slots=True)
class PlacementContext:
    """What a choice depends on besides the task and the workers.

    A filling task waits rather than spoil more than ``allowed_harm`` serving
    jobs, of which a usual one has ``serving_job_millicores`` millicores. ``excluded_workers``
    are workers that must not be chosen.
    """

    model: InterferenceModel
    now_s: float
    allowed_harm: float = math.inf
    serving_job_millicores: float = DEFAULT_SERVING_JOB_MILLICORES
    excluded_workers: frozenset[WorkerId] = frozenset()


def choose_worker(
    task: Task,
    workers: Iterable[Worker],
    choice: PlacementContext,
) -> Worker | None:
    """Return the cheapest worker that may run a task now, if there is one."""
    best: Worker | None = None
    best_cost = math.inf
    for worker in workers:
        cost = _allowed_cost(task, worker, choice)
        if cost < best_cost:
            best = worker
            best_cost = cost
    return best


class WorkerSelector:
    """Chooses workers for equal tasks, one after the other.

    The costs of all workers are computed once; afterwards only that of the
    worker that got a task, so a wide step costs little more than one task.
    """

    def __init__(
        self,
        task: Task,
        workers: Sequence[Worker],
        choice: PlacementContext,
    ) -> None:
        """Rank the workers for the tasks of a step, of which one is given."""
        self._task = task
        self._workers = workers
        self._choice = choice
        self._costs: list[tuple[float, int]] = []
        for number, worker in enumerate(workers):
            cost = _allowed_cost(task, worker, choice)
            if cost < math.inf:
                self._costs.append((cost, number))
        heapq.heapify(self._costs)

    def choose(self, task: Task) -> Worker | None:
        """Return the cheapest worker; it has to be placed before the next."""
        if task.failed_workers:
            return choose_worker(task, self._workers, self._choice)
        self._refresh_first()
        return self._workers[self._costs[0][1]] if self._costs else None

    def _refresh_first(self) -> None:
        """Bring the cost of the first worker up to date until it is least."""
        while self._costs:
            known, number = self._costs[0]
            worker = self._workers[number]
            cost = _allowed_cost(self._task, worker, self._choice)
            if cost == known:
                return
            if cost < math.inf:
                heapq.heapreplace(self._costs, (cost, number))
            else:
                heapq.heappop(self._costs)


def may_run(task: Task, worker: Worker, now_s: float) -> bool:
    """Whether the rules let a worker run a task now."""
    request = task.step.request
    limit = request.per_worker_limit
    if not worker.is_usable(now_s) or not worker.has_resources_for(request):
        return False
    if limit and worker.runs_count_of(task.step) >= limit:
        return False
    label = request.required_label
    return not label or label in worker.listing.labels


def placement_cost(
    task: Task, worker: Worker, choice: PlacementContext
) -> float:
    """Return how much a choice costs its own job and its neighbours.

    An infinite cost means that the task should rather wait.
    """
    request = task.step.request
    now_s = choice.now_s
    if request.fills:
        load_cost = _fill_cost(request, worker, choice)
    elif request.target_tail_ms:
        load_cost = _serving_cost(task, worker)
    else:
        load_cost = _plain_cost(worker)
    cost = load_cost + _FAILURE_COST * worker.failure_weight_at(now_s)
    if worker.suspect_until_s > now_s:
        cost += _SUSPECT_COST
    if worker.worker_id in task.failed_workers:
        cost += _SAME_FAILURE_COST
    if request.data_rack and request.data_rack not in worker.listing.labels:
        cost += _OTHER_RACK_COST
    return cost


def choose_gang_workers(
    tasks: Sequence[Task],
    fleet: Fleet,
    candidates: Sequence[Worker],
    choice: PlacementContext,
) -> list[tuple[Task, Worker]] | None:
    """Return a worker for each task of a gang, or ``None`` for the whole.

    Where the step asks for it, all workers are of one rack.
    """
    one_rack = tasks[0].step.request.needs_one_rack
    racks = {worker.listing.rack for worker in candidates} if one_rack else {''}
    for rack in sorted(racks):
        usable = [
            worker
            for worker in candidates
            if not one_rack or worker.listing.rack == rack
        ]
        found = _choose_all(tasks, fleet, usable, choice)
        if found is not None:
            return found
    return None


def _allowed_cost(
    task: Task, worker: Worker, choice: PlacementContext
) -> float:
    if worker.worker_id in choice.excluded_workers:
        return math.inf
    if not may_run(task, worker, choice.now_s):
        return math.inf
    return placement_cost(task, worker, choice)


def _fill_cost(
    request: StepRequest,
    worker: Worker,
    choice: PlacementContext,
) -> float:
    """Cost by the slowdown of the task and the harm to what serves."""
    whole = max(1, worker.capacity.cpu_millicores)
    serving = worker.serving_millicores / whole * _SERVING_USE_SHARE
    plain = (worker.reserved_millicores - worker.serving_millicores) / whole
    own = request.cpu_millicores / whole
    used = plain + worker.filling_millicores / whole + serving + own
    if used > _FILL_LIMIT_SHARE and worker.filling_millicores:
        return math.inf
    harm = expected_harm(
        request,
        worker,
        choice.model,
        now_s=choice.now_s,
        job_millicores=choice.serving_job_millicores,
    )
    if harm > choice.allowed_harm:
        return math.inf
    served = len(list(worker.serving_runs()))
    left = max(_LEAST_LEFT_SHARE, 1 - plain - serving)
    return (
        _HARM_COST * harm
        + _SERVED_COST * served / left
        + _USED_COST * used
        + _OVERFULL_COST * max(0, used - 1)
    )


def _serving_cost(task: Task, worker: Worker) -> float:
    """Pack what serves, by job and by image, and keep it away from fills.

    Tasks of one image suffer from the same filling tasks, and a job that is
    on few workers suffers as a whole or not at all.
    """
    whole = max(1, worker.capacity.cpu_millicores)
    other = sum(
        run.step.cpu_millicores
        for run in worker.serving_runs()
        if run.step.image != task.step.request.image
    )
    cost = _FILL_BESIDE_SERVING_COST * worker.filling_millicores / whole
    cost += _OTHER_IMAGE_COST * other / whole
    cost -= worker.serving_millicores / whole
    if worker.runs_count_of(task.step):
        cost -= _TOGETHER_GAIN
    return cost


def _plain_cost(worker: Worker) -> float:
    whole = max(1, worker.capacity.cpu_millicores)
    filling = worker.filling_millicores / whole
    serving = worker.serving_millicores / whole * _SERVING_USE_SHARE
    plain = (worker.reserved_millicores - worker.serving_millicores) / whole
    return plain + filling + serving


def _choose_all(
    tasks: Sequence[Task],
    fleet: Fleet,
    usable: Sequence[Worker],
    choice: PlacementContext,
) -> list[tuple[Task, Worker]] | None:
    chosen: list[tuple[Task, Worker]] = []
    placeholders: list[Run] = []
    for task in tasks:
        worker = choose_worker(task, usable, choice)
        if worker is None:
            break
        chosen.append((task, worker))
        placeholders.append(_placeholder(task, worker, choice.now_s))
        worker.add(placeholders[-1])
    for run in placeholders:
        fleet.release(run)
    return chosen if len(chosen) == len(tasks) else None


def _placeholder(task: Task, worker: Worker, now_s: float) -> Run:
    return Run(
        task=task,
        number=0,
        worker_id=worker.worker_id,
        born_ms=worker.born_ms,
        phase=RunPhase.PLANNED,
        planned_s=now_s,
    )
