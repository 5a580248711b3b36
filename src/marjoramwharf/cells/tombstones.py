"""Limit of the tombstones that one entry stores.

A tombstone is the cancellation of a job that isn't stored. It keeps a late
write of the job's submission from storing the job after its caller was told
that there is none. Each one is a key in the store for a while, so the limit
keeps callers that cancel unknown jobs from filling the store and the memory of
the cell's owner.

    >>> limit = TombstoneLimit(kept_s=150, limit_count=1)
    >>> limit.admit(JobId('5c0e7a21d94b36f8'), now_s=0)
    >>> limit.admit(JobId('5c0e7a21d94b36f9'), now_s=151)
"""

from __future__ import annotations

from dataclasses import dataclass, field

from marjoramwharf.errors import TooManyTombstones
from marjoramwharf.ids import JobId

_LIMIT_COUNT = 1_000


@dataclass(slots=True)
class TombstoneLimit:
    """The jobs with a tombstone of this entry; each is kept ``kept_s``.

    Times are in seconds of the boot clock.
    """

    kept_s: float
    limit_count: int = _LIMIT_COUNT
    _stored_s: dict[JobId, float] = field(default_factory=dict)

    def admit(self, job_id: JobId, *, now_s: float) -> None:
        """Count a tombstone that is about to be stored, once if repeated.

        Raises ``TooManyTombstones`` if there are as many as allowed.
        """
        self._remove_expired(now_s)
        known = self._stored_s.pop(job_id, None)
        if known is None and len(self._stored_s) >= self.limit_count:
            oldest_s = next(iter(self._stored_s.values()))
            raise TooManyTombstones(
                message='many unknown jobs were cancelled here',
                retry_after_s=oldest_s + self.kept_s - now_s,
            )
        self._stored_s[job_id] = now_s

    def _remove_expired(self, now_s: float) -> None:
        """Remove the oldest tombstones, which come first."""
        while self._stored_s:
            job_id, stored_s = next(iter(self._stored_s.items()))
            if now_s - stored_s < self.kept_s:
                return
            self._stored_s.pop(job_id)
