"""Ejection: failing workers get no requests, within the allowed share."""

from __future__ import annotations

import unittest

from marjoramwharf.ids import WorkerId
from marjoramwharf.machines.health import HealthSignal, WorkerHealth

_IDS = tuple(WorkerId(f'w{number}') for number in range(10))
_FIRST = _IDS[0]


class HealthTests(unittest.TestCase):
    """Guards against requests to failing workers and mass ejection."""

    def setUp(self) -> None:
        """Set ten workers, of which three may be ejected."""
        self.health = WorkerHealth(max_ejected_share=0.3)
        self.health.set_workers(frozenset(_IDS))

    def test_few_failures_do_not_eject(self) -> None:
        """Guards against ejection on too little evidence."""
        self._fail(_FIRST, 4)
        self.assertFalse(self._list_ejected(0))
        self.assertLess(self.health.success_share(_FIRST, 0), 0.25)

    def test_failing_worker_is_ejected(self) -> None:
        """Guards against a worker that fails fast and so attracts requests."""
        self._fail(_FIRST, 5)
        self.assertEqual(self._list_ejected(0), {_FIRST})
        self.assertFalse(self.health.try_begin_call(_FIRST, 0))
        self.assertEqual(self.health.success_share(_FIRST, 0), 0)

    def test_at_most_the_share_is_ejected(self) -> None:
        """Guards against an outage because all workers are ejected."""
        for worker_id in _IDS:
            self._fail(worker_id, 20)
        self.assertEqual(len(self._list_ejected(0)), 3)

    def test_one_probe_at_a_time_with_growing_delay(self) -> None:
        """Guards against bursts of requests to a worker that still fails."""
        self._fail(_FIRST, 5)
        self.assertTrue(self.health.try_begin_call(_FIRST, 2))
        self.assertFalse(self.health.try_begin_call(_FIRST, 2))
        self.assertEqual(self._list_ejected(2), {_FIRST})
        self.health.record_call_end(_FIRST, HealthSignal.FAILED, 2, start_s=2)
        self.assertFalse(self.health.try_begin_call(_FIRST, 5))
        self.assertTrue(self.health.try_begin_call(_FIRST, 6))
        self.health.record_call_end(_FIRST, HealthSignal.GOOD, 6, start_s=6)
        self.assertFalse(self._list_ejected(6))

    def test_call_from_before_the_ejection_is_no_probe(self) -> None:
        """Guards against a late answer that restores a failing worker."""
        self._fail(_FIRST, 5)
        self.assertTrue(self.health.try_begin_call(_FIRST, 2))
        self.health.record_call_end(_FIRST, HealthSignal.GOOD, 3, start_s=1)
        self.assertEqual(self._list_ejected(100), {_FIRST})

    def test_probe_without_signal_is_repeated(self) -> None:
        """Guards against a worker that stays ejected forever."""
        self._fail(_FIRST, 5)
        self.assertTrue(self.health.try_begin_call(_FIRST, 2))
        self.health.record_call_end(_FIRST, HealthSignal.NONE, 2, start_s=2)
        self.assertTrue(self.health.try_begin_call(_FIRST, 2))

    def test_old_failures_leave_the_window(self) -> None:
        """Guards against an ejection for failures before the window."""
        self._fail(_FIRST, 4)
        self.health.record_call_end(_FIRST, HealthSignal.FAILED, 20, start_s=20)
        self.assertFalse(self._list_ejected(20))

    def test_removed_worker_is_no_longer_ejected(self) -> None:
        """Guards against removed workers that use up the allowed share."""
        self._fail(_FIRST, 5)
        self.health.set_workers(frozenset(_IDS[1:]))
        self.assertFalse(self._list_ejected(0))

    def _fail(self, worker_id: WorkerId, count: int) -> None:
        for _ in range(count):
            self.health.record_call_end(
                worker_id, HealthSignal.FAILED, 0, start_s=0
            )

    def _list_ejected(self, now_s: float) -> frozenset[WorkerId]:
        return self.health.list_ejected(now_s, allow_probes=True)
