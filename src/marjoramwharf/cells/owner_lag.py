"""Judges whether the owner of a cell runs too slowly to serve it.

On a slow machine the event loop wakes late, and so do polls, orders and plans,
while renewals of the lease still get through. Work of the cell alone keeps the
loop busy for a few hundredths of a second at a time.

    >>> lag = OwnerLag(owned_since_s=0)
    >>> for number in range(9):
    ...     lag.record(0.4, now_s=30 + number)
    >>> lag.is_too_slow(now_s=38)
    True
"""

from __future__ import annotations

import statistics
from collections import deque
from dataclasses import dataclass, field

# An owner is too slow if its loop wakes this late in the median of a window. A
# single long pause of the process doesn't count.
_MAX_MEDIAN_LAG_S = 0.2
_WINDOW_S = 3.0
_MIN_SAMPLES_COUNT = 3

# A new owner isn't judged. Where all entries are slow, the cell would change its
# owner again and again.
_MIN_TENURE_S = 20.0


@dataclass(frozen=True, slots=True)
class _Sample:
    recorded_s: float
    lag_s: float


@dataclass(slots=True)
class OwnerLag:
    """How late the event loop has woken lately, in a tenure since a time."""

    owned_since_s: float
    _samples: deque[_Sample] = field(default_factory=deque)

    def record(self, lag_s: float, *, now_s: float) -> None:
        """Record by how much a sleep took longer than asked for."""
        self._samples.append(_Sample(now_s, lag_s))

    def median_s(self, *, now_s: float) -> float:
        """Return the median of the window that ends now, 0 if too few samples."""
        while self._samples and now_s - self._samples[0].recorded_s > _WINDOW_S:
            self._samples.popleft()
        if len(self._samples) < _MIN_SAMPLES_COUNT:
            return 0
        return statistics.median(sample.lag_s for sample in self._samples)

    def is_too_slow(self, *, now_s: float) -> bool:
        """Whether another entry should serve the cell."""
        is_new = now_s - self.owned_since_s < _MIN_TENURE_S
        return not is_new and self.median_s(now_s=now_s) > _MAX_MEDIAN_LAG_S
