"""Retry policy: which calls are retried, and how often."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramwharf.errors import Reason
from marjoramwharf.ids import CallId
from marjoramwharf.machines.calls import (
    CallAnswer,
    CallInDoubt,
    CallOutcome,
    CallRefused,
    WorkerRefusal,
)
from marjoramwharf.service.retry import (
    MAX_ATTEMPTS_COUNT,
    RetryBudget,
    RetryPolicy,
    backoff_s,
)

_ID = CallId('c')
_OUTCOMES: st.SearchStrategy[CallOutcome] = st.one_of(
    st.sampled_from(WorkerRefusal).map(
        lambda refusal: CallRefused(_ID, refusal),
    ),
    st.sampled_from(Reason).map(lambda reason: CallInDoubt(_ID, reason)),
    st.sampled_from((200, 404, 409, 500, 503)).map(
        lambda status: CallAnswer(_ID, status, 'text/plain', b''),
    ),
)


class RetryTests(unittest.TestCase):
    """Guards against second runs and against retry storms."""

    @settings(derandomize=True, deadline=None)
    @given(outcome=_OUTCOMES, attempts_count=st.integers(1, 10))
    def test_non_idempotent_requests_are_retried_only_if_refused(
        self,
        outcome: CallOutcome,
        attempts_count: int,
    ) -> None:
        """Guards against a second run of a non-idempotent request."""
        may_retry = _policy().may_retry(
            outcome,
            is_idempotent=False,
            attempts_count=attempts_count,
            now_s=100,
        )
        self.assertEqual(
            may_retry,
            isinstance(outcome, CallRefused)
            and attempts_count < MAX_ATTEMPTS_COUNT,
        )

    @settings(derandomize=True, deadline=None)
    @given(outcomes=st.lists(_OUTCOMES, max_size=400))
    def test_retries_stay_within_the_budget(
        self,
        outcomes: list[CallOutcome],
    ) -> None:
        """Guards against retries that amplify an overload."""
        policy = _policy()
        spent_count = 0
        for outcome in outcomes:
            policy.budget.record_request(0)
            if policy.may_retry(
                outcome,
                is_idempotent=True,
                attempts_count=1,
                now_s=0,
            ):
                spent_count += not isinstance(outcome, CallRefused)
                self.assertFalse(
                    isinstance(outcome, CallAnswer) and outcome.status < 500,
                )
        self.assertLessEqual(spent_count, 1 + len(outcomes) * 0.1)

    @settings(derandomize=True, deadline=None)
    @given(attempts_count=st.integers(1, 1_000), seed=st.integers())
    def test_backoff_is_bounded(self, attempts_count: int, seed: int) -> None:
        """Guards against backoffs that exceed a request's deadline."""
        pause_s = backoff_s(attempts_count, random.Random(seed))
        self.assertTrue(0 <= pause_s <= 0.25)

    def test_no_budget_without_a_share(self) -> None:
        """Guards against retries although the settings turn them off."""
        budget = RetryBudget(0, now_s=0)
        budget.try_spend(0)
        self.assertFalse(budget.try_spend(10_000))

    def test_hedging_waits_for_samples(self) -> None:
        """Guards against hedged calls before the latency is known."""
        policy = _policy()
        for number in range(100):
            delay_s = policy.hedge_delay_s('s', is_idempotent=True)
            self.assertEqual(delay_s is None, number < 40)
            policy.observe('s', number / 100)
        delay_s = policy.hedge_delay_s('s', is_idempotent=True)
        assert delay_s is not None
        self.assertGreater(delay_s, 0.6)
        self.assertIsNone(policy.hedge_delay_s('s', is_idempotent=False))


def _policy() -> RetryPolicy:
    return RetryPolicy(RetryBudget(0.1, now_s=0))
