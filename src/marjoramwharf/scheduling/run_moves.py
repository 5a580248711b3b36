"""Which runs are moved, because their worker leaves, hangs or is slow.

Load answered: days on which a tenth of the workers stand still or run several
times slower for some seconds, and workers that leave with work on them.
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

# A run without progress for this long hangs; a lasting one gets longer, since
# it starts up first.
_HUNG_S = 1.6
_HUNG_START_S = 4.0

# A run is slow below this share of the pace of the other runs of its step, if
# at least so many are known and it would still take so long.
_SLOW_SHARE = 0.35
_SLOW_PEERS_COUNT = 3
_SLOW_REST_S = 1.2
_SLOW_AGE_S = 0.8

_LEAST_AGE_S = 0.1

# Without a checkpoint, a run that is further than this is not started anew.
_LOSABLE_PERCENT = 40

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
    """A run that should be moved, or doubled where that is allowed."""

    run: Run
    trouble: MoveReason


def find_run_moves(worker: Worker, *, now_s: float) -> Iterator[RunMove]:
    """Return the runs of a worker that should not stay there."""
    if not worker.is_reachable:
        return
    for run in worker.runs:
        if run.phase is RunPhase.RUNNING and run.is_listed:
            trouble = _trouble_of(run, worker, now_s)
            if trouble is not None:
                yield RunMove(run, trouble)


def expected_remaining_s(run: Run, now_s: float) -> float:
    """Return how long a run is expected to go on."""
    started_s = now_s if run.started_s is None else run.started_s
    elapsed_s = now_s - started_s
    estimate_s = run.step.estimate_ms / _MS_PER_S
    done = run.percent - run.resumed_percent
    if done <= 0:
        return max(estimate_s - elapsed_s, 0)
    return elapsed_s * (_FULL_PERCENT - run.percent) / done


def _trouble_of(run: Run, worker: Worker, now_s: float) -> MoveReason | None:
    if worker.listing.state is WorkerState.DRAINING:
        return MoveReason.LEAVING if _must_leave(run, worker, now_s) else None
    # Progress is as old as the latest look, so it is judged by that time.
    if _is_hung(run, worker.polled_s):
        return MoveReason.HUNG
    if _is_slow(run, worker.polled_s):
        return MoveReason.SLOW
    return None


def _must_leave(run: Run, worker: Worker, now_s: float) -> bool:
    if run.step.is_lasting:
        return True
    left_s = worker.leaves_s - now_s
    if expected_remaining_s(run, now_s) < left_s:
        return False
    return not run.step.has_checkpoints or left_s < _LEAVE_MARGIN_S


def _is_hung(run: Run, polled_s: float) -> bool:
    if run.percent >= _FULL_PERCENT or run.pace_percent < _FULL_PERCENT:
        return False
    still_s = polled_s - max(run.progressed_s, run.pace_changed_s)
    if run.step.is_lasting:
        return still_s > _HUNG_START_S
    return still_s > _HUNG_S


def _is_slow(run: Run, polled_s: float) -> bool:
    step = run.step
    was_paced = run.pace_changed_s or run.pace_percent < _FULL_PERCENT
    if step.is_lasting or was_paced or run.started_s is None:
        return False
    if polled_s - run.started_s < _SLOW_AGE_S:
        return False
    paces = _paces(run.task.step)
    if len(paces) < _SLOW_PEERS_COUNT:
        return False
    if _pace(run) >= _SLOW_SHARE * statistics.median(paces):
        return False
    is_losable = step.has_checkpoints or run.percent < _LOSABLE_PERCENT
    return expected_remaining_s(run, polled_s) > _SLOW_REST_S and is_losable


def _paces(step: Step) -> list[float]:
    """Return the progress per second of the runs of a step, ended or not."""
    running = [
        _pace(run)
        for task in step.tasks
        for run in task.runs.values()
        if run.phase is RunPhase.RUNNING and run.percent > run.resumed_percent
    ]
    return [*step.ended_progress_rates, *running]


def _pace(run: Run) -> float:
    """Return the percentages per second between two looks."""
    if run.started_s is None:
        return 0
    elapsed_s = max(run.progress_read_s - run.started_s, _LEAST_AGE_S)
    return (run.percent - run.resumed_percent) / elapsed_s
