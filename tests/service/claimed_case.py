"""Setup of the tests that send requests with an idempotency key."""

from __future__ import annotations

import unittest

from marjoramwharf.contracts.claims import request_digest
from marjoramwharf.ids import CallId, WorkerId
from marjoramwharf.service.request import Done, Outcome
from marjoramwharf.service.settlement import look_up_outcome
from tests.service.fakes import (
    TEAM,
    Entry,
    Fleet,
    Scenario,
    run_with_entries,
)

ANSWER = Done(200, 'text/plain', b'answer to notice')


class ClaimedCase(unittest.TestCase):
    """Two workers, and an assertion that exactly one call ran."""

    def setUp(self) -> None:
        """Start two healthy workers."""
        self.fleet = Fleet('w1', 'w2')
        self.first = self.fleet.agents[WorkerId('w1')]
        self.second = self.fleet.agents[WorkerId('w2')]

    async def _create_claim(self, entry: Entry) -> None:
        """Create a claim whose call is never sent."""
        await entry.claims.create(
            TEAM,
            'k',
            digest=request_digest('notice', 'text/plain', b'notice'),
            worker_id=WorkerId('w1'),
            call_id=CallId('never-sent'),
            incarnation=self.first.incarnation,
        )

    async def _look_up(self, entry: Entry, key: str) -> Outcome | None:
        return await look_up_outcome(
            TEAM,
            key,
            claims=entry.claims,
            get_agent=self.fleet.get_agent,
            rng=self.fleet.rng,
            timeout_s=0.5,
        )

    def _assert_runs_once(self, scenario: Scenario) -> None:
        run_with_entries(self.fleet, scenario)
        self.assertEqual(len(self.fleet.ran()), 1)
