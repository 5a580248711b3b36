"""Tests of reservations: no resource of a worker is reserved twice."""

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
        self.reservations = Reservations(Capacity(8, 64, 4000, 8000, 1))

    def test_each_dimension_is_a_limit(self) -> None:
        """Guards against a check that covers only the processors."""
        for demand in (
            Demand(4001, 0),
            Demand(0, 8001),
            Demand(0, 0, 2),
        ):
            self.assertFalse(
                self.reservations.reserve(_TASK, _FENCE, demand, 0)
            )
        self.assertTrue(
            self.reservations.reserve(_TASK, _FENCE, Demand(4000, 8000, 1), 0)
        )
        self.assertFalse(
            self.reservations.reserve(_OTHER, _FENCE, Demand(1, 0), 0)
        )

    def test_repeat_is_not_counted_twice(self) -> None:
        """Guards against a leak when the reply to Reserve was lost."""
        for _ in range(3):
            self.assertTrue(
                self.reservations.reserve(_TASK, _FENCE, Demand(3000, 1), 0)
            )
        self.assertEqual(self.reservations.free.cpu_millicores, 1000)

    def test_running_tasks_are_adopted(self) -> None:
        """Guards against a new owner that reserves processors in use."""
        self.reservations.record_reports(
            [_report(_TASK, TaskPhase.THROTTLED)], 0
        )
        self.assertFalse(
            self.reservations.reserve(_OTHER, _FENCE, Demand(2000, 0), 0)
        )

    def test_end_or_later_absence_frees(self) -> None:
        """Guards against reservations that are never freed."""
        for last in ([_report(_TASK, TaskPhase.FINISHED)], []):
            self.reservations.record_reports(
                [_report(_TASK, TaskPhase.RUNNING)], 0
            )
            self.reservations.record_reports(last, 0)
            self.assertEqual(self.reservations.free.cpu_millicores, 4000)

    def test_unreported_start_keeps_its_reservation(self) -> None:
        """Guards against freeing a reservation before the task starts."""
        self.reservations.reserve(_TASK, _FENCE, Demand(3000, 100), 0)
        self.reservations.record_reports([], 100)
        self.assertEqual(self.reservations.free.cpu_millicores, 1000)
        self.assertEqual(
            self.reservations.never_reported(100, 60), [(_TASK, _FENCE)]
        )
        self.reservations.release(_TASK, _FENCE)
        self.assertEqual(self.reservations.free.cpu_millicores, 4000)
