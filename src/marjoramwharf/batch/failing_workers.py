"""Temporarily excludes workers on which the tasks of several jobs fail.

Workers that this entry can't call are excluded, too, since a task that is placed
there can neither start nor be placed elsewhere before that is proved.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from marjoramwharf.errors import Reason
from marjoramwharf.ids import JobId, WorkerId

# Failed jobs are counted instead of failed attempts, so that one broken job
# does not exclude every worker it runs on.
_MIN_FAILED_JOBS_COUNT = 3

_INITIAL_EXCLUSION_S = 30.0
_MAX_EXCLUSION_S = 600.0

_INITIAL_UNREACHABLE_S = 5.0
_MAX_UNREACHABLE_S = 60.0

# Silence of a single worker says nothing about the ways of this entry.
_MIN_SILENT_COUNT = 3


@dataclass(frozen=True, slots=True)
class WorkerExclusion:
    """A worker that gets no batch tasks before ``until_s``."""

    worker_id: WorkerId
    until_s: float
    reason: Reason = Reason.WORKER_FAILING


@dataclass(slots=True)
class _FailureRecord:
    """Jobs that failed on a worker, and the length of its next exclusion."""

    failed_jobs: set[JobId] = field(default_factory=set)
    next_exclusion_s: float = _INITIAL_EXCLUSION_S


@dataclass(frozen=True, slots=True)
class _Unreachable:
    """A worker that didn't answer is avoided for a while before a retry."""

    until_s: float
    pause_s: float


class WorkerFailureTracker:
    """Counts failures per worker since its last success."""

    def __init__(self) -> None:
        """Create a tracker without failures."""
        self._records: dict[WorkerId, _FailureRecord] = {}
        self._exclusions: dict[WorkerId, WorkerExclusion] = {}
        self._unreachable: dict[WorkerId, _Unreachable] = {}
        self._silent_in_turn: set[WorkerId] = set()

    def record_success(self, worker_id: WorkerId) -> None:
        """Reset a worker's failures and end its exclusion."""
        self._records.pop(worker_id, None)
        self._exclusions.pop(worker_id, None)

    def record_failure(
        self, worker_id: WorkerId, job_id: JobId, now_s: float
    ) -> WorkerExclusion | None:
        """Count a failure and return the exclusion that it starts, if any.

        After an exclusion, the next failure starts another one of twice the
        length.
        """
        record = self._records.setdefault(worker_id, _FailureRecord())
        record.failed_jobs.add(job_id)
        if len(record.failed_jobs) < _MIN_FAILED_JOBS_COUNT:
            return None
        if worker_id in self.excluded_workers(now_s):
            return None
        exclusion = WorkerExclusion(worker_id, now_s + record.next_exclusion_s)
        record.next_exclusion_s = min(
            record.next_exclusion_s * 2, _MAX_EXCLUSION_S
        )
        self._exclusions[worker_id] = exclusion
        return exclusion

    def record_reached(self, worker_id: WorkerId) -> None:
        """Record a worker that has answered a call by this entry."""
        self._unreachable.pop(worker_id, None)
        self._silent_in_turn.clear()

    def record_unreachable(self, worker_id: WorkerId, now_s: float) -> None:
        """Avoid a worker that didn't answer, each time for twice as long."""
        self._silent_in_turn.add(worker_id)
        former = self._unreachable.get(worker_id)
        if former is not None and former.until_s > now_s:
            return
        pause_s = _INITIAL_UNREACHABLE_S
        if former is not None:
            pause_s = min(2 * former.pause_s, _MAX_UNREACHABLE_S)
        self._unreachable[worker_id] = _Unreachable(now_s + pause_s, pause_s)

    @property
    def reaches_no_worker(self) -> bool:
        """Whether several workers didn't answer since the latest answer."""
        return len(self._silent_in_turn) >= _MIN_SILENT_COUNT

    def excluded_workers(self, now_s: float) -> frozenset[WorkerId]:
        """Return the workers that are excluded at present."""
        failing = frozenset(
            worker_id
            for worker_id, exclusion in self._exclusions.items()
            if exclusion.until_s > now_s
        )
        return failing | {
            worker_id
            for worker_id, unreachable in self._unreachable.items()
            if unreachable.until_s > now_s
        }
