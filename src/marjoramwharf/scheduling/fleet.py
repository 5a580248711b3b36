"""The workers of a cell, as its owner sees them, and what is placed on them."""

from __future__ import annotations

import enum
import math
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from marjoramwharf.ids import DataCentreId, WorkerId
from marjoramwharf.scheduling.job_state import Run, Step
from marjoramwharf.scheduling.workload import StepRequest

if TYPE_CHECKING:
    from marjoramwharf.scheduling.headroom import ExpectedHeadroom

# Share of its weight that the outcome of a run keeps after one second.
_OUTCOME_DECAY_PER_S = 0.85

# Nothing is placed on a worker with more failures than this, and this many
# times more failures than successes.
_QUARANTINE_WEIGHT = 2.2
_QUARANTINE_RATIO = 2.0

# Bounds the time until a worker that failed everything is tried again: its
# room may be needed, and two failures close it anew.
_LARGEST_FAILURE_WEIGHT = 4.0


@enum.unique
class WorkerState(enum.Enum):
    """What the platform's list says of a worker."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class Resources:
    """Processors in thousandths, memory in MB, and accelerators."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators_count: int = 0


@dataclass(frozen=True, slots=True)
class WorkerListing:
    """One worker of the platform's list.

    ``born_ms`` is the wall-clock time of its start and tells its incarnations
    apart. ``labels`` hold its kind and its rack; ``rack`` is the last one.
    ``remaining_ms`` is the least time that a draining worker has left.
    """

    worker_id: WorkerId
    service: str
    host: str
    port: int
    data_centre: DataCentreId
    state: WorkerState
    capacity: Resources
    labels: tuple[str, ...]
    born_ms: int = 0
    remaining_ms: int | None = None
    machine: str = ''

    @property
    def rack(self) -> str:
        """The rack of the worker, empty if it names none."""
        return self.labels[-1] if self.labels else ''


@dataclass(slots=True, eq=False)
class Worker:
    """A worker with the runs that count against its room.

    ``is_reachable`` says whether its latest look was answered. Nothing new is
    placed before ``not_before_s``. ``failure_weight`` and ``success_weight``
    are the decayed numbers of runs that failed and that were done there. A
    draining worker may be gone from ``leaves_s`` on. The latest look was at
    ``polled_s``. While the worker ``is_filling_paused``, what fills there is
    held back and nothing that fills is added. ``headrooms`` and their key are
    kept by :mod:`scheduling.headroom`.
    """

    listing: WorkerListing
    is_reachable: bool = False
    born_ms: int = 0
    not_before_s: float = 0
    suspect_until_s: float = 0
    failure_weight: float = 0
    success_weight: float = 0
    outcome_recorded_s: float = 0
    leaves_s: float = 0
    polled_s: float = 0
    reserved_millicores: int = 0
    reserved_memory_mb: int = 0
    reserved_accelerators_count: int = 0
    filling_millicores: int = 0
    serving_millicores: int = 0
    is_filling_paused: bool = False
    version: int = 0
    headrooms_key: tuple[int, int] = (-1, -1)
    headrooms: tuple[ExpectedHeadroom, ...] = ()
    runs: set[Run] = field(default_factory=set)
    step_counts: Counter[int] = field(default_factory=Counter)

    @property
    def worker_id(self) -> WorkerId:
        """The id under which the worker is listed."""
        return self.listing.worker_id

    @property
    def capacity(self) -> Resources:
        """The whole room of the worker."""
        return self.listing.capacity

    def add(self, run: Run) -> None:
        """Count a run against the worker's room."""
        if run not in self.runs:
            self.runs.add(run)
            self._count(run, 1)

    def remove(self, run: Run) -> None:
        """Free the room of a run."""
        if run in self.runs:
            self.runs.discard(run)
            self._count(run, -1)

    def runs_count_of(self, step: Step) -> int:
        """Return how many runs of a step count against this worker."""
        return self.step_counts[id(step)]

    def record_outcome(self, *, has_failed: bool, now_s: float) -> None:
        """Count a run that failed, or one that was done, on this worker."""
        decay = self._decay(now_s)
        failures = self.failure_weight * decay + has_failed
        self.failure_weight = min(failures, _LARGEST_FAILURE_WEIGHT)
        self.success_weight = self.success_weight * decay + (not has_failed)
        self.outcome_recorded_s = now_s

    def failure_weight_at(self, now_s: float) -> float:
        """Return the decayed number of failures."""
        return self.failure_weight * self._decay(now_s)

    def is_quarantined(self, now_s: float) -> bool:
        """Whether nearly everything has failed here lately."""
        failures = self.failure_weight_at(now_s)
        successes = self.success_weight * self._decay(now_s)
        return (
            failures > _QUARANTINE_WEIGHT
            and failures > _QUARANTINE_RATIO * successes
        )

    def is_usable(self, now_s: float) -> bool:
        """Whether new runs may be placed here."""
        return (
            self.listing.state is WorkerState.READY
            and self.is_reachable
            and self.not_before_s <= now_s
            and not self.is_quarantined(now_s)
        )

    def has_resources_for(self, step: StepRequest) -> bool:
        """Whether a task of a step fits beside what is placed here."""
        free_memory = self.capacity.memory_mb - self.reserved_memory_mb
        free_accelerators = (
            self.capacity.accelerators_count - self.reserved_accelerators_count
        )
        if step.memory_mb > free_memory:
            return False
        if step.accelerators_count > free_accelerators:
            return False
        if step.fills:
            return not self.is_filling_paused
        return step.cpu_millicores <= (
            self.capacity.cpu_millicores - self.reserved_millicores
        )

    def could_ever_run(self, step: StepRequest) -> bool:
        """Whether an empty worker of this kind could run a task of a step."""
        room = self.capacity
        if step.required_label and step.required_label not in (
            self.listing.labels
        ):
            return False
        return (
            step.memory_mb <= room.memory_mb
            and step.accelerators_count <= room.accelerators_count
            and (step.fills or step.cpu_millicores <= room.cpu_millicores)
        )

    def serving_runs(self) -> Iterator[Run]:
        """Return the runs with a tail latency to keep."""
        return (run for run in self.runs if run.step.target_tail_ms)

    def filling_runs(self) -> Iterator[Run]:
        """Return the runs that take what the others leave unused."""
        return (run for run in self.runs if run.step.fills)

    def _decay(self, now_s: float) -> float:
        passed_s = max(0, now_s - self.outcome_recorded_s)
        return math.pow(_OUTCOME_DECAY_PER_S, passed_s)

    def mark_changed(self) -> None:
        """Note that readings or runs have changed."""
        self.version += 1

    def _count(self, run: Run, sign: int) -> None:
        self.mark_changed()
        step = run.step
        self.reserved_memory_mb += sign * step.memory_mb
        self.reserved_accelerators_count += sign * step.accelerators_count
        if step.fills:
            self.filling_millicores += sign * step.cpu_millicores
        else:
            self.reserved_millicores += sign * step.cpu_millicores
        if step.target_tail_ms:
            self.serving_millicores += sign * step.cpu_millicores
        self._count_step(run, sign)

    def _count_step(self, run: Run, sign: int) -> None:
        key = id(run.task.step)
        self.step_counts[key] += sign
        if not self.step_counts[key]:
            self.step_counts.pop(key)


@dataclass(slots=True)
class Fleet:
    """The workers of a cell by id."""

    workers: dict[WorkerId, Worker] = field(default_factory=dict)

    def workers_of(self, service: str) -> list[Worker]:
        """Return the workers of a service, in no special order."""
        return [
            worker
            for worker in self.workers.values()
            if worker.listing.service == service
        ]

    def reserve(self, run: Run) -> None:
        """Count a run against its worker, if that is known."""
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            worker.add(run)

    def release(self, run: Run) -> None:
        """Free what a run held."""
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            worker.remove(run)
