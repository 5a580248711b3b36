"""Prints the time of one placement decision at several fleet sizes.

Run by hand: ``python -m tools.placement_cost``. The printed slope is that of
the logarithm of the time over the logarithm of the number of workers: 0 for a
constant cost, 1 for a linear one.
"""

from __future__ import annotations

import math
import random
import statistics
import time

from marjoramwharf.batch.placement import PlacementIndex, PlacementRequest
from marjoramwharf.ids import DataCentreId, RackId, TaskId, WorkerId
from marjoramwharf.machines.calls import Demand
from marjoramwharf.machines.worker import Capacity, Worker

_SIZES = (650, 1_300, 2_600, 5_200)
_DECISIONS_COUNT = 2_000
_TASKS_PER_WORKER = 23
_ROUNDS_COUNT = 5


def main() -> None:
    """Measure all sizes in turn in five rounds and print the medians."""
    indexes = {size: build_filled_index(size) for size in _SIZES}
    times_us: dict[int, list[float]] = {size: [] for size in _SIZES}
    for _ in range(_ROUNDS_COUNT):
        for measured_size, index in indexes.items():
            times_us[measured_size].append(measure_decision_us(index))
    medians = [statistics.median(rounds_us) for rounds_us in times_us.values()]
    for workers_count, median_us in zip(_SIZES, medians, strict=True):
        print(f'{workers_count} workers: {median_us:.1f} us per decision')
    slope = statistics.linear_regression(
        list(map(math.log, _SIZES)),
        list(map(math.log, medians)),
    ).slope
    print(f'slope: {slope:.3f}')


def build_filled_index(workers_count: int) -> PlacementIndex:
    """Return an index of this many workers with 23 tasks on each."""
    index = PlacementIndex(lambda worker_id, task_class, now_s: 0.1)
    for number in range(workers_count):
        index.add(
            Worker(
                worker_id=WorkerId(f'w-{number}'),
                url='http://127.0.0.1:1',
                data_centre=DataCentreId('dc-1'),
                rack=RackId(str(number // 8)),
                capacity=Capacity(8, 64, 32_000, 125_000),
                services=frozenset(),
            ),
            Demand(4_000, 16_000),
        )
    rng = random.Random(workers_count)
    for task in range(workers_count * _TASKS_PER_WORKER):
        index.place(_make_request(f'old-{task}', rng), 0)
    return index


def measure_decision_us(index: PlacementIndex) -> float:
    """Return the mean time of one placement decision, in microseconds."""
    rng = random.Random(7)
    requests = [
        _make_request(f'new-{task}', rng) for task in range(_DECISIONS_COUNT)
    ]
    spent_s: float = 0
    for request in requests:
        started_s = time.perf_counter()
        worker_id = index.place(request, 0)
        spent_s += time.perf_counter() - started_s
        index.free(WorkerId(str(worker_id)), request.task_id)
    return spent_s / _DECISIONS_COUNT * 1e6


def _make_request(name: str, rng: random.Random) -> PlacementRequest:
    return PlacementRequest(
        task_id=TaskId(name),
        job=name.partition('-')[0],
        demand=Demand(rng.randint(100, 2_000), rng.randint(100, 6_000)),
        task_class='quote',
    )


if __name__ == '__main__':
    main()
