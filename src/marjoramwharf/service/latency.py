"""Decayed estimates of the latency of each worker for each service.

An estimate rises at once with a slow answer and falls slowly with fast ones
(a peak-sensitive moving average), since interference hits in bursts and the
cost of sending one more request into a burst is high. Without answers it
returns to the mean of all workers, so that a worker that was slow once is
tried again.
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

    ``decay_s`` is the time after which an answer's weight has fallen to
    about a third.
    """

    def __init__(self, *, decay_s: float = 2, prior_ms: float = 10) -> None:
        """Start without observations; ``prior_ms`` stands in for the mean."""
        self._decay_s = decay_s
        self._prior_ms = prior_ms
        self._means_ms: dict[ServiceId, _Estimate] = {}
        self._workers: dict[tuple[ServiceId, WorkerId], _Estimate] = {}

    def observe(
        self,
        service: ServiceId,
        worker_id: WorkerId,
        latency_ms: float,
        now_s: float,
    ) -> None:
        """Take in the latency of one answer."""
        mean = self._means_ms.setdefault(
            service,
            _Estimate(latency_ms, now_s),
        )
        _blend(mean, latency_ms, now_s, self._decay_s)
        known = self._workers.get((service, worker_id))
        if known is None:
            self._workers[(service, worker_id)] = _Estimate(latency_ms, now_s)
            return
        if latency_ms > known.latency_ms:
            known.latency_ms = latency_ms
            known.updated_at_s = now_s
            return
        _blend(known, latency_ms, now_s, self._decay_s)

    def observe_lower_bound(
        self,
        service: ServiceId,
        worker_id: WorkerId,
        latency_ms: float,
        now_s: float,
    ) -> None:
        """Take in a call that was stopped before its answer.

        It says something only if it took longer than was predicted.
        """
        if latency_ms > self.predict_ms(service, worker_id, now_s):
            known = self._workers.setdefault(
                (service, worker_id),
                _Estimate(latency_ms, now_s),
            )
            known.latency_ms = latency_ms
            known.updated_at_s = now_s

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
        """Return the latency to expect of a worker now."""
        mean_ms = self.mean_ms(service)
        known = self._workers.get((service, worker_id))
        if known is None:
            return mean_ms
        age_s = max(0, now_s - known.updated_at_s)
        weight = math.exp(-age_s / self._decay_s)
        return weight * known.latency_ms + (1 - weight) * mean_ms

    def forget(self, worker_id: WorkerId) -> None:
        """Drop what is known of a worker that is gone."""
        self._workers = {
            key: estimate
            for key, estimate in self._workers.items()
            if key[1] != worker_id
        }


def _blend(
    estimate: _Estimate,
    latency_ms: float,
    now_s: float,
    decay_s: float,
) -> None:
    """Move an estimate towards an observation.

    The weight of the old value falls with the time since the last one; the
    floor of a tenth keeps the estimate moving under a high rate of answers.
    """
    age_s = max(0, now_s - estimate.updated_at_s)
    share = max(0.1, 1 - math.exp(-age_s / decay_s))
    estimate.latency_ms += share * (latency_ms - estimate.latency_ms)
    estimate.updated_at_s = now_s
