"""Times of jobs that a new owner has restored, for ``marjoramwharf-stages``."""

from __future__ import annotations

import unittest

from marjoramwharf.cells.records import (
    ProgressRecord,
    RunRecord,
    TaskRecord,
    restore_job,
)
from marjoramwharf.scheduling.job_state import JobPhase, RunEnd
from marjoramwharf.scheduling.job_table import JobTable
from tests.cells.cluster import job_request

_LOADED_S = 38_000


class RestoredTimesTests(unittest.TestCase):
    """Guards against waits of half a day on the page of an operator."""

    def test_waits_begin_with_the_owner(self) -> None:
        """Guards against times since the machine's start."""
        task = TaskRecord(0, 0, 0, last_run=1, runs=(RunRecord(1, 'w1', 5),))
        progress = ProgressRecord(
            JobPhase.OPEN, open_occurrences=(0,), tasks=(task,)
        )
        job = restore_job(
            job_request('a'), progress, revision=3, now_s=_LOADED_S
        )
        job_table = JobTable()
        job_table.add_restored(job, now_s=_LOADED_S, now_ms=0)
        run = next(job.live_runs())
        job_table.end_run(
            run,
            RunEnd.DONE,
            checkpoint='',
            max_attempts=3,
            now_s=_LOADED_S + 2,
        )
        times = job.stage_times
        self.assertEqual(
            (0, 0, 2), (times.retried_s, times.waited_s, times.ran_s)
        )
