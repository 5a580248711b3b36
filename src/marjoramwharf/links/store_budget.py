"""Rate limits for store calls; the least urgent class is shed first.

Reads and writes have one token bucket each. A class may only take tokens
above the level reserved for the more urgent classes, so that these still find
tokens under overload. Ownership and membership calls are never shed: they may
take the bucket below zero, and the other classes wait until it has refilled.
"""

from __future__ import annotations

from marjoramwharf.errors import StoreBudgetSpent
from marjoramwharf.links.store import Urgency
from marjoramwharf.settings import StoreSettings

# Share of a full bucket that a class must leave for the more urgent ones.
_RESERVED_SHARE = {
    Urgency.STATUS: 0.6,
    Urgency.SNAPSHOT: 0.4,
    Urgency.CLAIM: 0.2,
    Urgency.JOB: 0,
}

# A bucket holds the tokens of one second, but at least this many. With fewer,
# the reserves would block some classes at a rate of a few calls per second.
_MIN_BURST_COUNT = 8

# Upper bound of the share of the read rate that open watches take. The rest
# stays for recovery, which needs reads too.
_MAX_WATCH_SHARE = 0.9


class TokenBucket:
    """Limits the rate of calls; a token permits one call."""

    def __init__(self, *, rate_per_s: float, now_s: float) -> None:
        """Start with a full bucket."""
        self._rate_per_s = rate_per_s
        self._burst = max(rate_per_s, _MIN_BURST_COUNT)
        self._tokens = self._burst
        self._filled_at_s = now_s

    def admit(self, urgency: Urgency, now_s: float) -> bool:
        """Take a token for a call; return false if the call must be shed."""
        if self.compute_wait_s(urgency, now_s) > 0:
            return False
        self._tokens -= 1
        return True

    def compute_wait_s(self, urgency: Urgency, now_s: float) -> float:
        """Return the seconds until a call of this class would be admitted."""
        self._fill(now_s)
        if urgency is Urgency.OWNERSHIP:
            return 0
        needed = 1 + _RESERVED_SHARE[urgency] * self._burst
        return max(needed - self._tokens, 0) / self._rate_per_s

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Change the refill rate from now on."""
        self._fill(now_s)
        self._rate_per_s = rate_per_s

    def _fill(self, now_s: float) -> None:
        elapsed_s = max(now_s - self._filled_at_s, 0)
        self._filled_at_s = max(now_s, self._filled_at_s)
        self._tokens = min(
            self._burst,
            self._tokens + elapsed_s * self._rate_per_s,
        )


class StoreBudget:
    """Keeps this entry's store calls within its share of the store's rates.

    The store counts an open watch as one read per second, so each watch
    lowers the rate of the other reads by one per second.
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
        """Admit a read; raises ``StoreBudgetSpent`` with the wait."""
        _admit(self._reads, urgency, now_s)

    def admit_write(self, urgency: Urgency, now_s: float) -> None:
        """Admit a write; raises ``StoreBudgetSpent`` with the wait."""
        _admit(self._writes, urgency, now_s)

    def add_watch(self, now_s: float) -> None:
        """Take one read per second out of the budget for an open watch."""
        self._change_watches_count(1, now_s)

    def remove_watch(self, now_s: float) -> None:
        """Give the read rate of a closed watch back to the other reads."""
        self._change_watches_count(-1, now_s)

    def _change_watches_count(self, change: int, now_s: float) -> None:
        self._watches_count += change
        watched_per_s = min(
            self._watches_count,
            self._reads_per_s * _MAX_WATCH_SHARE,
        )
        self._reads.set_rate(self._reads_per_s - watched_per_s, now_s)


def _admit(bucket: TokenBucket, urgency: Urgency, now_s: float) -> None:
    if not bucket.admit(urgency, now_s):
        raise StoreBudgetSpent(
            message=f'store rate limit reached for calls of {urgency.name}',
            retry_after_s=bucket.compute_wait_s(urgency, now_s),
        )
