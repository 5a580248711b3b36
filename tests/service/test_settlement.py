"""Settlement: only the worker's reply frees a permit in doubt."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.contracts.permits import Permit
from marjoramwharf.ids import CallId, WorkerId
from tests.service.fakes import Entry, Fleet, make_request, run_with_entries


class SettlementTests(unittest.TestCase):
    """Guards against a slot that is used twice or never freed."""

    def test_permit_waits_for_the_worker(self) -> None:
        """Guards against a permit that is freed after a timeout."""
        fleet = Fleet('w1')
        agent = fleet.agents[WorkerId('w1')]
        agent.is_unreachable = True

        async def scenario(entry: Entry, _other: Entry) -> None:
            permit = await fleet.acquire(make_request(), frozenset())
            assert isinstance(permit, Permit)
            entry.settlement.enqueue_settle(permit, CallId('c'))
            await trio.sleep(600)
            self.assertEqual(fleet.permits_in_use, {permit})
            agent.is_unreachable = False
            await trio.sleep(3)
            self.assertFalse(fleet.permits_in_use)

        run_with_entries(fleet, scenario)

    def test_removed_worker_is_forgotten(self) -> None:
        """Guards against endless polls of a removed worker."""
        fleet = Fleet('w1')
        fleet.agents[WorkerId('w1')].is_unreachable = True

        async def scenario(entry: Entry, _other: Entry) -> None:
            permit = await fleet.acquire(make_request(), frozenset())
            assert isinstance(permit, Permit)
            entry.settlement.enqueue_settle(permit, CallId('c'))
            await trio.sleep(10)
            entry.settlement.forget(WorkerId('w1'))
            await trio.sleep(1)
            self.assertEqual(entry.settlement.in_doubt_count, 0)
            self.assertEqual(fleet.permits_in_use, {permit})

        run_with_entries(fleet, scenario)
