"""A worker's own clock, as far as its answers tell.

Leases are times of that clock, which may run slow. The estimate is a lower
bound, so that a lease is never taken for ended too early.
"""

from __future__ import annotations

from dataclasses import dataclass

_MS_PER_S = 1_000

# The worker's clock may run this much slower than ours.
_SLOWEST_RATE = 0.98

# A clock that reads this much less than expected was started anew.
_RESTART_MS = 1_000


@dataclass(slots=True)
class WorkerClock:
    """The latest reading and the end of the longest lease given out.

    >>> clock = WorkerClock()
    >>> clock.note(5_000, now_s=10)
    True
    >>> clock.least_ms(now_s=20)
    14800.0
    """

    reading_ms: int | None = None
    read_s: float = 0
    lease_end_ms: int = 0

    def note(self, clock_ms: int, *, now_s: float) -> bool:
        """Take in a reading; tell whether the clock went on from the last.

        A reading that arrives late is older than it looks; the estimate only
        rises, so such a reading changes nothing.
        """
        expected_ms = self.least_ms(now_s=now_s)
        if expected_ms is None or clock_ms >= expected_ms:
            self.reading_ms = clock_ms
            self.read_s = now_s
            return True
        return clock_ms > expected_ms - _RESTART_MS

    def restart(self, clock_ms: int, *, now_s: float) -> None:
        """Start over with the clock of another incarnation."""
        self.reading_ms = clock_ms
        self.read_s = now_s
        self.lease_end_ms = 0

    def least_ms(self, *, now_s: float) -> float | None:
        """Return the least that the clock can read now."""
        if self.reading_ms is None:
            return None
        passed_ms = max(0, now_s - self.read_s) * _MS_PER_S
        return self.reading_ms + passed_ms * _SLOWEST_RATE

    def grant(self, length_ms: int, *, now_s: float) -> int | None:
        """Return the end of a lease that starts now, on the worker's clock."""
        if self.reading_ms is None:
            return None
        passed_ms = max(0, now_s - self.read_s) * _MS_PER_S
        end_ms = round(self.reading_ms + passed_ms) + length_ms
        self.lease_end_ms = max(self.lease_end_ms, end_ms)
        return end_ms

    def has_lapsed(self, *, now_s: float) -> bool:
        """Whether every lease given out has surely ended."""
        least_ms = self.least_ms(now_s=now_s)
        return least_ms is not None and least_ms > self.lease_end_ms
