"""Choice of lasting runs to stop so that urgent short tasks find room.

The load answered: lasting tasks reserve nearly all CPU, and short jobs that
could still be on time find no piece that is large enough. Jobs of lasting tasks
say how many of these may be unavailable; one that is stopped starts again some
seconds later, and meanwhile its room serves several short tasks.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from marjoramwharf.scheduling.candidates import Candidate
from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.job_state import Run, RunPhase, Step
from marjoramwharf.scheduling.workload import StepRequest

_FULL_PERCENT = 100

# A lasting run isn't stopped sooner than this after its start.
_MIN_WORK_S = 5.0

# Where no number is stated, one task of a step of at least this many may be
# away.
_MANY_TASKS_COUNT = 8

# Bounds the stops of a call: each costs an order, two writes and a start.
_MAX_VICTIMS_COUNT = 12

# Bounds the time of a search, which comes with each shortage.
_MAX_SHORTAGES_COUNT = 4
_SAMPLE_SIZE = 256
_SAMPLES_PER_S = 5


@dataclass(frozen=True, slots=True)
class Shortage:
    """Urgent short tasks that found no room in the latest pass of the planner.

    ``candidates`` are the workers that they could have run on.
    """

    request: StepRequest
    tasks_count: int
    priority: int
    candidates: Sequence[Candidate]


@dataclass(slots=True)
class _Budget:
    """Tasks of each lasting step that may still be made unavailable."""

    _left: dict[int, int] = field(default_factory=dict)

    def take(self, step: Step) -> bool:
        """Use up one task of a step's budget; return whether there was one."""
        key = id(step)
        if key not in self._left:
            away_count = sum(not _is_at_work(task.runs) for task in step.tasks)
            self._left[key] = _allowed_count(step.request) - away_count
        if self._left[key] <= 0:
            return False
        self._left[key] -= 1
        return True


def choose_victims(
    shortages: Sequence[Shortage],
    freeing_millicores: int,
    *,
    priority_of: Callable[[Run], int],
    now_s: float,
) -> list[Run]:
    """Return the lasting runs to stop for the most urgent shortages.

    Room that stopped runs are about to free counts, so that two calls don't
    stop runs for the same task. Work of a queue that goes before that of the
    short tasks is left alone. In a large fleet a sample of the workers is
    searched, another one at another time.
    """
    freeing = freeing_millicores
    budget = _Budget()
    search = _Search(priority_of, now_s)
    victims: dict[Worker, Run] = {}
    for shortage in shortages[:_MAX_SHORTAGES_COUNT]:
        needed = shortage.tasks_count * shortage.request.cpu_millicores
        missing = max(0, needed - freeing)
        freeing = max(0, freeing - needed)
        if not missing:
            continue
        for worker, run in search.runs_for(shortage):
            is_free = worker not in victims
            if missing > 0 and is_free and budget.take(run.task.step):
                victims[worker] = run
                missing -= _gain_millicores(shortage.request, worker, run)
    return list(victims.values())[:_MAX_VICTIMS_COUNT]


@dataclass(slots=True)
class _Search:
    """The runs that may be stopped, found once for all shortages of a call."""

    priority_of: Callable[[Run], int]
    now_s: float
    _found: dict[int, list[tuple[Worker, Run, int]]] = field(
        default_factory=dict
    )

    def runs_for(self, shortage: Shortage) -> list[tuple[Worker, Run]]:
        """Return the runs whose room would fit a task, cheapest first."""
        key = id(shortage.candidates)
        if key not in self._found:
            self._found[key] = [
                (worker, run, self.priority_of(run))
                for worker in _sample(shortage.candidates, self.now_s)
                for run in worker.runs
                if _may_be_stopped(run, self.now_s)
            ]
        request = shortage.request
        fitting = [
            (worker, run)
            for worker, run, priority in self._found[key]
            if priority >= shortage.priority
            and _gain_millicores(request, worker, run)
        ]
        fitting.sort(key=lambda victim: _cost(request, *victim))
        return fitting


def _sample(candidates: Sequence[Candidate], now_s: float) -> Iterator[Worker]:
    """Return the workers of a part of the candidates that moves with time."""
    first = int(now_s * _SAMPLES_PER_S) * _SAMPLE_SIZE
    for number in range(min(len(candidates), _SAMPLE_SIZE)):
        yield candidates[(first + number) % len(candidates)].worker


def _allowed_count(request: StepRequest) -> int:
    """Return how many lasting tasks of a step may be away at a time.

    A job that states no number still serves its users without one of many.
    """
    if request.max_unavailable_count:
        return request.max_unavailable_count
    return 1 if request.count >= _MANY_TASKS_COUNT else 0


def _may_be_stopped(run: Run, now_s: float) -> bool:
    step = run.step
    if not step.is_lasting or step.is_gang or not _allowed_count(step):
        return False
    if run.phase is not RunPhase.RUNNING or run.percent < _FULL_PERCENT:
        return False
    return run.started_s is not None and now_s - run.started_s > _MIN_WORK_S


def _is_at_work(runs: dict[int, Run]) -> bool:
    return any(
        run.phase is RunPhase.RUNNING and run.percent == _FULL_PERCENT
        for run in runs.values()
    )


def _gain_millicores(request: StepRequest, worker: Worker, run: Run) -> int:
    """Return the CPU of the tasks that fit once a run has left a worker."""
    free = worker.capacity.cpu_millicores - worker.reserved_millicores
    free_mb = worker.capacity.memory_mb - worker.reserved_memory_mb
    if request.memory_mb > free_mb + run.step.memory_mb:
        return 0
    size = max(1, request.cpu_millicores)
    fit_after = (free + run.step.cpu_millicores) // size
    return int((fit_after - max(0, free) // size) * size)


def _cost(request: StepRequest, worker: Worker, run: Run) -> float:
    """Return the CPU that is lost and not gained, less for useless runs.

    A serving run over its latency target is of no use to its callers now.
    """
    lost = run.step.cpu_millicores
    is_over_target = 0 < run.step.target_tail_ms < run.reading
    waste = lost - _gain_millicores(request, worker, run)
    return waste - lost if is_over_target else waste
