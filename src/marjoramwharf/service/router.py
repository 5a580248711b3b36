"""Chooses the worker for a request.

The router compares a bounded sample of the workers with a free permit, so the
cost of a choice does not grow with the number of workers.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from typing import Protocol, TypeAlias

from marjoramwharf.contracts.permits import Permit
from marjoramwharf.contracts.release_note import Routing
from marjoramwharf.ids import ServiceId, WorkerId
from marjoramwharf.service.latency import LatencyEstimator

# Two random choices already avoid most of the tail latency; more samples also
# avoid workers that interference slows down.
SAMPLE_COUNT = 6

RoundTripLookup: TypeAlias = Callable[[WorkerId], float]


class PermitSource(Protocol):
    """Source of permits, as the router uses it."""

    def candidates(
        self,
        service: ServiceId,
        now_s: float,
        *,
        rng: random.Random,
        count: int,
    ) -> Sequence[WorkerId]:
        """Return a sample of at most ``count`` workers with a free permit."""

    def take(self, worker_id: WorkerId, now_s: float) -> Permit | None:
        """Take a permit of a worker, or return ``None`` if none is free."""


class Router:
    """Chooses workers by the routing policy in force and takes their permits.

    ``routing`` may be set at any time; the next choice applies it.
    """

    def __init__(
        self,
        *,
        permits: PermitSource,
        latencies: LatencyEstimator,
        round_trip_ms: RoundTripLookup,
        rng: random.Random,
    ) -> None:
        """Start without calls; ``round_trip_ms`` returns that to a worker."""
        self.routing = Routing.PREDICTED
        self._permits = permits
        self._latencies = latencies
        self._round_trip_ms = round_trip_ms
        self._rng = rng
        # Start times of the calls in flight, by worker and permit serial.
        self._started_at_s: dict[WorkerId, dict[int, float]] = {}
        # Turn (number of the choice) in which each worker was last chosen.
        self._last_turns: dict[WorkerId, int] = {}
        self._turn = 0

    def choose(
        self,
        service: ServiceId,
        excluded: frozenset[WorkerId],
        now_s: float,
    ) -> Permit | None:
        """Take a permit of the best worker in the sample, if any has one."""
        sampled = self._permits.candidates(
            service,
            now_s,
            rng=self._rng,
            count=SAMPLE_COUNT,
        )
        usable = [
            (self._rank(service, worker_id, now_s), worker_id)
            for worker_id in sampled
            if worker_id not in excluded
        ]
        if not usable:
            return None
        permit = self._permits.take(min(usable)[1], now_s)
        if permit is not None:
            self._record_call_start(permit, now_s)
        return permit

    def record_call_end(self, permit: Permit) -> None:
        """Record that the call under a permit has ended."""
        started = self._started_at_s.get(permit.worker_id, {})
        started.pop(permit.serial, None)
        if not started:
            self._started_at_s.pop(permit.worker_id, None)

    def estimate_cost_ms(
        self,
        service: ServiceId,
        worker_id: WorkerId,
        now_s: float,
    ) -> float:
        """Return the predicted latency of a call in milliseconds.

        The age of the oldest call in flight is a lower bound, so that a slow
        worker is recognised before its first slow answer arrives.

        Observed latencies include the network delay, but a worker without
        observations is predicted to have the mean of all workers. So the
        round trip is added, for every worker, to prefer near ones.
        """
        observed_ms = self._latencies.predict_ms(service, worker_id, now_s)
        started = self._started_at_s.get(worker_id)
        oldest_ms = 1_000 * (now_s - min(started.values())) if started else 0
        return max(observed_ms, oldest_ms) + self._round_trip_ms(worker_id)

    def _rank(
        self,
        service: ServiceId,
        worker_id: WorkerId,
        now_s: float,
    ) -> tuple[float, ...]:
        """Return the sort key of a worker; the lowest is chosen.

        Predicted latencies are compared in steps of a factor of two, and
        workers in the same step by their calls in flight. Finer differences
        are noise: ranking by them would send most calls to one worker until
        its latency rises.
        """
        if self.routing is Routing.ROUND_ROBIN:
            return (self._last_turns.get(worker_id, 0),)
        in_flight_count = len(self._started_at_s.get(worker_id, ()))
        if self.routing is Routing.LEAST_LOADED:
            return (in_flight_count,)
        cost_ms = self.estimate_cost_ms(service, worker_id, now_s)
        ratio = cost_ms / self._latencies.mean_ms(service)
        step = max(0, int(math.log2(max(ratio, 1))))
        return (step, in_flight_count, cost_ms)

    def _record_call_start(self, permit: Permit, now_s: float) -> None:
        started = self._started_at_s.setdefault(permit.worker_id, {})
        started[permit.serial] = now_s
        self._turn += 1
        self._last_turns[permit.worker_id] = self._turn
