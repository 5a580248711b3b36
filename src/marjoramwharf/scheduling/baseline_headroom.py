"""Forecast of the headroom that a serving job would have undisturbed.

Load answered: serving tasks whose own load rises and falls within seconds.
All tasks of a job share its load, so each reading of any of them counts. What
fills is best placed where the load is about to fall.

    >>> load = BaselineHeadroom()
    >>> for second in range(10):
    ...     load.observe(3 - second / 10, at_s=second, variance=0.01)
    >>> round(load.forecast(at_s=10), 1)
    2.0
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Before any reading: the headroom of an undisturbed task, and the weight of
# that guess in readings of variance 1.
_PRIOR_HEADROOM = 2.0
_PRIOR_WEIGHT = 0.5

# Readings lose their weight with this time constant.
_MEMORY_S = 0.7

# Inverse variance of the change of the headroom in a second.
_SLOPE_WEIGHT = 10.0

# A trend is followed for no longer than this.
_LONGEST_TREND_S = 1.5

# How far below and above all earlier levels a forecast may go.
_BEYOND = 0.15


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
        """Take in the undisturbed headroom that a reading points to."""
        self._move_to(max(at_s, self._at_s))
        weight = 1 / variance
        back_s = at_s - self._at_s
        self._weight += weight
        self._weight_time += weight * back_s
        self._weight_square += weight * back_s * back_s
        self._weight_headroom += weight * headroom
        self._weight_time_headroom += weight * back_s * headroom
        level, _ = self._line()
        self._lowest = min(self._lowest, level)
        self._highest = max(self._highest, level)

    def forecast(self, *, at_s: float) -> float:
        """Return the expected undisturbed headroom at a time."""
        if not self._weight:
            return _PRIOR_HEADROOM
        level, slope = self._line()
        ahead_s = min(at_s - self._at_s, _LONGEST_TREND_S)
        expected = level + slope * ahead_s
        lowest = self._lowest - _BEYOND
        return min(max(expected, lowest), self._highest + _BEYOND)

    def _move_to(self, at_s: float) -> None:
        """Make the sums relative to a later time, and let them fade."""
        passed_s = at_s - self._at_s if self._weight else 0
        fade = math.exp(-passed_s / _MEMORY_S)
        time = self._weight_time
        self._weight_square += passed_s * (passed_s * self._weight - 2 * time)
        self._weight_time -= passed_s * self._weight
        self._weight_time_headroom -= passed_s * self._weight_headroom
        self._weight *= fade
        self._weight_time *= fade
        self._weight_square *= fade
        self._weight_headroom *= fade
        self._weight_time_headroom *= fade
        self._at_s = at_s

    def _line(self) -> tuple[float, float]:
        """Return the level at ``_at_s`` and its change in a second."""
        weight = self._weight + _PRIOR_WEIGHT
        headroom = self._weight_headroom + _PRIOR_WEIGHT * _PRIOR_HEADROOM
        spread = self._weight_square - self._weight_time**2 / weight
        common = self._weight_time_headroom
        common -= self._weight_time * headroom / weight
        slope = common / (spread + _SLOPE_WEIGHT)
        return (headroom - slope * self._weight_time) / weight, slope
