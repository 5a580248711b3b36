"""Exponential backoff with full jitter.

Each wait is uniformly random between zero and a ceiling that doubles with
every attempt, so that entries disconnected together don't reconnect together.
"""

from __future__ import annotations

import random

# Bounds the power of two; the ceiling reaches its maximum much earlier.
_MAX_DOUBLINGS = 16


class Backoff:
    """Computes the waits between the attempts of one task.

    >>> Backoff(
    ...     initial_s=0.1, max_s=2, rng=random.Random(1)
    ... ).next_wait_s() < 0.1
    True
    """

    def __init__(
        self,
        *,
        initial_s: float,
        max_s: float,
        rng: random.Random | None = None,
    ) -> None:
        """Start with a ceiling of ``initial_s``; it doubles up to ``max_s``."""
        self._first_s = initial_s
        self._limit_s = max_s
        self._rng = rng or random.Random()
        self._attempt = 0

    def next_wait_s(self) -> float:
        """Return the next wait in seconds."""
        ceiling_s = min(self._limit_s, self._first_s * 2**self._attempt)
        self._attempt = min(self._attempt + 1, _MAX_DOUBLINGS)
        return self._rng.uniform(0, ceiling_s)

    def reset(self) -> None:
        """Reset the ceiling after a success."""
        self._attempt = 0
