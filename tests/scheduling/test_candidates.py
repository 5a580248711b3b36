"""Which workers the planner considers in a large fleet."""

from __future__ import annotations

import unittest

from marjoramwharf.scheduling.candidates import CandidatePool, search_parts
from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_state import Run, Step
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.planner import Planner
from tests.scheduling.fixtures import (
    QUEUES,
    SERVICE,
    add_job,
    first_task,
    make_fleet,
    make_step,
    make_worker,
    start_run,
)

_WORKERS_COUNT = 5_200
_MAX_SEARCHED_COUNT = 600


class SearchTests(unittest.TestCase):
    """Guards against a search that grows with the fleet or misses a place."""

    def setUp(self) -> None:
        """Create a large fleet without runs."""
        self.job_table = JobTable()
        self.workers = [
            make_worker(f'w{number}') for number in range(_WORKERS_COUNT)
        ]
        self.fleet = make_fleet(*self.workers)

    def test_search_is_bounded(self) -> None:
        """Guards against a cost of a task that grows with the fleet."""
        parts = self._parts(self._step('j'))
        self.assertLessEqual(len(parts[0]), _MAX_SEARCHED_COUNT)
        self.assertEqual(_WORKERS_COUNT, sum(map(len, parts)))
        self.assertEqual(set(self.fleet.workers.values()), set().union(*parts))

    def test_jobs_are_spread(self) -> None:
        """Guards against many jobs that crowd on the same workers."""
        first = self._parts(self._step('j'))[0]
        second = self._parts(self._step('k'))[0]
        self.assertNotEqual(set(first), set(second))

    def test_last_place_is_found(self) -> None:
        """Guards against a task that waits though one worker has room."""
        for worker in self.workers[1:]:
            self._fill(worker)
        add_job(self.job_table, 'j', make_step(1, cpu_millicores=30_000))
        self.assertEqual(['w0'], [run.worker_id for run in self._plan()])

    def test_tasks_beyond_the_sample(self) -> None:
        """Guards against a wide step that fills only the sample."""
        add_job(self.job_table, 'j', make_step(1_000, cpu_millicores=30_000))
        planned = self._plan()
        self.assertEqual(1_000, len({run.worker_id for run in planned}))

    def test_rack_of_data(self) -> None:
        """Guards against a task far from its data for want of a look."""
        near = make_worker('near', labels=('a', 'r9'))
        self.fleet.workers[near.worker_id] = near
        add_job(self.job_table, 'j', make_step(1, data_rack='r9'))
        self.assertEqual(['near'], [run.worker_id for run in self._plan()])

    def _step(self, name: str) -> Step:
        return first_task(add_job(self.job_table, name, make_step(2))).step

    def _parts(self, step: Step) -> list[list[Worker]]:
        candidates = CandidatePool(self.fleet, 0).of_service(SERVICE)
        return [
            [candidate.worker for candidate in part]
            for part in search_parts(step, candidates)
        ]

    def _fill(self, worker: Worker) -> None:
        step = make_step(1, cpu_millicores=30_000)
        job = add_job(self.job_table, f'full {worker.worker_id}', step)
        self.job_table.ready.clear()
        start_run(self.job_table, first_task(job), worker)

    def _plan(self) -> list[Run]:
        planner = Planner(
            self.job_table, self.fleet, InterferenceModel(), lambda _step: None
        )
        plans = planner.plan(QUEUES, now_s=0, now_ms=0)
        return [run for plan in plans for run in plan.runs]
