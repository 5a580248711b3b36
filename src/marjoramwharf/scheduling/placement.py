"""Choice of the worker for a task.

Load answered: many short tasks beside lasting tasks that serve users of their
own. Tasks that fill run as fast as the unused processors of their worker
allow and slow down what serves beside them, so they go where most is unused
and least is served.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from marjoramwharf.ids import WorkerId
from marjoramwharf.scheduling.fleet import Fleet, Worker
from marjoramwharf.scheduling.job_state import Run, RunPhase, Task
from marjoramwharf.scheduling.workload import StepRequest

# Cost of a choice, in units of one whole worker in use.
_FAILURE_COST = 1.5
_SUSPECT_COST = 3.0
_SAME_FAILURE_COST = 4.0
_OTHER_RACK_COST = 6.0
_SERVING_BESIDE_FILL_COST = 0.5
_FILL_BESIDE_SERVING_COST = 1.0
_OVERFULL_COST = 2.0

# A serving task uses about this share of the processors that it reserves.
_SERVING_USE_SHARE = 0.5


def choose_worker(
    task: Task,
    workers: Iterable[Worker],
    *,
    avoid: frozenset[WorkerId],
    now_s: float,
) -> Worker | None:
    """Return the cheapest worker that may run a task now, if there is one."""
    best: Worker | None = None
    best_cost: float = 0
    for worker in workers:
        if worker.worker_id in avoid or not may_run(task, worker, now_s):
            continue
        cost = cost_of(task, worker, now_s)
        if best is None or cost < best_cost:
            best = worker
            best_cost = cost
    return best


def may_run(task: Task, worker: Worker, now_s: float) -> bool:
    """Whether the rules let a worker run a task now."""
    request = task.step.request
    limit = request.per_worker_limit
    if not worker.is_usable(now_s) or not worker.holds(request):
        return False
    if limit and worker.count_of(task.step) >= limit:
        return False
    label = request.required_label
    return not label or label in worker.listing.labels


def cost_of(task: Task, worker: Worker, now_s: float) -> float:
    """Return how much a choice costs its own job and its neighbours."""
    request = task.step.request
    cost = _load_cost(request, worker)
    cost += _FAILURE_COST * worker.failures_at(now_s)
    if worker.suspect_until_s > now_s:
        cost += _SUSPECT_COST
    if worker.worker_id in task.failed_workers:
        cost += _SAME_FAILURE_COST
    if request.data_rack and request.data_rack not in worker.listing.labels:
        cost += _OTHER_RACK_COST
    return cost


def _load_cost(request: StepRequest, worker: Worker) -> float:
    whole = max(1, worker.capacity.cpu_millicores)
    serving = worker.serving_cpu / whole
    filling = worker.fill_cpu / whole
    plain = (worker.cpu_used - worker.serving_cpu) / whole
    own = request.cpu_millicores / whole
    if request.fills:
        used = plain + filling + serving * _SERVING_USE_SHARE + own
        overfull = max(0, used - 1)
        return (
            used
            + _SERVING_BESIDE_FILL_COST * serving
            + _OVERFULL_COST * overfull
        )
    if request.target_tail_ms:
        return serving + plain + _FILL_BESIDE_SERVING_COST * filling
    return plain + serving + filling


def choose_workers(
    tasks: Sequence[Task],
    fleet: Fleet,
    candidates: Sequence[Worker],
    *,
    reserve: bool,
    now_s: float,
) -> list[tuple[Task, Worker]] | None:
    """Return a worker for each task of a gang, or ``None`` for the whole.

    With ``reserve`` all workers have to be of one rack.
    """
    racks = {worker.listing.rack for worker in candidates} if reserve else {''}
    for rack in sorted(racks):
        usable = [
            worker
            for worker in candidates
            if not reserve or worker.listing.rack == rack
        ]
        found = _choose_all(tasks, fleet, usable, now_s)
        if found is not None:
            return found
    return None


def _choose_all(
    tasks: Sequence[Task],
    fleet: Fleet,
    usable: Sequence[Worker],
    now_s: float,
) -> list[tuple[Task, Worker]] | None:
    chosen: list[tuple[Task, Worker]] = []
    placeholders: list[Run] = []
    for task in tasks:
        worker = choose_worker(task, usable, avoid=frozenset(), now_s=now_s)
        if worker is None:
            break
        chosen.append((task, worker))
        placeholders.append(_placeholder(task, worker, now_s))
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
        placed_s=now_s,
    )
