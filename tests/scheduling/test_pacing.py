"""Pacing of filling runs, and the choice of runs to move."""

from __future__ import annotations

import unittest

from marjoramwharf.scheduling.fleet import WorkerState
from marjoramwharf.scheduling.interference import FillingLoad, InterferenceModel
from marjoramwharf.scheduling.job_state import Run, RunEnd
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.pacing import PaceController
from marjoramwharf.scheduling.readings import InterferenceLearner
from marjoramwharf.scheduling.run_moves import MoveReason, find_run_moves
from marjoramwharf.scheduling.worker_speed import WorkerSpeed
from tests.scheduling.fixtures import (
    add_job,
    first_task,
    make_step,
    make_worker,
    start_run,
)

_MAX_OVER_S = 4.0


class PacingTests(unittest.TestCase):
    """A serving task that is over its latency target beside a filling one."""

    def setUp(self) -> None:
        """Run one serving and one filling task."""
        self.job_table = JobTable()
        self.worker = make_worker('w1')
        self.model = InterferenceModel()
        self.controller = PaceController(self.worker, self.model, _MAX_OVER_S)
        self.learner = InterferenceLearner(self.worker, self.model)
        serving = make_step(image='s', is_lasting=True, target_tail_ms=18)
        filling = make_step(image='f', fills=True, cpu_millicores=4_000)
        self.serving = self._start('a', serving)
        self.filling = self._start('b', filling)

    def test_pause_before_too_long(self) -> None:
        """Guards against a tail latency over its target for four seconds."""
        paused_s = self._poll_until_pause()
        # An order takes 0.1 s to act, and readings lag by half a second.
        self.assertLessEqual(paused_s, _MAX_OVER_S - 0.6)
        self.assertTrue(self.worker.is_filling_paused)
        self.assertFalse(self.worker.has_resources_for(self.filling.step))

    def test_reading_rounded_to_the_target(self) -> None:
        """Guards against a tail over its target that is read as equal to it."""
        for number in range(20):
            paces = self._poll(18, now_s=1 + number * 0.4)
            if paces.get(self.filling) == 0:
                break
        self.assertEqual(0, paces.get(self.filling))
        self.assertLessEqual(1 + number * 0.4, _MAX_OVER_S - 0.6)

    def test_no_pause_for_a_short_peak(self) -> None:
        """Guards against filling runs that are paused for one high reading."""
        self._poll(18 * 3, now_s=1)
        self._poll(9, now_s=1.4)
        self.assertFalse(self._poll(18 * 3, now_s=2.4))

    def test_filling_resumes_after_pause(self) -> None:
        """Guards against filling runs that stay paused."""
        at_s = self._poll_until_pause()
        self.filling.pace_percent = 0
        self.assertEqual(100, self._poll(9, now_s=at_s + 1)[self.filling])
        self.assertFalse(self.worker.is_filling_paused)

    def test_readings_update_model(self) -> None:
        """Guards against readings that don't reach the model."""
        before = self.model.weight('f', 's')
        for number in range(20):
            self._poll(18 * 4, now_s=2 + number)
            self.learner.learn(now_s=2 + number)
        self.assertGreater(self.model.weight('f', 's'), before)

    def test_ended_run_still_counts(self) -> None:
        """Guards against interference attributed to the present runs alone.

        Readings cover half a second, so a run that has just ended affects them.
        """
        self.learner.record_end(self.filling, now_s=9.9)
        self.worker.remove(self.filling)
        self.serving.reading = 18 * 4
        self.learner.learn(now_s=10)
        baseline = self.serving.task.step.baseline_headroom.forecast(at_s=10)
        self.assertGreater(baseline, 1)

    def test_most_disturbing_run_is_slowed(self) -> None:
        """Guards against slowing a filling run that disturbs nothing."""
        harmless = self._start(
            'c',
            make_step(image='g', fills=True, cpu_millicores=4_000),
        )
        for _ in range(40):
            self.model.observe(
                's',
                [FillingLoad('f', 0.1)],
                lost_headroom=1,
                variance=0.05,
            )
            self.model.observe(
                's',
                [FillingLoad('g', 0.1)],
                lost_headroom=0,
                variance=0.05,
            )
        for _ in range(20):
            self.serving.task.step.baseline_headroom.observe(
                2,
                at_s=3,
                variance=0.05,
            )
        self._poll(9, now_s=1)
        self._poll(18 * 3, now_s=1.2)
        paces = self._poll(18 * 3, now_s=3.4)
        self.assertLess(paces[self.filling], 50)
        self.assertNotIn(harmless, paces)

    def _start(self, name: str, step: object) -> Run:
        job = add_job(self.job_table, name, step)  # type: ignore[arg-type]
        return start_run(self.job_table, first_task(job), self.worker)

    def _poll(self, tail_ms: int, *, now_s: float) -> dict[Run, int]:
        self.serving.reading = tail_ms
        return dict(self.controller.decide(now_s=now_s))

    def _poll_until_pause(self) -> float:
        """Return how long the tail can have been over target by the pause."""
        self._poll(9, now_s=1)
        for tenths in range(20, 60, 4):
            paced = self._poll(18 * 3, now_s=tenths / 10)
            if paced.get(self.filling) == 0:
                return tenths / 10 - 1
        return 60


class RunMoveTests(unittest.TestCase):
    """Runs on workers that leave, hang or are slow."""

    def setUp(self) -> None:
        """Start with one worker."""
        self.job_table = JobTable()
        self.worker = make_worker('w1')
        self.worker.reported_at_s = 10

    def test_hung_run(self) -> None:
        """Guards against a job that waits for a task that makes no progress."""
        run = self._start(make_step(), percent=20, now_s=0)
        run.progressed_s = 8
        self.assertEqual({run: MoveReason.HUNG}, self._moves(10))

    def test_paused_run_is_not_hung(self) -> None:
        """Guards against moving a run that stands still as it is paused."""
        run = self._start(make_step(fills=True), percent=20, now_s=0)
        run.progressed_s = 8
        run.pace_changed_s = 9
        self.assertFalse(self._moves(10))

    def test_slow_run(self) -> None:
        """Guards against a step that waits for its slowest worker."""
        slow = self._start_slow('j')
        self.assertEqual({slow: MoveReason.SLOW}, self._moves(10))
        slow.percent = 80
        self.assertFalse(self._moves(10))

    def test_long_task_on_a_sound_worker(self) -> None:
        """Guards against runs that are moved for being long.

        The load: 3% of the tasks take seven times as long as the others, and
        most of what runs beside them is as fast as elsewhere.
        """
        long = self._start_slow('j')
        for ratio in (0.9, 1.1):
            self.worker.speed.record(ratio, now_s=9)
        self.assertFalse(self._moves(10))
        # The worker turns slow: what ends there takes as long.
        for ratio in (0.2, 0.3):
            self.worker.speed.record(ratio, now_s=9.9)
        self.assertEqual({long: MoveReason.SLOW}, self._moves(10))
        # Old ends tell nothing about a worker.
        self.worker.speed = WorkerSpeed()
        for ratio in (0.9, 1.1, 1.0):
            self.worker.speed.record(ratio, now_s=2)
        self.assertEqual({long: MoveReason.SLOW}, self._moves(10))

    def _start_slow(self, name: str) -> Run:
        """Start a run at a seventh of the speed of four that have ended."""
        job = add_job(self.job_table, name, make_step(5, has_checkpoints=True))
        tasks = job.occurrences[0].steps[0].tasks
        for task in tasks[:4]:
            run = start_run(self.job_table, task, make_worker('w2'), now_s=8)
            self.job_table.end_run(
                run,
                RunEnd.DONE,
                checkpoint='',
                max_attempts=3,
                now_s=9,
            )
        slow = start_run(self.job_table, tasks[4], self.worker, now_s=8)
        slow.percent = 30
        slow.progress_read_s = 10
        slow.progressed_s = 10
        return slow

    def test_long_run(self) -> None:
        """Guards against a sound run that is stopped for its slow percent.

        Progress is reported in whole percent, each of which takes 3 s here.
        """
        by_estimate = self._start(
            make_step(estimate_ms=300_000), percent=0, now_s=8
        )
        by_progress = self._start(make_step(), percent=3, now_s=1)
        self.worker.reported_at_s = 15
        self.assertFalse(self._moves(15))
        self.worker.reported_at_s = 25
        self.assertEqual({by_estimate, by_progress}, set(self._moves(25)))

    def test_leaving_worker(self) -> None:
        """Guards against runs that are lost with their worker."""
        lasting = self._start(make_step(is_lasting=True), percent=100, now_s=0)
        short = self._start(make_step(), percent=90, now_s=8)
        long = self._start(make_step(estimate_ms=9_000), percent=1, now_s=9)
        self.worker.listing = make_worker(
            'w1',
            state=WorkerState.DRAINING,
        ).listing
        self.worker.leaves_at_s = 13
        self.assertEqual({lasting, long}, set(self._moves(10)))
        self.assertNotIn(short, self._moves(10))

    def _start(self, step: object, *, percent: int, now_s: float) -> Run:
        name = f'j{len(self.job_table.jobs)}'
        job = add_job(self.job_table, name, step)  # type: ignore[arg-type]
        run = start_run(
            self.job_table,
            first_task(job),
            self.worker,
            now_s=now_s,
        )
        run.percent = percent
        run.progress_read_s = 10
        run.progressed_s = 10
        return run

    def _moves(self, now_s: float) -> dict[Run, MoveReason]:
        return {
            move.run: move.reason
            for move in find_run_moves(self.worker, now_s=now_s)
        }
