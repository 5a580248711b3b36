"""An owner whose machine has become too slow to serve its cell."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.owner_lag import OwnerLag
from tests.cells.candidate import Candidate
from tests.cells.cluster import job_request, open_cluster, run_with_clock

_SLOW_LAG_S = 0.4
_BUSY_LAG_S = 0.05
_PAUSE_S = 4.0
_SETTLED_S = 25
_DONE_LIMIT_S = 15


def _record(lag: OwnerLag, lag_s: float, *, from_s: float) -> float:
    """Record ten samples in five seconds; return the time of the last one."""
    for number in range(10):
        lag.record(lag_s, now_s=from_s + number / 2)
    return from_s + 4.5


class OwnerLagTests(unittest.TestCase):
    """Guards against an owner that is taken for too slow, or isn't."""

    def test_slow(self) -> None:
        """Guards against a slow owner that is taken for fast enough."""
        lag = OwnerLag(owned_since_s=0)
        now_s = _record(lag, _SLOW_LAG_S, from_s=30)
        self.assertTrue(lag.is_too_slow(now_s=now_s))

    def test_busy(self) -> None:
        """Guards against an owner that gives way because it has much to do."""
        lag = OwnerLag(owned_since_s=0)
        now_s = _record(lag, _BUSY_LAG_S, from_s=30)
        self.assertFalse(lag.is_too_slow(now_s=now_s))

    def test_one_pause(self) -> None:
        """Guards against an owner that gives way after a single pause."""
        lag = OwnerLag(owned_since_s=0)
        now_s = _record(lag, _BUSY_LAG_S, from_s=30)
        lag.record(_PAUSE_S, now_s=now_s + 0.5)
        self.assertFalse(lag.is_too_slow(now_s=now_s + 0.5))

    def test_new_owner(self) -> None:
        """Guards against owners that follow each other where all are slow."""
        lag = OwnerLag(owned_since_s=30)
        now_s = _record(lag, _SLOW_LAG_S, from_s=30)
        self.assertFalse(lag.is_too_slow(now_s=now_s))

    def test_has_recovered(self) -> None:
        """Guards against an owner that is judged by what was long ago."""
        lag = OwnerLag(owned_since_s=0)
        slow_s = _record(lag, _SLOW_LAG_S, from_s=30)
        now_s = _record(lag, 0, from_s=slow_s)
        self.assertFalse(lag.is_too_slow(now_s=now_s))


class SlowOwnerTests(unittest.TestCase):
    """Guards against a cell that waits for a slow owner."""

    def test_slow_owner_gives_way(self) -> None:
        """Guards against a slow owner that keeps its cell."""
        run_with_clock(self._slow_owner_gives_way)

    def test_no_other_entry(self) -> None:
        """Guards against a cell without an owner where there is one entry."""
        run_with_clock(self._no_other_entry)

    async def _slow_owner_gives_way(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner = cluster.spawn(nursery, 'e1')
            await cluster.wait_until(lambda: owner.cell is not None)
            other = cluster.spawn(nursery, 'e2')
            await trio.sleep(_SETTLED_S)
            _slow_down(owner)
            await cluster.wait_until(lambda: other.cell is not None, limit_s=5)
            request = job_request('aa')
            await cluster.submit(request)
            await cluster.wait_until_done(request, limit_s=_DONE_LIMIT_S)

    async def _no_other_entry(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner = cluster.spawn(nursery, 'e1')
            await trio.sleep(_SETTLED_S)
            _slow_down(owner)
            await trio.sleep(_PAUSE_S)
            self.assertEqual(1, owner.tenures_count)
            self.assertIsNotNone(owner.cell)


def _slow_down(owner: Candidate) -> None:
    """Let the loop of an owner look slow for the next second."""
    if owner.cell is not None:
        _record(
            owner.cell.maintenance.lag, _SLOW_LAG_S, from_s=boot_s() - _PAUSE_S
        )


if __name__ == '__main__':
    unittest.main()
