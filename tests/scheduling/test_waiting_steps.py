"""Steps that wait although workers have room, because of other steps."""

from __future__ import annotations

import unittest
from dataclasses import replace

from marjoramwharf.scheduling.fleet import Fleet, Worker
from marjoramwharf.scheduling.interference import FillingLoad, InterferenceModel
from marjoramwharf.scheduling.job_state import Job, Run, RunEnd
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.planner import Planner
from tests.scheduling.fixtures import (
    QUEUES,
    add_job,
    first_task,
    make_fleet,
    make_step,
    make_worker,
    start_run,
)

_WAITED_S = 8


class WaitingStepTests(unittest.TestCase):
    """Guards against a step that waits for something it doesn't need."""

    def setUp(self) -> None:
        """Start without jobs; nothing is known of any pair of images."""
        self.job_table = JobTable()
        self.model = InterferenceModel()

    def test_lasting_step_behind_one_that_finds_no_worker(self) -> None:
        """Guards against room that is taken by tasks that aren't placed."""
        full = make_worker('w1', labels=('b', 'r1'))
        self._fill(full, left_millicores=0)
        self._add('short', 1)
        self._add('first', 40, is_lasting=True, required_label='b')
        second = self._add('second', 4, is_lasting=True)
        runs = self._plan(make_fleet(full, make_worker('w2')))
        self.assertEqual(4, _count(runs, second))

    def test_lasting_task_that_was_lost_long_ago(self) -> None:
        """Guards against a wait that begins anew when a lost run is given up."""
        lost, left = make_worker('w1'), make_worker('w2')
        self._fill(left, left_millicores=4_000)
        lasting = self._add('last', 1, cpu_millicores=4_000, is_lasting=True)
        run = start_run(self.job_table, first_task(lasting), lost)
        self._add('short', 1, cpu_millicores=4_000, now_s=_WAITED_S)
        self._end_vanished(run)
        runs = self._plan(make_fleet(left), now_s=_WAITED_S)
        self.assertEqual(1, _count(runs, lasting))

    def test_lasting_task_whose_start_was_refused(self) -> None:
        """Guards against a task that goes first though it was never away."""
        left = make_worker('w2')
        self._fill(left, left_millicores=4_000)
        lasting = self._add('last', 1, cpu_millicores=4_000, is_lasting=True)
        run = start_run(
            self.job_table, first_task(lasting), left, now_s=_WAITED_S
        )
        left.remove(run)
        short = self._add('short', 1, cpu_millicores=4_000, now_s=_WAITED_S)
        self._end_vanished(run)
        runs = self._plan(make_fleet(left), now_s=_WAITED_S)
        self.assertEqual(1, _count(runs, short))

    def test_lasting_task_that_no_worker_has_begun(self) -> None:
        """Guards against a wait that begins anew with each refused start."""
        left = make_worker('w2')
        self._fill(left, left_millicores=4_000)
        lasting = self._add('last', 1, cpu_millicores=4_000, is_lasting=True)
        run = self.job_table.plan_run(
            first_task(lasting),
            worker_id=left.worker_id,
            born_ms=0,
            number=1,
            now_s=_WAITED_S,
        )
        short = self._add('short', 1, cpu_millicores=4_000, now_s=_WAITED_S)
        self._end_vanished(run)
        runs = self._plan(make_fleet(left), now_s=_WAITED_S)
        self.assertEqual(1, _count(runs, lasting))
        self.assertEqual(0, _count(runs, short))

    def test_filling_step_beside_a_busy_service(self) -> None:
        """Guards against a filling task that waits for other services."""
        workers = [make_worker(f'w{number}') for number in range(4)]
        for worker in workers[1:]:
            worker.listing = replace(worker.listing, service='others')
            self._fill(worker, left_millicores=0)
        self._serve(workers[0])
        filling = self._add('filling', 1, fills=True, image='fill')
        runs = self._plan(make_fleet(*workers), now_s=_WAITED_S)
        self.assertEqual(1, _count(runs, filling))

    def test_one_rack_without_a_piece_that_is_large_enough(self) -> None:
        """Guards against a step that waits for a rack with small pieces."""
        pieces = [make_worker(f'w{number}') for number in range(4)]
        for worker in pieces:
            self._fill(worker, left_millicores=3_000)
        whole = make_worker('w9', labels=('a', 'r2'))
        self._fill(whole, left_millicores=8_000)
        large = self._add('large', 2, cpu_millicores=4_000, needs_one_rack=True)
        runs = self._plan(make_fleet(*pieces, whole))
        self.assertEqual(2, _count(runs, large))

    def test_one_rack_without_memory(self) -> None:
        """Guards against a step that waits for a rack without free memory."""
        memoryless = make_worker('w1')
        self._fill(memoryless, left_millicores=30_000, memory_mb=127_000)
        other = make_worker('w2', labels=('a', 'r2'))
        self._fill(other, left_millicores=20_000)
        large = self._add('large', 2, memory_mb=4_000, needs_one_rack=True)
        runs = self._plan(make_fleet(memoryless, other))
        self.assertEqual(2, _count(runs, large))

    def test_gang_that_no_rack_can_hold(self) -> None:
        """Guards against a gang that waits for a rack that is too small."""
        workers = [
            make_worker(f'w{number}', labels=('a', f'r{number}'))
            for number in range(4)
        ]
        gang = self._add(
            'gang', 8, cpu_millicores=8_000, is_gang=True, needs_one_rack=True
        )
        runs = self._plan(make_fleet(*workers), now_s=_WAITED_S)
        self.assertEqual(8, _count(runs, gang))

    def test_gang_in_a_busy_service(self) -> None:
        """Guards against a gang in several racks while one may get room."""
        workers = [
            make_worker(f'w{number}', labels=('a', f'r{number}'))
            for number in range(4)
        ]
        for worker in workers:
            self._fill(worker, left_millicores=8_000)
        gang = self._add(
            'gang', 4, cpu_millicores=8_000, is_gang=True, needs_one_rack=True
        )
        runs = self._plan(make_fleet(*workers), now_s=_WAITED_S)
        self.assertEqual(0, _count(runs, gang))

    def test_lasting_tasks_of_a_full_rack(self) -> None:
        """Guards against lasting tasks that wait for the rack of others."""
        workers = [
            make_worker(f'w{number}', labels=('a', f'r{number}'))
            for number in range(2)
        ]
        lasting = self._add(
            'j', 6, cpu_millicores=8_000, needs_one_rack=True, is_lasting=True
        )
        fleet = make_fleet(*workers)
        first = self._plan(fleet)
        self.assertEqual(4, _count(first, lasting))
        second = self._plan(fleet, now_s=_WAITED_S)
        self.assertEqual(2, _count(second, lasting))

    def _add(
        self, name: str, count: int, *, now_s: float = 0, **fields: object
    ) -> Job:
        """Add a job of one step that is accepted at a time."""
        return add_job(
            self.job_table,
            name,
            make_step(count, **fields),
            accepted_at_ms=int(now_s * 1_000),
            now_s=now_s,
        )

    def _end_vanished(self, run: Run) -> None:
        self.job_table.end_run(
            run,
            RunEnd.VANISHED,
            checkpoint='',
            max_attempts=1,
            now_s=_WAITED_S,
        )

    def _fill(
        self, worker: Worker, *, left_millicores: int, memory_mb: int = 0
    ) -> None:
        """Reserve the CPU of a worker but for so much."""
        used = worker.capacity.cpu_millicores - left_millicores
        job = self._add(
            f'on {worker.worker_id}',
            1,
            cpu_millicores=used,
            memory_mb=memory_mb,
            is_lasting=True,
        )
        start_run(self.job_table, first_task(job), worker)

    def _serve(self, worker: Worker) -> None:
        """Run serving tasks that a filling one would put over their target."""
        for _ in range(30):
            self.model.observe(
                'serve',
                [FillingLoad('fill', 0.1)],
                lost_headroom=3,
                variance=0.1,
            )
        serving = self._add(
            'serving',
            16,
            cpu_millicores=500,
            is_lasting=True,
            image='serve',
            target_tail_ms=20,
        )
        for task in serving.occurrences[0].steps[0].tasks:
            start_run(self.job_table, task, worker)
        self._add('small', 1, cpu_millicores=500, target_tail_ms=20)

    def _plan(self, fleet: Fleet, *, now_s: float = 0) -> list[Run]:
        planner = Planner(self.job_table, fleet, self.model, lambda _step: None)
        plans = planner.plan(QUEUES, now_s=now_s, now_ms=int(now_s * 1_000))
        return [run for plan in plans for run in plan.runs]


def _count(runs: list[Run], job: Job) -> int:
    return sum(run.task.step.occurrence.job is job for run in runs)
