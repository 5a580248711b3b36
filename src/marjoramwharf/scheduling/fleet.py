"""The workers of a cell as its owner sees them, and the runs placed there."""

from __future__ import annotations

import enum
import math
from collections import Counter
from collections.abc import Iterator
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from marjoramwharf.ids import DataCentreId, WorkerId
from marjoramwharf.scheduling.job_state import Run, Step
from marjoramwharf.scheduling.worker_speed import WorkerSpeed
from marjoramwharf.scheduling.workload import StepRequest

if TYPE_CHECKING:
    from marjoramwharf.scheduling.headroom import ExpectedHeadroom

# Factor by which the weight of an outcome of a run decays in one second.
# Refused starts count for this long after the latest one. Many other workers
# may have to be tried meanwhile.
_REFUSALS_KEPT_S = 20.0

_OUTCOME_DECAY_PER_S = 0.85

# A worker gets no new runs while its failure weight is above this weight and
# above this multiple of its success weight.
_QUARANTINE_FAILURE_WEIGHT = 2.2
_QUARANTINE_FAILURE_RATIO = 2.0

# Bounds the time until a worker that failed every run is tried again: its
# capacity may be needed, and two more failures quarantine it again.
_MAX_FAILURE_WEIGHT = 4.0


@enum.unique
class WorkerState(enum.Enum):
    """State by a worker's latest listing.

    It is usable or about to leave, or the listing can't be read any more.
    """

    READY = 'ready'
    DRAINING = 'draining'
    UNREADABLE = 'unreadable'


@dataclass(frozen=True, slots=True)
class Resources:
    """CPU in millicores, memory in MB, and a number of accelerators."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators_count: int = 0


@dataclass(frozen=True, slots=True)
class WorkerListing:
    """A worker as the platform's list describes it.

    ``born_ms`` is the wall-clock time of its start and tells its incarnations
    apart. ``labels`` hold its kind and, as the last one, its rack.
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
    """A worker and the runs that reserve its capacity.

    The platform's list drops a worker that can't renew its ``listing``, so one
    that ``is_listed`` no more may be at work; its answers tell.
    ``is_reachable`` tells whether the latest poll of the worker was answered,
    ``reported_at_s`` when its latest report was made, and ``born_ms`` which
    incarnation answered (0: none yet). No run is placed there before
    ``blocked_until_s``, and preferably none before ``suspect_until_s``. It has
    refused ``refusals_count`` starts in a row, the latest at ``refused_at_s``.
    ``failure_weight`` and ``success_weight`` are the numbers of runs that
    failed and that were done there, decayed over time. A draining worker may
    be gone from ``leaves_at_s`` on. While the worker ``is_filling_paused``, its
    filling runs may be slowed or paused and none is added. ``headrooms``, their
    key and ``harms`` (by the image and the millicores of a task) are a cache of
    :mod:`scheduling.headroom`, which a new ``version`` invalidates. ``speed`` is
    compared with that of other workers by the runs that ended there. The owner
    saw the latest version of the listing, ``listing_revision`` of the store, at
    ``listed_at_s``, and that there is none any more at ``unlisted_at_s``. The
    worker ``is_replaced`` once another one has answered at its address, until it
    answers again; that other one may be known by its id. One that
    ``refuses_overload`` starts nothing beyond its capacity. The next owner isn't
    told of one that ``is_left_out``. Times in seconds are those of the boot
    clock.
    """

    listing: WorkerListing
    is_listed: bool = True
    is_reachable: bool = False
    born_ms: int = 0
    blocked_until_s: float = 0
    suspect_until_s: float = 0
    refusals_count: int = 0
    refused_at_s: float = 0
    failure_weight: float = 0
    success_weight: float = 0
    outcome_recorded_at_s: float = 0
    leaves_at_s: float = 0
    reported_at_s: float = 0
    reserved_millicores: int = 0
    reserved_memory_mb: int = 0
    reserved_accelerators_count: int = 0
    filling_millicores: int = 0
    serving_millicores: int = 0
    serving_count: int = 0
    is_filling_paused: bool = False
    listing_revision: int = 0
    listed_at_s: float = 0
    unlisted_at_s: float = 0
    is_replaced: bool = False
    is_replacement_known: bool = False
    refuses_overload: bool = False
    is_left_out: bool = False
    version: int = 0
    headrooms_key: tuple[int, int] = (-1, -1)
    headrooms: tuple[ExpectedHeadroom, ...] = ()
    harms: dict[tuple[str, int], float] = field(default_factory=dict)
    speed: WorkerSpeed = field(default_factory=WorkerSpeed)
    runs: set[Run] = field(default_factory=set)
    step_counts: Counter[int] = field(default_factory=Counter)
    serving_millicores_by_image: Counter[str] = field(default_factory=Counter)

    @property
    def worker_id(self) -> WorkerId:
        """The id under which the worker is listed."""
        return self.listing.worker_id

    @property
    def capacity(self) -> Resources:
        """All resources of the worker, free or not."""
        return self.listing.capacity

    def add(self, run: Run) -> None:
        """Reserve the resources of a run."""
        if run not in self.runs:
            self.runs.add(run)
            self._adjust_reserved(run, 1)

    def remove(self, run: Run) -> None:
        """Release the resources of a run."""
        if run in self.runs:
            self.runs.discard(run)
            self._adjust_reserved(run, -1)

    def runs_count_of(self, step: Step) -> int:
        """Return how many runs of a step are placed on this worker."""
        return self.step_counts[id(step)]

    def record_outcome(self, *, has_failed: bool, now_s: float) -> None:
        """Count a run that failed or was done in the decayed weights."""
        decay = self._decay_factor(now_s)
        failures = self.failure_weight * decay + has_failed
        self.failure_weight = min(failures, _MAX_FAILURE_WEIGHT)
        self.success_weight = self.success_weight * decay + (not has_failed)
        self.outcome_recorded_at_s = now_s

    def failure_weight_at(self, now_s: float) -> float:
        """Return the failure weight, decayed until a time."""
        return self.failure_weight * self._decay_factor(now_s)

    def is_quarantined(self, now_s: float) -> bool:
        """Whether recent failures keep new runs off this worker."""
        if self.failure_weight <= _QUARANTINE_FAILURE_WEIGHT:
            return False
        failures = self.failure_weight_at(now_s)
        successes = self.success_weight * self._decay_factor(now_s)
        return (
            failures > _QUARANTINE_FAILURE_WEIGHT
            and failures > _QUARANTINE_FAILURE_RATIO * successes
        )

    @property
    def is_listing_current(self) -> bool:
        """Whether the listing is that of the incarnation that answered.

        The capacity and the labels of another one may differ. A listing
        without a start time counts as current.
        """
        is_known = self.listing.born_ms and self.born_ms
        return not is_known or self.listing.born_ms == self.born_ms

    def record_listing(self, revision: int, *, now_s: float) -> None:
        """Record when the store first showed this version of the listing.

        A whole read of the list shows versions again that are known already.
        """
        if revision != self.listing_revision:
            self.listing_revision = revision
            self.listed_at_s = now_s

    def record_refusal(self, *, now_s: float) -> None:
        """Count a refused start; one of long ago doesn't count any more."""
        self.refusals_count = self.refusals_in_a_row(now_s) + 1
        self.refused_at_s = now_s

    def refusals_in_a_row(self, now_s: float) -> int:
        """Return how many starts in a row were refused here lately."""
        is_recent = now_s - self.refused_at_s < _REFUSALS_KEPT_S
        return self.refusals_count if is_recent else 0

    def block_until(self, until_s: float) -> None:
        """Place no run here before a time, nor earlier than before."""
        self.blocked_until_s = max(self.blocked_until_s, until_s)

    @property
    def is_listing_awaited(self) -> bool:
        """Whether the incarnation that answers has to list itself first.

        One that the list has dropped may be cut off from it, so it isn't waited
        for where it refuses what its own capacity doesn't hold.
        """
        if self.is_listing_current:
            return False
        return self.is_listed or not self.refuses_overload

    @property
    def is_present(self) -> bool:
        """Whether the worker is listed or answers."""
        return self.is_listed or self.is_reachable

    @property
    def certain_labels(self) -> tuple[str, ...]:
        """The labels that hold for the incarnation that answered.

        Another one may be of another kind; its rack stays the same.
        """
        labels = self.listing.labels
        return labels if self.is_listing_current else labels[-1:]

    def is_usable(self, now_s: float) -> bool:
        """Whether the worker takes new runs at all, whatever their size."""
        is_ready = self.listing.state is WorkerState.READY
        if not is_ready or self.is_listing_awaited:
            return False
        return (
            self.is_reachable
            and self.blocked_until_s <= now_s
            and not self.is_quarantined(now_s)
        )

    def has_resources_for(self, step: StepRequest) -> bool:
        """Whether the free resources suffice for a task of a step.

        Filling tasks reserve no CPU, but none is added while they are paused.
        """
        capacity = self.listing.capacity
        if step.fills:
            if self.is_filling_paused:
                return False
        elif step.cpu_millicores > (
            capacity.cpu_millicores - self.reserved_millicores
        ):
            return False
        if step.memory_mb > capacity.memory_mb - self.reserved_memory_mb:
            return False
        return step.accelerators_count <= (
            capacity.accelerators_count - self.reserved_accelerators_count
        )

    def fitting_count(self, step: StepRequest) -> int:
        """Return how many tasks of a step the free resources suffice for."""
        capacity = self.listing.capacity
        free_and_needed = (
            (capacity.memory_mb - self.reserved_memory_mb, step.memory_mb),
            (
                capacity.accelerators_count - self.reserved_accelerators_count,
                step.accelerators_count,
            ),
            (
                capacity.cpu_millicores - self.reserved_millicores,
                0 if step.fills else step.cpu_millicores,
            ),
        )
        counts = [
            max(0, free) // needed for free, needed in free_and_needed if needed
        ]
        return min(counts, default=step.count)

    def could_ever_run(self, step: StepRequest) -> bool:
        """Whether this worker, if it were empty, could run a task of a step."""
        capacity = self.capacity
        label = step.required_label
        if label and label not in self.certain_labels:
            return False
        return (
            step.memory_mb <= capacity.memory_mb
            and step.accelerators_count <= capacity.accelerators_count
            and (step.fills or step.cpu_millicores <= capacity.cpu_millicores)
        )

    def serving_runs(self) -> Iterator[Run]:
        """Return the runs that have a target for their tail latency."""
        return (run for run in self.runs if run.step.target_tail_ms)

    def filling_runs(self) -> Iterator[Run]:
        """Return the runs that use the CPU that the others leave unused."""
        return (run for run in self.runs if run.step.fills)

    def _decay_factor(self, now_s: float) -> float:
        passed_s = max(0, now_s - self.outcome_recorded_at_s)
        return math.pow(_OUTCOME_DECAY_PER_S, passed_s)

    def mark_changed(self) -> None:
        """Increment the version after a change of readings or runs."""
        self.version += 1

    def _adjust_reserved(self, run: Run, sign: int) -> None:
        """Add the resources of a run (sign 1), or subtract them (-1)."""
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
            self.serving_millicores_by_image[step.image] += (
                sign * step.cpu_millicores
            )
            self.serving_count += sign
        self._adjust_step_count(run, sign)

    def _adjust_step_count(self, run: Run, sign: int) -> None:
        key = id(run.task.step)
        self.step_counts[key] += sign
        if not self.step_counts[key]:
            self.step_counts.pop(key)


@dataclass(slots=True)
class Fleet:
    """The workers of a cell by id.

    The workers of ``evacuated`` data centres get no new runs.
    """

    workers: dict[WorkerId, Worker] = field(default_factory=dict)
    evacuated: AbstractSet[DataCentreId] = frozenset()

    def workers_of(self, service: str) -> list[Worker]:
        """Return the workers of a service, in no special order."""
        return [
            worker
            for worker in self.workers.values()
            if worker.listing.service == service
        ]

    def usable_workers_of(self, service: str, now_s: float) -> list[Worker]:
        """Return the workers of a service that take new runs now."""
        return [
            worker
            for worker in self.workers_of(service)
            if worker.is_usable(now_s) and not self.is_evacuated(worker)
        ]

    def is_evacuated(self, worker: Worker) -> bool:
        """Whether a worker is in an evacuated data centre."""
        return worker.listing.data_centre in self.evacuated

    def reserve(self, run: Run) -> None:
        """Reserve the resources of a run on its worker, if that is tracked."""
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            worker.add(run)

    def release(self, run: Run) -> None:
        """Release the resources of a run on its worker, if that is tracked."""
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            worker.remove(run)
