"""Workers that fail every task they start are set aside for a while."""

from __future__ import annotations

from dataclasses import dataclass, field

from marjoramwharf.errors import Reason
from marjoramwharf.ids import JobId, WorkerId

# Failures are counted per job, so that one broken job does not set aside the
# workers that it visits.
_FAILED_JOBS_COUNT = 3

_FIRST_PAUSE_S = 30.0
_LONGEST_PAUSE_S = 600.0


@dataclass(frozen=True, slots=True)
class WorkerExclusion:
    """A worker that gets no batch tasks until a time."""

    worker_id: WorkerId
    until_s: float
    reason: Reason = Reason.WORKER_FAILING


@dataclass(slots=True)
class _Record:
    failed_jobs: set[JobId] = field(default_factory=set)
    pause_s: float = _FIRST_PAUSE_S


class WorkerFailureTracker:
    """Failures per worker since its last success."""

    def __init__(self) -> None:
        """Start without failures."""
        self._records: dict[WorkerId, _Record] = {}
        self._aside: dict[WorkerId, WorkerExclusion] = {}

    def succeeded(self, worker_id: WorkerId) -> None:
        """Forget a worker's failures."""
        self._records.pop(worker_id, None)
        self._aside.pop(worker_id, None)

    def failed(
        self,
        worker_id: WorkerId,
        job_id: JobId,
        now_s: float,
    ) -> WorkerExclusion | None:
        """Count a failure and return the pause that it starts, if any.

        After a pause, a failure of one more job starts a pause of twice the
        length.
        """
        record = self._records.setdefault(worker_id, _Record())
        record.failed_jobs.add(job_id)
        if len(record.failed_jobs) < _FAILED_JOBS_COUNT:
            return None
        if worker_id in self.aside(now_s):
            return None
        pause = WorkerExclusion(worker_id, now_s + record.pause_s)
        record.pause_s = min(record.pause_s * 2, _LONGEST_PAUSE_S)
        self._aside[worker_id] = pause
        return pause

    def aside(self, now_s: float) -> frozenset[WorkerId]:
        """Return the workers that are set aside at present."""
        return frozenset(
            worker_id
            for worker_id, pause in self._aside.items()
            if pause.until_s > now_s
        )
