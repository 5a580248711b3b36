"""Choice of the worker for a task.

Many short tasks run beside lasting tasks that serve users. Serving tasks are
packed, so that some workers stay free of them. Filling tasks go there first,
and then where they do least harm (see :mod:`scheduling.headroom`).
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import partial

from marjoramwharf.scheduling.candidates import Candidate
from marjoramwharf.scheduling.fleet import Fleet, Worker
from marjoramwharf.scheduling.headroom import expected_harm
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_state import Run, RunPhase, Task
from marjoramwharf.scheduling.workload import StepRequest

# Costs of placing a task on a worker, in units of one whole worker in use.
_FAILED_THERE_COST = 4.0  # the task itself has failed there
_OTHER_RACK_COST = 6.0  # not in the rack of the task's data
_OVERLOAD_COST = 3.0  # filling: for the expected use beyond the whole CPU
_HARM_COST = 4.0  # filling: for each serving job expected to be lost
_SERVING_RUN_COST = 0.01  # filling: for each serving run, over the free share
_UTILIZATION_COST = 0.05  # filling: for the expected use of the CPU
_OTHER_IMAGE_COST = 2.0  # serving: for the CPU of serving runs of other images
_SAME_STEP_GAIN = 0.3  # serving: a task of the same step is there
_SERVING_BESIDE_FILLING_COST = 1.0  # serving: for the CPU of filling runs
_FREE_PIECE_COST = 2.0  # others: for the CPU that is not reserved

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
    ``serving_job_millicores`` is the mean size of a serving job. Tasks that
    should run in one rack are placed in several if they ``may_span_racks``.
    """

    model: InterferenceModel
    now_s: float
    allowed_harm: float = math.inf
    serving_job_millicores: float = DEFAULT_SERVING_JOB_MILLICORES
    may_span_racks: bool = False


# The cost of a task on a candidate, infinite if it must not run there now.
CostFunction = Callable[[Candidate], float]


def choose_worker(
    task: Task,
    candidates: Iterable[Candidate],
    context: PlacementContext,
) -> Worker | None:
    """Return the cheapest worker that may run a task now, if there is one."""
    cost_of = cost_function(task, context)
    best: Worker | None = None
    best_cost = math.inf
    for candidate in candidates:
        cost = cost_of(candidate)
        if cost < best_cost:
            best = candidate.worker
            best_cost = cost
    return best


def can_be_placed(
    task: Task,
    candidates: Iterable[Candidate],
    context: PlacementContext,
) -> bool:
    """Whether any of the candidates may run a task now."""
    cost_of = cost_function(task, context)
    return any(cost_of(candidate) < math.inf for candidate in candidates)


class WorkerSelector:
    """Chooses workers for the equal tasks of a step, one after the other.

    The costs of all workers are computed once and then only that of the worker
    that got a task, so a wide step takes little longer than one task.
    """

    def __init__(
        self,
        task: Task,
        candidates: Sequence[Candidate],
        context: PlacementContext,
    ) -> None:
        """Compute the costs of the workers for a task of the step."""
        self._candidates = candidates
        self._context = context
        self._cost_of = cost_function(task, context)
        # The harm of a filling task is expensive to compute, so the heap begins
        # with costs that leave it out and are therefore never too high.
        lowest_cost_of = cost_function(task, context, with_harm=False)
        lowest_costs = map(lowest_cost_of, candidates)
        self._costs = [
            (cost, number)
            for number, cost in enumerate(lowest_costs)
            if cost < math.inf
        ]
        heapq.heapify(self._costs)

    def choose(self, task: Task) -> Worker | None:
        """Return the cheapest worker, if any; reserve it before a new call."""
        if task.failed_workers:
            return choose_worker(task, self._candidates, self._context)
        self._refresh_cheapest()
        if not self._costs:
            return None
        return self._candidates[self._costs[0][1]].worker

    def _refresh_cheapest(self) -> None:
        """Recompute the lowest cost until it is up to date."""
        while self._costs:
            computed_cost, number = self._costs[0]
            cost = self._cost_of(self._candidates[number])
            if cost == computed_cost:
                return
            if cost < math.inf:
                heapq.heapreplace(self._costs, (cost, number))
            else:
                heapq.heappop(self._costs)


def cost_function(
    task: Task, context: PlacementContext, *, with_harm: bool = True
) -> CostFunction:
    """Return the function that tells what a task costs on a candidate.

    Without the harm that a filling task does, the cost is a lower bound.
    """
    request = task.step.request
    load_cost = _load_cost_function(task, context, with_harm=with_harm)
    is_restricted = request.per_worker_limit or request.required_label
    has_preferences = task.failed_workers or request.data_rack

    def cost_of(candidate: Candidate) -> float:
        worker = candidate.worker
        if not worker.has_resources_for(request):
            return math.inf
        if is_restricted and not _admits(worker, task):
            return math.inf
        cost = candidate.trouble_cost + load_cost(worker)
        if has_preferences:
            cost += _preference_cost(worker, task)
        return cost

    return cost_of


def _load_cost_function(
    task: Task, context: PlacementContext, *, with_harm: bool
) -> Callable[[Worker], float]:
    request = task.step.request
    if request.fills:
        if with_harm:
            return partial(_filling_cost, request, context=context)
        return partial(_filling_cost_without_harm, request)
    if request.target_tail_ms:
        return partial(_serving_cost, task)
    return _plain_cost


def _preference_cost(worker: Worker, task: Task) -> float:
    """Return the cost of a worker where a task failed, or far from its data."""
    cost: float = 0
    if worker.worker_id in task.failed_workers:
        cost += _FAILED_THERE_COST
    rack = task.step.request.data_rack
    if rack and rack not in worker.listing.labels:
        cost += _OTHER_RACK_COST
    return cost


def _admits(worker: Worker, task: Task) -> bool:
    """Whether a worker has the label of a task, and not too many of its step."""
    request = task.step.request
    limit = request.per_worker_limit
    if limit and worker.runs_count_of(task.step) >= limit:
        return False
    label = request.required_label
    return not label or label in worker.certain_labels


def choose_gang_workers(
    tasks: Sequence[Task],
    fleet: Fleet,
    candidates: Sequence[Candidate],
    context: PlacementContext,
) -> list[tuple[Task, Worker]] | None:
    """Return a worker for each task of a gang, ``None`` if any gets none.

    Where the step asks for it, all workers are in one rack if possible.
    """
    if not tasks[0].step.request.needs_one_rack:
        return _choose_for_all(tasks, fleet, candidates, context)
    for rack in sorted({found.worker.listing.rack for found in candidates}):
        usable = [
            candidate
            for candidate in candidates
            if candidate.worker.listing.rack == rack
        ]
        chosen = _choose_for_all(tasks, fleet, usable, context)
        if chosen is not None:
            return chosen
    if context.may_span_racks:
        return _choose_for_all(tasks, fleet, candidates, context)
    return None


def _filling_cost(
    request: StepRequest,
    worker: Worker,
    context: PlacementContext,
) -> float:
    """Return the cost of a filling task: its own slowdown and its harm."""
    slowdown_cost = _filling_cost_without_harm(request, worker)
    if slowdown_cost == math.inf:
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
    return slowdown_cost + _HARM_COST * harm


def _filling_cost_without_harm(request: StepRequest, worker: Worker) -> float:
    """Return the cost of a filling task for its own slowdown."""
    whole = worker.listing.capacity.cpu_millicores or 1
    filling = worker.filling_millicores
    # What other runs use: plain ones all that they reserve, serving ones less.
    unused_share = 1 - _SERVING_USE_SHARE
    used = worker.reserved_millicores - unused_share * worker.serving_millicores
    utilization = (used + filling + request.cpu_millicores) / whole
    if utilization > _FILLING_LIMIT_SHARE and filling:
        return math.inf
    cost = _UTILIZATION_COST * utilization
    if utilization > 1:
        cost += _OVERLOAD_COST * (utilization - 1)
    if worker.serving_count:
        free = max(_MIN_FREE_SHARE, 1 - used / whole)
        cost += _SERVING_RUN_COST * worker.serving_count / free
    return cost


def _serving_cost(task: Task, worker: Worker) -> float:
    """Return the cost of a serving task, lower beside its own step and image.

    Serving tasks are packed and kept away from filling ones. Tasks of one
    image suffer from the same filling tasks, and a job that is on few workers
    suffers as a whole or not at all.
    """
    whole = max(1, worker.capacity.cpu_millicores)
    same = worker.serving_millicores_by_image[task.step.request.image]
    other = worker.serving_millicores - same
    cost = _SERVING_BESIDE_FILLING_COST * worker.filling_millicores / whole
    cost += _OTHER_IMAGE_COST * other / whole
    cost -= worker.serving_millicores / whole
    if worker.runs_count_of(task.step):
        cost -= _SAME_STEP_GAIN
    return cost


def _plain_cost(worker: Worker) -> float:
    """Return the cost of a task that is neither filling nor serving.

    That is the expected share of the worker's CPU in use, and the free piece:
    small tasks leave large pieces whole for large ones.
    """
    whole = max(1, worker.capacity.cpu_millicores)
    filling = worker.filling_millicores / whole
    serving = worker.serving_millicores / whole * _SERVING_USE_SHARE
    plain = (worker.reserved_millicores - worker.serving_millicores) / whole
    free = (whole - worker.reserved_millicores) / whole
    return plain + filling + serving + _FREE_PIECE_COST * free


def _choose_for_all(
    tasks: Sequence[Task],
    fleet: Fleet,
    usable: Sequence[Candidate],
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
