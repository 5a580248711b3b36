"""Forecast of the headroom of a serving job without interference."""

from __future__ import annotations

import math
import random
import unittest

from marjoramwharf.scheduling.baseline_headroom import BaselineHeadroom


class BaselineHeadroomTests(unittest.TestCase):
    """A headroom that rises and falls within seconds."""

    def test_forecast_follows_trend(self) -> None:
        """Guards against filling tasks beside a load that is about to peak.

        The forecast of half a second ahead has to be nearer than the last
        reading.
        """
        rng = random.Random(7)
        load = BaselineHeadroom()
        forecast_error: float = 0
        last_reading_error: float = 0
        for poll in range(400):
            at_s = poll / 4
            reading = _true_headroom(at_s) + rng.gauss(0, 0.22)
            load.observe(reading, at_s=at_s, variance=0.05)
            actual = _true_headroom(at_s + 0.5)
            forecast_error += abs(load.forecast(at_s=at_s + 0.5) - actual)
            last_reading_error += abs(reading - actual)
        self.assertLess(forecast_error, last_reading_error)

    def test_forecast_without_readings(self) -> None:
        """Guards against a job that counts as idle while it has no readings."""
        self.assertEqual(2, BaselineHeadroom().forecast(at_s=5))

    def test_old_readings_decay(self) -> None:
        """Guards against a forecast from readings of long ago."""
        load = BaselineHeadroom()
        for second in range(10):
            load.observe(3, at_s=second, variance=0.05)
        for second in range(20, 25):
            load.observe(1.5, at_s=second, variance=0.05)
        self.assertAlmostEqual(1.5, load.forecast(at_s=25), delta=0.1)

    def test_readings_out_of_order(self) -> None:
        """Guards against a wrong fit after a reading older than the latest."""
        load = BaselineHeadroom()
        load.observe(2, at_s=10, variance=0.05)
        load.observe(2, at_s=9.9, variance=0.05)
        self.assertAlmostEqual(2, load.forecast(at_s=10), delta=0.1)


def _true_headroom(at_s: float) -> float:
    return 2.6 + 0.94 * math.sin(2 * math.pi * at_s / 10)
