"""Speed of a worker, learned from all that runs there.

Each run is compared with the others of its step, which run on many workers. A
run that is slow on a worker where others are not is a long task, and moving it
only loses its work; where all are slow, it is the worker.

    >>> speed = WorkerSpeed()
    >>> for ratio in (0.9, 1.1, 0.2):
    ...     speed.record(ratio, now_s=1)
    >>> speed.is_slow((), now_s=2)
    False
"""

from __future__ import annotations

import statistics
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

# Ends of runs count for this long; a worker may turn slow within seconds.
_MEMORY_S = 4.0
_MAX_ENDS_COUNT = 16

# A worker is slow if the median of its runs is below this share of the others'.
_SLOW_SHARE = 0.6


class _EndedRun(NamedTuple):
    ended_s: float
    relative_rate: float


@dataclass(slots=True)
class WorkerSpeed:
    """Progress rates of runs on one worker, relative to those of their steps."""

    _ends: deque[_EndedRun] = field(
        default_factory=lambda: deque(maxlen=_MAX_ENDS_COUNT)
    )

    def record(self, relative_rate: float, *, now_s: float) -> None:
        """Add the relative rate of a run that has ended."""
        self._ends.append(_EndedRun(now_s, relative_rate))

    def is_slow(self, running: Iterable[float], *, now_s: float) -> bool:
        """Whether the worker is slow, by its runs and those that ended lately.

        Without any, it isn't known to be slow.
        """
        rates = [
            ended.relative_rate
            for ended in self._ends
            if now_s - ended.ended_s < _MEMORY_S
        ]
        rates.extend(running)
        return bool(rates) and statistics.median(rates) < _SLOW_SHARE
