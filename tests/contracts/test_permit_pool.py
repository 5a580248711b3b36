"""Tests of the permit pool: no permit is lost, used twice or used late."""

from __future__ import annotations

import random
import unittest

from marjoramwharf.contracts.permit_pool import EXPIRY_MARGIN_S, PermitPool
from marjoramwharf.contracts.permits import Grant, Permit
from marjoramwharf.ids import Epoch, GrantId, ServiceId, WorkerId

_SERVICE = ServiceId('notices')
_WORKER = WorkerId('w1')


def _grant(number: int, slots: int, worker: WorkerId = _WORKER) -> Grant:
    return Grant(GrantId(f'1-{number}@{worker}'), worker, Epoch(1), slots, 5, 3)


class PermitPoolTests(unittest.TestCase):
    """Guards against permits that outlive their grant or are freed twice."""

    def setUp(self) -> None:
        """Start with one grant of two slots."""
        self.pool = PermitPool(lambda _worker: frozenset((_SERVICE,)))
        self.pool.add(_grant(1, 2), 0)

    def test_no_more_permits_than_slots(self) -> None:
        """Guards against more permits in use than the grant has slots."""
        self.assertEqual(len(self._take_all(0)), 2)
        self.assertEqual(self.pool.available_workers.count(_SERVICE), 0)

    def test_put_back_twice_frees_once(self) -> None:
        """Guards against a late settlement that frees a permit in use."""
        permit = self._take_all(0)[0]
        self.pool.mark_in_doubt(permit)
        self.pool.release_in_doubt(permit, 0)
        self.pool.put_back(permit, 0)
        self.assertEqual(len(self._take_all(0)), 1)

    def test_margin_before_expiry(self) -> None:
        """Guards against calls sent while the owner revokes their grant."""
        self.assertIsNone(self.pool.take(_WORKER, 3 - EXPIRY_MARGIN_S))
        self.pool.renew(GrantId('1-1@w1'), 6)
        self.assertIsNotNone(self.pool.take(_WORKER, 3))

    def test_permit_of_a_revoked_grant_does_not_return(self) -> None:
        """Guards against a slot that is used after its revocation."""
        permit = self._take_all(0)[0]
        self.pool.drop_grants([permit.grant_id])
        self.pool.put_back(permit, 0)
        self.assertEqual(self._take_all(0), [])

    def test_idle_shares_leave_the_wallet_first(self) -> None:
        """Guards against taking a permit whose slot is being returned."""
        self.pool.take(_WORKER, 0)
        self.assertEqual(self.pool.withdraw_idle(1, idle_after_s=2), [])
        shares = self.pool.withdraw_idle(2, idle_after_s=2)
        self.assertEqual([share.slots_count for share in shares], [1])
        self.assertEqual(self._take_all(2), [])
        self.assertEqual(len(self.pool.renewable_grants()), 1)

    def test_grant_of_a_failed_return_is_not_renewed(self) -> None:
        """Guards against slots that only the owner counts as lent."""
        permit = self._take_all(0)[0]
        self.pool.stop_renewing([permit.grant_id])
        self.assertEqual(self.pool.renewable_grants(), [])

    def test_choice_samples_few_workers(self) -> None:
        """Guards against a scan of all workers on each request."""
        for number in range(1000):
            self.pool.add(_grant(1, 1, WorkerId(f'x{number}')), 0)
        found = self.pool.candidates(_SERVICE, 0, rng=random.Random(3))
        self.assertEqual(len(set(found)), 8)

    def test_excluded_workers_are_not_chosen(self) -> None:
        """Guards against a retry on the worker that has just failed."""
        permit = self.pool.take_random(
            _SERVICE,
            0,
            rng=random.Random(3),
            excluded=(_WORKER,),
        )
        self.assertIsNone(permit)

    def _take_all(self, now_s: float) -> list[Permit]:
        permits = [self.pool.take(_WORKER, now_s) for _ in range(9)]
        return [permit for permit in permits if permit is not None]
