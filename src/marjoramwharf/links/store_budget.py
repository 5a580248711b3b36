"""Rates of store calls, with the least urgent class shed first.

Reads and writes have a token bucket each. A class may only spend the tokens
above its reserve, so that under overload the level of the bucket settles
where the more urgent classes still find tokens. Ownership and membership
calls are never shed: they take the bucket below zero, and the other classes
wait until it has been paid back.
"""

from __future__ import annotations

from marjoramwharf.errors import StoreBudgetSpent
from marjoramwharf.links.store import Urgency
from marjoramwharf.settings import StoreSettings

# The part of a full bucket that a class leaves for the more urgent ones.
_RESERVED_SHARE = {
    Urgency.STATUS: 0.6,
    Urgency.SNAPSHOT: 0.4,
    Urgency.CLAIM: 0.2,
    Urgency.JOB: 0,
}

# A bucket holds one second of its rate, but at least this many calls, so that
# every class can spend at all where the rate is a few calls per second.
_MIN_BURST_COUNT = 8

# Waiting watches never take more than this share of the rate of reads, since
# recovery needs reads too.
_MAX_WATCH_SHARE = 0.9


class TokenBucket:
    """Calls that may still be made; the times are in seconds."""

    def __init__(self, *, rate_per_s: float, now_s: float) -> None:
        """Start with a full bucket."""
        self._rate_per_s = rate_per_s
        self._burst = max(rate_per_s, _MIN_BURST_COUNT)
        self._tokens = self._burst
        self._filled_at_s = now_s

    def admit(self, urgency: Urgency, now_s: float) -> bool:
        """Take a token for a call, or refuse it."""
        if self.compute_wait_s(urgency, now_s) > 0:
            return False
        self._tokens -= 1
        return True

    def compute_wait_s(self, urgency: Urgency, now_s: float) -> float:
        """Return how long a call of this class would have to wait."""
        self._fill(now_s)
        if urgency is Urgency.OWNERSHIP:
            return 0
        needed = 1 + _RESERVED_SHARE[urgency] * self._burst
        return max(needed - self._tokens, 0) / self._rate_per_s

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Fill at another rate from now on."""
        self._fill(now_s)
        self._rate_per_s = rate_per_s

    def _fill(self, now_s: float) -> None:
        passed_s = max(now_s - self._filled_at_s, 0)
        self._filled_at_s = max(now_s, self._filled_at_s)
        self._tokens = min(
            self._burst,
            self._tokens + passed_s * self._rate_per_s,
        )


class StoreBudget:
    """This entry's share of the store's rates.

    The store counts a waiting watch as one of its reads per second, so each
    watch lowers the rate of the other reads by one.
    """

    def __init__(self, settings: StoreSettings, *, now_s: float) -> None:
        """Take the rates from the settings."""
        self._reads_per_s = settings.reads_per_s
        self._reads = TokenBucket(
            rate_per_s=settings.reads_per_s,
            now_s=now_s,
        )
        self._writes = TokenBucket(
            rate_per_s=settings.writes_per_s,
            now_s=now_s,
        )
        self._watches_count = 0

    def admit_read(self, urgency: Urgency, now_s: float) -> None:
        """Admit a read, or raise ``StoreBudgetSpent`` with the wait."""
        _spend(self._reads, urgency, now_s)

    def admit_write(self, urgency: Urgency, now_s: float) -> None:
        """Admit a write, or raise ``StoreBudgetSpent`` with the wait."""
        _spend(self._writes, urgency, now_s)

    def add_watch(self, now_s: float) -> None:
        """Count one more waiting watch."""
        self._count_watches(1, now_s)

    def remove_watch(self, now_s: float) -> None:
        """Count one waiting watch less."""
        self._count_watches(-1, now_s)

    def _count_watches(self, change: int, now_s: float) -> None:
        self._watches_count += change
        taken_per_s = min(
            self._watches_count,
            self._reads_per_s * _MAX_WATCH_SHARE,
        )
        self._reads.set_rate(self._reads_per_s - taken_per_s, now_s)


def _spend(bucket: TokenBucket, urgency: Urgency, now_s: float) -> None:
    if not bucket.admit(urgency, now_s):
        raise StoreBudgetSpent(
            message=f'the rate is spent for calls of class {urgency.name}',
            retry_after_s=bucket.compute_wait_s(urgency, now_s),
        )
