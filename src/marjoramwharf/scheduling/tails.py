"""Expected tails of the serving tasks on a worker, and what spoils them."""

from __future__ import annotations

import math
from dataclasses import dataclass

from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.interference import InterferenceModel, Pressure
from marjoramwharf.scheduling.job_state import Run
from marjoramwharf.scheduling.workload import StepRequest

# Steepness of the chance that a tail is over its target: the logarithm of a
# reading scatters around the expected one.
_SCATTER_POWER = 5.0

# Tasks over their target count this many times against their job.
_HARM_WEIGHT = 4

# Tasks of a step of this width count as one task each.
_USUAL_WIDTH = 6

# A weight times a share below this changes no tail.
_LEAST_PUSH = 0.005


@dataclass(frozen=True, slots=True)
class ExpectedTail:
    """A serving image and its expected tail as a share of the target.

    ``weight`` is larger for a task of a wide step: a wide job is spread over
    more workers and is spoilt by trouble on any of them.
    """

    image: str
    share: float
    spoilt: float
    weight: float


def rest_share_of(run: Run, model: InterferenceModel) -> float:
    """Return the undisturbed tail of a serving run, as far as it is known."""
    return run.rest_share or model.rest_share(run.step.image)


def expected_tails(
    worker: Worker,
    model: InterferenceModel,
) -> tuple[ExpectedTail, ...]:
    """Return the tails that the present filling tasks are expected to cause.

    The result is kept until something changes on the worker.
    """
    if worker.tails_version != worker.version:
        worker.tails = _expected_tails(worker, model)
        worker.tails_version = worker.version
    return worker.tails


def harm_of(
    request: StepRequest,
    worker: Worker,
    model: InterferenceModel,
) -> float:
    """Return how many more serving tasks a filling task is expected to spoil.

    What is spoilt already can't be spoilt again, so filling tasks that
    disturb gather on few workers, where they cost least.
    """
    share = request.cpu_millicores / max(1, worker.capacity.cpu_millicores)
    harm: float = 0
    for tail in expected_tails(worker, model):
        push = model.weight(request.image, tail.image) * share
        if push > _LEAST_PUSH:
            spoilt = spoilt_share(tail.share * math.exp(push))
            harm += tail.weight * (spoilt - tail.spoilt)
    return harm


def spoilt_share(tail_share: float) -> float:
    """Return the share of a serving task's use that is lost.

    The chance that a tail is over its target rises smoothly with the expected
    tail. A task over its target counts several times, so a job is worth
    nothing once a fraction of its tasks are.
    """
    chance = 1 / (1 + math.pow(tail_share, -_SCATTER_POWER))
    return min(1, _HARM_WEIGHT * chance)


def _expected_tails(
    worker: Worker,
    model: InterferenceModel,
) -> tuple[ExpectedTail, ...]:
    whole = max(1, worker.capacity.cpu_millicores)
    pressures = [
        Pressure(run.step.image, run.step.cpu_millicores / whole)
        for run in worker.filling_runs()
    ]
    factors: dict[str, float] = {}
    tails: list[ExpectedTail] = []
    for run in worker.serving_runs():
        image = run.step.image
        if image not in factors:
            factors[image] = model.tail_factor(image, pressures)
        share = rest_share_of(run, model) * factors[image]
        weight = math.sqrt(run.step.count / _USUAL_WIDTH)
        tails.append(ExpectedTail(image, share, spoilt_share(share), weight))
    return tuple(tails)
