"""Choice of the runs to move, as their worker leaves, hangs or is slow.

A tenth of the workers may stand still or run several times slower for some
seconds on a bad day, and workers leave with work on them.
"""

from __future__ import annotations

import enum
import statistics
from collections.abc import Iterator
from dataclasses import dataclass

from marjoramwharf.scheduling.fleet import Worker, WorkerState
from marjoramwharf.scheduling.job_state import Run, RunPhase, Step

_FULL_PERCENT = 100
_MS_PER_S = 1_000

# A run without progress for this long counts as hung; a lasting one gets more
# time, since it starts up first. Progress is reported in whole percent, so a
# long task gets the time of a few of them, by an estimate that may be far off.
_HUNG_S = 1.6
_HUNG_START_S = 4.0
_HUNG_PERCENT = 4

# A run counts as slow if its progress rate is below this share of the median of
# its step, at least this many rates are known, it would still take this long,
# and it has run for at least this long.
_SLOW_SHARE = 0.35
_SLOW_MIN_RATES_COUNT = 3
_SLOW_MIN_REMAINING_S = 1.2
_SLOW_MIN_ELAPSED_S = 0.8

_MIN_ELAPSED_S = 0.1
_MIN_RATE = 0.01  # percent per second

# A slow run that saves no checkpoints is moved only below this progress, since
# it starts from the beginning.
_MAX_RESTART_PERCENT = 40

# A run is moved this long before its worker leaves, so that its stop and its
# checkpoint are still listed.
_LEAVE_MARGIN_S = 1.3


@enum.unique
class MoveReason(enum.Enum):
    """Why a run is moved."""

    LEAVING = 'leaving'
    HUNG = 'hung'
    SLOW = 'slow'


@dataclass(frozen=True, slots=True)
class RunMove:
    """A run to move, or to duplicate where that is allowed."""

    run: Run
    reason: MoveReason


def find_run_moves(worker: Worker, *, now_s: float) -> Iterator[RunMove]:
    """Return the runs that should leave a worker; none if it's unreachable."""
    if not worker.is_reachable:
        return
    for run in worker.runs:
        if run.phase is RunPhase.RUNNING and run.is_listed:
            reason = _move_reason(run, worker, now_s)
            if reason is not None:
                yield RunMove(run, reason)


def expected_remaining_s(run: Run, now_s: float) -> float:
    """Return how long a run still takes, by its progress or the estimate."""
    started_s = now_s if run.started_s is None else run.started_s
    elapsed_s = now_s - started_s
    estimate_s = run.step.estimate_ms / _MS_PER_S
    done_percent = run.percent - run.resumed_percent
    if done_percent <= 0:
        return max(estimate_s - elapsed_s, 0)
    return elapsed_s * (_FULL_PERCENT - run.percent) / done_percent


def _move_reason(run: Run, worker: Worker, now_s: float) -> MoveReason | None:
    if worker.listing.state is WorkerState.DRAINING:
        return MoveReason.LEAVING if _must_leave(run, worker, now_s) else None
    # Progress is as old as the latest report, so it is compared with that time.
    if _is_hung(run, worker.reported_at_s):
        return MoveReason.HUNG
    if _is_slow(run, worker):
        return MoveReason.SLOW
    return None


def _must_leave(run: Run, worker: Worker, now_s: float) -> bool:
    """Whether a run should stop, as it won't end before its worker leaves."""
    if run.step.is_lasting:
        return True
    left_s = worker.leaves_at_s - now_s
    if expected_remaining_s(run, now_s) < left_s:
        return False
    return not run.step.has_checkpoints or left_s < _LEAVE_MARGIN_S


def _is_hung(run: Run, reported_s: float) -> bool:
    """Whether a run at full speed has made no progress for too long."""
    if run.percent >= _FULL_PERCENT or run.pace_percent < _FULL_PERCENT:
        return False
    stalled_s = reported_s - max(run.progressed_s, run.pace_changed_s)
    if run.step.is_lasting:
        return stalled_s > _HUNG_START_S
    return stalled_s > max(_HUNG_S, _HUNG_PERCENT * _percent_s(run))


def _percent_s(run: Run) -> float:
    """Return how long a percent takes, by the estimate and by the progress."""
    estimated_s = run.step.estimate_ms / _MS_PER_S / _FULL_PERCENT
    done_percent = run.percent - run.resumed_percent
    if run.started_s is None or done_percent <= 0:
        return estimated_s
    shown_s = (run.progressed_s - run.started_s) / done_percent
    return max(estimated_s, shown_s)


def relative_rate(run: Run, reported_s: float) -> float | None:
    """Return a run's progress rate relative to the median of its step.

    Returns ``None`` where they can't be compared: for lasting, paced and new
    runs, and while few rates of the step are known.
    """
    step = run.step
    was_paced = run.pace_changed_s or run.pace_percent < _FULL_PERCENT
    if step.is_lasting or was_paced or run.started_s is None:
        return None
    if reported_s - run.started_s < _SLOW_MIN_ELAPSED_S:
        return None
    rates = _progress_rates(run.task.step)
    if len(rates) < _SLOW_MIN_RATES_COUNT:
        return None
    return _progress_rate(run) / max(statistics.median(rates), _MIN_RATE)


def _is_worker_slow(worker: Worker) -> bool:
    """Whether a worker is slow by all runs there that can be compared."""
    reported_s = worker.reported_at_s
    rates = (relative_rate(run, reported_s) for run in worker.runs)
    known = [rate for rate in rates if rate is not None]
    return worker.speed.is_slow(known, now_s=reported_s)


def _is_slow(run: Run, worker: Worker) -> bool:
    """Whether a run is much slower than its step, on a worker that is slow."""
    step = run.step
    reported_s = worker.reported_at_s
    rate = relative_rate(run, reported_s)
    if rate is None or rate >= _SLOW_SHARE or not _is_worker_slow(worker):
        return False
    may_restart = step.has_checkpoints or run.percent < _MAX_RESTART_PERCENT
    return (
        expected_remaining_s(run, reported_s) > _SLOW_MIN_REMAINING_S
        and may_restart
    )


def _progress_rates(step: Step) -> list[float]:
    """Return the progress rates of the runs of a step, ended or not."""
    running = [
        _progress_rate(run)
        for task in step.tasks
        for run in task.runs.values()
        if run.phase is RunPhase.RUNNING and run.percent > run.resumed_percent
    ]
    return [*step.ended_progress_rates, *running]


def _progress_rate(run: Run) -> float:
    """Return the mean progress of a run in percent per second."""
    if run.started_s is None:
        return 0
    elapsed_s = max(run.progress_read_s - run.started_s, _MIN_ELAPSED_S)
    return (run.percent - run.resumed_percent) / elapsed_s
