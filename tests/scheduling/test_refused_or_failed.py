"""A task that has failed at one worker, beside one that refused a start."""

from __future__ import annotations

import unittest

from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_state import JobPhase, RunEnd
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.planner import Planner
from tests.scheduling.fixtures import (
    QUEUE,
    QUEUES,
    add_job,
    first_task,
    make_fleet,
    make_step,
    make_worker,
    start_run,
)

_RUN_S = 1.0
_MAX_ATTEMPTS = QUEUE.max_attempts


class RefusedOrFailedTests(unittest.TestCase):
    """Guards against a job that fails at one worker while another has room."""

    def test_next_attempt_is_elsewhere(self) -> None:
        """Guards against all attempts at the worker that fails them."""
        job_table = JobTable()
        failing, other = make_worker('x'), make_worker('y')
        other.record_refusal(now_s=0)
        fleet = make_fleet(failing, other)
        job = add_job(job_table, 'j', make_step())
        task = first_task(job)
        run = start_run(job_table, task, failing, now_s=0)
        planner = Planner(
            job_table, fleet, InterferenceModel(), lambda _step: None
        )
        places = []
        for attempt in range(1, _MAX_ATTEMPTS):
            now_s = attempt * _RUN_S
            failing.remove(run)
            failing.record_outcome(has_failed=True, now_s=now_s)
            job_table.end_run(
                run,
                RunEnd.FAILED,
                checkpoint='',
                max_attempts=_MAX_ATTEMPTS,
                now_s=now_s,
            )
            self.assertIs(JobPhase.OPEN, job.phase)
            plans = planner.plan(QUEUES, now_s=now_s, now_ms=0)
            run = plans[0].runs[0]
            places.append(run.worker_id)
        self.assertIn('y', places)
