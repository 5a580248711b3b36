"""Tests of the ledger: renewals and returns that the owner refuses."""

from __future__ import annotations

import unittest

from marjoramwharf.contracts.ledger import NoGrant, WorkerLedger
from marjoramwharf.contracts.permits import Grant
from marjoramwharf.ids import EntryId, Epoch, GrantId, Incarnation
from marjoramwharf.machines.calls import LeaseReply
from tests.contracts.lending_model import CONNECTIONS_PER_SESSION, WORKER

_E1 = EntryId('e1')
_E2 = EntryId('e2')


class LedgerTests(unittest.TestCase):
    """Guards against grants that change after their revocation started."""

    def setUp(self) -> None:
        """Lend both slots of a fenced worker."""
        self.ledger = WorkerLedger(
            WORKER,
            Epoch(1),
            grant_ttl_s=3,
            connections_per_session=CONNECTIONS_PER_SESSION,
        )
        reply = LeaseReply(Epoch(1), False, (), (), ())
        self.ledger.record_fence(reply, 0)
        self.grant_id = self._lend()

    def test_no_renewal_after_revocation_began(self) -> None:
        """Guards against renewing a grant that the worker will refuse."""
        self.assertIsInstance(self.ledger.renew(_E1, self.grant_id), Grant)
        self.assertEqual(self.ledger.start_revocations(3), [self.grant_id])
        outcome = self.ledger.renew(_E1, self.grant_id)
        self.assertIsInstance(outcome, NoGrant)

    def test_only_the_borrower_changes_its_grant(self) -> None:
        """Guards against a peer that returns or renews another's grant."""
        self.ledger.give_back(_E2, self.grant_id, 2)
        self.assertEqual(self.ledger.free_slots_count, 0)
        outcome = self.ledger.renew(_E2, self.grant_id)
        self.assertIsInstance(outcome, NoGrant)

    def test_return_frees_at_once_and_ids_are_not_reused(self) -> None:
        """Guards against two grants with the same id."""
        self.ledger.give_back(_E1, self.grant_id, 2)
        self.assertNotEqual(self._lend(), self.grant_id)

    def _lend(self) -> GrantId:
        lent = self.ledger.lend(_E1, 2, incarnation=Incarnation('a'))
        assert isinstance(lent, Grant)
        return lent.grant_id
