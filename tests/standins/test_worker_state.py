"""Tests of the stand-in worker, whose records other tests rely on."""

from __future__ import annotations

import unittest
from dataclasses import replace

from marjoramwharf.ids import CallId, Epoch, GrantId, TaskId
from marjoramwharf.machines.calls import (
    Demand,
    TaskPhase,
    TaskReport,
    TaskStart,
    WorkerRefusal,
)
from standins.worker_state import (
    CallRecord,
    Faults,
    WorkerConfig,
    WorkerState,
)

_START = TaskStart(
    TaskId('t'),
    (1, 1),
    Epoch(1),
    None,
    Demand(cpu_millicores=20_000, memory_mb=1_000),
    'batch',
    run_ms=60_000,
    checkpoint=1_000,
)


class WorkerStateTests(unittest.TestCase):
    """Guards against a stand-in that allows more than its contract."""

    def setUp(self) -> None:
        """Start a worker with two slots and one slowdown factor."""
        self.state = WorkerState(
            WorkerConfig(
                'w1',
                slots_count=2,
                service_sigma=0,
                slowdown={'notice': {'batch': 3}},
            ),
            0,
        )

    def test_expired_lease_stops_tasks_and_keeps_progress(self) -> None:
        """Guards against tasks that run on after their owner's lease."""
        self.state.start_task(_START, 0)
        report = self.state.start_task(_START, 50)
        assert isinstance(report, TaskReport)
        self.assertEqual(report.phase, TaskPhase.STOPPED)
        self.assertEqual(report.checkpoint, 11_000)
        refusal = self.state.start_task(replace(_START, fence=(1, 2)), 50)
        self.assertEqual(refusal, WorkerRefusal.STALE_EPOCH)

    def test_heartbeats_keep_tasks_until_their_end(self) -> None:
        """Guards against tasks that stop although their owner is alive."""
        self.state.start_task(_START, 0)
        for now_s in range(5, 70, 5):
            self.state.lease(Epoch(1), (), 10_000, now_s)
        self.assertEqual(self.state.tasks.history[0].end_s, 59)

    def test_running_task_slows_service(self) -> None:
        """Guards against running tasks that don't slow the service down."""
        alone_s = self.state.service_s('notice')
        self.state.start_task(_START, 0)
        self.assertAlmostEqual(self.state.service_s('notice'), 3 * alone_s)

    def test_capacity_is_refused_and_counted(self) -> None:
        """Guards against a record that hides calls above the capacity."""
        for name in ('a', 'b', 'c'):
            refusal = self.state.admit(_record(name))
        self.assertEqual(refusal, WorkerRefusal.FULL)
        self.assertEqual(self.state.history.refused_calls_count, 1)
        self.assertEqual(self.state.history.peak_slots_count, 2)

    def test_calls_after_leaving_are_recorded(self) -> None:
        """Guards against a record that hides calls to a leaving worker."""
        self.state.replace_faults(Faults(leaving=True), 7)
        self.state.admit(_record('a'))
        history = self.state.history
        self.assertEqual(history.leaving_since_s, 7)
        self.assertEqual(history.accepted_after_leaving, ['a'])


def _record(name: str) -> CallRecord:
    return CallRecord(
        CallId(name),
        GrantId('1-1'),
        Epoch(1),
        'notice',
        None,
        None,
        start_s=8,
    )
