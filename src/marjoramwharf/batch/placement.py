"""Index of workers by free capacity, which places single tasks.

Each placement scores a bounded sample of workers, so that its cost does not
grow with their number. Workers are kept in buckets by free accelerators and
free CPU (powers of two); a bucket is a list with constant-time insertion,
removal and random choice. Sampling starts with the smallest bucket that can
hold the task, so that large gaps stay free for large tasks.
"""

from __future__ import annotations

import enum
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field

from marjoramwharf.ids import RackId, TaskId, WorkerId
from marjoramwharf.machines.calls import Demand
from marjoramwharf.machines.worker import Worker

# Limits of one placement: workers scored in total, and workers examined in
# each bucket. A worker that fits can be missed when most workers of its bucket
# lack memory; the next placement draws another sample.
_MAX_SCORED_COUNT = 16
_MAX_PROBES_PER_BUCKET_COUNT = 64

# Weights of the score's terms next to the penalty, which has weight 1: a rack
# with all tasks of the job costs 0.5, an empty worker at most 0.25.
_RACK_WEIGHT = 0.5
_FIT_WEIGHT = 0.25


@enum.unique
class NoFit(enum.Enum):
    """Why no worker was found for a task."""

    FULL = 'full'
    TOO_LARGE = 'too_large'


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A task to place; tasks with the same ``job`` are spread over racks.

    No worker in ``avoid_racks`` or ``avoid_workers`` is ever chosen.
    ``task_class`` selects the interference penalty.
    """

    task_id: TaskId
    job: str
    demand: Demand
    task_class: str
    avoid_racks: Collection[RackId] = ()
    avoid_workers: Collection[WorkerId] = ()


@dataclass(slots=True)
class _IndexedWorker:
    """A worker with its free and total capacity, its bucket and its tasks.

    It takes no tasks before ``excluded_until_s``.
    """

    worker: Worker
    free: Demand
    total: Demand
    bucket: tuple[int, int] = (-1, -1)
    position: int = -1
    excluded_until_s: float = 0
    tasks: dict[TaskId, tuple[Demand, str]] = field(default_factory=dict)


class PlacementIndex:
    """Workers of one capacity owner, with the tasks placed on them.

    ``penalty`` returns the interference expected from a task class on a worker
    at a time; 0 means none.
    """

    def __init__(
        self,
        penalty: Callable[[WorkerId, str, float], float],
        *,
        seed: int = 0,
    ) -> None:
        """Create an empty index; the seed makes the samples repeatable."""
        self._penalty = penalty
        self._random = random.Random(seed)
        self._workers: dict[WorkerId, _IndexedWorker] = {}
        self._buckets: dict[tuple[int, int], list[_IndexedWorker]] = {}
        self._capacity_counts: Counter[Demand] = Counter()
        self._job_racks: dict[str, Counter[RackId]] = {}

    def add(self, worker: Worker, reserved: Demand) -> None:
        """Add a worker, or replace it; ``reserved`` stays free for services."""
        capacity = worker.capacity
        free = Demand(
            capacity.cpu_millicores - reserved.cpu_millicores,
            capacity.memory_mb - reserved.memory_mb,
            capacity.accelerators_count - reserved.accelerators_count,
        )
        self.remove(worker.worker_id)
        indexed = _IndexedWorker(worker, free, total=free)
        self._capacity_counts[free] += 1
        self._workers[worker.worker_id] = indexed
        self._add_to_bucket(indexed)

    def remove(self, worker_id: WorkerId) -> None:
        """Remove a worker and the tasks placed on it."""
        indexed = self._workers.get(worker_id)
        if indexed is None:
            return
        for task_id in tuple(indexed.tasks):
            self.free(worker_id, task_id)
        self._workers.pop(worker_id)
        self._remove_from_bucket(indexed)
        self._capacity_counts[indexed.total] -= 1
        if not self._capacity_counts[indexed.total]:
            self._capacity_counts.pop(indexed.total)

    def exclude(self, worker_id: WorkerId, until_s: float) -> None:
        """Exclude a worker from new placements until a time."""
        indexed = self._workers.get(worker_id)
        if indexed is not None:
            indexed.excluded_until_s = until_s

    def place(
        self,
        request: PlacementRequest,
        now_s: float,
    ) -> WorkerId | NoFit:
        """Choose a worker and charge the task to it, or tell why none fits."""
        best: _IndexedWorker | None = None
        best_score = float('inf')
        for indexed in self._sample_eligible(request, now_s):
            score = self._score(indexed, request, now_s)
            if score < best_score:
                best = indexed
                best_score = score
        if best is None:
            return self._explain_no_fit(request.demand)
        self._charge(best, request.task_id, request.demand, request.job)
        return best.worker.worker_id

    def hold(
        self,
        worker_id: WorkerId,
        task_id: TaskId,
        demand: Demand,
        job: str,
    ) -> None:
        """Charge a running task to a worker; free capacity may go below 0."""
        indexed = self._workers.get(worker_id)
        if indexed is not None:
            self.free(worker_id, task_id)
            self._charge(indexed, task_id, demand, job)

    def free(self, worker_id: WorkerId, task_id: TaskId) -> None:
        """Free the capacity that a task holds; a repeat has no effect."""
        indexed = self._workers.get(worker_id)
        removed = None if indexed is None else indexed.tasks.pop(task_id, None)
        if indexed is None or removed is None:
            return
        demand, job = removed
        indexed.free = _add_scaled(indexed.free, demand, 1)
        racks = self._job_racks[job]
        racks[indexed.worker.rack] -= 1
        if not racks.total():
            self._job_racks.pop(job)
        self._move_to_bucket(indexed)

    def free_capacity(self, worker_id: WorkerId) -> Demand | None:
        """Return the free capacity of a worker, ``None`` if it is unknown."""
        indexed = self._workers.get(worker_id)
        return None if indexed is None else indexed.free

    def _sample_eligible(
        self,
        request: PlacementRequest,
        now_s: float,
    ) -> Iterator[_IndexedWorker]:
        yielded_count = 0
        for indexed in self._probe_buckets(request.demand):
            if _is_eligible(indexed, request, now_s):
                yielded_count += 1
                yield indexed
            if yielded_count == _MAX_SCORED_COUNT:
                return

    def _probe_buckets(self, demand: Demand) -> Iterator[_IndexedWorker]:
        """Yield workers from each bucket that may fit, small gaps first."""
        smallest = _bucket_of(demand)
        for bucket in sorted(self._buckets):
            if bucket[0] < smallest[0] or bucket[1] < smallest[1]:
                continue
            members = self._buckets[bucket]
            count = min(_MAX_PROBES_PER_BUCKET_COUNT, len(members))
            yield from self._random.sample(members, count)

    def _score(
        self,
        indexed: _IndexedWorker,
        request: PlacementRequest,
        now_s: float,
    ) -> float:
        """Return the cost of a placement; the lowest one is chosen."""
        worker = indexed.worker
        racks = self._job_racks.get(request.job)
        rack_share: float = 0
        if racks is not None:
            rack_share = racks[worker.rack] / racks.total()
        left = indexed.free.cpu_millicores - request.demand.cpu_millicores
        gap_share = left / max(worker.capacity.cpu_millicores, 1)
        penalty = self._penalty(worker.worker_id, request.task_class, now_s)
        return penalty + _RACK_WEIGHT * rack_share + _FIT_WEIGHT * gap_share

    def _explain_no_fit(self, demand: Demand) -> NoFit:
        """Tell a full fleet from a task that fits no worker even when empty."""
        if not self._capacity_counts or any(
            _fits(size, demand) for size in self._capacity_counts
        ):
            return NoFit.FULL
        return NoFit.TOO_LARGE

    def _charge(
        self,
        indexed: _IndexedWorker,
        task_id: TaskId,
        demand: Demand,
        job: str,
    ) -> None:
        indexed.tasks[task_id] = (demand, job)
        indexed.free = _add_scaled(indexed.free, demand, -1)
        self._job_racks.setdefault(job, Counter())[indexed.worker.rack] += 1
        self._move_to_bucket(indexed)

    def _move_to_bucket(self, indexed: _IndexedWorker) -> None:
        if _bucket_of(indexed.free) != indexed.bucket:
            self._remove_from_bucket(indexed)
            self._add_to_bucket(indexed)

    def _add_to_bucket(self, indexed: _IndexedWorker) -> None:
        indexed.bucket = _bucket_of(indexed.free)
        members = self._buckets.setdefault(indexed.bucket, [])
        indexed.position = len(members)
        members.append(indexed)

    def _remove_from_bucket(self, indexed: _IndexedWorker) -> None:
        members = self._buckets[indexed.bucket]
        last = members.pop()
        if last is not indexed:
            members[indexed.position] = last
            last.position = indexed.position
        if not members:
            self._buckets.pop(indexed.bucket)


def _bucket_of(free: Demand) -> tuple[int, int]:
    return (
        max(free.accelerators_count, 0).bit_length(),
        max(free.cpu_millicores, 0).bit_length(),
    )


def _fits(free: Demand, demand: Demand) -> bool:
    return (
        demand.cpu_millicores <= free.cpu_millicores
        and demand.memory_mb <= free.memory_mb
        and demand.accelerators_count <= free.accelerators_count
    )


def _is_eligible(
    indexed: _IndexedWorker,
    request: PlacementRequest,
    now_s: float,
) -> bool:
    return (
        _fits(indexed.free, request.demand)
        and indexed.excluded_until_s <= now_s
        and indexed.worker.rack not in request.avoid_racks
        and indexed.worker.worker_id not in request.avoid_workers
    )


def _add_scaled(free: Demand, demand: Demand, sign: int) -> Demand:
    return Demand(
        free.cpu_millicores + sign * demand.cpu_millicores,
        free.memory_mb + sign * demand.memory_mb,
        free.accelerators_count + sign * demand.accelerators_count,
    )
