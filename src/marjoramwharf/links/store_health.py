"""Health of the store, judged from the calls of this entry."""

from __future__ import annotations

import enum


@enum.unique
class StoreHealth(enum.Enum):
    """State of the store as this entry sees it."""

    HEALTHY = 'healthy'
    SLOW = 'slow'
    DOWN = 'down'


# One failed call may be the fault of its connection; three in a row are not.
_FAILURES_UNTIL_DOWN = 3
_ANSWERS_UNTIL_UP = 2

# Weight of the latest call in the mean latency: it follows a change within
# about ten calls.
_LATEST_WEIGHT = 0.2

# The mean becomes slow above the first share of the timeout, and is no longer
# slow below the second.
_SLOW_ABOVE_SHARE = 0.5
_FAST_BELOW_SHARE = 0.25


class HealthTracker:
    """Counts answers and failures; the thresholds have hysteresis."""

    def __init__(self, *, timeout_s: float) -> None:
        """Judge latency against the timeout of a call."""
        self._timeout_s = timeout_s
        self._mean_s: float = 0
        self._failures_in_row = 0
        self._answers_in_row = 0
        self._is_down = False
        self._is_slow = False

    @property
    def health(self) -> StoreHealth:
        """The present state."""
        if self._is_down:
            return StoreHealth.DOWN
        return StoreHealth.SLOW if self._is_slow else StoreHealth.HEALTHY

    def record_answer(self, took_s: float) -> None:
        """Note a call that the store answered."""
        self._failures_in_row = 0
        self._answers_in_row += 1
        if self._answers_in_row >= _ANSWERS_UNTIL_UP:
            self._is_down = False
        self._mean_s += _LATEST_WEIGHT * (took_s - self._mean_s)
        if self._mean_s > _SLOW_ABOVE_SHARE * self._timeout_s:
            self._is_slow = True
        elif self._mean_s < _FAST_BELOW_SHARE * self._timeout_s:
            self._is_slow = False

    def record_failure(self) -> None:
        """Note a call without an answer, or one that was turned away."""
        self._answers_in_row = 0
        self._failures_in_row += 1
        if self._failures_in_row >= _FAILURES_UNTIL_DOWN:
            self._is_down = True
