"""Index of workers by free capacity, to place one task.

A decision looks at a bounded sample of workers, so that its cost does not grow
with their number. Workers are kept in buckets by free accelerators and
processors (powers of two); a bucket is a list with constant-time insertion,
removal and random choice. The sample starts with the smallest bucket that can
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

# Bounds of one decision: workers that are scored, and workers that are looked
# at in each bucket. A fitting worker can be missed when most workers of a
# bucket lack memory; the next decision takes another sample.
_SAMPLE_COUNT = 16
_PROBES_COUNT = 64

# Shares of the score; a penalty of 1 equals a task on a full rack.
_RACK_WEIGHT = 0.5
_FIT_WEIGHT = 0.25


@enum.unique
class NoFit(enum.Enum):
    """Why no worker was found."""

    FULL = 'full'
    TOO_LARGE = 'too_large'


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A task to place; ``job`` groups the tasks to spread over racks."""

    task_id: TaskId
    job: str
    demand: Demand
    task_class: str
    avoid_racks: Collection[RackId] = ()
    avoid_workers: Collection[WorkerId] = ()


@dataclass(slots=True)
class _Held:
    """A worker, what is free on it, and until when it takes no tasks."""

    worker: Worker
    free: Demand
    whole: Demand
    bucket: tuple[int, int] = (-1, -1)
    position: int = -1
    closed_until_s: float = 0
    tasks: dict[TaskId, tuple[Demand, str]] = field(default_factory=dict)


class PlacementIndex:
    """Workers of one capacity owner, with the tasks placed on them.

    ``penalty`` is the expected harm, 0 for none, of a task class on a worker.
    """

    def __init__(
        self,
        penalty: Callable[[WorkerId, str, float], float],
        *,
        seed: int = 0,
    ) -> None:
        """Start without workers; the seed makes the samples repeatable."""
        self._penalty = penalty
        self._random = random.Random(seed)
        self._held: dict[WorkerId, _Held] = {}
        self._buckets: dict[tuple[int, int], list[_Held]] = {}
        self._sizes: Counter[Demand] = Counter()
        self._racks: dict[str, Counter[RackId]] = {}

    def add(self, worker: Worker, reserved: Demand) -> None:
        """Add a worker; ``reserved`` is kept free for its services."""
        capacity = worker.capacity
        free = Demand(
            capacity.cpu_millicores - reserved.cpu_millicores,
            capacity.memory_mb - reserved.memory_mb,
            capacity.accelerators_count - reserved.accelerators_count,
        )
        self.remove(worker.worker_id)
        held = _Held(worker, free, whole=free)
        self._sizes[free] += 1
        self._held[worker.worker_id] = held
        self._file(held)

    def remove(self, worker_id: WorkerId) -> None:
        """Remove a worker and what is placed on it."""
        held = self._held.get(worker_id)
        if held is None:
            return
        for task_id in tuple(held.tasks):
            self.free(worker_id, task_id)
        self._held.pop(worker_id)
        self._unfile(held)
        self._sizes[held.whole] -= 1
        if not self._sizes[held.whole]:
            self._sizes.pop(held.whole)

    def cordon(self, worker_id: WorkerId, until_s: float) -> None:
        """Place nothing on a worker until a time."""
        held = self._held.get(worker_id)
        if held is not None:
            held.closed_until_s = until_s

    def place(
        self,
        request: PlacementRequest,
        now_s: float,
    ) -> WorkerId | NoFit:
        """Choose a worker and take the task's size from it."""
        best: _Held | None = None
        best_score = float('inf')
        for held in self._sample(request, now_s):
            score = self._score(held, request, now_s)
            if score < best_score:
                best = held
                best_score = score
        if best is None:
            return self._no_fit(request.demand)
        self._charge(best, request.task_id, request.demand, request.job)
        return best.worker.worker_id

    def hold(
        self,
        worker_id: WorkerId,
        task_id: TaskId,
        demand: Demand,
        job: str,
    ) -> None:
        """Count a task that a worker reports; free capacity may go below 0."""
        held = self._held.get(worker_id)
        if held is not None:
            self.free(worker_id, task_id)
            self._charge(held, task_id, demand, job)

    def free(self, worker_id: WorkerId, task_id: TaskId) -> None:
        """Give the size of a task back; a repeat has no effect."""
        held = self._held.get(worker_id)
        found = None if held is None else held.tasks.pop(task_id, None)
        if held is None or found is None:
            return
        demand, job = found
        held.free = _plus(held.free, demand, 1)
        racks = self._racks[job]
        racks[held.worker.rack] -= 1
        if not racks.total():
            self._racks.pop(job)
        self._refile(held)

    def free_capacity(self, worker_id: WorkerId) -> Demand | None:
        """Return what is free on a worker, ``None`` if it is unknown."""
        held = self._held.get(worker_id)
        return None if held is None else held.free

    def _sample(
        self,
        request: PlacementRequest,
        now_s: float,
    ) -> Iterator[_Held]:
        found = 0
        for held in self._probes(request.demand):
            if _is_open(held, request, now_s):
                found += 1
                yield held
            if found == _SAMPLE_COUNT:
                return

    def _probes(self, demand: Demand) -> Iterator[_Held]:
        """Yield a bounded number of distinct workers, small gaps first."""
        least = _bucket_of(demand)
        for bucket in sorted(self._buckets):
            if bucket[0] < least[0] or bucket[1] < least[1]:
                continue
            members = self._buckets[bucket]
            count = min(_PROBES_COUNT, len(members))
            yield from self._random.sample(members, count)

    def _score(
        self,
        held: _Held,
        request: PlacementRequest,
        now_s: float,
    ) -> float:
        worker = held.worker
        racks = self._racks.get(request.job)
        crowded: float = 0
        if racks is not None:
            crowded = racks[worker.rack] / racks.total()
        left = held.free.cpu_millicores - request.demand.cpu_millicores
        gap = left / max(worker.capacity.cpu_millicores, 1)
        harm = self._penalty(worker.worker_id, request.task_class, now_s)
        return harm + _RACK_WEIGHT * crowded + _FIT_WEIGHT * gap

    def _no_fit(self, demand: Demand) -> NoFit:
        """Tell a full fleet from a task that no worker could ever hold."""
        if not self._sizes or any(_holds(size, demand) for size in self._sizes):
            return NoFit.FULL
        return NoFit.TOO_LARGE

    def _charge(
        self,
        held: _Held,
        task_id: TaskId,
        demand: Demand,
        job: str,
    ) -> None:
        held.tasks[task_id] = (demand, job)
        held.free = _plus(held.free, demand, -1)
        self._racks.setdefault(job, Counter())[held.worker.rack] += 1
        self._refile(held)

    def _refile(self, held: _Held) -> None:
        if _bucket_of(held.free) != held.bucket:
            self._unfile(held)
            self._file(held)

    def _file(self, held: _Held) -> None:
        held.bucket = _bucket_of(held.free)
        members = self._buckets.setdefault(held.bucket, [])
        held.position = len(members)
        members.append(held)

    def _unfile(self, held: _Held) -> None:
        members = self._buckets[held.bucket]
        last = members.pop()
        if last is not held:
            members[held.position] = last
            last.position = held.position
        if not members:
            self._buckets.pop(held.bucket)


def _bucket_of(free: Demand) -> tuple[int, int]:
    return (
        max(free.accelerators_count, 0).bit_length(),
        max(free.cpu_millicores, 0).bit_length(),
    )


def _holds(free: Demand, demand: Demand) -> bool:
    return (
        demand.cpu_millicores <= free.cpu_millicores
        and demand.memory_mb <= free.memory_mb
        and demand.accelerators_count <= free.accelerators_count
    )


def _is_open(held: _Held, request: PlacementRequest, now_s: float) -> bool:
    return (
        _holds(held.free, request.demand)
        and held.closed_until_s <= now_s
        and held.worker.rack not in request.avoid_racks
        and held.worker.worker_id not in request.avoid_workers
    )


def _plus(free: Demand, demand: Demand, sign: int) -> Demand:
    return Demand(
        free.cpu_millicores + sign * demand.cpu_millicores,
        free.memory_mb + sign * demand.memory_mb,
        free.accelerators_count + sign * demand.accelerators_count,
    )
