"""Choice of the worker for a task.

Many short tasks run beside lasting tasks that serve users. Serving tasks are
packed, so that some workers stay free of them. Filling tasks go there first,
and then where they do least harm (see :mod:`scheduling.headroom`).
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from marjoramwharf.ids import WorkerId
from marjoramwharf.scheduling.fleet import Fleet, Worker
from marjoramwharf.scheduling.headroom import expected_harm
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_state import Run, RunPhase, Task
from marjoramwharf.scheduling.workload import StepRequest

# Costs of placing a task on a worker, in units of one whole worker in use.
_FAILURE_COST = 1.5  # for each recent failure there (decayed)
_SUSPECT_COST = 3.0  # a run recently hung or was slow there
_FAILED_THERE_COST = 4.0  # the task itself has failed there
_OTHER_RACK_COST = 6.0  # not in the rack of the task's data
_OVERLOAD_COST = 3.0  # filling: for the expected use beyond the whole CPU
_HARM_COST = 4.0  # filling: for each serving job expected to be lost
_SERVING_RUN_COST = 0.01  # filling: for each serving run, over the free share
_UTILIZATION_COST = 0.05  # filling: for the expected use of the CPU
_OTHER_IMAGE_COST = 2.0  # serving: for the CPU of serving runs of other images
_SAME_STEP_GAIN = 0.3  # serving: a task of the same step is there
_SERVING_BESIDE_FILLING_COST = 1.0  # serving: for the CPU of filling runs

# A serving task uses about this share of the CPU that it reserves.
_SERVING_USE_SHARE = 0.45

# The CPU share that other runs leave to filling tasks counts as at least this.
_MIN_FREE_SHARE = 0.05

# The mean size of a serving job in millicores as long as there is none.
DEFAULT_SERVING_JOB_MILLICORES = 40_000.0

# Filling tasks are added to others on a worker up to this share of its CPU.
_FILLING_LIMIT_SHARE = 1.0


@dataclass(frozen=True, slots=True)
class PlacementContext:
    """What a placement depends on besides the task and the workers.

    A filling task is placed only where its harm is at most ``allowed_harm``.
    ``serving_job_millicores`` is the mean size of a serving job. None of the
    ``excluded_workers`` is chosen.
    """

    model: InterferenceModel
    now_s: float
    allowed_harm: float = math.inf
    serving_job_millicores: float = DEFAULT_SERVING_JOB_MILLICORES
    excluded_workers: frozenset[WorkerId] = frozenset()


def choose_worker(
    task: Task,
    workers: Iterable[Worker],
    context: PlacementContext,
) -> Worker | None:
    """Return the cheapest worker that may run a task now, if there is one."""
    best: Worker | None = None
    best_cost = math.inf
    for worker in workers:
        cost = _allowed_cost(task, worker, context)
        if cost < best_cost:
            best = worker
            best_cost = cost
    return best


class WorkerSelector:
    """Chooses workers for the equal tasks of a step, one after the other.

    The costs of all workers are computed once and then only that of the worker
    that got a task, so a wide step takes little longer than one task.
    """

    def __init__(
        self,
        task: Task,
        workers: Sequence[Worker],
        context: PlacementContext,
    ) -> None:
        """Compute the costs of the workers for a task of the step."""
        self._task = task
        self._workers = workers
        self._context = context
        self._costs: list[tuple[float, int]] = []
        for number, worker in enumerate(workers):
            cost = _allowed_cost(task, worker, context)
            if cost < math.inf:
                self._costs.append((cost, number))
        heapq.heapify(self._costs)

    def choose(self, task: Task) -> Worker | None:
        """Return the cheapest worker, if any; reserve it before a new call."""
        if task.failed_workers:
            return choose_worker(task, self._workers, self._context)
        self._refresh_cheapest()
        return self._workers[self._costs[0][1]] if self._costs else None

    def _refresh_cheapest(self) -> None:
        """Recompute the lowest cost until it is up to date."""
        while self._costs:
            computed_cost, number = self._costs[0]
            worker = self._workers[number]
            cost = _allowed_cost(self._task, worker, self._context)
            if cost == computed_cost:
                return
            if cost < math.inf:
                heapq.heapreplace(self._costs, (cost, number))
            else:
                heapq.heappop(self._costs)


def may_run(task: Task, worker: Worker, now_s: float) -> bool:
    """Whether a worker is allowed to run a task now and has the resources."""
    request = task.step.request
    limit = request.per_worker_limit
    if not worker.is_usable(now_s) or not worker.has_resources_for(request):
        return False
    if limit and worker.runs_count_of(task.step) >= limit:
        return False
    label = request.required_label
    return not label or label in worker.listing.labels


def placement_cost(
    task: Task, worker: Worker, context: PlacementContext
) -> float:
    """Return the cost of a task on a worker, infinite if it should wait."""
    request = task.step.request
    now_s = context.now_s
    if request.fills:
        load_cost = _filling_cost(request, worker, context)
    elif request.target_tail_ms:
        load_cost = _serving_cost(task, worker)
    else:
        load_cost = _plain_cost(worker)
    cost = load_cost + _FAILURE_COST * worker.failure_weight_at(now_s)
    if worker.suspect_until_s > now_s:
        cost += _SUSPECT_COST
    if worker.worker_id in task.failed_workers:
        cost += _FAILED_THERE_COST
    if request.data_rack and request.data_rack not in worker.listing.labels:
        cost += _OTHER_RACK_COST
    return cost


def choose_gang_workers(
    tasks: Sequence[Task],
    fleet: Fleet,
    candidates: Sequence[Worker],
    context: PlacementContext,
) -> list[tuple[Task, Worker]] | None:
    """Return a worker for each task of a gang, ``None`` if any gets none.

    Where the step asks for it, all workers are in one rack.
    """
    one_rack = tasks[0].step.request.needs_one_rack
    racks = {worker.listing.rack for worker in candidates} if one_rack else {''}
    for rack in sorted(racks):
        usable = [
            worker
            for worker in candidates
            if not one_rack or worker.listing.rack == rack
        ]
        found = _choose_for_all(tasks, fleet, usable, context)
        if found is not None:
            return found
    return None


def _allowed_cost(
    task: Task, worker: Worker, context: PlacementContext
) -> float:
    """Return the cost, infinite also where the task must not run now."""
    if worker.worker_id in context.excluded_workers:
        return math.inf
    if not may_run(task, worker, context.now_s):
        return math.inf
    return placement_cost(task, worker, context)


def _filling_cost(
    request: StepRequest,
    worker: Worker,
    context: PlacementContext,
) -> float:
    """Return the cost of a filling task: its own slowdown and its harm."""
    whole = max(1, worker.capacity.cpu_millicores)
    serving = worker.serving_millicores / whole * _SERVING_USE_SHARE
    plain = (worker.reserved_millicores - worker.serving_millicores) / whole
    own = request.cpu_millicores / whole
    utilization = plain + worker.filling_millicores / whole + serving + own
    if utilization > _FILLING_LIMIT_SHARE and worker.filling_millicores:
        return math.inf
    harm = expected_harm(
        request,
        worker,
        context.model,
        now_s=context.now_s,
        job_millicores=context.serving_job_millicores,
    )
    if harm > context.allowed_harm:
        return math.inf
    serving_count = len(list(worker.serving_runs()))
    free = max(_MIN_FREE_SHARE, 1 - plain - serving)
    return (
        _HARM_COST * harm
        + _SERVING_RUN_COST * serving_count / free
        + _UTILIZATION_COST * utilization
        + _OVERLOAD_COST * max(0, utilization - 1)
    )


def _serving_cost(task: Task, worker: Worker) -> float:
    """Return the cost of a serving task, lower beside its own step and image.

    Serving tasks are packed and kept away from filling ones. Tasks of one
    image suffer from the same filling tasks, and a job that is on few workers
    suffers as a whole or not at all.
    """
    whole = max(1, worker.capacity.cpu_millicores)
    other = sum(
        run.step.cpu_millicores
        for run in worker.serving_runs()
        if run.step.image != task.step.request.image
    )
    cost = _SERVING_BESIDE_FILLING_COST * worker.filling_millicores / whole
    cost += _OTHER_IMAGE_COST * other / whole
    cost -= worker.serving_millicores / whole
    if worker.runs_count_of(task.step):
        cost -= _SAME_STEP_GAIN
    return cost


def _plain_cost(worker: Worker) -> float:
    """Return the expected share of the worker's CPU in use."""
    whole = max(1, worker.capacity.cpu_millicores)
    filling = worker.filling_millicores / whole
    serving = worker.serving_millicores / whole * _SERVING_USE_SHARE
    plain = (worker.reserved_millicores - worker.serving_millicores) / whole
    return plain + filling + serving


def _choose_for_all(
    tasks: Sequence[Task],
    fleet: Fleet,
    usable: Sequence[Worker],
    context: PlacementContext,
) -> list[tuple[Task, Worker]] | None:
    """Choose a worker for each task, counting in those chosen before."""
    chosen: list[tuple[Task, Worker]] = []
    placeholders: list[Run] = []
    for task in tasks:
        worker = choose_worker(task, usable, context)
        if worker is None:
            break
        chosen.append((task, worker))
        placeholders.append(_placeholder(task, worker, context.now_s))
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
