"""Health of the store, derived from the calls of this entry."""

from __future__ import annotations

import enum


@enum.unique
class StoreHealth(enum.Enum):
    """State of the store as this entry sees it."""

    HEALTHY = 'healthy'
    SLOW = 'slow'
    DOWN = 'down'


# A single failure may be due to its connection; three in a row are not.
_FAILURES_UNTIL_DOWN = 3
_ANSWERS_UNTIL_UP = 2

# Weight of the latest call in the moving average of the latency, which adapts
# to a change within about ten calls.
_LATEST_WEIGHT = 0.2

# Shares of the call timeout: the store is slow once the average latency is
# above the first, until it is below the second.
_SLOW_ABOVE_SHARE = 0.5
_FAST_BELOW_SHARE = 0.25


class HealthTracker:
    """Derives the health from answers and failures, with hysteresis."""

    def __init__(self, *, timeout_s: float) -> None:
        """Compare the latency with the timeout of a call."""
        self._timeout_s = timeout_s
        self._mean_s: float = 0
        self._consecutive_failures_count = 0
        self._consecutive_answers_count = 0
        self._is_down = False
        self._is_slow = False

    @property
    def health(self) -> StoreHealth:
        """The current state."""
        if self._is_down:
            return StoreHealth.DOWN
        return StoreHealth.SLOW if self._is_slow else StoreHealth.HEALTHY

    def record_answer(self, took_s: float) -> None:
        """Record a call that the store answered after ``took_s`` seconds."""
        self._consecutive_failures_count = 0
        self._consecutive_answers_count += 1
        if self._consecutive_answers_count >= _ANSWERS_UNTIL_UP:
            self._is_down = False
        self._mean_s += _LATEST_WEIGHT * (took_s - self._mean_s)
        if self._mean_s > _SLOW_ABOVE_SHARE * self._timeout_s:
            self._is_slow = True
        elif self._mean_s < _FAST_BELOW_SHARE * self._timeout_s:
            self._is_slow = False

    def record_failure(self) -> None:
        """Record a call that was rejected or got no answer."""
        self._consecutive_answers_count = 0
        self._consecutive_failures_count += 1
        if self._consecutive_failures_count >= _FAILURES_UNTIL_DOWN:
            self._is_down = True
