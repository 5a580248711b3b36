"""Expected headroom of serving tasks, and the harm of one more filling task.

Headroom is explained in :mod:`scheduling.interference`. Workers are compared by
*harm*: how many serving jobs, often a fraction of one, are expected to be lost
to the new task. A job is lost if too many tasks are over their latency target.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.interference import (
    FillingLoad,
    HeadroomLoss,
    InterferenceModel,
)
from marjoramwharf.scheduling.job_state import Run, Step
from marjoramwharf.scheduling.workload import StepRequest

_FULL_PERCENT = 100

# A filling task runs for a second or two, so the lower one of the forecasts for
# soon after its start and for its end counts.
_FORECAST_START_S = 0.4
_FORECAST_END_S = 1.4

# Expected headrooms are cached until the next such period begins.
_CACHE_PERIODS_PER_S = 4

# Variance of a headroom without interference, and the ratio of the scale of a
# logistic distribution to its standard deviation.
_BASELINE_VARIANCE = 0.06
_LOGISTIC_SCALE = 0.55

# A task over its target costs this many times its share of the job, so a job
# is lost once a quarter of its tasks are over their target.
_OVER_TARGET_WEIGHT = 4

# Share of its run time that a filling task is expected to spend beside the
# filling tasks that run on the worker now.
_PRESENT_LOADS_SHARE = 0.5

# A loss of headroom below this counts as no harm.
_MIN_LOSS = 0.03


@dataclass(frozen=True, slots=True)
class ExpectedHeadroom:
    """Expected headroom of the tasks of one serving step on a worker.

    ``baseline`` is the headroom without any filling tasks, ``headroom`` that
    beside the present ones, and ``variance`` that of the loss to these. Beside
    them, ``over_target_count`` of the ``count`` tasks are expected to be over
    their target.
    """

    step: Step
    count: int
    baseline: float
    headroom: float
    variance: float
    over_target_count: float


def filling_load_of(run: Run, worker: Worker) -> FillingLoad:
    """Return the load of a filling run at its present pace."""
    share = cpu_share_of(run, worker, run.pace_percent)
    return FillingLoad(run.step.image, share)


def cpu_share_of(run: Run, worker: Worker, percent: int) -> float:
    """Return the share of a worker's CPU that a run uses at a pace."""
    whole = max(1, worker.capacity.cpu_millicores)
    return run.step.cpu_millicores / whole * percent / _FULL_PERCENT


def over_target_probability(headroom: float, variance: float) -> float:
    """Return the probability that a task with this headroom is over target."""
    scale = _LOGISTIC_SCALE * math.sqrt(_BASELINE_VARIANCE + variance)
    return 1 / (1 + math.exp(min(50, (headroom - 1) / scale)))


def expected_headrooms(
    worker: Worker,
    model: InterferenceModel,
    *,
    now_s: float,
) -> tuple[ExpectedHeadroom, ...]:
    """Return the expected headroom of each serving step on a worker.

    The result is cached for at most a quarter of a second, and until readings
    or runs of the worker change.
    """
    key = (worker.version, int(now_s * _CACHE_PERIODS_PER_S))
    if worker.headrooms_key != key:
        for old in worker.headrooms:
            old.step.over_target_counts.pop(worker.worker_id, None)
        worker.headrooms = _compute_headrooms(worker, model, now_s)
        worker.headrooms_key = key
        worker.harms.clear()
        for new in worker.headrooms:
            new.step.over_target_counts[worker.worker_id] = (
                new.over_target_count
            )
    return worker.headrooms


def expected_harm(
    request: StepRequest,
    worker: Worker,
    model: InterferenceModel,
    *,
    now_s: float,
    job_millicores: float,
) -> float:
    """Return the harm of starting a filling task on a worker.

    A job is lost once a quarter of its tasks are over their target, so a
    further loss costs least in a job that is lost already. The task runs beside
    the present filling tasks for a part of its time, so the result is a mean of
    the harm beside them and without them, in jobs of the mean size
    ``job_millicores``. It is cached with the expected headrooms, since the
    tasks of a step that waits are considered in pass after pass.
    """
    headrooms = expected_headrooms(worker, model, now_s=now_s)
    key = (request.image, request.cpu_millicores)
    harm = worker.harms.get(key)
    if harm is None:
        share = request.cpu_millicores / max(1, worker.capacity.cpu_millicores)
        load = FillingLoad(request.image, share)
        harm = _harm_of_load(load, headrooms, model, job_millicores)
        worker.harms[key] = harm
    return harm


def _harm_of_load(
    load: FillingLoad,
    headrooms: Iterable[ExpectedHeadroom],
    model: InterferenceModel,
    job_millicores: float,
) -> float:
    """Return the harm that one more load does to the serving steps."""
    harm: float = 0
    for expected in headrooms:
        loss = model.expected_loss(expected.step.request.image, (load,))
        if loss.headroom > _MIN_LOSS:
            harm_beside = _lost_jobs(
                expected.step,
                _added_over_target_count(
                    expected, loss, expected.headroom, expected.variance
                ),
                sum(expected.step.over_target_counts.values()),
                job_millicores,
            )
            harm_without_others = _lost_jobs(
                expected.step,
                _added_over_target_count(expected, loss, expected.baseline, 0),
                0,
                job_millicores,
            )
            harm += (
                _PRESENT_LOADS_SHARE * harm_beside
                + (1 - _PRESENT_LOADS_SHARE) * harm_without_others
            )
    return harm


def _added_over_target_count(
    expected: ExpectedHeadroom,
    loss: HeadroomLoss,
    headroom: float,
    variance: float,
) -> float:
    """Return how many more tasks a loss puts over their target."""
    before = over_target_probability(headroom, variance)
    after = over_target_probability(
        headroom - loss.headroom, variance + loss.variance
    )
    return expected.count * max(0, after - before)


def _lost_jobs(
    step: Step,
    added_count: float,
    present_count: float,
    job_millicores: float,
) -> float:
    """Return the harm, in jobs of mean size, of more tasks over their target.

    ``present_count`` tasks are over it already. A large job meets interference
    on more workers, so it counts more than in proportion to its size.
    """
    per_task = _OVER_TARGET_WEIGHT / step.request.count
    lost = min(1, (present_count + added_count) * per_task) - min(
        1, present_count * per_task
    )
    size = step.request.count * step.request.cpu_millicores / job_millicores
    return lost * size * max(1, size)


def _compute_headrooms(
    worker: Worker,
    model: InterferenceModel,
    now_s: float,
) -> tuple[ExpectedHeadroom, ...]:
    loads = [filling_load_of(run, worker) for run in worker.filling_runs()]
    counts: dict[Step, int] = {}
    for run in worker.serving_runs():
        step = run.task.step
        counts[step] = counts.get(step, 0) + 1
    headrooms: list[ExpectedHeadroom] = []
    for step, count in counts.items():
        loss = model.expected_loss(step.request.image, loads)
        baseline = min(
            step.baseline_headroom.forecast(at_s=now_s + _FORECAST_START_S),
            step.baseline_headroom.forecast(at_s=now_s + _FORECAST_END_S),
        )
        headroom = baseline - loss.headroom
        over_target_count = count * over_target_probability(
            headroom, loss.variance
        )
        headrooms.append(
            ExpectedHeadroom(
                step,
                count,
                baseline,
                headroom,
                loss.variance,
                over_target_count,
            ),
        )
    return tuple(headrooms)
