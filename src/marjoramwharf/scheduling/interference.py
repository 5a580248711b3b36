"""Learned effect of tasks that fill on the tail latency of tasks that serve.

Load answered: many filling tasks of several images beside serving tasks of
others. The effect differs by pair of images by an order of magnitude and is
only visible in lagging readings.

The model is linear in the logarithm of the tail: each filling task adds its
share of the worker's processors times a weight of the pair of images. The
weights of one serving image are learned by recursive least squares.

    >>> model = InterferenceModel()
    >>> round(model.tail_factor('serve', [Pressure('fill', 0.1)]), 2)
    1.57
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

# Log of the tail factor per whole worker of filling work that a pair is
# expected to have before anything was observed, and its variance.
_PRIOR_WEIGHT = 4.5
_PRIOR_VARIANCE = 8.0

# Variance of the logarithm of one reading, and what is added to a weight's
# variance by each reading, so that the weights can still change later.
_READING_VARIANCE = 0.3
_DRIFT_VARIANCE = 0.01

# Share of its target that an undisturbed tail is expected to have, and the
# weight of a new reading in the mean of undisturbed tails.
_PRIOR_REST_SHARE = 0.45
_REST_LEARNING_RATE = 0.02

# Part of the error of an expected tail that is put down to the serving task's
# own load, with and without filling tasks beside it.
_DISTURBED_REST_RATE = 0.15
_UNDISTURBED_REST_RATE = 0.6

# A tail never reads below this share of the target for the model.
_LEAST_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class Pressure:
    """A filling task's image and its share of the worker's processors."""

    image: str
    share: float


@dataclass(slots=True)
class _ServingImage:
    """What is known of the tails of one serving image."""

    rest_share: float = _PRIOR_REST_SHARE
    weights: dict[str, float] = field(default_factory=dict)
    covariance: dict[tuple[str, str], float] = field(default_factory=dict)

    def weight(self, filling: str) -> float:
        """Return the weight of a filling image, never below 0."""
        return max(0, self.weights.get(filling, _PRIOR_WEIGHT))

    def learn(self, shares: dict[str, float], seen: float) -> None:
        """Take in the log of a tail factor that these shares caused."""
        for image in shares:
            if image not in self.weights:
                self.weights[image] = _PRIOR_WEIGHT
                self.covariance[(image, image)] = _PRIOR_VARIANCE
            self.covariance[(image, image)] += _DRIFT_VARIANCE
        expected = sum(
            self.weights[image] * share for image, share in shares.items()
        )
        moved = {image: self._moved(image, shares) for image in self.weights}
        variance = _READING_VARIANCE + sum(
            moved[image] * share for image, share in shares.items()
        )
        for image, gain in moved.items():
            self.weights[image] += gain / variance * (seen - expected)
        for one in moved:
            for other in moved:
                change = moved[one] * moved[other] / variance
                known = self.covariance.get((one, other), 0)
                self.covariance[(one, other)] = known - change

    def _moved(self, image: str, shares: dict[str, float]) -> float:
        return sum(
            self.covariance.get((image, other), 0) * share
            for other, share in shares.items()
        )


@dataclass(slots=True)
class InterferenceModel:
    """What each serving image suffers from each filling image."""

    _images: dict[str, _ServingImage] = field(default_factory=dict)

    def weight(self, filling: str, serving: str) -> float:
        """Return the log of the tail factor per whole worker of filling."""
        known = self._images.get(serving)
        return _PRIOR_WEIGHT if known is None else known.weight(filling)

    def rest_share(self, serving: str) -> float:
        """Return the usual undisturbed tail as a share of its target."""
        known = self._images.get(serving)
        return _PRIOR_REST_SHARE if known is None else known.rest_share

    def tail_factor(
        self,
        serving: str,
        pressures: Iterable[Pressure],
    ) -> float:
        """Return by how much a tail is expected to grow."""
        return math.exp(
            sum(
                self.weight(pressure.image, serving) * pressure.share
                for pressure in pressures
            ),
        )

    def observe(
        self,
        serving: str,
        pressures: Sequence[Pressure],
        *,
        rest_share: float,
        tail_share: float,
    ) -> float:
        """Take in a tail, as a share of its target, and what caused it.

        ``rest_share`` is the undisturbed tail that was expected of this very
        task, whose own load rises and falls. Returns the new expectation.
        """
        image = self._images.setdefault(serving, _ServingImage())
        seen_share = max(tail_share, _LEAST_SHARE)
        factor = self.tail_factor(serving, pressures)
        error = math.log(seen_share / (rest_share * factor))
        if pressures:
            rest_rate = _DISTURBED_REST_RATE
            shares: dict[str, float] = {}
            for pressure in pressures:
                known = shares.get(pressure.image, 0)
                shares[pressure.image] = known + pressure.share
            image.learn(shares, math.log(seen_share / rest_share))
        else:
            rest_rate = _UNDISTURBED_REST_RATE
            step = _REST_LEARNING_RATE * (min(seen_share, 1) - image.rest_share)
            image.rest_share += step
        moved = rest_share * math.exp(rest_rate * error)
        return min(max(moved, _LEAST_SHARE), 1)
