"""Detection of stored jobs that the owner of their cell doesn't know."""

from __future__ import annotations

from dataclasses import dataclass, field

from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.ids import JobId
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.workload import JobRequest

_LOG = part_logger('intake')

# An owner learns of a job within this time after its acceptance.
_MAX_WATCH_DELAY_MS = 3_000

_MIN_LOG_INTERVAL_S = 1.0

# Bounds the memory; a job is counted again once this many were.
_MAX_KEPT_JOBS_COUNT = 1_000


@dataclass(slots=True)
class UnknownJobs:
    """Counts open jobs that the owner didn't know, each of them once.

    At most one line a second names such a job, and one job isn't named again.
    """

    counters: CellCounters
    _counted: set[JobId] = field(default_factory=set)
    _next_line_s: float = 0

    def record(self, request: JobRequest, *, now_s: float, now_ms: int) -> None:
        """Record an open job that is stored, while its owner says it has none.

        A job that has just been accepted doesn't count.
        """
        age_ms = now_ms - request.accepted_at_ms
        if age_ms < _MAX_WATCH_DELAY_MS or request.job_id in self._counted:
            return
        self.counters.jobs_unknown_to_owner_count += 1
        if len(self._counted) >= _MAX_KEPT_JOBS_COUNT:
            self._counted.clear()
        self._counted.add(request.job_id)
        if now_s >= self._next_line_s:
            self._next_line_s = now_s + _MIN_LOG_INTERVAL_S
            _LOG.warning(
                'stored job unknown to owner',
                job=request.job_id,
                accepted_ago_ms=age_ms,
                unknown_count=self.counters.jobs_unknown_to_owner_count,
            )
