"""Forecast of the headroom that a serving job has without interference.

Headroom (see :mod:`scheduling.interference`) changes within seconds with the
load of the job. All its tasks share the load, so each reading of any of them
counts. Filling tasks are best placed where the load is about to fall.

    >>> headroom = BaselineHeadroom()
    >>> for second in range(10):
    ...     headroom.observe(3 - second / 10, at_s=second, variance=0.01)
    >>> round(headroom.forecast(at_s=10), 1)
    2.0
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Headroom expected before any reading, and its weight (an inverse variance).
_PRIOR_HEADROOM = 2.0
_PRIOR_WEIGHT = 0.5

# Time constant of the exponential decay of a reading's weight.
_DECAY_TIME_S = 0.7

# Inverse variance of the slope, which is the headroom's change in a second,
# before any reading.
_PRIOR_SLOPE_WEIGHT = 10.0

# A forecast extends the slope for no longer than this.
_MAX_TREND_S = 1.5

# How far a forecast may leave the range of all headrooms fitted so far.
_FORECAST_MARGIN = 0.15


@dataclass(slots=True)
class BaselineHeadroom:
    """Exponentially weighted linear regression over the readings of a job.

    The sums are those of weight, weight x time and so on, with times relative
    to ``_at_s``, the time of the latest reading.
    """

    _at_s: float = 0
    _weight: float = 0
    _weight_time: float = 0
    _weight_square: float = 0
    _weight_headroom: float = 0
    _weight_time_headroom: float = 0
    _lowest: float = math.inf
    _highest: float = -math.inf

    def observe(
        self,
        headroom: float,
        *,
        at_s: float,
        variance: float,
    ) -> None:
        """Add the headroom implied by a reading, weighted 1 / ``variance``."""
        self._advance_to(max(at_s, self._at_s))
        weight = 1 / variance
        back_s = at_s - self._at_s
        self._weight += weight
        self._weight_time += weight * back_s
        self._weight_square += weight * back_s * back_s
        self._weight_headroom += weight * headroom
        self._weight_time_headroom += weight * back_s * headroom
        level, _ = self._fit_line()
        self._lowest = min(self._lowest, level)
        self._highest = max(self._highest, level)

    def forecast(self, *, at_s: float) -> float:
        """Return the headroom to expect at a time if no filling tasks ran."""
        if not self._weight:
            return _PRIOR_HEADROOM
        level, slope = self._fit_line()
        ahead_s = min(at_s - self._at_s, _MAX_TREND_S)
        expected = level + slope * ahead_s
        lowest = self._lowest - _FORECAST_MARGIN
        return min(max(expected, lowest), self._highest + _FORECAST_MARGIN)

    def _advance_to(self, at_s: float) -> None:
        """Make the sums relative to a later time, and decay the weights."""
        passed_s = at_s - self._at_s if self._weight else 0
        decay = math.exp(-passed_s / _DECAY_TIME_S)
        time = self._weight_time
        self._weight_square += passed_s * (passed_s * self._weight - 2 * time)
        self._weight_time -= passed_s * self._weight
        self._weight_time_headroom -= passed_s * self._weight_headroom
        self._weight *= decay
        self._weight_time *= decay
        self._weight_square *= decay
        self._weight_headroom *= decay
        self._weight_time_headroom *= decay
        self._at_s = at_s

    def _fit_line(self) -> tuple[float, float]:
        """Return the fitted headroom at ``_at_s`` and its change per second."""
        weight = self._weight + _PRIOR_WEIGHT
        headroom = self._weight_headroom + _PRIOR_WEIGHT * _PRIOR_HEADROOM
        spread = self._weight_square - self._weight_time**2 / weight
        covariance = self._weight_time_headroom
        covariance -= self._weight_time * headroom / weight
        slope = covariance / (spread + _PRIOR_SLOPE_WEIGHT)
        return (headroom - slope * self._weight_time) / weight, slope
