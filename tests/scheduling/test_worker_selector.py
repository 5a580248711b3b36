"""The lazy choice of a worker against a search of all workers."""

from __future__ import annotations

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from marjoramwharf.scheduling.candidates import CandidatePool
from marjoramwharf.scheduling.fleet import Fleet, Worker
from marjoramwharf.scheduling.headroom import expected_harm
from marjoramwharf.scheduling.interference import FillingLoad, InterferenceModel
from marjoramwharf.scheduling.job_state import Task
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.placement import (
    PlacementContext,
    WorkerSelector,
    cost_function,
)
from tests.scheduling.fixtures import (
    SERVICE,
    add_job,
    first_task,
    make_fleet,
    make_step,
    make_worker,
    start_run,
)

_MAX_SERVING_COUNT = 4
_SERVING_MILLICORES = 5_000
_FILLING_MILLICORES = 4_000

# Of each worker: the number of serving and of filling runs, and the number of
# the serving image.
_LOADS = st.lists(
    st.tuples(
        st.integers(0, _MAX_SERVING_COUNT),
        st.integers(0, 3),
        st.integers(0, 2),
    ),
    min_size=1,
    max_size=12,
)


def _make_model() -> InterferenceModel:
    """Return a model of three serving images that suffer differently."""
    model = InterferenceModel()
    for image in range(3):
        model.observe(
            f's{image}',
            [FillingLoad('fill', 0.2)],
            lost_headroom=0.6 * image,
            variance=0.01,
        )
    return model


def _make_loaded_worker(
    job_table: JobTable, number: int, load: tuple[int, int, int]
) -> Worker:
    serving_count, filling_count, image = load
    worker = make_worker(f'w{number}')
    serving = make_step(
        _MAX_SERVING_COUNT,
        cpu_millicores=_SERVING_MILLICORES,
        is_lasting=True,
        image=f's{image}',
        target_tail_ms=10,
    )
    filling = make_step(
        3, cpu_millicores=_FILLING_MILLICORES, fills=True, image='present'
    )
    for count, step in ((serving_count, serving), (filling_count, filling)):
        job = add_job(job_table, f'{number}{step.image}', step)
        for task in tuple(job.tasks())[:count]:
            start_run(job_table, task, worker)
    return worker


class WorkerSelectorTests(unittest.TestCase):
    """Guards against a cheaper choice that isn't the best one."""

    def setUp(self) -> None:
        """Create a model that knows one filling image."""
        self.model = _make_model()

    @given(_LOADS, st.sampled_from((0.02, 0.3, math.inf)))
    def test_chooses_as_a_full_search(
        self, loads: list[tuple[int, int, int]], allowed_harm: float
    ) -> None:
        """Guards against a worker that is chosen by its lowest cost only."""
        job_table = JobTable()
        fleet = make_fleet(
            *(
                _make_loaded_worker(job_table, number, load)
                for number, load in enumerate(loads)
            )
        )
        job = add_job(
            job_table,
            'new',
            make_step(5, cpu_millicores=3_000, fills=True, image='fill'),
        )
        context = PlacementContext(self.model, 1, allowed_harm=allowed_harm)
        pool = CandidatePool(fleet, 1)
        tasks = tuple(job.tasks())
        selector = WorkerSelector(tasks[0], pool.of_service(SERVICE), context)
        for task in tasks:
            lowest = self._lowest_cost(task, fleet, context)
            chosen = selector.choose(task)
            if chosen is None:
                self.assertEqual(math.inf, lowest)
                return
            self.assertEqual(lowest, self._cost(task, chosen, context))
            start_run(job_table, task, chosen, now_s=1)

    def test_harm_follows_changes(self) -> None:
        """Guards against the harm of a time before another run was placed."""
        job_table = JobTable()
        worker = _make_loaded_worker(job_table, 0, (4, 0, 2))
        request = make_step(2, cpu_millicores=3_000, fills=True, image='fill')
        before = self._harm(worker, now_s=1)
        job = add_job(job_table, 'new', request)
        start_run(job_table, first_task(job), worker, now_s=1)
        after = self._harm(worker, now_s=1)
        self.assertNotEqual(before, after)
        self.assertEqual(after, self._harm(worker, now_s=1))

    def _lowest_cost(
        self, task: Task, fleet: Fleet, context: PlacementContext
    ) -> float:
        return min(
            self._cost(task, worker, context)
            for worker in fleet.workers.values()
        )

    def _cost(
        self, task: Task, worker: Worker, context: PlacementContext
    ) -> float:
        pool = CandidatePool(make_fleet(worker), context.now_s)
        return cost_function(task, context)(pool.of_service(SERVICE)[0])

    def _harm(self, worker: Worker, *, now_s: float) -> float:
        return expected_harm(
            make_step(1, cpu_millicores=3_000, fills=True, image='fill'),
            worker,
            self.model,
            now_s=now_s,
            job_millicores=40_000,
        )
