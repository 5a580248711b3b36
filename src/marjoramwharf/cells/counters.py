"""Counts of what a cell and its callers did, kept as plain numbers.

``programs/_cell_metrics.py`` turns them into metrics when they are asked for.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from marjoramwharf.cells.intake_outcomes import Submission
from marjoramwharf.cells.worker_messages import OrderOutcome
from marjoramwharf.scheduling.job_state import JobPhase, RunEnd

# Observations that are kept between two looks at the metrics.
_SAMPLES_COUNT = 5_000


def _samples() -> deque[float]:
    return deque(maxlen=_SAMPLES_COUNT)


@dataclass(slots=True)
class CellCounters:
    """Totals since the process started, and samples since the last look.

    ``wait_samples_s`` are times from a task's readiness to its start,
    ``write_samples_s`` those of group commits, and ``answer_samples_s`` those
    from a caller's request to the answer.
    """

    submissions: Counter[Submission] = field(default_factory=Counter)
    starts: Counter[OrderOutcome] = field(default_factory=Counter)
    ends: Counter[RunEnd] = field(default_factory=Counter)
    finished_jobs: Counter[JobPhase] = field(default_factory=Counter)
    tenures_count: int = 0
    pace_orders_count: int = 0
    moved_runs_count: int = 0
    written_bytes: int = 0
    commits_count: int = 0
    wait_samples_s: deque[float] = field(default_factory=_samples)
    write_samples_s: deque[float] = field(default_factory=_samples)
    answer_samples_s: deque[float] = field(default_factory=_samples)
