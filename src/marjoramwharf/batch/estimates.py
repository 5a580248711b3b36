"""Corrects the declared sizes of tasks by the observed usage of their class.

Declared sizes are highly inaccurate. For each class, the ratios of observed to
declared size are kept in a histogram whose counts decay, so that old
observations lose weight. The estimate is a high quantile of these ratios.

    >>> ratio = DecayingHistogram(half_life_s=3_600)
    >>> ratio.observe(0.5, now_s=0)
    >>> 0.5 <= ratio.quantile(0.95, now_s=0) < 0.55
    True
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from marjoramwharf.machines.calls import Demand

# Each bucket is 5% wider than the one before, which bounds the relative error
# of a quantile.
_BUCKET_GROWTH = 1.05
_MIN_RATIO = 0.01
_MAX_RATIO = 100

# With fewer observations (after decay), a declared size is never reduced.
_MIN_OBSERVATIONS_COUNT = 20
_QUANTILE = 0.95

# Buckets below this weight are removed, so that an idle class takes no memory.
_MIN_BUCKET_WEIGHT = 0.001


@dataclass(slots=True)
class DecayingHistogram:
    """A histogram of ratios between 0.01 and 100 with decaying weights."""

    half_life_s: float
    _weights: dict[int, float] = field(default_factory=dict)
    _decayed_at_s: float = 0

    def observe(self, ratio: float, *, now_s: float) -> None:
        """Add an observation of weight 1."""
        self._decay(now_s)
        bounded = min(max(ratio, _MIN_RATIO), _MAX_RATIO)
        bucket = math.ceil(math.log(bounded / _MIN_RATIO, _BUCKET_GROWTH))
        self._weights[bucket] = self._weights.get(bucket, 0) + 1

    def count(self, now_s: float) -> float:
        """Return the sum of the decayed weights of all observations."""
        self._decay(now_s)
        return sum(self._weights.values())

    def quantile(self, share: float, *, now_s: float) -> float:
        """Return the upper bound of the bucket that contains a quantile.

        ``share`` is the quantile, between 0 and 1. Without observations, the
        result is 1.
        """
        target_weight = self.count(now_s) * share
        cumulative: float = 0
        for bucket in sorted(self._weights):
            cumulative += self._weights[bucket]
            if cumulative >= target_weight:
                return float(_MIN_RATIO * _BUCKET_GROWTH**bucket)
        return 1

    def _decay(self, now_s: float) -> None:
        """Reduce the weights by the time since they were last reduced."""
        elapsed_s = now_s - self._decayed_at_s
        # Decaying at most ten times per half-life keeps observations cheap.
        if elapsed_s * 10 < self.half_life_s:
            return
        factor = math.pow(0.5, elapsed_s / self.half_life_s)
        self._weights = {
            bucket: weight * factor
            for bucket, weight in self._weights.items()
            if weight * factor > _MIN_BUCKET_WEIGHT
        }
        self._decayed_at_s = now_s


@dataclass(slots=True)
class SizeEstimator:
    """Estimates the sizes of tasks by task class."""

    half_life_s: float = 3_600
    _cpu: dict[str, DecayingHistogram] = field(default_factory=dict)
    _memory: dict[str, DecayingHistogram] = field(default_factory=dict)

    def observe(
        self, task_class: str, declared: Demand, used: Demand, *, now_s: float
    ) -> None:
        """Record the usage that a worker reports for a task of a class."""
        self._histogram_of(self._cpu, task_class).observe(
            used.cpu_millicores / declared.cpu_millicores, now_s=now_s
        )
        self._histogram_of(self._memory, task_class).observe(
            used.memory_mb / declared.memory_mb, now_s=now_s
        )

    def correct_size(
        self,
        task_class: str,
        declared: Demand,
        *,
        used: Demand | None = None,
        now_s: float,
    ) -> Demand:
        """Return the size to reserve for a task.

        The declared size is corrected by the usage of the class, but never to
        less than ``used``, the usage that this very task had. Accelerators are
        not shared between tasks, so their declared count is not corrected.
        """
        cpu_ratio = self._estimate_ratio(self._cpu, task_class, now_s)
        memory_ratio = self._estimate_ratio(self._memory, task_class, now_s)
        least = used or Demand(0, 0)
        return Demand(
            cpu_millicores=max(
                math.ceil(declared.cpu_millicores * cpu_ratio),
                least.cpu_millicores,
            ),
            memory_mb=max(
                math.ceil(declared.memory_mb * memory_ratio), least.memory_mb
            ),
            accelerators_count=max(
                declared.accelerators_count, least.accelerators_count
            ),
        )

    def _estimate_ratio(
        self,
        histograms: dict[str, DecayingHistogram],
        task_class: str,
        now_s: float,
    ) -> float:
        histogram = histograms.get(task_class)
        if histogram is None:
            return 1
        estimate = histogram.quantile(_QUANTILE, now_s=now_s)
        if histogram.count(now_s) < _MIN_OBSERVATIONS_COUNT:
            return max(1, estimate)
        return estimate

    def _histogram_of(
        self, histograms: dict[str, DecayingHistogram], task_class: str
    ) -> DecayingHistogram:
        return histograms.setdefault(
            task_class, DecayingHistogram(self.half_life_s)
        )
