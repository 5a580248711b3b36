"""Learned effect of tasks that fill on the tails of tasks that serve.

Load answered: many filling tasks of several images beside serving tasks of
others. The effect differs by pair of images by an order of magnitude, changes
within seconds, and is only visible in lagging readings.

The *headroom* of a serving task is its target divided by its tail latency: 1
at the target, and less above it. A tail grows like that of a queue, with one
over the share of the processors that is left, so headroom falls linearly with
what disturbs: each filling task takes its share of the worker's processors
times a weight of the pair of images. The weights are learned by a Kalman
filter that treats them as independent.

    >>> model = InterferenceModel()
    >>> load = FillingLoad('fill', 0.1)
    >>> model.observe('serve', [load], lost_headroom=1, variance=0.1)
    >>> 6 < model.weight('fill', 'serve') < 10
    True
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from msgspec import Struct

# Headroom that a whole worker of filling work is expected to take before
# anything was observed, and the variance of that.
_PRIOR_WEIGHT = 3.5
_PRIOR_VARIANCE = 25.0

# Added to the variance of a weight by each reading, since it changes.
_DRIFT_VARIANCE = 0.02

# Added to the variance of a weight that an earlier owner has learned.
_AGED_VARIANCE = 0.3

# Below this headroom a tail no longer shows how much disturbs it, only that
# it is at least so much.
_SATURATED_HEADROOM = 0.2


@dataclass(frozen=True, slots=True)
class FillingLoad:
    """A filling task's image and its share of the worker's processors."""

    image: str
    share: float


@dataclass(slots=True)
class _Weight:
    mean: float = _PRIOR_WEIGHT
    variance: float = _PRIOR_VARIANCE


class KnownWeight(Struct, frozen=True, array_like=True):
    """A learned weight of a pair of images, as it is stored."""

    serving: str
    filling: str
    mean: float
    variance: float


@dataclass(frozen=True, slots=True)
class HeadroomLoss:
    """Headroom that a serving task is expected to lose, and its variance."""

    headroom: float
    variance: float


@dataclass(slots=True)
class InterferenceModel:
    """Weights by serving image and filling image."""

    _weights: dict[str, dict[str, _Weight]] = field(default_factory=dict)

    def learned_weights(self) -> tuple[KnownWeight, ...]:
        """Return what was learned, for a later owner."""
        return tuple(
            KnownWeight(serving, filling, weight.mean, weight.variance)
            for serving, weights in self._weights.items()
            for filling, weight in weights.items()
        )

    def restore(self, found: Iterable[KnownWeight]) -> None:
        """Start from what an earlier owner has learned."""
        for known in found:
            weights = self._weights.setdefault(known.serving, {})
            variance = min(known.variance + _AGED_VARIANCE, _PRIOR_VARIANCE)
            weights[known.filling] = _Weight(known.mean, variance)

    def weight(self, filling: str, serving: str) -> float:
        """Return the headroom that a whole worker of ``filling`` takes."""
        known = self._weights.get(serving, {}).get(filling)
        return _PRIOR_WEIGHT if known is None else known.mean

    def expected_loss(
        self, serving: str, pressures: Iterable[FillingLoad]
    ) -> HeadroomLoss:
        """Return the headroom that a serving task loses beside others."""
        known = self._weights.get(serving, {})
        headroom: float = 0
        variance: float = 0
        for pressure in pressures:
            found = known.get(pressure.image)
            mean = _PRIOR_WEIGHT if found is None else found.mean
            spread = _PRIOR_VARIANCE if found is None else found.variance
            headroom += mean * pressure.share
            variance += spread * pressure.share * pressure.share
        return HeadroomLoss(headroom, variance)

    def observe(
        self,
        serving: str,
        pressures: Sequence[FillingLoad],
        *,
        lost_headroom: float,
        variance: float,
    ) -> None:
        """Take in the headroom that these pressures have taken together.

        ``variance`` is that of the reading.
        """
        known = self._weights.setdefault(serving, {})
        shares: Counter[str] = Counter()
        for pressure in pressures:
            shares[pressure.image] += pressure.share  # type: ignore[assignment]
        found = {image: known.setdefault(image, _Weight()) for image in shares}
        expected: float = 0
        total = variance
        for image, weight in found.items():
            weight.variance += _DRIFT_VARIANCE
            expected += weight.mean * shares[image]
            total += weight.variance * shares[image] ** 2
        for image, weight in found.items():
            gain = weight.variance * shares[image] / total
            weight.mean = max(
                0, weight.mean + gain * (lost_headroom - expected)
            )
            weight.variance *= 1 - gain * shares[image]


def is_saturated(headroom: float) -> bool:
    """Whether a reading only shows the least that disturbs a task."""
    return headroom < _SATURATED_HEADROOM
