"""Failing workers: excluded after failures of several jobs."""

from __future__ import annotations

import unittest

from marjoramwharf.batch.failing_workers import WorkerFailureTracker
from marjoramwharf.errors import Reason
from marjoramwharf.ids import JobId, WorkerId

_WORKER = WorkerId('w-0')


class FailingWorkerTests(unittest.TestCase):
    """Guards against a failing worker that attracts ever more tasks."""

    def setUp(self) -> None:
        """Start without failures."""
        self.worker_failures = WorkerFailureTracker()

    def test_one_broken_job_does_not_exclude_a_worker(self) -> None:
        """Guards against a broken job that excludes every worker in turn."""
        for _ in range(10):
            self.worker_failures.record_failure(_WORKER, JobId('3-a'), 0)
        self.assertFalse(self.worker_failures.excluded_workers(0))

    def test_exclusion_has_a_reason_and_doubles(self) -> None:
        """Guards against a failing worker that returns too early or never."""
        for name in 'ab':
            self.worker_failures.record_failure(_WORKER, JobId(name), 0)
        exclusion = self.worker_failures.record_failure(_WORKER, JobId('c'), 0)
        assert exclusion is not None
        self.assertIs(exclusion.reason, Reason.WORKER_FAILING)
        self.assertEqual(self.worker_failures.excluded_workers(29), {_WORKER})
        self.assertFalse(self.worker_failures.excluded_workers(30))
        again = self.worker_failures.record_failure(_WORKER, JobId('d'), 30)
        assert again is not None
        self.assertEqual(again.until_s, 90)

    def test_success_ends_the_exclusion(self) -> None:
        """Guards against a recovered worker that still gets no tasks."""
        for name in 'abc':
            self.worker_failures.record_failure(_WORKER, JobId(name), 0)
        self.worker_failures.record_success(_WORKER)
        self.assertFalse(self.worker_failures.excluded_workers(0))
