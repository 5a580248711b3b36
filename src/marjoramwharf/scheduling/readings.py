"""What the readings of one worker teach about interference and own loads."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.headroom import cpu_share_of
from marjoramwharf.scheduling.interference import (
    InterferenceModel,
    FillingLoad,
    is_saturated,
)
from marjoramwharf.scheduling.job_state import Run, RunPhase, Step

# Readings cover the last half second, so they tell of its middle.
_WINDOW_S = 0.5

# A serving task starts up for so long before its readings count.
_STARTUP_S = 1.0

# Variance of a headroom that is read: in itself, and by the rounding of the
# tail to whole milliseconds (a standard deviation of 0.29).
_READING_VARIANCE = 0.05
_ROUNDING_MS = 0.29

# Variance of the forecast of an undisturbed headroom, and how much more the
# variance of what disturbs counts when the forecast is corrected.
_FORECAST_VARIANCE = 0.05
_LOSS_VARIANCE_FACTOR = 4.0
_DISTURBED_VARIANCE = 0.1

# A share of a worker below this disturbs nothing.
_LEAST_SHARE = 0.003


@dataclass(frozen=True, slots=True)
class _Past:
    """A filling run that has ended, for as long as readings show it."""

    image: str
    share: float
    started_s: float
    ended_s: float


@dataclass(slots=True)
class InterferenceLearner:
    """Learns from each look at one worker."""

    worker: Worker
    model: InterferenceModel
    _past: list[_Past] = field(default_factory=list)

    def record_end(self, run: Run, *, now_s: float) -> None:
        """Remember a filling run that has just ended."""
        if run.step.fills and run.started_s is not None:
            self._past.append(
                _Past(
                    run.step.image,
                    self._used_share(run),
                    run.started_s,
                    now_s,
                ),
            )

    def learn(self, *, now_s: float) -> None:
        """Take in the latest readings of the worker."""
        pressures = list(self._recent_pressures(now_s))
        for step, headroom in self._headrooms(now_s):
            variance = _variance_of(headroom, step.request.target_tail_ms)
            if pressures:
                self._learn_disturbed(
                    step,
                    headroom,
                    variance,
                    pressures,
                    now_s,
                )
            else:
                step.baseline_headroom.observe(
                    headroom,
                    at_s=now_s - _WINDOW_S / 2,
                    variance=variance,
                )
        self.worker.mark_changed()

    def _learn_disturbed(
        self,
        step: Step,
        headroom: float,
        variance: float,
        pressures: list[FillingLoad],
        now_s: float,
    ) -> None:
        at_s = now_s - _WINDOW_S / 2
        image = step.request.image
        lost_headroom = step.baseline_headroom.forecast(at_s=at_s) - headroom
        saturated = is_saturated(headroom)
        if (
            not saturated
            or self.model.expected_loss(image, pressures).headroom
            < lost_headroom
        ):
            self.model.observe(
                image,
                pressures,
                lost_headroom=lost_headroom,
                variance=variance + _FORECAST_VARIANCE,
            )
        if not saturated:
            loss = self.model.expected_loss(image, pressures)
            variance += _LOSS_VARIANCE_FACTOR * loss.variance
            step.baseline_headroom.observe(
                headroom + loss.headroom,
                at_s=at_s,
                variance=variance + _DISTURBED_VARIANCE,
            )

    def _headrooms(self, now_s: float) -> Iterator[tuple[Step, float]]:
        """Return the mean headroom of each step's tasks on the worker."""
        found: dict[Step, list[float]] = {}
        for run in running_runs(self.worker.serving_runs()):
            if run.reading and _is_settled(run, now_s):
                found.setdefault(run.task.step, []).append(
                    measured_headroom(run)
                )
        for step, headrooms in found.items():
            yield step, statistics.fmean(headrooms)

    def _recent_pressures(self, now_s: float) -> Iterator[FillingLoad]:
        since_s = now_s - _WINDOW_S
        self._past = [past for past in self._past if past.ended_s > since_s]
        for past in self._past:
            part = _overlap(past.started_s, past.ended_s, since_s)
            if past.share * part > _LEAST_SHARE:
                yield FillingLoad(past.image, past.share * part)
        for run in running_runs(self.worker.filling_runs()):
            started_s = now_s if run.started_s is None else run.started_s
            part = _overlap(started_s, now_s, since_s)
            share = self._used_share(run) * part
            if share > _LEAST_SHARE:
                yield FillingLoad(run.step.image, share)

    def _used_share(self, run: Run) -> float:
        """Return the share of the worker that a run uses."""
        if run.reading:
            return run.reading / max(1, self.worker.capacity.cpu_millicores)
        return cpu_share_of(run, self.worker, run.pace_percent)


def measured_headroom(run: Run) -> float:
    """Return the target of a serving run divided by its tail."""
    return run.step.target_tail_ms / max(1, run.reading)


def running_runs(runs: Iterable[Run]) -> list[Run]:
    """Return the runs that have begun and are not being stopped."""
    return [run for run in runs if run.phase is RunPhase.RUNNING]


def _variance_of(headroom: float, target_ms: int) -> float:
    rounding = _ROUNDING_MS * headroom * headroom / max(1, target_ms)
    return _READING_VARIANCE + rounding * rounding


def _overlap(started_s: float, ended_s: float, since_s: float) -> float:
    length_s = ended_s - max(started_s, since_s)
    return min(1, max(0, length_s / _WINDOW_S))


def _is_settled(run: Run, now_s: float) -> bool:
    started_s = run.started_s
    return started_s is not None and now_s - started_s > _STARTUP_S
