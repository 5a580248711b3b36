"""Expected headroom of the serving tasks on a worker, and what spoils them.

Load answered: filling tasks that can only go beside serving ones. Places are
compared by how many serving jobs a task is expected to spoil there.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.interference import (
    InterferenceModel,
    HeadroomLoss,
    FillingLoad,
)
from marjoramwharf.scheduling.job_state import Run, Step
from marjoramwharf.scheduling.workload import StepRequest

_FULL_PERCENT = 100

# A filling task works for a second or two, so the forecast has to hold from
# soon after its start until then.
_SOON_S = 0.4
_LATER_S = 1.4

# Expectations are kept for so long.
_KEPT_PER_S = 4

# Variance of a headroom besides that of what disturbs it, and the ratio of
# the scale of the logistic distribution to a standard deviation.
_OWN_VARIANCE = 0.06
_LOGISTIC_SCALE = 0.55

# Tasks over their target count this many times against their job.
_HARM_WEIGHT = 4

# The part of its time that a filling task is expected to spend beside the
# present ones.
_BESIDE_SHARE = 0.5

# A loss of headroom below this spoils nothing.
_LEAST_LOSS = 0.03


@dataclass(frozen=True, slots=True)
class ExpectedHeadroom:
    """What is expected of the tasks of one serving step on a worker.

    ``baseline`` is the headroom without, and ``headroom`` that with the present
    filling tasks, with which ``over_target_count`` of the ``count`` tasks are
    expected to be over their target.
    """

    step: Step
    count: int
    baseline: float
    headroom: float
    variance: float
    over_target_count: float


def filling_load_of(run: Run, worker: Worker) -> FillingLoad:
    """Return the share of a worker that a filling run takes at its pace."""
    share = cpu_share_of(run, worker, run.pace_percent)
    return FillingLoad(run.step.image, share)


def cpu_share_of(run: Run, worker: Worker, percent: int) -> float:
    """Return the share of a worker that a run takes at a pace."""
    whole = max(1, worker.capacity.cpu_millicores)
    return run.step.cpu_millicores / whole * percent / _FULL_PERCENT


def over_target_probability(headroom: float, variance: float) -> float:
    """Return the chance that a task of this headroom is over its target."""
    scale = _LOGISTIC_SCALE * math.sqrt(_OWN_VARIANCE + variance)
    return 1 / (1 + math.exp(min(50, (headroom - 1) / scale)))


def expected_headrooms(
    worker: Worker,
    model: InterferenceModel,
    *,
    now_s: float,
) -> tuple[ExpectedHeadroom, ...]:
    """Return the headrooms beside the present filling tasks.

    The result is kept for a moment, or until something changes there.
    """
    key = (worker.version, int(now_s * _KEPT_PER_S))
    if worker.headrooms_key != key:
        for old in worker.headrooms:
            old.step.over_target_counts.pop(worker.worker_id, None)
        worker.headrooms = _expected_headrooms(worker, model, now_s)
        worker.headrooms_key = key
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
    """Return how many serving jobs a filling task is expected to spoil.

    A job is worth nothing once a fraction of its tasks are over their target,
    so what disturbs costs least where jobs are spoilt already. That only holds
    until the present filling tasks end, so it counts for a part. ``job_millicores``
    is the size of a usual serving job in millicores.
    """
    share = request.cpu_millicores / max(1, worker.capacity.cpu_millicores)
    pressure = FillingLoad(request.image, share)
    harm: float = 0
    for known in expected_headrooms(worker, model, now_s=now_s):
        loss = model.expected_loss(known.step.request.image, (pressure,))
        if loss.headroom > _LEAST_LOSS:
            beside = _worth_lost(
                known.step,
                _more_spoilt(known, loss, known.headroom, known.variance),
                sum(known.step.over_target_counts.values()),
                job_millicores,
            )
            alone = _worth_lost(
                known.step,
                _more_spoilt(known, loss, known.baseline, 0),
                0,
                job_millicores,
            )
            harm += _BESIDE_SHARE * beside + (1 - _BESIDE_SHARE) * alone
    return harm


def _more_spoilt(
    known: ExpectedHeadroom,
    loss: HeadroomLoss,
    headroom: float,
    variance: float,
) -> float:
    """Return how many more tasks a loss of headroom is expected to spoil."""
    before = over_target_probability(headroom, variance)
    after = over_target_probability(
        headroom - loss.headroom, variance + loss.variance
    )
    return known.count * max(0, after - before)


def _worth_lost(
    step: Step,
    more: float,
    before: float,
    job_millicores: float,
) -> float:
    """Return the part of a usual job that more spoilt tasks cost.

    A large job meets disturbance on more workers, so it counts more than in
    proportion to its size.
    """
    per_task = _HARM_WEIGHT / step.request.count
    lost = min(1, (before + more) * per_task) - min(1, before * per_task)
    size = step.request.count * step.request.cpu_millicores / job_millicores
    return lost * size * max(1, size)


def _expected_headrooms(
    worker: Worker,
    model: InterferenceModel,
    now_s: float,
) -> tuple[ExpectedHeadroom, ...]:
    pressures = [filling_load_of(run, worker) for run in worker.filling_runs()]
    counts: dict[Step, int] = {}
    for run in worker.serving_runs():
        step = run.task.step
        counts[step] = counts.get(step, 0) + 1
    found: list[ExpectedHeadroom] = []
    for step, count in counts.items():
        loss = model.expected_loss(step.request.image, pressures)
        baseline = min(
            step.baseline_headroom.forecast(at_s=now_s + _SOON_S),
            step.baseline_headroom.forecast(at_s=now_s + _LATER_S),
        )
        headroom = baseline - loss.headroom
        over_target_count = count * over_target_probability(
            headroom, loss.variance
        )
        found.append(
            ExpectedHeadroom(
                step,
                count,
                baseline,
                headroom,
                loss.variance,
                over_target_count,
            ),
        )
    return tuple(found)
