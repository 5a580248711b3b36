"""Rules for retries and hedged requests.

Retries after work may have run, and hedged requests, spend tokens of a budget
that grows with a share of the requests. A refused call ran nothing; its retry
spends no token and is limited by the number of attempts alone, since the
refusals of a change of owner would otherwise use up the budget.
"""

from __future__ import annotations

import random
from collections import deque

from marjoramwharf.machines.calls import (
    CallAnswer,
    CallOutcome,
    CallRefused,
)

MAX_ATTEMPTS_COUNT = 4

_FIRST_BACKOFF_S = 0.005
_MAX_BACKOFF_S = 0.25
_MAX_TOKENS = 50
# Lets an entry with few requests retry one of them.
_IDLE_TOKENS_PER_S = 0.2
_FAILED_STATUS = 500
_SAMPLES_COUNT = 512
# Fewer samples give no usable 95th percentile.
_MIN_SAMPLES_COUNT = 40
_RANK_AFTER_COUNT = 32
_HEDGE_QUANTILE = 0.95
# When many workers are slow, the quantile is the latency of the slow ones; the
# median still shows the fast ones.
_MAX_MEDIANS = 2.0


class RetryBudget:
    """A token bucket that is filled by a share of the requests."""

    def __init__(self, share: float, now_s: float) -> None:
        """Start with one token; ``share`` is in tokens per request."""
        self._share = share
        self._tokens: float = 1
        self._seen_s = now_s

    def record_request(self, now_s: float) -> None:
        """Add the share of one request."""
        self._fill(now_s)
        self._tokens = min(self._tokens + self._share, _MAX_TOKENS)

    def try_spend(self, now_s: float) -> bool:
        """Take a token if there is one."""
        self._fill(now_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self, now_s: float) -> None:
        idle = max(now_s - self._seen_s, 0) * _IDLE_TOKENS_PER_S
        self._seen_s = now_s
        if self._share:
            self._tokens = min(self._tokens + idle, _MAX_TOKENS)


class HedgeDelayEstimator:
    """When a call of one service has taken suspiciously long.

    That is the 95th percentile of the latest latencies, but at most twice
    their median.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: deque[float] = deque(maxlen=_SAMPLES_COUNT)
        self._new_count = 0
        self._ranked_s: float | None = None

    def observe(self, latency_s: float) -> None:
        """Add the latency of a good answer."""
        self._samples.append(latency_s)
        self._new_count += 1

    def current_s(self) -> float | None:
        """Return the time, or ``None`` with too few samples.

        It is at most 32 samples old, so that not every request sorts.
        """
        if len(self._samples) < _MIN_SAMPLES_COUNT:
            return None
        if self._ranked_s is None or self._new_count >= _RANK_AFTER_COUNT:
            ranked = sorted(self._samples)
            median_s = ranked[len(ranked) // 2]
            self._ranked_s = min(
                ranked[int(len(ranked) * _HEDGE_QUANTILE)],
                _MAX_MEDIANS * median_s,
            )
            self._new_count = 0
        return self._ranked_s


class RetryPolicy:
    """Decides on retries and hedged requests of one entry."""

    def __init__(self, budget: RetryBudget) -> None:
        """Share one budget among all services.

        Hedging can be switched off with ``is_hedging_enabled``.
        """
        self.budget = budget
        self.is_hedging_enabled = True
        self._latencies: dict[str, HedgeDelayEstimator] = {}

    def observe(self, service: str, latency_s: float) -> None:
        """Learn from a good answer; failures may be fast and say nothing."""
        quantile = self._latencies.setdefault(service, HedgeDelayEstimator())
        quantile.observe(latency_s)

    def may_retry(
        self,
        outcome: CallOutcome,
        *,
        is_idempotent: bool,
        attempts_count: int,
        now_s: float,
    ) -> bool:
        """Decide on a retry, and spend a token if work may have run."""
        if attempts_count >= MAX_ATTEMPTS_COUNT or is_successful(outcome):
            return False
        if isinstance(outcome, CallRefused):
            return True
        return is_idempotent and self.budget.try_spend(now_s)

    def hedge_delay_s(
        self,
        service: str,
        *,
        is_idempotent: bool,
    ) -> float | None:
        """Return when to send a second call, ``None`` for never."""
        quantile = self._latencies.get(service)
        if quantile is None or not (is_idempotent and self.is_hedging_enabled):
            return None
        return quantile.current_s()


def is_successful(outcome: CallOutcome) -> bool:
    """Tell whether an outcome is an answer without a failure status."""
    return isinstance(outcome, CallAnswer) and outcome.status < _FAILED_STATUS


def backoff_s(attempts_count: int, rng: random.Random) -> float:
    """Return a random pause before the next attempt, in seconds."""
    limit_s = min(_FIRST_BACKOFF_S * 2**attempts_count, _MAX_BACKOFF_S)
    return rng.uniform(0, limit_s)
