"""Failed attempts of gangs, whose members fail together."""

from __future__ import annotations

import unittest

from marjoramwharf.cells.records import (
    ProgressRecord,
    build_progress_record,
    decode,
    encode,
    restore_job,
)
from marjoramwharf.scheduling.job_state import JobPhase, Run, RunEnd
from marjoramwharf.scheduling.job_table import JobTable, gang_of
from tests.scheduling.fixtures import (
    add_job,
    first_task,
    make_step,
    make_worker,
    start_run,
)

_MAX_ATTEMPTS = 3


class GangAttemptTests(unittest.TestCase):
    """Guards against a wrong number of attempts before a gang has failed."""

    def setUp(self) -> None:
        """Start with a gang of four."""
        self.job_table = JobTable()
        self.worker = make_worker('w1')
        step = make_step(4, is_gang=True, has_checkpoints=True)
        self.job = add_job(self.job_table, 'j', step)

    def test_members_fail_together(self) -> None:
        """Guards against a run that counts once for each failed member."""
        self._end(self._start(), RunEnd.FAILED)
        self.assertEqual(4, len(self.job_table.ready))
        self._end(self._start(), RunEnd.FAILED)
        self.assertIs(JobPhase.OPEN, self.job.phase)
        self._end(self._start()[:1], RunEnd.FAILED)
        self.assertIs(JobPhase.FAILED, self.job.phase)

    def test_failures_among_other_ends(self) -> None:
        """Guards against an attempt that only the first member counts."""
        for _ in range(_MAX_ATTEMPTS):
            self.assertIs(JobPhase.OPEN, self.job.phase)
            runs = self._start()
            self._end(runs[3:], RunEnd.FAILED)
            self._end(runs[:2], RunEnd.BROKEN)
            self._end(runs[2:3], RunEnd.FAILED)
        self.assertIs(JobPhase.FAILED, self.job.phase)

    def test_other_ends_are_no_attempts(self) -> None:
        """Guards against a broken gang that counts as a failed one."""
        for how in (RunEnd.BROKEN, RunEnd.ALONE, RunEnd.VANISHED):
            self._end(self._start(), how)
        self.assertEqual(0, first_task(self.job).failures_count)

    def test_owner_changes_between_the_ends(self) -> None:
        """Guards against a successor that counts the same run again."""
        for attempt in range(1, _MAX_ATTEMPTS):
            runs = self._start()
            self._end(runs[1:2], RunEnd.FAILED)
            self._restore()
            self._end(self._live_runs(), RunEnd.FAILED)
            self.assertEqual(attempt, first_task(self.job).failures_count)
            self._restore()
        self.assertIs(JobPhase.OPEN, self.job.phase)
        self._end(self._start()[2:], RunEnd.FAILED)
        self.assertIs(JobPhase.FAILED, self.job.phase)

    def test_duplicates_without_a_gang(self) -> None:
        """Guards against failures of a task's duplicates that don't count."""
        job = add_job(self.job_table, 'k', make_step(may_duplicate=True))
        runs = [
            start_run(self.job_table, first_task(job), self.worker)
            for _ in range(_MAX_ATTEMPTS)
        ]
        self._end(list(reversed(runs)), RunEnd.FAILED)
        self.assertIs(JobPhase.FAILED, job.phase)

    def _start(self) -> list[Run]:
        """Start a run of the whole gang."""
        tasks = gang_of(first_task(self.job))
        return [start_run(self.job_table, task, self.worker) for task in tasks]

    def _live_runs(self) -> list[Run]:
        return list(self.job.live_runs())

    def _end(self, runs: list[Run], how: RunEnd) -> None:
        for run in runs:
            self.job_table.end_run(
                run, how, checkpoint='', max_attempts=_MAX_ATTEMPTS, now_s=1
            )

    def _restore(self) -> None:
        """Replace the job by what a successor restores of it."""
        raw = encode(build_progress_record(self.job))
        stored = decode(raw, ProgressRecord, key='k')
        self.job = restore_job(self.job.request, stored, revision=1, now_s=0)
        self.job_table = JobTable()
        self.job_table.add_restored(self.job, now_s=0, now_ms=0)
