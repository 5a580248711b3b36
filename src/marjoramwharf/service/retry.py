"""Policy and budget of retries and hedged calls.

An attempt of a request is one call and, if that takes long and the request is
idempotent, perhaps a second one at another worker: the hedged call.

A retry of a call that may have run, and a hedged call, spend a token of a
budget that grows with a share of the requests. A refused call did not run;
its retry spends no token and is limited only by the number of attempts, since
the refusals that follow a change of owner would use up the budget otherwise.
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
# Lets an entry with a low request rate retry a request now and then.
_IDLE_TOKENS_PER_S = 0.2
_MIN_FAILED_STATUS = 500
_SAMPLES_COUNT = 512
# Fewer samples give no usable 95th percentile.
_MIN_SAMPLES_COUNT = 40
_REFRESH_AFTER_COUNT = 32
_HEDGE_QUANTILE = 0.95
# When many workers are slow, the quantile is the latency of the slow workers,
# while the median is still that of the fast ones.
_MAX_MEDIAN_RATIO = 2.0


class RetryBudget:
    """A token bucket that is refilled by a share of the requests."""

    def __init__(self, share: float, now_s: float) -> None:
        """Start with one token; refill ``share`` tokens per request."""
        self._share = share
        self._tokens: float = 1
        self._refilled_at_s = now_s

    def record_request(self, now_s: float) -> None:
        """Refill the bucket by the share of one request."""
        self._refill(now_s)
        self._tokens = min(self._tokens + self._share, _MAX_TOKENS)

    def try_spend(self, now_s: float) -> bool:
        """Spend a token; return ``False`` if there is none."""
        self._refill(now_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self, now_s: float) -> None:
        idle_tokens = max(now_s - self._refilled_at_s, 0) * _IDLE_TOKENS_PER_S
        self._refilled_at_s = now_s
        if self._share:
            self._tokens = min(self._tokens + idle_tokens, _MAX_TOKENS)


class HedgeDelayEstimator:
    """Delay after which a call to one service is hedged.

    It is the 95th percentile of the last 512 latencies, but at most twice
    their median.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: deque[float] = deque(maxlen=_SAMPLES_COUNT)
        self._samples_since_refresh_count = 0
        self._delay_s: float | None = None

    def observe(self, latency_s: float) -> None:
        """Add the latency of a successful answer."""
        self._samples.append(latency_s)
        self._samples_since_refresh_count += 1

    def delay_s(self) -> float | None:
        """Return the delay, or ``None`` with too few samples.

        The delay is cached for 32 samples, so that not every request sorts
        the samples.
        """
        if len(self._samples) < _MIN_SAMPLES_COUNT:
            return None
        if (
            self._delay_s is None
            or self._samples_since_refresh_count >= _REFRESH_AFTER_COUNT
        ):
            ordered = sorted(self._samples)
            median_s = ordered[len(ordered) // 2]
            self._delay_s = min(
                ordered[int(len(ordered) * _HEDGE_QUANTILE)],
                _MAX_MEDIAN_RATIO * median_s,
            )
            self._samples_since_refresh_count = 0
        return self._delay_s


class RetryPolicy:
    """Decides on the retries and hedged calls of one entry."""

    def __init__(self, budget: RetryBudget) -> None:
        """Use one budget for all services.

        ``is_hedging_enabled`` may be set to ``False`` to turn off hedging.
        """
        self.budget = budget
        self.is_hedging_enabled = True
        self._estimators: dict[str, HedgeDelayEstimator] = {}

    def observe(self, service: str, latency_s: float) -> None:
        """Record the latency of a successful answer.

        Failures are left out: they may be fast and would shorten the delay.
        """
        estimator = self._estimators.setdefault(service, HedgeDelayEstimator())
        estimator.observe(latency_s)

    def may_retry(
        self,
        outcome: CallOutcome,
        *,
        is_idempotent: bool,
        attempts_count: int,
        now_s: float,
    ) -> bool:
        """Tell whether to retry; spend a token if the call may have run."""
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
        """Return the delay before a hedged call; ``None`` if there is none."""
        estimator = self._estimators.get(service)
        if estimator is None or not (is_idempotent and self.is_hedging_enabled):
            return None
        return estimator.delay_s()


def is_successful(outcome: CallOutcome) -> bool:
    """Tell whether an outcome is an answer with a status below 500."""
    return (
        isinstance(outcome, CallAnswer) and outcome.status < _MIN_FAILED_STATUS
    )


def backoff_s(attempts_count: int, rng: random.Random) -> float:
    """Return a random backoff, in seconds, after so many attempts."""
    limit_s = min(_FIRST_BACKOFF_S * 2**attempts_count, _MAX_BACKOFF_S)
    return rng.uniform(0, limit_s)
