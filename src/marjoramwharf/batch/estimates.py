"""Correction of declared sizes by observed usage, per task class.

Declared sizes are highly inaccurate. For each class, the ratio of the observed
to the declared size is kept as a histogram whose counts decay, so that old
observations lose weight. The estimate is a high quantile of the ratio.

    >>> ratio = DecayingHistogram(half_life_s=3_600)
    >>> ratio.observe(0.5, now_s=0)
    >>> 0.5 <= ratio.quantile(0.95, now_s=0) < 0.55
    True
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from marjoramwharf.machines.calls import Demand

# Buckets grow by 5%, which bounds the error of a quantile.
_GROWTH = 1.05
_MIN_RATIO = 0.01
_MAX_RATIO = 100

# Below this weight, the declared size is used where it is larger.
_ENOUGH_COUNT = 20
_QUANTILE = 0.95

# Lighter buckets are dropped, so that an idle class takes no memory.
_LEAST_WEIGHT = 0.001


@dataclass(slots=True)
class DecayingHistogram:
    """A decayed histogram of ratios between 0.01 and 100."""

    half_life_s: float
    _weights: dict[int, float] = field(default_factory=dict)
    _decayed_at_s: float = 0

    def observe(self, ratio: float, *, now_s: float) -> None:
        """Add an observation of weight 1."""
        self._decay(now_s)
        bounded = min(max(ratio, _MIN_RATIO), _MAX_RATIO)
        bucket = math.ceil(math.log(bounded / _MIN_RATIO, _GROWTH))
        self._weights[bucket] = self._weights.get(bucket, 0) + 1

    def count(self, now_s: float) -> float:
        """Return the decayed number of observations."""
        self._decay(now_s)
        return sum(self._weights.values())

    def quantile(self, share: float, *, now_s: float) -> float:
        """Return the upper bound of the bucket that holds the quantile.

        Returns 1 without observations.
        """
        wanted = self.count(now_s) * share
        seen: float = 0
        for bucket in sorted(self._weights):
            seen += self._weights[bucket]
            if seen >= wanted:
                return float(_MIN_RATIO * _GROWTH**bucket)
        return 1

    def _decay(self, now_s: float) -> None:
        passed_s = now_s - self._decayed_at_s
        # Decay in steps of a tenth of the half-life keeps observations cheap.
        if passed_s * 10 < self.half_life_s:
            return
        factor = math.pow(0.5, passed_s / self.half_life_s)
        self._weights = {
            bucket: weight * factor
            for bucket, weight in self._weights.items()
            if weight * factor > _LEAST_WEIGHT
        }
        self._decayed_at_s = now_s


@dataclass(slots=True)
class SizeEstimator:
    """Estimated sizes of tasks, by task class."""

    half_life_s: float = 3_600
    _cpu: dict[str, DecayingHistogram] = field(default_factory=dict)
    _memory: dict[str, DecayingHistogram] = field(default_factory=dict)

    def observe(
        self,
        task_class: str,
        declared: Demand,
        used: Demand,
        *,
        now_s: float,
    ) -> None:
        """Take in the usage that a worker reports for a task."""
        self._of(self._cpu, task_class).observe(
            used.cpu_millicores / declared.cpu_millicores,
            now_s=now_s,
        )
        self._of(self._memory, task_class).observe(
            used.memory_mb / declared.memory_mb,
            now_s=now_s,
        )

    def correct(
        self,
        task_class: str,
        declared: Demand,
        *,
        used: Demand | None = None,
        now_s: float,
    ) -> Demand:
        """Return the size to reserve for a task.

        ``used`` is the usage observed for this very task. The result is never
        below it. Accelerators are not shared, so the declared count stays.
        """
        cpu = self._ratio(self._cpu, task_class, now_s)
        memory = self._ratio(self._memory, task_class, now_s)
        observed = used or Demand(0, 0)
        return Demand(
            cpu_millicores=max(
                math.ceil(declared.cpu_millicores * cpu),
                observed.cpu_millicores,
            ),
            memory_mb=max(
                math.ceil(declared.memory_mb * memory),
                observed.memory_mb,
            ),
            accelerators_count=max(
                declared.accelerators_count,
                observed.accelerators_count,
            ),
        )

    def _ratio(
        self,
        ratios: dict[str, DecayingHistogram],
        task_class: str,
        now_s: float,
    ) -> float:
        ratio = ratios.get(task_class)
        if ratio is None:
            return 1
        estimate = ratio.quantile(_QUANTILE, now_s=now_s)
        if ratio.count(now_s) < _ENOUGH_COUNT:
            return max(1, estimate)
        return estimate

    def _of(
        self,
        ratios: dict[str, DecayingHistogram],
        task_class: str,
    ) -> DecayingHistogram:
        return ratios.setdefault(task_class, DecayingHistogram(self.half_life_s))
