"""The cancellations in the store, as the owner of a cell knows them.

A cancellation is stored for an unknown id, too: as long as it is there, no
entry can store a job of that id. It concerns only a request that is older.

    >>> cancellations = Cancellations()
    >>> cancellations.observe(JobId('5c0e7a21d94b36f8'), 7, now_s=0)
    >>> cancellations.applies(JobId('5c0e7a21d94b36f8'), request_revision=5)
    True
    >>> cancellations.applies(JobId('5c0e7a21d94b36f8'), request_revision=9)
    False
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field

from marjoramwharf.ids import JobId


@dataclass(frozen=True, slots=True)
class Cancellation:
    """A stored cancellation, and when this owner learned of it.

    ``seen_s`` is in seconds of the boot clock.
    """

    job_id: JobId
    revision: int
    seen_s: float


@dataclass(slots=True)
class Cancellations:
    """The latest cancellation of each job id."""

    _by_job: dict[JobId, Cancellation] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of ids with a cancellation."""
        return len(self._by_job)

    def observe(self, job_id: JobId, revision: int, *, now_s: float) -> None:
        """Record a cancellation that was found in the store.

        One with a higher revision replaces an earlier one and counts as new.
        """
        known = self._by_job.get(job_id)
        if known is None or known.revision < revision:
            self._by_job[job_id] = Cancellation(job_id, revision, now_s)

    def applies(self, job_id: JobId, *, request_revision: int) -> bool:
        """Whether a request with this revision has been cancelled.

        A later request was stored after the cancellation had been removed.
        """
        known = self._by_job.get(job_id)
        return known is not None and known.revision > request_revision

    def discard(self, job_id: JobId, *, up_to_revision: int) -> None:
        """Forget the cancellation of an id, unless it is a later one."""
        known = self._by_job.get(job_id)
        if known is not None and known.revision <= up_to_revision:
            self._by_job.pop(job_id)

    def expired(
        self,
        known_jobs: Container[JobId],
        *,
        now_s: float,
        min_age_s: float,
    ) -> list[Cancellation]:
        """Return those for unknown jobs that were seen long enough ago."""
        return [
            cancellation
            for job_id, cancellation in self._by_job.items()
            if now_s - cancellation.seen_s > min_age_s
            and job_id not in known_jobs
        ]
