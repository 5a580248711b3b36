"""Pauses of filling work, and the runs that are moved."""

from __future__ import annotations

import unittest

from marjoramwharf.scheduling.fleet import WorkerState
from marjoramwharf.scheduling.interference import InterferenceModel, FillingLoad
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.job_state import Run, RunEnd
from marjoramwharf.scheduling.pacing import PaceController
from marjoramwharf.scheduling.readings import InterferenceLearner
from marjoramwharf.scheduling.run_moves import MoveReason, find_run_moves
from tests.scheduling.fixtures import (
    add_job,
    first_task,
    make_step,
    make_worker,
    start_run,
)

_HARM_S = 4.0


class PacingTests(unittest.TestCase):
    """A serving task that is over its target beside a filling one."""

    def setUp(self) -> None:
        """Run one serving and one filling task."""
        self.job_table = JobTable()
        self.worker = make_worker('w1')
        self.model = InterferenceModel()
        self.keeper = PaceController(self.worker, self.model, _HARM_S)
        self.learner = InterferenceLearner(self.worker, self.model)
        serving = make_step(image='s', is_lasting=True, target_tail_ms=18)
        filling = make_step(image='f', fills=True, cpu_millicores=4_000)
        self.serving = self._start('a', serving)
        self.filling = self._start('b', filling)

    def test_pause_before_too_long(self) -> None:
        """Guards against a tail that is over its target for four seconds."""
        paused_s = self._play_until_pause()
        # An order takes 0.1 s to act and readings lag by half a second.
        self.assertLessEqual(paused_s, _HARM_S - 0.6)
        self.assertTrue(self.worker.is_filling_paused)
        self.assertFalse(self.worker.has_resources_for(self.filling.step))

    def test_no_pause_for_a_short_peak(self) -> None:
        """Guards against work that is held back for one high reading."""
        self._look(18 * 3, now_s=1)
        self._look(9, now_s=1.4)
        self.assertFalse(self._look(18 * 3, now_s=2.4))

    def test_work_goes_on_afterwards(self) -> None:
        """Guards against filling work that stays paused."""
        at_s = self._play_until_pause()
        self.filling.pace_percent = 0
        self.assertEqual(100, self._look(9, now_s=at_s + 1)[self.filling])
        self.assertFalse(self.worker.is_filling_paused)

    def test_the_model_learns(self) -> None:
        """Guards against readings that don't reach the model."""
        before = self.model.weight('f', 's')
        for number in range(20):
            self._look(18 * 4, now_s=2 + number)
            self.learner.learn(now_s=2 + number)
        self.assertGreater(self.model.weight('f', 's'), before)

    def test_a_run_that_ended_still_counts(self) -> None:
        """Guards against tails put down to what runs now.

        Readings cover half a second, so a run that has just ended shows.
        """
        self.learner.record_end(self.filling, now_s=9.9)
        self.worker.remove(self.filling)
        self.serving.reading = 18 * 4
        self.learner.learn(now_s=10)
        calm = self.serving.task.step.baseline_headroom.forecast(at_s=10)
        self.assertGreater(calm, 1)

    def test_the_run_to_blame_is_paused(self) -> None:
        """Guards against a pause of work that disturbs nothing."""
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
        self._look(9, now_s=1)
        self._look(18 * 3, now_s=1.2)
        paces = self._look(18 * 3, now_s=3.4)
        self.assertLess(paces[self.filling], 50)
        self.assertNotIn(harmless, paces)

    def _start(self, name: str, step: object) -> Run:
        job = add_job(self.job_table, name, step)  # type: ignore[arg-type]
        return start_run(self.job_table, first_task(job), self.worker)

    def _look(self, tail_ms: int, *, now_s: float) -> dict[Run, int]:
        self.serving.reading = tail_ms
        return dict(self.keeper.decide(now_s=now_s))

    def _play_until_pause(self) -> float:
        """Return how long the tail can have been over before the pause."""
        self._look(9, now_s=1)
        for tenths in range(20, 60, 4):
            paced = self._look(18 * 3, now_s=tenths / 10)
            if paced.get(self.filling) == 0:
                return tenths / 10 - 1
        return 60


class RescueTests(unittest.TestCase):
    """Workers that leave, stand still or run slowly."""

    def setUp(self) -> None:
        """Start with one worker."""
        self.job_table = JobTable()
        self.worker = make_worker('w1')
        self.worker.polled_s = 10

    def test_hung_run(self) -> None:
        """Guards against a job that waits for a task that stands still."""
        run = self._start(make_step(), percent=20, now_s=0)
        run.progressed_s = 8
        self.assertEqual({run: MoveReason.HUNG}, self._found(10))

    def test_paused_run_is_not_hung(self) -> None:
        """Guards against a move of what is held back on purpose."""
        run = self._start(make_step(fills=True), percent=20, now_s=0)
        run.progressed_s = 8
        run.pace_changed_s = 9
        self.assertFalse(self._found(10))

    def test_slow_run(self) -> None:
        """Guards against a step that waits for its slowest worker."""
        job = add_job(self.job_table, 'j', make_step(5, has_checkpoints=True))
        tasks = job.occurrences[0].steps[0].tasks
        for task in tasks[:4]:
            run = start_run(self.job_table, task, make_worker('w2'), now_s=8)
            self.job_table.end_run(
                run,
                RunEnd.DONE,
                saved='',
                max_attempts=3,
                now_s=9,
            )
        slow = start_run(self.job_table, tasks[4], self.worker, now_s=8)
        slow.percent = 30
        slow.progress_read_s = 10
        slow.progressed_s = 10
        self.assertEqual({slow: MoveReason.SLOW}, self._found(10))
        slow.percent = 80
        self.assertFalse(self._found(10))

    def test_leaving_worker(self) -> None:
        """Guards against work that is lost with its worker."""
        lasting = self._start(make_step(is_lasting=True), percent=100, now_s=0)
        short = self._start(make_step(), percent=90, now_s=8)
        long = self._start(make_step(estimate_ms=9_000), percent=1, now_s=9)
        self.worker.listing = make_worker(
            'w1',
            state=WorkerState.DRAINING,
        ).listing
        self.worker.leaves_s = 13
        self.assertEqual({lasting, long}, set(self._found(10)))
        self.assertNotIn(short, self._found(10))

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

    def _found(self, now_s: float) -> dict[Run, MoveReason]:
        return {
            rescue.run: rescue.trouble
            for rescue in find_run_moves(self.worker, now_s=now_s)
        }
