"""Estimate of a worker's own clock from the times in its answers.

Leases end at times of that clock, which may run slow. The estimate is a lower
bound, so that a lease is never considered ended too early.
"""

from __future__ import annotations

from dataclasses import dataclass

_MS_PER_S = 1_000

# Lowest rate of the worker's clock relative to the clock of this entry.
_MIN_CLOCK_RATE = 0.98

# A clock that reads this much less than expected has been restarted.
_RESTART_THRESHOLD_MS = 1_000


@dataclass(slots=True)
class WorkerClock:
    """The latest reading of a worker's clock, and the latest end of its leases.

    >>> clock = WorkerClock()
    >>> clock.update(5_000, now_s=10)
    True
    >>> clock.lower_bound_ms(now_s=20)
    14800.0
    """

    reading_ms: int | None = None
    read_s: float = 0
    lease_end_ms: int = 0

    def update(self, clock_ms: int, *, now_s: float) -> bool:
        """Apply a reading; return whether the clock is the same as before.

        ``False`` means that the clock has been restarted. A reading that
        arrives late is below the estimate; it changes nothing, since the
        estimate only rises.
        """
        expected_ms = self.lower_bound_ms(now_s=now_s)
        if expected_ms is None or clock_ms >= expected_ms:
            self.reading_ms = clock_ms
            self.read_s = now_s
            return True
        return clock_ms > expected_ms - _RESTART_THRESHOLD_MS

    def reset(self, clock_ms: int, *, now_s: float) -> None:
        """Set the estimate to the clock of another incarnation."""
        self.reading_ms = clock_ms
        self.read_s = now_s
        self.lease_end_ms = 0

    def lower_bound_ms(self, *, now_s: float) -> float | None:
        """Return the lowest time that the clock can show now."""
        if self.reading_ms is None:
            return None
        elapsed_ms = max(0, now_s - self.read_s) * _MS_PER_S
        return self.reading_ms + elapsed_ms * _MIN_CLOCK_RATE

    def grant_lease(self, duration_ms: int, *, now_s: float) -> int | None:
        """Grant a lease from now on; return its end on the worker's clock.

        Returns ``None`` while the clock has not been read.
        """
        if self.reading_ms is None:
            return None
        elapsed_ms = max(0, now_s - self.read_s) * _MS_PER_S
        end_ms = round(self.reading_ms + elapsed_ms) + duration_ms
        self.lease_end_ms = max(self.lease_end_ms, end_ms)
        return end_ms

    def has_lapsed(self, *, now_s: float) -> bool:
        """Whether every granted lease has certainly ended."""
        lower_bound_ms = self.lower_bound_ms(now_s=now_s)
        return lower_bound_ms is not None and lower_bound_ms > self.lease_end_ms
