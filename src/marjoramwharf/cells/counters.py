"""Counters of a cell's activity, kept as plain numbers.

``programs/_cell_metrics.py`` exports them as metrics on each scrape.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from marjoramwharf.cells.submission_outcome import SubmissionOutcome
from marjoramwharf.cells.worker_messages import OrderOutcome
from marjoramwharf.scheduling.job_state import JobPhase, RunEnd

# Samples kept between two scrapes of the metrics; older ones are dropped.
_MAX_SAMPLES_COUNT = 5_000


def _new_samples() -> deque[float]:
    return deque(maxlen=_MAX_SAMPLES_COUNT)


@dataclass(slots=True)
class CellCounters:
    """Totals since the process started, and samples since the last scrape.

    ``other_clock_answers_count`` is the number of answers to start orders that
    the clock of the order's lease can't have given, and
    ``jobs_unknown_to_owner_count`` that of the open jobs that were found in the
    store and that their owner didn't know. ``calls_for_others_count`` is the
    number of calls to workers that were made for another entry. ``wait_samples_s`` are the
    times from a task's readiness to its start, ``write_samples_s`` the
    durations of group commits, and
    ``answer_samples_s`` the times from a caller's request to the answer.
    """

    submissions: Counter[SubmissionOutcome] = field(default_factory=Counter)
    starts: Counter[OrderOutcome] = field(default_factory=Counter)
    ends: Counter[RunEnd] = field(default_factory=Counter)
    finished_jobs: Counter[JobPhase] = field(default_factory=Counter)
    tenures_count: int = 0
    pace_orders_count: int = 0
    other_clock_answers_count: int = 0
    jobs_unknown_to_owner_count: int = 0
    calls_for_others_count: int = 0
    moved_runs_count: int = 0
    preempted_runs_count: int = 0
    written_bytes: int = 0
    commits_count: int = 0
    wait_samples_s: deque[float] = field(default_factory=_new_samples)
    write_samples_s: deque[float] = field(default_factory=_new_samples)
    answer_samples_s: deque[float] = field(default_factory=_new_samples)
