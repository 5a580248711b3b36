"""Learning of interference and baseline headroom from a worker's readings."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.headroom import cpu_share_of
from marjoramwharf.scheduling.interference import (
    FillingLoad,
    InterferenceModel,
    is_saturated,
)
from marjoramwharf.scheduling.job_state import Run, RunPhase, Step

# A reading covers the last half second, so it is dated to the middle of that.
_WINDOW_S = 0.5

# Readings of a serving task count only after this start-up time.
_STARTUP_S = 1.0

# Variance of a measured headroom, and the standard deviation of a tail latency
# that is rounded to whole milliseconds (0.29 ms).
_READING_VARIANCE = 0.05
_ROUNDING_MS = 0.29

# Variance of a forecast of the baseline headroom. When the forecast is updated
# from a reading under interference, the variance of the expected loss counts by
# this factor, and this variance is added.
_FORECAST_VARIANCE = 0.05
_LOSS_VARIANCE_FACTOR = 4.0
_INTERFERENCE_VARIANCE = 0.1

# A load below this share of a worker counts as no interference.
_MIN_LOAD_SHARE = 0.003


@dataclass(frozen=True, slots=True)
class _EndedRun:
    """A filling run that has ended but still affects readings."""

    image: str
    share: float
    started_s: float
    ended_s: float


@dataclass(slots=True)
class InterferenceLearner:
    """Updates the model and the forecasts after each poll of one worker."""

    worker: Worker
    model: InterferenceModel
    _ended_runs: list[_EndedRun] = field(default_factory=list)

    def record_end(self, run: Run, *, now_s: float) -> None:
        """Keep a filling run that has ended, as it affects later readings."""
        if run.step.fills and run.started_s is not None:
            self._ended_runs.append(
                _EndedRun(
                    run.step.image,
                    self._used_share(run),
                    run.started_s,
                    now_s,
                ),
            )

    def learn(self, *, now_s: float) -> None:
        """Update the model and the forecasts from the latest readings."""
        loads = list(self._recent_loads(now_s))
        for step, headroom in self._measured_headrooms(now_s):
            variance = _variance_of(headroom, step.request.target_tail_ms)
            if loads:
                self._learn_interference(
                    step,
                    headroom,
                    variance,
                    loads,
                    now_s,
                )
            else:
                step.baseline_headroom.observe(
                    headroom,
                    at_s=now_s - _WINDOW_S / 2,
                    variance=variance,
                )
        self.worker.mark_changed()

    def _learn_interference(
        self,
        step: Step,
        headroom: float,
        variance: float,
        loads: list[FillingLoad],
        now_s: float,
    ) -> None:
        """Learn from a headroom that was measured while filling tasks ran.

        If it is saturated, i.e. too low to show the whole effect, the loss
        computed from it is a lower bound.
        """
        at_s = now_s - _WINDOW_S / 2
        image = step.request.image
        lost_headroom = step.baseline_headroom.forecast(at_s=at_s) - headroom
        is_lower_bound = is_saturated(headroom)
        if (
            not is_lower_bound
            or self.model.expected_loss(image, loads).headroom < lost_headroom
        ):
            self.model.observe(
                image,
                loads,
                lost_headroom=lost_headroom,
                variance=variance + _FORECAST_VARIANCE,
            )
        if not is_lower_bound:
            loss = self.model.expected_loss(image, loads)
            variance += _LOSS_VARIANCE_FACTOR * loss.variance
            step.baseline_headroom.observe(
                headroom + loss.headroom,
                at_s=at_s,
                variance=variance + _INTERFERENCE_VARIANCE,
            )

    def _measured_headrooms(self, now_s: float) -> Iterator[tuple[Step, float]]:
        """Return the mean measured headroom of each step on the worker."""
        by_step: dict[Step, list[float]] = {}
        for run in running_runs(self.worker.serving_runs()):
            if run.reading and _has_started_up(run, now_s):
                by_step.setdefault(run.task.step, []).append(
                    measured_headroom(run)
                )
        for step, headrooms in by_step.items():
            yield step, statistics.fmean(headrooms)

    def _recent_loads(self, now_s: float) -> Iterator[FillingLoad]:
        """Return the mean filling loads in the time that readings cover."""
        since_s = now_s - _WINDOW_S
        self._ended_runs = [
            ended for ended in self._ended_runs if ended.ended_s > since_s
        ]
        for ended in self._ended_runs:
            overlap_share = _overlap_share(
                ended.started_s, ended.ended_s, since_s
            )
            if ended.share * overlap_share > _MIN_LOAD_SHARE:
                yield FillingLoad(ended.image, ended.share * overlap_share)
        for run in running_runs(self.worker.filling_runs()):
            started_s = now_s if run.started_s is None else run.started_s
            overlap_share = _overlap_share(started_s, now_s, since_s)
            share = self._used_share(run) * overlap_share
            if share > _MIN_LOAD_SHARE:
                yield FillingLoad(run.step.image, share)

    def _used_share(self, run: Run) -> float:
        """Return the share of the worker's CPU that a run uses."""
        if run.reading:
            return run.reading / max(1, self.worker.capacity.cpu_millicores)
        return cpu_share_of(run, self.worker, run.pace_percent)


def measured_headroom(run: Run) -> float:
    """Return the latency target of a run divided by its tail latency."""
    return run.step.target_tail_ms / max(1, run.reading)


def running_runs(runs: Iterable[Run]) -> list[Run]:
    """Return those runs that have begun and are not being stopped."""
    return [run for run in runs if run.phase is RunPhase.RUNNING]


def _variance_of(headroom: float, target_ms: int) -> float:
    rounding = _ROUNDING_MS * headroom * headroom / max(1, target_ms)
    return _READING_VARIANCE + rounding * rounding


def _overlap_share(started_s: float, ended_s: float, since_s: float) -> float:
    """Return the share of the window from ``since_s`` in which a run ran."""
    length_s = ended_s - max(started_s, since_s)
    return min(1, max(0, length_s / _WINDOW_S))


def _has_started_up(run: Run, now_s: float) -> bool:
    started_s = run.started_s
    return started_s is not None and now_s - started_s > _STARTUP_S
