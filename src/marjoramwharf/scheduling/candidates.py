"""The workers that may get new runs in one pass of the planner.

What doesn't depend on the task is worked out once for all steps of the pass:
which workers take runs at all, and what their recent trouble costs.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from marjoramwharf.ids import WorkerId
from marjoramwharf.scheduling.fleet import Fleet, Worker
from marjoramwharf.scheduling.job_state import Step
from marjoramwharf.scheduling.workload import StepRequest

# Costs in units of one whole worker in use, as in :mod:`scheduling.placement`.
_FAILURE_COST = 1.5  # for each recent failure there (decayed)
_SUSPECT_COST = 3.0  # a run recently hung or was slow there

# For the second refused start in a row; doubled with each further one, up to a
# cost that outweighs all others. Otherwise a task goes round the cheap workers
# that refuse it and never gets to another one.
_SECOND_REFUSAL_COST = 1.0
_MAX_REFUSAL_DOUBLINGS_COUNT = 6

# In a fleet with more workers, a sample of this size is searched first.
_SAMPLE_SIZE = 512

# Below this share of the CPU in use a service counts as idle.
_IDLE_USE_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that takes new runs, and the cost of its recent trouble."""

    worker: Worker
    trouble_cost: float


@dataclass(slots=True)
class CandidatePool:
    """The candidates of each service at ``now_s``.

    Reservations made meanwhile are seen, as they are kept by the workers.
    """

    fleet: Fleet
    now_s: float
    _by_service: dict[str, list[Candidate]] = field(default_factory=dict)
    _idle_services: dict[str, bool] = field(default_factory=dict)

    def of_service(self, service: str) -> list[Candidate]:
        """Return the candidates of a service, in no special order."""
        found = self._by_service.get(service)
        if found is None:
            found = [
                Candidate(worker, _trouble_cost(worker, self.now_s))
                for worker in self.fleet.usable_workers_of(service, self.now_s)
            ]
            self._by_service[service] = found
        return found

    def is_idle(self, service: str) -> bool:
        """Whether much of a service's CPU is neither reserved nor in use."""
        found = self._idle_services.get(service)
        if found is None:
            found = _is_idle(self.fleet.workers_of(service))
            self._idle_services[service] = found
        return found


def search_parts(
    step: Step, candidates: Sequence[Candidate]
) -> Iterator[Sequence[Candidate]]:
    """Return the candidates to search for a step, one part after the other.

    In a large fleet a sample of the candidates holds about as good a worker as
    all of them, at a cost that doesn't grow with the fleet. The others are
    searched only if the sample has no room left. A step that few workers suit
    is offered all at once. The sample differs between jobs and is the same in
    each pass.
    """
    if len(candidates) <= _SAMPLE_SIZE or _suits_few_workers(step.request):
        yield candidates
        return
    job_id = step.occurrence.job.job_id
    first = zlib.crc32(job_id.encode()) % len(candidates)
    rotated = [*candidates[first:], *candidates[:first]]
    yield rotated[:_SAMPLE_SIZE]
    yield rotated[_SAMPLE_SIZE:]


def _suits_few_workers(request: StepRequest) -> bool:
    return bool(
        request.data_rack
        or request.required_label
        or request.needs_one_rack
        or request.per_worker_limit
    )


def without(
    candidates: Iterable[Candidate], worker_ids: frozenset[WorkerId]
) -> list[Candidate]:
    """Return the candidates that are none of these workers."""
    return [
        candidate
        for candidate in candidates
        if candidate.worker.worker_id not in worker_ids
    ]


def _trouble_cost(worker: Worker, now_s: float) -> float:
    cost = _FAILURE_COST * worker.failure_weight_at(now_s)
    cost += _refusals_cost(worker.refusals_in_a_row(now_s))
    return cost + _SUSPECT_COST if worker.suspect_until_s > now_s else cost


def _refusals_cost(refusals_count: int) -> float:
    """Return the cost of a worker that refused starts in a row."""
    if refusals_count < 2:
        return 0
    doublings_count = min(refusals_count - 2, _MAX_REFUSAL_DOUBLINGS_COUNT)
    return _SECOND_REFUSAL_COST * 2.0**doublings_count


def _is_idle(workers: Iterable[Worker]) -> bool:
    used = 0
    whole = 0
    for worker in workers:
        used += min(
            worker.reserved_millicores + worker.filling_millicores,
            worker.capacity.cpu_millicores,
        )
        whole += worker.capacity.cpu_millicores
    return used < _IDLE_USE_SHARE * whole
