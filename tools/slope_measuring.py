"""Measures memory and times, and fits straight lines to them."""

from __future__ import annotations

import gc
import pathlib
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

Figures: TypeAlias = Mapping[str, float]

_ROUNDS_COUNT = 5
_BYTES_PER_KB = 1_024


@dataclass(frozen=True, slots=True)
class Case:
    """One sweep over sizes; ``measure`` returns the figures of one size.

    ``per`` names what a size counts. ``targets`` are the sizes at the two-year
    target, at which the fitted lines are evaluated.
    """

    measure: Callable[[int], Figures]
    per: str
    sizes: tuple[int, ...]
    targets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line through the points of one figure.

    ``error`` is the largest relative error: the distance of a measured point
    from the line as a share of that point.
    """

    slope: float
    intercept: float
    error: float

    def at(self, size: float) -> float:
        """Evaluate the line at a size."""
        return self.intercept + self.slope * size


def fit_line(points: Mapping[int, float]) -> Line:
    """Fit a line to the figure measured at each size.

    A single point gives a constant. Each point is weighted with the inverse of
    its size: errors grow with the size, and the large sizes would otherwise
    hide the small ones.
    """
    if len(points) == 1:
        return Line(0, next(iter(points.values())), 0)
    weights = {size: 1 / size for size in points}
    total_weight = sum(weights.values())
    mean_x = sum(weights[size] * size for size in points) / total_weight
    mean_y = (
        sum(weights[size] * measured for size, measured in points.items())
        / total_weight
    )
    squares_x = sum(weights[size] * (size - mean_x) ** 2 for size in points)
    slope = (
        sum(
            weights[size] * (size - mean_x) * (measured - mean_y)
            for size, measured in points.items()
        )
        / squares_x
    )
    intercept = mean_y - slope * mean_x
    largest_error = max(
        abs(intercept + slope * size - measured) / max(abs(measured), 1)
        for size, measured in points.items()
    )
    return Line(slope, intercept, largest_error)


def resident_bytes() -> int:
    """Return the resident memory of this process after a garbage collection."""
    gc.collect()
    status = pathlib.Path('/proc/self/status').read_text(encoding='ascii')
    for line in status.splitlines():
        name, _, amount = line.partition(':')
        if name == 'VmRSS':
            return int(amount.split()[0]) * _BYTES_PER_KB
    raise RuntimeError('/proc/self/status has no VmRSS line')


def time_us(call: Callable[[], object], *, count: int = 1) -> float:
    """Return the least of five times of a call, in us of processor time.

    Each of the five is the mean of ``count`` calls. The least is taken since
    other load on the machine only adds time.
    """
    times_us = []
    for _ in range(_ROUNDS_COUNT):
        started_s = time.process_time()
        deque((call() for _ in range(count)), maxlen=0)
        spent_s = time.process_time() - started_s
        times_us.append(spent_s / count * 1e6)
    return min(times_us)
