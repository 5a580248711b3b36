"""Learned effect of filling tasks on the tail latency of serving tasks.

Filling tasks of several images run beside serving tasks of others. The effect
differs between pairs of images by an order of magnitude, changes within
seconds, and is only visible in readings that lag.

The *headroom* of a serving task is its target divided by its tail latency: 1
at the target, and less above it. A tail latency grows like that of a queue,
with the inverse of the CPU share that is left, so headroom falls linearly with
the load of the filling tasks: each takes its share of the worker's CPU times a
weight of the pair of images. The weights are learned by a Kalman filter that
treats them as independent.

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

# Mean and variance of a weight before any reading. A weight is the headroom
# that filling tasks take if they use the whole CPU of the worker.
_PRIOR_WEIGHT = 3.5
_PRIOR_VARIANCE = 25.0

# Added to the variance of a weight by each reading, since weights drift.
_DRIFT_VARIANCE = 0.02

# Added to the variance of a weight that a former owner has learned.
_RESTORED_VARIANCE = 0.3

# Below this headroom a tail latency no longer shows how strong the interference
# is, only that it is at least so strong.
_SATURATED_HEADROOM = 0.2


@dataclass(frozen=True, slots=True)
class FillingLoad:
    """A filling task's image and its share of the worker's CPU."""

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
    """Headroom that a serving task is expected to lose, and the variance."""

    headroom: float
    variance: float


@dataclass(slots=True)
class InterferenceModel:
    """Estimated weight of each pair of a serving and a filling image."""

    _weights: dict[str, dict[str, _Weight]] = field(default_factory=dict)

    def learned_weights(self) -> tuple[KnownWeight, ...]:
        """Return the learned weights, to be stored for a later owner."""
        return tuple(
            KnownWeight(serving, filling, weight.mean, weight.variance)
            for serving, weights in self._weights.items()
            for filling, weight in weights.items()
        )

    def restore(self, stored: Iterable[KnownWeight]) -> None:
        """Take over the weights that a former owner has learned."""
        for known in stored:
            weights = self._weights.setdefault(known.serving, {})
            variance = min(known.variance + _RESTORED_VARIANCE, _PRIOR_VARIANCE)
            weights[known.filling] = _Weight(known.mean, variance)

    def weight(self, filling: str, serving: str) -> float:
        """Return the headroom that ``filling`` would take on the whole CPU."""
        known = self._weights.get(serving, {}).get(filling)
        return _PRIOR_WEIGHT if known is None else known.mean

    def expected_loss(
        self, serving: str, loads: Iterable[FillingLoad]
    ) -> HeadroomLoss:
        """Return the headroom that a serving task would lose to the loads."""
        weights = self._weights.get(serving, {})
        headroom: float = 0
        variance: float = 0
        for load in loads:
            weight = weights.get(load.image)
            mean = _PRIOR_WEIGHT if weight is None else weight.mean
            weight_variance = (
                _PRIOR_VARIANCE if weight is None else weight.variance
            )
            headroom += mean * load.share
            variance += weight_variance * load.share * load.share
        return HeadroomLoss(headroom, variance)

    def observe(
        self,
        serving: str,
        loads: Sequence[FillingLoad],
        *,
        lost_headroom: float,
        variance: float,
    ) -> None:
        """Learn from the headroom that a serving task lost to all the loads.

        ``variance`` is that of ``lost_headroom``.
        """
        weights = self._weights.setdefault(serving, {})
        shares: Counter[str] = Counter()
        for load in loads:
            shares[load.image] += load.share  # type: ignore[assignment]
        updated = {
            image: weights.setdefault(image, _Weight()) for image in shares
        }
        expected: float = 0
        total_variance = variance
        for image, weight in updated.items():
            weight.variance += _DRIFT_VARIANCE
            expected += weight.mean * shares[image]
            total_variance += weight.variance * shares[image] ** 2
        for image, weight in updated.items():
            gain = weight.variance * shares[image] / total_variance
            weight.mean = max(
                0, weight.mean + gain * (lost_headroom - expected)
            )
            weight.variance *= 1 - gain * shares[image]


def is_saturated(headroom: float) -> bool:
    """Whether a headroom is too low to tell how strong interference is."""
    return headroom < _SATURATED_HEADROOM
