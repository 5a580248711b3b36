"""Which way an owner calls a worker, decided from what its calls have shown."""

from __future__ import annotations

import cProfile
import unittest
from collections import Counter

from marjoramwharf.cells.worker_routes import DIRECT, WorkerRoutes
from marjoramwharf.ids import EntryId, WorkerId

_W1 = WorkerId('w1')
_PEERS = {EntryId(f'e{number}'): 1.0 for number in range(1, 5)}
_E1, _E2, _E3, _ = _PEERS
_LOST_S = 100.0


def _lost_worker() -> WorkerRoutes:
    routes = WorkerRoutes()
    routes.record_failure(_W1, DIRECT, now_s=_LOST_S)
    return routes


def _calls_of_a_probe(lost_count: int) -> int:
    """Return the number of calls that the choice of routes makes."""
    routes = WorkerRoutes()
    for number in range(lost_count):
        worker_id = WorkerId(f'w{number}')
        routes.record_failure(worker_id, DIRECT, now_s=_LOST_S)
    profile = cProfile.Profile()
    profile.runcall(routes.routes_to_probe, _W1, _PEERS, now_s=_LOST_S)
    return sum(entry.callcount for entry in profile.getstats())


class WorkerRoutesTests(unittest.TestCase):
    """Guards against a worker that is called by the wrong route."""

    def test_sound_worker(self) -> None:
        """Guards against entries that are needed while all paths hold."""
        routes = WorkerRoutes()
        routes.record_answer(_W1, DIRECT, now_s=_LOST_S)
        self.assertFalse(routes.is_tracking(now_s=_LOST_S))
        self.assertEqual(
            (DIRECT,), routes.routes_to_probe(_W1, _PEERS, now_s=_LOST_S)
        )

    def test_lost_worker(self) -> None:
        """Guards against a lost worker that is only looked for directly."""
        routes = _lost_worker()
        self.assertTrue(routes.is_tracking(now_s=_LOST_S))
        probed = routes.routes_to_probe(_W1, _PEERS, now_s=_LOST_S)
        self.assertIn(DIRECT, probed)
        self.assertTrue(set(probed) & set(_PEERS))

    def test_each_entry_is_tried(self) -> None:
        """Guards against an entry that is never asked for a lost worker."""
        routes = _lost_worker()
        tried: set[str | None] = set()
        for number in range(4):
            now_s = _LOST_S + number / 10
            for route in routes.routes_to_probe(_W1, _PEERS, now_s=now_s):
                tried.add(route)
                routes.record_failure(_W1, route, now_s=now_s)
        self.assertEqual({DIRECT, *_PEERS}, tried)

    def test_route_is_kept(self) -> None:
        """Guards against probes by other routes while the route holds."""
        routes = _lost_worker()
        routes.record_answer(_W1, _E2, now_s=_LOST_S + 1)
        self.assertEqual(_E2, routes.route_of(_W1))
        self.assertEqual(
            (_E2,), routes.routes_to_probe(_W1, _PEERS, now_s=_LOST_S + 2)
        )

    def test_direct_path_is_back(self) -> None:
        """Guards against a worker that stays with another entry for good."""
        routes = _lost_worker()
        routes.record_answer(_W1, _E2, now_s=_LOST_S + 0.5)
        self.assertFalse(routes.is_direct_due(_W1, now_s=_LOST_S + 0.5))
        self.assertTrue(routes.is_direct_due(_W1, now_s=_LOST_S + 2))
        routes.record_answer(_W1, DIRECT, now_s=_LOST_S + 2)
        self.assertIs(DIRECT, routes.route_of(_W1))
        self.assertFalse(routes.is_tracking(now_s=_LOST_S + 60))

    def test_path_comes_and_goes(self) -> None:
        """Guards against a route that changes with each change of a path."""
        routes = WorkerRoutes()
        changes_count = 0
        for now_s in range(60):
            # The direct path holds in every other second.
            is_up = now_s % 2 == 0
            if routes.route_of(_W1) is DIRECT:
                if not is_up:
                    routes.record_failure(_W1, DIRECT, now_s=now_s)
                    routes.record_answer(_W1, _E2, now_s=now_s)
                    changes_count += 1
            elif routes.is_direct_due(_W1, now_s=now_s):
                if is_up:
                    routes.record_answer(_W1, DIRECT, now_s=now_s)
                else:
                    routes.record_failure(_W1, DIRECT, now_s=now_s)
        self.assertLessEqual(changes_count, 6)

    def test_worker_is_lost_for_long(self) -> None:
        """Guards against an error after many failures of a path."""
        routes = WorkerRoutes()
        for number in range(2_000):
            routes.record_failure(_W1, DIRECT, now_s=_LOST_S + number / 2)
        end_s = _LOST_S + 1_000
        routes.record_answer(_W1, _E2, now_s=end_s)
        self.assertTrue(routes.is_direct_due(_W1, now_s=end_s + 20))

    def test_workers_are_divided(self) -> None:
        """Guards against one entry that carries all workers."""
        routes = WorkerRoutes()
        speeds = {_E1: 2.0, _E2: 1.0, _E3: 1.0}
        chosen: Counter[str | None] = Counter()
        for number in range(40):
            worker_id = WorkerId(f'w{number}')
            routes.record_failure(worker_id, DIRECT, now_s=_LOST_S)
            probed = routes.routes_to_probe(worker_id, speeds, now_s=_LOST_S)
            peer = next(route for route in probed if route is not DIRECT)
            routes.record_answer(worker_id, peer, now_s=_LOST_S)
            chosen[peer] += 1
        self.assertEqual({_E1: 20, _E2: 10, _E3: 10}, chosen)

    def test_entry_without_paths(self) -> None:
        """Guards against a connection to an entry that reaches no worker."""
        routes = WorkerRoutes()
        for number in range(4):
            worker_id = WorkerId(f'w{number}')
            routes.record_failure(worker_id, DIRECT, now_s=_LOST_S)
            routes.record_failure(worker_id, _E1, now_s=_LOST_S)
        self.assertFalse(routes.is_useful(_E1, now_s=_LOST_S + 1))
        self.assertTrue(routes.is_useful(_E2, now_s=_LOST_S + 1))
        self.assertTrue(routes.is_useful(_E1, now_s=_LOST_S + 20))

    def test_entry_in_use(self) -> None:
        """Guards against an entry in use that is dropped for other workers."""
        routes = _lost_worker()
        routes.record_answer(_W1, _E1, now_s=_LOST_S)
        for number in range(2, 10):
            crashed = WorkerId(f'w{number}')
            routes.record_failure(crashed, DIRECT, now_s=_LOST_S + 0.1)
            routes.record_failure(crashed, _E1, now_s=_LOST_S + 0.2)
        self.assertEqual(_E1, routes.route_of(_W1))
        self.assertTrue(routes.is_useful(_E1, now_s=_LOST_S + 0.3))

    def test_path_holds_for_a_moment(self) -> None:
        """Guards against waits for a path that begin anew after the longest."""
        routes = WorkerRoutes()
        changes_count = 0
        for now_s in range(600):
            if routes.route_of(_W1) is DIRECT:
                routes.record_failure(_W1, DIRECT, now_s=now_s)
                routes.record_answer(_W1, _E2, now_s=now_s)
                changes_count += 1
            elif routes.is_direct_due(_W1, now_s=now_s):
                routes.record_answer(_W1, DIRECT, now_s=now_s)
            else:
                routes.record_answer(_W1, _E2, now_s=now_s)
            routes.is_tracking(now_s=now_s)
        self.assertLessEqual(changes_count, 45)

    def test_many_lost_workers(self) -> None:
        """Guards against a probe whose cost grows with the lost workers."""
        few, many = (_calls_of_a_probe(count) for count in (10, 300))
        self.assertLessEqual(many, few)

    def test_worker_is_gone(self) -> None:
        """Guards against connections that are kept for a removed worker."""
        routes = _lost_worker()
        self.assertTrue(routes.is_tracking(now_s=_LOST_S + 10))
        self.assertFalse(routes.is_tracking(now_s=_LOST_S + 60))


if __name__ == '__main__':
    unittest.main()
