"""Exponential backoff with full jitter.

Waits are drawn evenly from zero to a ceiling that doubles with each attempt,
so that entries cut at the same moment don't return at the same moment.
"""

from __future__ import annotations

import random

# Beyond this many doublings the ceiling has long reached its limit.
_MAX_DOUBLINGS = 16


class Backoff:
    """The waits of one retrying task.

    >>> Backoff(
    ...     initial_s=0.1, max_s=2, source=random.Random(1)
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
        """Start with ``initial_s`` as the ceiling, doubled up to ``max_s``."""
        self._first_s = initial_s
        self._limit_s = max_s
        self._source = rng or random.Random()
        self._attempt = 0

    def next_wait_s(self) -> float:
        """Return the next wait in seconds."""
        ceiling_s = min(self._limit_s, self._first_s * 2**self._attempt)
        self._attempt = min(self._attempt + 1, _MAX_DOUBLINGS)
        return self._source.uniform(0, ceiling_s)

    def reset(self) -> None:
        """Start over after a success."""
        self._attempt = 0
