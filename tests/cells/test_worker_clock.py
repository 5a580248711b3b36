"""Estimates of a worker's clock from answers that may arrive late."""

from __future__ import annotations

import unittest

from marjoramwharf.cells.worker_clock import WorkerClock


class WorkerClockTests(unittest.TestCase):
    """Guards against runs ended by a wrong idea of their worker's clock."""

    def setUp(self) -> None:
        """Read a clock that shows 10 s at 100 s of this entry's clock."""
        self.clock = WorkerClock()
        self.clock.observe(10_000, now_s=100)

    def test_answer_that_arrives_late(self) -> None:
        """Guards against a delayed answer that is taken for a restart."""
        # Made at 101 s, just after the request, and processed at 104 s.
        self.assertTrue(self.clock.may_show(11_000, since_s=100.9))

    def test_restarted_clock(self) -> None:
        """Guards against a restart that is missed."""
        self.assertFalse(self.clock.may_show(500, since_s=100.9))

    def test_late_reading_keeps_the_estimate(self) -> None:
        """Guards against an estimate that falls with a delayed answer."""
        self.clock.observe(14_000, now_s=104)
        self.clock.observe(12_000, now_s=104.1)
        self.assertGreater(self.clock.lower_bound_ms(now_s=104.1) or 0, 14_000)

    def test_lease_of_an_unknown_grantor(self) -> None:
        """Guards against a lease of a former owner that is taken as ended."""
        clock = WorkerClock()
        clock.restart(10_000, now_s=100, lease_end_ms=20_000)
        self.assertFalse(clock.has_lapsed(now_s=109))
        self.assertTrue(clock.has_lapsed(now_s=111))

    def test_time_of_a_late_report(self) -> None:
        """Guards against a report that counts as made when it is processed."""
        made_s = self.clock.time_of(11_000, sent_s=100.5, now_s=104)
        self.assertAlmostEqual(101, made_s, delta=0.1)

    def test_time_of_a_slow_clock(self) -> None:
        """Guards against report times that fall behind with a slow clock."""
        for second in range(1, 101):
            now_s = 100 + second
            self.clock.observe(10_000 + second * 980, now_s=now_s)
            made_s = self.clock.time_of(
                10_000 + second * 980, sent_s=now_s - 2, now_s=now_s
            )
            self.assertAlmostEqual(now_s, made_s, delta=0.1)
