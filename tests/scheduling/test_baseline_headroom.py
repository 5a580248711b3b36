"""Forecast of the load of a serving job."""

from __future__ import annotations

import math
import random
import unittest

from marjoramwharf.scheduling.baseline_headroom import BaselineHeadroom


class BaselineHeadroomTests(unittest.TestCase):
    """A headroom that rises and falls within seconds."""

    def test_a_falling_load_is_foreseen(self) -> None:
        """Guards against filling work beside a load that is about to peak.

        Half a second ahead, the forecast is nearer than the last reading.
        """
        rng = random.Random(7)
        load = BaselineHeadroom()
        missed: float = 0
        missed_by_last: float = 0
        for look in range(400):
            at_s = look / 4
            reading = _swing(at_s) + rng.gauss(0, 0.22)
            load.observe(reading, at_s=at_s, variance=0.05)
            ahead = _swing(at_s + 0.5)
            missed += abs(load.forecast(at_s=at_s + 0.5) - ahead)
            missed_by_last += abs(reading - ahead)
        self.assertLess(missed, missed_by_last)

    def test_unknown_load(self) -> None:
        """Guards against a job without readings that counts as idle."""
        self.assertEqual(2, BaselineHeadroom().forecast(at_s=5))

    def test_old_readings_fade(self) -> None:
        """Guards against a load that is taken from long ago."""
        load = BaselineHeadroom()
        for second in range(10):
            load.observe(3, at_s=second, variance=0.05)
        for second in range(20, 25):
            load.observe(1.5, at_s=second, variance=0.05)
        self.assertAlmostEqual(1.5, load.forecast(at_s=25), delta=0.1)

    def test_readings_out_of_order(self) -> None:
        """Guards against a reading that is older than the latest one."""
        load = BaselineHeadroom()
        load.observe(2, at_s=10, variance=0.05)
        load.observe(2, at_s=9.9, variance=0.05)
        self.assertAlmostEqual(2, load.forecast(at_s=10), delta=0.1)


def _swing(at_s: float) -> float:
    return 2.6 + 0.94 * math.sin(2 * math.pi * at_s / 10)
