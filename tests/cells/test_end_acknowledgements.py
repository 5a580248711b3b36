"""Ends of runs that are acknowledged once they are stored."""

from __future__ import annotations

import unittest

from marjoramwharf.cells.end_acknowledgements import EndAcknowledgements
from marjoramwharf.scheduling.job_state import Job
from tests.cells.cluster import job_request


class EndAcknowledgementTests(unittest.TestCase):
    """Guards against ends that a worker forgets too early, or never."""

    def setUp(self) -> None:
        """Create two workers that share the set of those that wait."""
        self.waiting: set[EndAcknowledgements] = set()
        self.first = EndAcknowledgements(self.waiting)
        self.second = EndAcknowledgements(self.waiting)
        self.job = Job(job_request('aa'), version=3)

    def test_waits_for_the_store(self) -> None:
        """Guards against an end that is acknowledged before it is stored."""
        self.first.add(1, self.job)
        self._acknowledge()
        self.assertEqual(0, self.first.acknowledged_number)
        self.assertEqual({self.first}, self.waiting)
        self.job.stored_version = 3
        self._acknowledge()
        self.assertEqual(1, self.first.acknowledged_number)
        self.assertFalse(self.waiting)

    def test_keeps_the_order(self) -> None:
        """Guards against an end that is skipped by a later one."""
        self.first.add(1, self.job)
        self.first.add(2, None)
        self.second.add(1, None)
        self._acknowledge()
        self.assertEqual(0, self.first.acknowledged_number)
        self.assertEqual(1, self.second.acknowledged_number)
        self.assertEqual({self.first}, self.waiting)

    def test_restarted_worker_waits_for_nothing(self) -> None:
        """Guards against the ends of a former incarnation that stay."""
        self.first.add(1, self.job)
        self.first.restart()
        self.assertFalse(self.waiting)

    def _acknowledge(self) -> None:
        for acknowledgements in tuple(self.waiting):
            acknowledgements.acknowledge_stored()
