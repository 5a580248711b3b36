"""Limit of the ids that an entry bars by cancelling jobs that aren't stored.

Each of them is a key in the store for a while. The limit keeps callers that
cancel unknown jobs from filling the store and its owner's memory.

    >>> barred_ids = BarredIds(kept_s=150, limit_count=1)
    >>> barred_ids.admit(JobId('5c0e7a21d94b36f8'), now_s=0)
    >>> barred_ids.admit(JobId('5c0e7a21d94b36f9'), now_s=151)
"""

from __future__ import annotations

from dataclasses import dataclass, field

from marjoramwharf.errors import TooManyBarredIds
from marjoramwharf.ids import JobId

_LIMIT_COUNT = 1_000


@dataclass(slots=True)
class BarredIds:
    """The ids that this entry has barred lately; each is kept ``kept_s``.

    Times are in seconds of the boot clock.
    """

    kept_s: float
    limit_count: int = _LIMIT_COUNT
    _barred_s: dict[JobId, float] = field(default_factory=dict)

    def admit(self, job_id: JobId, *, now_s: float) -> None:
        """Count an id that is about to be barred, once if it is repeated.

        Raises ``TooManyBarredIds`` if there are as many as allowed.
        """
        self._remove_expired(now_s)
        known = self._barred_s.pop(job_id, None)
        if known is None and len(self._barred_s) >= self.limit_count:
            oldest_s = next(iter(self._barred_s.values()))
            raise TooManyBarredIds(
                message='many unknown jobs were cancelled here',
                retry_after_s=oldest_s + self.kept_s - now_s,
            )
        self._barred_s[job_id] = now_s

    def _remove_expired(self, now_s: float) -> None:
        """Remove the oldest ids, which come first."""
        while self._barred_s:
            job_id, barred_s = next(iter(self._barred_s.items()))
            if now_s - barred_s < self.kept_s:
                return
            self._barred_s.pop(job_id)
