"""Estimate of a worker's own clock from the times in its answers.

Leases end at times of that clock, which may run slow. The estimate is a lower
bound, so that a lease is never considered ended too early.

An answer may be processed long after it was made: the network delays it, or
this process stands still. All that is known of the time of a reading is that
it lies between the request and the processing of the answer.
"""

from __future__ import annotations

from dataclasses import dataclass

_MS_PER_S = 1_000

# Lowest rate of the worker's clock relative to the clock of this entry.
MIN_CLOCK_RATE = 0.98

# A clock that shows this much less than it must has been restarted.
_RESTART_THRESHOLD_MS = 1_000

# How far the time in an answer may be from the estimate of its worker's clock.
_OTHER_CLOCK_THRESHOLD_MS = 1_000


def is_other_clock(
    clock_ms: int, *, expected_ms: float, waited_s: float
) -> bool:
    """Whether an answer shows a time of another clock than was expected.

    ``expected_ms`` is the estimate as of the request, and ``waited_s`` the time
    from the request to the processing of the answer.

    >>> is_other_clock(8_500, expected_ms=5_000, waited_s=3)
    False
    >>> is_other_clock(400, expected_ms=5_000, waited_s=3)
    True
    """
    lowest_ms = expected_ms - _OTHER_CLOCK_THRESHOLD_MS
    highest_ms = expected_ms + waited_s * _MS_PER_S + _OTHER_CLOCK_THRESHOLD_MS
    return not lowest_ms <= clock_ms <= highest_ms


@dataclass(slots=True)
class WorkerClock:
    """The latest reading of a worker's clock, and the latest end of its leases.

    ``offset_s`` is the least difference between this entry's clock and the
    worker's that answers have shown, as of ``offset_at_s``.

    >>> clock = WorkerClock()
    >>> clock.observe(5_000, now_s=10)
    >>> clock.lower_bound_ms(now_s=20)
    14800.0
    >>> clock.may_show(400, since_s=19)
    False
    """

    reading_ms: int | None = None
    read_s: float = 0
    lease_end_ms: int = 0
    offset_s: float = 0
    offset_at_s: float = 0

    def observe(self, clock_ms: int, *, now_s: float) -> None:
        """Apply a reading of the same clock.

        A reading that arrives late is below the estimate; it changes nothing,
        since the estimate only rises.
        """
        self.offset_s = self._least_offset_s(clock_ms, now_s)
        self.offset_at_s = now_s
        expected_ms = self.lower_bound_ms(now_s=now_s)
        if expected_ms is None or clock_ms >= expected_ms:
            self.reading_ms = clock_ms
            self.read_s = now_s

    def may_show(self, clock_ms: int, *, since_s: float) -> bool:
        """Whether this clock can show a time in an answer to a request.

        ``since_s`` is the time at which the request was sent. ``False`` means
        that the clock has been restarted.
        """
        lowest_ms = self.lower_bound_ms(now_s=since_s)
        return lowest_ms is None or clock_ms > lowest_ms - _RESTART_THRESHOLD_MS

    def restart(
        self, clock_ms: int, *, now_s: float, lease_end_ms: int
    ) -> None:
        """Set the estimate to the clock of another incarnation.

        ``lease_end_ms`` is the latest end of a lease that somebody else may
        have granted to it.
        """
        self.reading_ms = clock_ms
        self.read_s = now_s
        self.lease_end_ms = lease_end_ms
        self.offset_s = now_s - clock_ms / _MS_PER_S
        self.offset_at_s = now_s

    def lower_bound_ms(self, *, now_s: float) -> float | None:
        """Return the lowest time that the clock can show now."""
        if self.reading_ms is None:
            return None
        elapsed_ms = max(0, now_s - self.read_s) * _MS_PER_S
        return self.reading_ms + elapsed_ms * MIN_CLOCK_RATE

    def time_of(self, clock_ms: int, *, sent_s: float, now_s: float) -> float:
        """Return when, on this entry's clock, an answer with a time was made.

        ``sent_s`` is the time of the request, and ``now_s`` that at which the
        answer is processed.
        """
        made_s = clock_ms / _MS_PER_S + self._least_offset_s(clock_ms, now_s)
        return min(max(made_s, sent_s), now_s)

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

    def _least_offset_s(self, clock_ms: int, now_s: float) -> float:
        """Return the least offset known, which grows with a slow clock."""
        shown_s = now_s - clock_ms / _MS_PER_S
        if self.reading_ms is None:
            return shown_s
        drift_s = (now_s - self.offset_at_s) * (1 - MIN_CLOCK_RATE)
        return min(shown_s, self.offset_s + drift_s)
