"""Exponentially decayed latency estimates per service and worker.

An estimate rises at once with a slow answer and falls slowly with fast ones
(a peak-sensitive moving average), because interference comes in bursts and
sending one more request into a burst is expensive. Without answers the
estimate decays to the mean of all workers, so that a worker that was slow
once gets requests again.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from marjoramwharf.ids import ServiceId, WorkerId


@dataclass(slots=True)
class _Estimate:
    latency_ms: float
    updated_at_s: float


class LatencyEstimator:
    """Latency estimates in milliseconds by service and worker.

    ``decay_s`` is the time constant of the decay: after it, the weight of an
    answer has fallen to about a third.
    """

    def __init__(self, *, decay_s: float = 2, prior_ms: float = 10) -> None:
        """Start without observations, with ``prior_ms`` as the mean."""
        self._decay_s = decay_s
        self._prior_ms = prior_ms
        self._means_ms: dict[ServiceId, _Estimate] = {}
        self._estimates: dict[tuple[ServiceId, WorkerId], _Estimate] = {}

    def observe(
        self,
        service: ServiceId,
        worker_id: WorkerId,
        latency_ms: float,
        now_s: float,
    ) -> None:
        """Update the mean and the worker's estimate with one answer."""
        mean = self._means_ms.setdefault(
            service,
            _Estimate(latency_ms, now_s),
        )
        _move_average(mean, latency_ms, now_s, self._decay_s)
        estimate = self._estimates.get((service, worker_id))
        if estimate is None:
            self._estimates[(service, worker_id)] = _Estimate(latency_ms, now_s)
            return
        if latency_ms > estimate.latency_ms:
            estimate.latency_ms = latency_ms
            estimate.updated_at_s = now_s
            return
        _move_average(estimate, latency_ms, now_s, self._decay_s)

    def observe_lower_bound(
        self,
        service: ServiceId,
        worker_id: WorkerId,
        latency_ms: float,
        now_s: float,
    ) -> None:
        """Update the estimate with a call cancelled before its answer.

        The elapsed time is only a lower bound of the latency, so it counts
        only if it exceeds the prediction.
        """
        if latency_ms > self.predict_ms(service, worker_id, now_s):
            estimate = self._estimates.setdefault(
                (service, worker_id),
                _Estimate(latency_ms, now_s),
            )
            estimate.latency_ms = latency_ms
            estimate.updated_at_s = now_s

    def mean_ms(self, service: ServiceId) -> float:
        """Return the mean latency of a service over all workers."""
        mean = self._means_ms.get(service)
        return self._prior_ms if mean is None else mean.latency_ms

    def predict_ms(
        self,
        service: ServiceId,
        worker_id: WorkerId,
        now_s: float,
    ) -> float:
        """Return the predicted latency of a worker at this time."""
        mean_ms = self.mean_ms(service)
        estimate = self._estimates.get((service, worker_id))
        if estimate is None:
            return mean_ms
        age_s = max(0, now_s - estimate.updated_at_s)
        weight = math.exp(-age_s / self._decay_s)
        return weight * estimate.latency_ms + (1 - weight) * mean_ms

    def forget(self, worker_id: WorkerId) -> None:
        """Remove the estimates of a removed worker."""
        self._estimates = {
            key: estimate
            for key, estimate in self._estimates.items()
            if key[1] != worker_id
        }


def _move_average(
    estimate: _Estimate,
    latency_ms: float,
    now_s: float,
    decay_s: float,
) -> None:
    """Move an estimate towards an observation.

    The weight of the observation grows with the time since the last update.
    It is at least a tenth, so that the estimate also follows answers that
    arrive at a high rate.
    """
    age_s = max(0, now_s - estimate.updated_at_s)
    share = max(0.1, 1 - math.exp(-age_s / decay_s))
    estimate.latency_ms += share * (latency_ms - estimate.latency_ms)
    estimate.updated_at_s = now_s
