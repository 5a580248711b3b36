"""Router: slow workers are avoided, even before their first answer."""

from __future__ import annotations

import random
import unittest
from collections.abc import Sequence

from marjoramwharf.contracts.permits import Permit
from marjoramwharf.contracts.release_note import Routing
from marjoramwharf.ids import Epoch, GrantId, ServiceId, WorkerId
from marjoramwharf.service.latency import LatencyEstimator
from marjoramwharf.service.router import Router

_SERVICE = ServiceId('notice')
_FIRST = WorkerId('w1')
_SECOND = WorkerId('w2')


class _Permits:
    """An unlimited supply of permits of two workers."""

    def __init__(self) -> None:
        self._serial = 0

    def candidates(
        self,
        _service: ServiceId,
        _now_s: float,
        *,
        rng: random.Random,
        count: int,
    ) -> Sequence[WorkerId]:
        return rng.sample([_FIRST, _SECOND], min(count, 2))

    def take(self, worker_id: WorkerId, _now_s: float) -> Permit | None:
        self._serial += 1
        return Permit(GrantId('1-1'), worker_id, Epoch(1), self._serial, 1e9)


class RouterTests(unittest.TestCase):
    """Guards against requests that are routed to slow workers."""

    def setUp(self) -> None:
        """Build a router for two workers that are equally near."""
        self.latencies = LatencyEstimator(decay_s=2, prior_ms=10)
        self.router = Router(
            permits=_Permits(),
            latencies=self.latencies,
            round_trip_ms=lambda _worker_id: 1,
            rng=random.Random(3),
        )

    def test_slow_answers_are_remembered(self) -> None:
        """Guards against more requests to a worker that answered slowly."""
        self.latencies.observe(_SERVICE, _FIRST, 400, 0)
        self.latencies.observe(_SERVICE, _SECOND, 10, 0)
        self.assertEqual(self._choose(0.1), _SECOND)

    def test_call_in_flight_shows_a_slow_worker(self) -> None:
        """Guards against more requests while a slow call is in flight."""
        first = self.router.choose(_SERVICE, frozenset((_SECOND,)), 0)
        assert first is not None
        self.assertEqual(self._choose(0.5), _SECOND)
        self.router.record_call_end(first)

    def test_stopped_call_shows_a_slow_worker(self) -> None:
        """Guards against hedged calls that hide a slow worker."""
        self.latencies.observe_lower_bound(_SERVICE, _FIRST, 900, 0)
        self.assertEqual(self._choose(0.1), _SECOND)
        self.latencies.observe_lower_bound(_SERVICE, _SECOND, 1, 0)
        self.assertEqual(self._choose(0.1), _SECOND)

    def test_slow_worker_is_tried_again(self) -> None:
        """Guards against a worker that is avoided forever."""
        self.latencies.observe(_SERVICE, _FIRST, 400, 0)
        later_ms = self.latencies.predict_ms(_SERVICE, _FIRST, 60)
        self.assertAlmostEqual(later_ms, self.latencies.mean_ms(_SERVICE))

    def test_excluded_worker_is_not_chosen(self) -> None:
        """Guards against a retry at the worker that failed."""
        both = frozenset((_FIRST, _SECOND))
        self.assertIsNone(self.router.choose(_SERVICE, both, 0))

    def test_simple_routing_policies(self) -> None:
        """Guards against wrong round-robin and least-loaded routing."""
        self.router.routing = Routing.ROUND_ROBIN
        self.assertNotEqual(self._choose(0), self._choose(0))
        self.router.routing = Routing.LEAST_LOADED
        self.router.choose(_SERVICE, frozenset((_SECOND,)), 0)
        self.assertEqual(self._choose(0), _SECOND)

    def _choose(self, now_s: float) -> WorkerId:
        permit = self.router.choose(_SERVICE, frozenset(), now_s)
        assert permit is not None
        return permit.worker_id
