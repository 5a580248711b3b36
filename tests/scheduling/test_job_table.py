"""State changes that orders and ends make to the jobs of a cell."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramwharf.cells.records import (
    ProgressRecord,
    build_progress_record,
    decode,
    encode,
    restore_job,
)
from marjoramwharf.ids import JobId
from marjoramwharf.scheduling.job_state import (
    JobPhase,
    Run,
    RunEnd,
    RunPhase,
    Task,
)
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.workload import JobRequest
from tests.scheduling.fixtures import (
    add_job,
    first_task,
    make_step,
    make_worker,
    start_run,
)


class JobTableTests(unittest.TestCase):
    """Guards against tasks that start too early, too often or never."""

    def setUp(self) -> None:
        """Start with an empty table."""
        self.job_table = JobTable()
        self.worker = make_worker('w1')

    def test_step_waits_for_predecessors(self) -> None:
        """Guards against a step that starts before its predecessor is done."""
        job = add_job(self.job_table, 'j', make_step(2), make_step(after=(0,)))
        runs = [
            start_run(self.job_table, task, self.worker)
            for task in job.occurrences[0].steps[0].tasks
        ]
        self._end(runs[0], RunEnd.DONE)
        self.assertFalse(self.job_table.ready)
        self._end(runs[1], RunEnd.DONE)
        self.assertEqual(['j.0.1.0'], list(self.job_table.ready))

    def test_many_due_occurrences(self) -> None:
        """Guards against occurrences that fill the memory of the owner.

        All of them are due at once; the next ones follow as others end.
        """
        request = JobRequest(
            job_id=JobId('j'),
            queue='q',
            service='s',
            payload='',
            steps=(make_step(5_000),),
            accepted_at_ms=0,
            repeat_count=1_000_000,
            first_due_ms=1,
            interval_ms=1,
        )
        job = self.job_table.add(request, now_s=0, now_ms=10**9)
        self.assertEqual([0, 1, 2, 3], list(job.occurrences))
        self.assertIsNone(self.job_table.next_due_ms())
        for task in job.occurrences[0].steps[0].tasks:
            run = start_run(self.job_table, task, self.worker)
            self._end(run, RunEnd.DONE)
        self.assertIsNotNone(self.job_table.next_due_ms())
        self.job_table.create_due_occurrences(now_s=1, now_ms=10**9)
        self.assertEqual([1, 2, 3, 4], list(job.occurrences))

    def test_clock_of_a_successor_is_behind(self) -> None:
        """Guards against an occurrence that a new owner never starts.

        The former owner's clock showed that it was due.
        """
        request = JobRequest(
            job_id=JobId('j'),
            queue='q',
            service='s',
            payload='',
            steps=(make_step(),),
            accepted_at_ms=0,
            repeat_count=1,
            first_due_ms=5_000,
            interval_ms=1,
        )
        former = JobTable().add(request, now_s=0, now_ms=5_000)
        progress = build_progress_record(former)
        restored = restore_job(request, progress, revision=1, now_s=0)
        self.job_table.add_restored(restored, now_s=0, now_ms=4_000)
        self.job_table.create_due_occurrences(now_s=0.5, now_ms=4_500)
        self.assertFalse(self.job_table.ready)
        self.job_table.create_due_occurrences(now_s=1, now_ms=5_000)
        self.assertEqual(['j.0.0.0'], list(self.job_table.ready))

    def test_stage_times(self) -> None:
        """Guards against time of a late job that counts for a wrong stage."""
        job = add_job(self.job_table, 'j', make_step(2), make_step(after=(0,)))
        first, second = job.occurrences[0].steps[0].tasks
        self._run(first, began_s=1, ended_s=2)
        self._run(second, began_s=1, ended_s=3, how=RunEnd.FAILED)
        self._run(second, began_s=5, ended_s=9)
        self._run(first_task(job, 1), began_s=10, ended_s=12)
        times = job.stage_times
        self.assertIs(JobPhase.DONE, job.phase)
        self.assertEqual(3, times.retried_s)
        self.assertEqual(2 + 1, times.waited_s)
        self.assertEqual(0, times.started_s)
        self.assertEqual(4 + 2, times.ran_s)

    def test_only_failures_count_as_attempts(self) -> None:
        """Guards against a lapsed or stopped run that counts as an attempt."""
        job = add_job(self.job_table, 'j', make_step())
        for how in (RunEnd.LAPSED, RunEnd.STOPPED, RunEnd.VANISHED):
            self._end(
                start_run(self.job_table, first_task(job), self.worker), how
            )
        self.assertIs(JobPhase.OPEN, job.phase)
        for _ in range(3):
            self.assertTrue(self.job_table.ready)
            run = start_run(self.job_table, first_task(job), self.worker)
            self._end(run, RunEnd.FAILED)
        self.assertIs(JobPhase.FAILED, job.phase)
        self.assertFalse(self.job_table.ready)

    def test_gang_is_done_with_first_member(self) -> None:
        """Guards against a gang that runs on after one member is done."""
        job = add_job(self.job_table, 'j', make_step(3, is_gang=True))
        tasks = job.occurrences[0].steps[0].tasks
        runs = [start_run(self.job_table, task, self.worker) for task in tasks]
        self._end(runs[0], RunEnd.DONE)
        self.assertIs(JobPhase.DONE, job.phase)
        self.assertEqual(runs[1:], self.job_table.surplus_runs(job))

    def test_gang_waits_for_all_members(self) -> None:
        """Guards against a gang that starts while a member still runs."""
        job = add_job(self.job_table, 'j', make_step(2, is_gang=True))
        tasks = job.occurrences[0].steps[0].tasks
        runs = [start_run(self.job_table, task, self.worker) for task in tasks]
        self._end(runs[0], RunEnd.BROKEN)
        self.assertFalse(self.job_table.ready)
        self._end(runs[1], RunEnd.FAILED)
        self.assertEqual(2, len(self.job_table.ready))

    def test_duplicate_becomes_surplus(self) -> None:
        """Guards against a duplicate that runs on after the other run's end."""
        job = add_job(self.job_table, 'j', make_step(2, may_duplicate=True))
        task = first_task(job)
        first = start_run(self.job_table, task, self.worker)
        second = start_run(self.job_table, task, make_worker('w2'))
        self._end(first, RunEnd.DONE)
        self.assertEqual([second], self.job_table.surplus_runs(job))

    def test_cancel(self) -> None:
        """Guards against tasks of a cancelled job that may start."""
        job = add_job(self.job_table, 'j', make_step(2))
        run = start_run(self.job_table, first_task(job), self.worker)
        self.job_table.cancel(job.job_id, now_s=1)
        self.assertFalse(self.job_table.ready)
        self.assertEqual([run], self.job_table.surplus_runs(job))
        self._end(run, RunEnd.STOPPED)
        self.assertFalse(self.job_table.ready)
        self.assertIs(JobPhase.CANCELLED, job.phase)

    def test_checkpoint_is_kept(self) -> None:
        """Guards against a stopped task that loses its checkpoint."""
        job = add_job(self.job_table, 'j', make_step(has_checkpoints=True))
        run = start_run(self.job_table, first_task(job), self.worker)
        self._end(run, RunEnd.STOPPED, checkpoint='0bb8')
        self.assertEqual('0bb8', first_task(job).checkpoint)

    @settings(derandomize=True, max_examples=150)
    @given(st.lists(st.sampled_from(list(RunEnd)), max_size=30))
    def test_restored_job_is_the_same(self, ends: list[RunEnd]) -> None:
        """Guards against a job that a new owner restores in another state."""
        job_table = JobTable()
        job = add_job(
            job_table,
            'j',
            make_step(3, has_checkpoints=True),
            make_step(2, after=(0,)),
        )
        for how in ends:
            if job_table.ready:
                task = next(iter(job_table.ready.values()))
                run = start_run(job_table, task, self.worker)
                self._end(run, how, job_table=job_table)
        stored = decode(
            encode(build_progress_record(job)), ProgressRecord, key='k'
        )
        restored_table = JobTable()
        restored = restore_job(job.request, stored, revision=1, now_s=0)
        restored_table.add_restored(restored, now_s=0, now_ms=0)
        self.assertEqual(set(job_table.ready), set(restored_table.ready))
        self.assertEqual(job.phase, restored.phase)
        self.assertEqual(
            build_progress_record(job), build_progress_record(restored)
        )

    def _run(
        self,
        task: Task,
        *,
        began_s: float,
        ended_s: float,
        how: RunEnd = RunEnd.DONE,
    ) -> None:
        """Start a task and end it at the given times."""
        run = start_run(self.job_table, task, self.worker, now_s=began_s)
        self.job_table.end_run(
            run, how, checkpoint='', max_attempts=3, now_s=ended_s
        )

    def _end(
        self,
        run: Run,
        how: RunEnd,
        *,
        checkpoint: str = '',
        job_table: JobTable | None = None,
    ) -> None:
        (job_table or self.job_table).end_run(
            run,
            how,
            checkpoint=checkpoint,
            max_attempts=3,
            now_s=1,
        )
        self.assertIs(RunPhase.ENDED, run.phase)
