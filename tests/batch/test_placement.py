"""Placement: capacity, spread over racks, interference, failures."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramwharf.batch.placement import (
    NoFit,
    PlacementIndex,
    PlacementRequest,
)
from marjoramwharf.ids import DataCentreId, RackId, TaskId, WorkerId
from marjoramwharf.machines.calls import Demand
from marjoramwharf.machines.worker import Capacity, Worker

_NOTHING = Demand(0, 0)


def _worker(number: int, accelerators_count: int = 0) -> Worker:
    rack = number % 4
    return Worker(
        worker_id=WorkerId(f'w-{number}'),
        url='http://127.0.0.1:1',
        data_centre=DataCentreId('dc-1'),
        rack=RackId(f'rack-{rack}'),
        capacity=Capacity(8, 64, 32_000, 125_000, accelerators_count),
        services=frozenset(),
    )


def _request(number: int, demand: Demand, **fields: Any) -> PlacementRequest:
    return PlacementRequest(
        task_id=TaskId(f't-{number}'),
        job='job',
        demand=demand,
        task_class='quote',
        **fields,
    )


def _no_penalty(worker_id: WorkerId, task_class: str, now_s: float) -> float:
    return 0


class PlacementTests(unittest.TestCase):
    """Guards against tasks on workers that can't hold them."""

    def setUp(self) -> None:
        """Start with eight workers in four racks."""
        self.index = PlacementIndex(_no_penalty)
        for number in range(8):
            self.index.add(_worker(number), _NOTHING)

    @settings(derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.integers(1, 40_000),
                st.integers(1, 150_000),
                st.booleans(),
            ),
            max_size=60,
        ),
    )
    def test_capacity_is_never_exceeded(
        self,
        requests: list[tuple[int, int, bool]],
    ) -> None:
        """Guards against tasks that exceed the capacity of their worker."""
        self.setUp()
        for number, (cpu, memory, is_freed) in enumerate(requests):
            request = _request(number, Demand(cpu, memory))
            placed = self.index.place(request, 0)
            if not isinstance(placed, NoFit) and is_freed:
                self.index.free(placed, request.task_id)
                self.index.free(placed, request.task_id)
            for worker in range(8):
                free = self.index.free_capacity(WorkerId(f'w-{worker}'))
                assert free is not None
                self.assertGreaterEqual(free.cpu_millicores, 0)
                self.assertGreaterEqual(free.memory_mb, 0)
                self.assertLessEqual(free.cpu_millicores, 32_000)

    def test_job_is_spread_over_racks(self) -> None:
        """Guards against a job whose tasks all fail with one rack."""
        racks: Counter[RackId] = Counter()
        for number in range(8):
            request = _request(number, Demand(1_000, 1_000))
            placed = self.index.place(request, 0)
            assert not isinstance(placed, NoFit)
            racks[_worker(int(placed.removeprefix('w-'))).rack] += 1
        self.assertEqual(set(racks.values()), {2})

    def test_interference_is_avoided(self) -> None:
        """Guards against an interference penalty without effect."""
        index = PlacementIndex(
            lambda worker_id, task_class, now_s: worker_id != 'w-3',
        )
        for number in range(8):
            index.add(_worker(number), _NOTHING)
        self.assertEqual(index.place(_request(0, Demand(1, 1)), 0), 'w-3')

    def test_accelerators_are_kept_for_tasks_that_need_them(self) -> None:
        """Guards against small tasks that take accelerator workers."""
        self.index.add(_worker(8, 2), _NOTHING)
        plain = self.index.place(_request(0, Demand(1, 1)), 0)
        self.assertNotEqual(plain, 'w-8')
        needy = self.index.place(_request(1, Demand(1, 1, 2)), 0)
        self.assertEqual(needy, 'w-8')

    def test_no_fit_is_typed(self) -> None:
        """Guards against a job that waits for ever for a larger worker."""
        too_large = self.index.place(_request(0, Demand(32_001, 1)), 0)
        self.assertIs(too_large, NoFit.TOO_LARGE)
        for number in range(8):
            self.index.place(_request(number, Demand(32_000, 1)), 0)
        full = self.index.place(_request(9, Demand(1, 1)), 0)
        self.assertIs(full, NoFit.FULL)
        empty = PlacementIndex(_no_penalty)
        unknown = empty.place(_request(0, Demand(1, 1)), 0)
        self.assertIs(unknown, NoFit.FULL)

    def test_cordoned_and_avoided_workers_get_nothing(self) -> None:
        """Guards against tasks on workers that are leaving or failing."""
        for number in range(7):
            self.index.exclude(WorkerId(f'w-{number}'), until_s=10)
        request = _request(0, Demand(1, 1), avoid_workers=('w-7',))
        self.assertIs(self.index.place(request, 5), NoFit.FULL)
        self.assertNotIsInstance(self.index.place(request, 10), NoFit)

    def test_removed_worker_is_not_used(self) -> None:
        """Guards against a removed worker that stays in a bucket."""
        for number in range(7):
            self.index.remove(WorkerId(f'w-{number}'))
        placed = self.index.place(_request(0, Demand(1, 1)), 0)
        self.assertEqual(placed, 'w-7')
