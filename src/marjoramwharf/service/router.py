"""Choice of the worker for a request.

The choice looks at a bounded sample of the workers with a free permit, so its
cost does not grow with the number of workers.
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

# Two random choices already avoid most of the tail; more samples also avoid
# workers that are slow through interference.
SAMPLE_COUNT = 6

RoundTripLookup: TypeAlias = Callable[[WorkerId], float]


class PermitSource(Protocol):
    """The wallet, as far as the router needs it."""

    def candidates(
        self,
        service: ServiceId,
        now_s: float,
        *,
        rng: random.Random,
        count: int,
    ) -> Sequence[WorkerId]:
        """Return at most ``count`` sampled workers with a free permit."""

    def take(self, worker_id: WorkerId, now_s: float) -> Permit | None:
        """Take a permit of a worker."""


class Router:
    """Chooses workers by the routing rule in force and takes their permits.

    ``routing`` may be set at any time; the next choice follows it.
    """

    def __init__(
        self,
        *,
        permits: PermitSource,
        latencies: LatencyEstimator,
        round_trip_ms: RoundTripLookup,
        rng: random.Random,
    ) -> None:
        """Wire the router; ``round_trip_ms`` is the delay to a worker."""
        self.routing = Routing.PREDICTED
        self._permits = permits
        self._latencies = latencies
        self._round_trip_ms = round_trip_ms
        self._rng = rng
        self._started_at_s: dict[WorkerId, dict[int, float]] = {}
        self._turns: dict[WorkerId, int] = {}
        self._turn = 0

    def choose(
        self,
        service: ServiceId,
        excluded: frozenset[WorkerId],
        now_s: float,
    ) -> Permit | None:
        """Take a permit of the best sampled worker, or return ``None``."""
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
            self._note_use(permit, now_s)
        return permit

    def record_call_end(self, permit: Permit) -> None:
        """Note that a call of this entry to a worker has ended."""
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
        """Return the predicted time to the answer in milliseconds.

        A call that is under way for longer than predicted shows a slow worker
        before its answer does.

        Observed latencies hold the delay of the link; for a worker that was
        not observed yet the mean of all workers stands in, and the round trip
        is added to prefer near workers.
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

        Predicted latencies decide in steps of a doubling and the calls under
        way within a step. Finer differences are noise, and following them
        would send most calls to one worker until it is found slow.
        """
        if self.routing is Routing.ROUND_ROBIN:
            return (self._turns.get(worker_id, 0),)
        under_way = len(self._started_at_s.get(worker_id, ()))
        if self.routing is Routing.LEAST_LOADED:
            return (under_way,)
        estimate_cost_ms = self.estimate_cost_ms(service, worker_id, now_s)
        ratio = estimate_cost_ms / self._latencies.mean_ms(service)
        step = max(0, int(math.log2(max(ratio, 1))))
        return (step, under_way, estimate_cost_ms)

    def _note_use(self, permit: Permit, now_s: float) -> None:
        started = self._started_at_s.setdefault(permit.worker_id, {})
        started[permit.serial] = now_s
        self._turn += 1
        self._turns[permit.worker_id] = self._turn
