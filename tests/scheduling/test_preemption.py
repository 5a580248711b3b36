"""Urgent short tasks on a fleet that lasting tasks fill nearly whole."""

from __future__ import annotations

import unittest

from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_state import Job, Run, RunEnd
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.planner import Planner
from marjoramwharf.scheduling.preemption import choose_victims
from tests.scheduling.fixtures import (
    QUEUES,
    add_job,
    make_fleet,
    make_step,
    make_worker,
    start_run,
)

_SHORT = make_step(2, cpu_millicores=8_000)
_WIDE = make_step(9, cpu_millicores=8_000)


class PreemptionTests(unittest.TestCase):
    """Four workers, each full of the four tasks of a lasting job."""

    def setUp(self) -> None:
        """Start with empty workers."""
        self.job_table = JobTable()
        self.workers = [make_worker(name) for name in 'abcd']
        self.fleet = make_fleet(*self.workers)
        self.planner = Planner(
            self.job_table,
            self.fleet,
            InterferenceModel(),
            lambda _step: None,
        )

    def test_urgent_tasks_start(self) -> None:
        """Guards against urgent jobs that wait for lasting ones to end.

        What callers get: both tasks of the job run as soon as the two lasting
        tasks that make room have stopped, and no more of these are stopped.
        """
        self._fill(may_miss=1)
        add_job(self.job_table, 'short', _SHORT, accepted_at_ms=9_900)
        self.assertFalse(self._plan(10))
        victims = self._victims(10)
        self.assertEqual(2, len(victims))
        for run in victims:
            self._end(run, now_s=10.2)
        started = {run.task.name for run in self._plan(10.2)}
        self.assertEqual({'short.0.0.0', 'short.0.0.1'}, started)
        self.assertFalse(self._victims(10.2))

    def test_allowed_number(self) -> None:
        """Guards against more lasting tasks away than their job allows."""
        jobs = self._fill(may_miss=1)
        next(jobs[0].live_runs()).percent = 40
        add_job(self.job_table, 'wide', _WIDE, accepted_at_ms=9_900)
        self._plan(10)
        stopped = [run.task.step.occurrence.job for run in self._victims(10)]
        self.assertCountEqual(jobs[1:], stopped)

    def test_left_alone(self) -> None:
        """Guards against stops that nobody allows, or again and again."""
        add_job(self.job_table, 'short', _SHORT, accepted_at_ms=9_900)
        self._fill(may_miss=0)
        self._plan(10)
        self.assertFalse(self._victims(10))
        self.setUp()
        add_job(self.job_table, 'short', _SHORT, accepted_at_ms=9_900)
        self._fill(may_miss=1)
        self._plan(1)
        self.assertFalse(self._victims(1))
        self._plan(10)
        self.assertFalse(self._victims(10, lasting_priority=-1))

    def test_useless_runs_first(self) -> None:
        """Guards against stopping a sound run beside one over its target."""
        jobs = self._fill(may_miss=2)
        useless = list(jobs[2].live_runs())[1]
        useless.reading = 50
        add_job(self.job_table, 'short', _SHORT, accepted_at_ms=9_900)
        self._plan(10)
        self.assertIn(useless, self._victims(10))

    def test_room_is_held(self) -> None:
        """Guards against lasting tasks that take each free piece at once.

        Short jobs come all the time; a lasting task waits for some seconds,
        and then starts even so.
        """
        jobs = self._fill(may_miss=1)
        self._end(next(jobs[0].live_runs()), now_s=9)
        add_job(self.job_table, 'short', _SHORT, accepted_at_ms=9_000, now_s=9)
        for run in self._plan(9):
            self.assertFalse(run.step.is_lasting)
            self._end(run, now_s=9.5, how=RunEnd.DONE)
        self._end(self._plan(9.5)[0], now_s=10, how=RunEnd.DONE)
        self.assertFalse(self._plan(12))
        self.assertTrue(self._plan(13.5)[0].step.is_lasting)

    def test_memory(self) -> None:
        """Guards against arrivals that are kept for good."""
        for number in range(300):
            name = f'short{number}'
            add_job(
                self.job_table,
                name,
                _SHORT,
                accepted_at_ms=number * 1_000,
                now_s=number,
            )
        held = self.job_table.short_work.held_millicores(299)
        self.assertEqual(11 * 1_600 + 16_000, held)
        self.assertLess(len(self.job_table.short_work), 20)

    def test_whole_pieces(self) -> None:
        """Guards against small tasks that break up the last large piece."""
        jobs = self._fill(may_miss=1)
        self._end(next(jobs[0].live_runs()), now_s=9)
        self.job_table.cancel(jobs[1].job_id, now_s=9)
        for run in tuple(jobs[1].live_runs()):
            self._end(run, now_s=9)
        small = make_step(3, estimate_ms=100)
        large = make_step(1, cpu_millicores=32_000, estimate_ms=9_000)
        add_job(self.job_table, 'small', small, accepted_at_ms=9_000, now_s=9)
        add_job(self.job_table, 'large', large, accepted_at_ms=9_000, now_s=9)
        names = {run.task.name for run in self._plan(9)}
        self.assertIn('large.0.0.0', names)

    def _fill(self, *, may_miss: int) -> list[Job]:
        step = make_step(
            4,
            cpu_millicores=8_000,
            is_lasting=True,
            target_tail_ms=18,
            max_unavailable_count=may_miss,
        )
        jobs = [
            add_job(self.job_table, f'lasting{number}', step)
            for number in range(len(self.workers))
        ]
        for job, worker in zip(jobs, self.workers, strict=True):
            for task in job.tasks():
                start_run(self.job_table, task, worker).percent = 100
        return jobs

    def _plan(self, now_s: float) -> list[Run]:
        plans = self.planner.plan(
            QUEUES, now_s=now_s, now_ms=round(now_s * 1_000)
        )
        return [run for plan in plans for run in plan.runs]

    def _victims(self, now_s: float, *, lasting_priority: int = 0) -> list[Run]:
        return choose_victims(
            self.planner.shortages,
            0,
            priority_of=lambda _run: lasting_priority,
            now_s=now_s,
        )

    def _end(
        self, run: Run, *, now_s: float, how: RunEnd = RunEnd.STOPPED
    ) -> None:
        self.fleet.release(run)
        self.job_table.end_run(
            run, how, checkpoint='', max_attempts=3, now_s=now_s
        )
