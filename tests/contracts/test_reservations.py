"""Reservations: no dimension of a worker is ever given out twice."""

from __future__ import annotations

import unittest

from marjoramwharf.contracts.reservations import Reservations
from marjoramwharf.ids import TaskId
from marjoramwharf.machines.calls import Demand, TaskPhase, TaskReport
from marjoramwharf.machines.worker import Capacity

_TASK = TaskId('t1')
_OTHER = TaskId('t2')
_FENCE = (1, 1)


def _report(task_id: TaskId, phase: TaskPhase) -> TaskReport:
    return TaskReport(task_id, _FENCE, phase, 0, Demand(3000, 100))


class ReservationsTests(unittest.TestCase):
    """Guards against work beyond a worker's processors and memory."""

    def setUp(self) -> None:
        """Start with four processors, 8 GB and one accelerator."""
        self.kept = Reservations(Capacity(8, 64, 4000, 8000, 1))

    def test_each_dimension_is_a_limit(self) -> None:
        """Guards against a check of processors only."""
        for demand in (
            Demand(4001, 0),
            Demand(0, 8001),
            Demand(0, 0, 2),
        ):
            self.assertFalse(self.kept.reserve(_TASK, _FENCE, demand, 0))
        self.assertTrue(
            self.kept.reserve(_TASK, _FENCE, Demand(4000, 8000, 1), 0)
        )
        self.assertFalse(self.kept.reserve(_OTHER, _FENCE, Demand(1, 0), 0))

    def test_repeat_is_not_counted_twice(self) -> None:
        """Guards against a leak when the answer of Reserve was lost."""
        for _ in range(3):
            self.assertTrue(
                self.kept.reserve(_TASK, _FENCE, Demand(3000, 1), 0)
            )
        self.assertEqual(self.kept.free.cpu_millicores, 1000)

    def test_running_tasks_are_adopted(self) -> None:
        """Guards against a new owner that gives out used processors."""
        self.kept.record_reports([_report(_TASK, TaskPhase.THROTTLED)], 0)
        self.assertFalse(self.kept.reserve(_OTHER, _FENCE, Demand(2000, 0), 0))

    def test_end_frees_and_absence_after_a_sighting_too(self) -> None:
        """Guards against reservations of ended tasks that stay for ever."""
        for last in ([_report(_TASK, TaskPhase.FINISHED)], []):
            self.kept.record_reports([_report(_TASK, TaskPhase.RUNNING)], 0)
            self.kept.record_reports(last, 0)
            self.assertEqual(self.kept.free.cpu_millicores, 4000)

    def test_start_under_way_is_kept(self) -> None:
        """Guards against freeing a reservation before its start arrives."""
        self.kept.reserve(_TASK, _FENCE, Demand(3000, 100), 0)
        self.kept.record_reports([], 100)
        self.assertEqual(self.kept.free.cpu_millicores, 1000)
        self.assertEqual(self.kept.never_reported(100, 60), [(_TASK, _FENCE)])
        self.kept.release(_TASK, _FENCE)
        self.assertEqual(self.kept.free.cpu_millicores, 4000)
