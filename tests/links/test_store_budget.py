"""The order in which the budget sheds calls."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramwharf.errors import StoreBudgetSpent
from marjoramwharf.links.store import Urgency
from marjoramwharf.links.store_budget import StoreBudget, TokenBucket
from marjoramwharf.settings import StoreSettings

_CALLS = st.lists(
    st.tuples(
        st.sampled_from(Urgency),
        st.floats(min_value=0, max_value=0.5),
    ),
    max_size=200,
)


class TokenBucketTests(unittest.TestCase):
    """Guards against urgent calls that are shed before less urgent ones."""

    def test_least_urgent_is_shed_first(self) -> None:
        """Guards against reserves in the wrong order of urgency."""
        bucket = TokenBucket(rate_per_s=100, now_s=0)
        admitted = {
            urgency: _admitted_until_shed(bucket, urgency)
            for urgency in Urgency
            if urgency is not Urgency.OWNERSHIP
        }
        self.assertEqual(list(admitted.values()), [40, 20, 20, 20])

    def test_wait_ends_the_shedding(self) -> None:
        """Guards against a retry hint that is too short."""
        bucket = TokenBucket(rate_per_s=100, now_s=0)
        _admitted_until_shed(bucket, Urgency.STATUS)
        wait_s = bucket.compute_wait_s(Urgency.STATUS, 0)
        self.assertFalse(bucket.admit(Urgency.STATUS, wait_s / 2))
        self.assertTrue(bucket.admit(Urgency.STATUS, wait_s * 1.001))

    def test_ownership_debt_is_paid_back(self) -> None:
        """Guards against a total rate above the entry's share.

        Ownership calls are never shed, so later calls have to wait until the
        tokens that they overdrew are refilled.
        """
        bucket = TokenBucket(rate_per_s=10, now_s=0)
        for _ in range(30):
            self.assertTrue(bucket.admit(Urgency.OWNERSHIP, 0))
        self.assertFalse(bucket.admit(Urgency.JOB, 2))
        self.assertTrue(bucket.admit(Urgency.JOB, 2.2))

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(calls=_CALLS)
    def test_rate_holds_for_any_calls(
        self,
        calls: list[tuple[Urgency, float]],
    ) -> None:
        """Guards against a sequence of calls that exceeds the rate."""
        bucket = TokenBucket(rate_per_s=20, now_s=0)
        now_s: float = 0
        admitted_count = 0
        for urgency, pause_s in calls:
            now_s += pause_s
            is_admitted = bucket.admit(urgency, now_s)
            if urgency is Urgency.OWNERSHIP:
                self.assertTrue(is_admitted)
            elif is_admitted:
                admitted_count += 1
                self.assertLessEqual(admitted_count, 20 + 20 * now_s + 0.001)


class StoreBudgetTests(unittest.TestCase):
    """Guards against calls that are not counted against the budget."""

    def test_waiting_watches_take_reads(self) -> None:
        """Guards against watches and reads that together exceed the rate."""
        budget = StoreBudget(
            StoreSettings(url='http://unused', reads_per_s=10),
            now_s=0,
        )
        for _ in range(5):
            budget.add_watch(0)
        for _ in range(10):
            budget.admit_read(Urgency.JOB, 0)
        with self.assertRaises(StoreBudgetSpent) as shed:
            budget.admit_read(Urgency.JOB, 0)
        self.assertEqual(shed.exception.retry_after_s, 0.2)
        budget.admit_write(Urgency.STATUS, 0)


def _admitted_until_shed(bucket: TokenBucket, urgency: Urgency) -> int:
    count = 0
    while bucket.admit(urgency, 0):
        count += 1
    return count
