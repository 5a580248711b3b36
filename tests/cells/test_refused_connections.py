"""Entries whose connections to each other are refused though both live."""

from __future__ import annotations

import unittest

import trio

from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    CELL,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
)

_REFUSAL_PERIOD_S = 0.1


async def _get_refused(candidate: Candidate, entry_id: str) -> None:
    """Report each other owner as ended, as a refused connection does."""
    while True:
        await trio.sleep(_REFUSAL_PERIOD_S)
        owner = candidate.view.owners.get(CELL)
        if owner is not None and owner.record.entry_id != entry_id:
            candidate.view.mark_owner_ended(owner)


def _spawn(cluster: Cluster, nursery: trio.Nursery, name: str) -> Candidate:
    candidate = cluster.spawn(nursery, name)
    nursery.start_soon(_get_refused, candidate, name)
    return candidate


class RefusedConnectionTests(unittest.TestCase):
    """Guards against living entries that replace each other as the owner."""

    def test_owners_refuse_each_other(self) -> None:
        """Guards against a cell that changes its owner again and again."""
        run_with_clock(self._owners_refuse_each_other)

    def test_owner_ends(self) -> None:
        """Guards against waiting for the lease of an owner that has ended."""
        run_with_clock(self._owner_ends)

    async def _owners_refuse_each_other(self) -> None:
        async with open_cluster() as (cluster, nursery):
            candidates = [
                _spawn(cluster, nursery, name) for name in ('e1', 'e2', 'e3')
            ]
            await trio.sleep(30)
            tenures_count = sum(
                candidate.tenures_count for candidate in candidates
            )
            self.assertLessEqual(tenures_count, len(candidates) + 1)
            request = job_request('aa', payload='ms=5000')
            await cluster.submit(request)
            await cluster.wait_until_done(request, limit_s=10)

    async def _owner_ends(self) -> None:
        async with open_cluster() as (cluster, nursery):
            first = cluster.spawn(nursery, 'e1')
            await cluster.wait_until(lambda: first.cell is not None)
            second = _spawn(cluster, nursery, 'e2')
            first.scope.cancel()
            await cluster.wait_until(
                lambda: second.cell is not None, limit_s=0.5
            )
