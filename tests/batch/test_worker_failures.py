"""Failing workers: set aside after failures of several jobs."""

from __future__ import annotations

import unittest

from marjoramwharf.batch.worker_failures import WorkerFailureTracker
from marjoramwharf.errors import Reason
from marjoramwharf.ids import JobId, WorkerId

_WORKER = WorkerId('w-0')


class FailingWorkerTests(unittest.TestCase):
    """Guards against a worker that fails everything and gets it all."""

    def setUp(self) -> None:
        """Start without failures."""
        self.failing = WorkerFailureTracker()

    def test_one_broken_job_does_not_set_a_worker_aside(self) -> None:
        """Guards against a bad job that closes the fleet."""
        for _ in range(10):
            self.failing.failed(_WORKER, JobId('3-a'), 0)
        self.assertFalse(self.failing.aside(0))

    def test_pause_has_a_reason_and_doubles(self) -> None:
        """Guards against a worker that returns at once or never."""
        for name in 'ab':
            self.failing.failed(_WORKER, JobId(name), 0)
        pause = self.failing.failed(_WORKER, JobId('c'), 0)
        assert pause is not None
        self.assertIs(pause.reason, Reason.WORKER_FAILING)
        self.assertEqual(self.failing.aside(29), {_WORKER})
        self.assertFalse(self.failing.aside(30))
        again = self.failing.failed(_WORKER, JobId('d'), 30)
        assert again is not None
        self.assertEqual(again.until_s, 90)

    def test_success_ends_the_pause(self) -> None:
        """Guards against a recovered worker that stays idle."""
        for name in 'abc':
            self.failing.failed(_WORKER, JobId(name), 0)
        self.failing.succeeded(_WORKER)
        self.assertFalse(self.failing.aside(0))
