"""Slows filling runs to bound how long a tail latency is over its target.

A *pace* is the share of its full speed at which a filling run may work. Runs
that take most headroom (see :mod:`scheduling.interference`) are slowed first; a
tail latency over its target for long pauses all filling runs of the worker.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.headroom import cpu_share_of
from marjoramwharf.scheduling.interference import FillingLoad, InterferenceModel
from marjoramwharf.scheduling.job_state import Run, Step
from marjoramwharf.scheduling.readings import measured_headroom, running_runs

FULL_PERCENT = 100

# Paces are multiples of this, which keeps the number of orders low.
_PACE_STEP_PERCENT = 25

# The headroom that the paces should leave. Added to it are this many standard
# deviations of the expected loss, as little may be known of a pair of images.
_GOAL_HEADROOM = 1.2
_MARGIN_DEVIATIONS = 0.4

# How far ahead headroom is forecast: until about the next poll.
_FORECAST_AHEAD_S = 0.4

# A pace is not raised sooner than this after its latest change.
_MIN_RAISE_INTERVAL_S = 0.4

# How long before a tail has been over its target for too long the disturbing
# runs are slowed, and all filling runs of the worker are paused: an order
# takes a tenth of a second to act, and readings lag.
_SLOW_MARGIN_S = 1.7
_PAUSE_ALL_MARGIN_S = 1.2

# A run that takes less headroom than this is not slowed.
_MIN_DISTURBANCE = 0.05


@dataclass(slots=True)
class PaceController:
    """Chooses the paces of the filling runs on one worker.

    Filling runs must not keep any tail latency over its target for
    ``max_over_target_s`` without a break.
    """

    worker: Worker
    model: InterferenceModel
    max_over_target_s: float
    _over_target_since_s: dict[Run, float] = field(default_factory=dict)
    _decided_s: float = 0

    def decide(self, *, now_s: float) -> Mapping[Run, int]:
        """Return the new percentage of each run whose pace is to change."""
        filling = running_runs(self.worker.filling_runs())
        longest_s = self._longest_over_target_s(now_s)
        self.worker.is_filling_paused = (
            longest_s >= self.max_over_target_s - _SLOW_MARGIN_S
        )
        paces = dict.fromkeys(filling, FULL_PERCENT)
        if longest_s >= self.max_over_target_s - _PAUSE_ALL_MARGIN_S:
            paces = dict.fromkeys(filling, 0)
        elif self.worker.is_filling_paused:
            paces = self._choose_paces(filling, now_s)
        return _due_changes(paces, now_s)

    def needs_early_poll(self) -> bool:
        """Whether to poll the worker soon, to begin or to end a pause."""
        return bool(self._over_target_since_s) or any(
            run.pace_percent < FULL_PERCENT
            for run in self.worker.filling_runs()
        )

    def _longest_over_target_s(self, now_s: float) -> float:
        """Return how long, in s, a tail may have been over its target."""
        # A tail may have risen right after the last poll that found it low, and
        # one that is read as equal to its target may have been rounded down.
        self._over_target_since_s = {
            run: self._over_target_since_s.get(run, self._decided_s)
            for run in running_runs(self.worker.serving_runs())
            if run.reading and measured_headroom(run) <= 1
        }
        self._decided_s = now_s
        return now_s - min(self._over_target_since_s.values(), default=now_s)

    def _choose_paces(
        self,
        filling: Sequence[Run],
        now_s: float,
    ) -> dict[Run, int]:
        """Slow the most disturbing runs until no step lacks headroom."""
        paces = dict.fromkeys(filling, FULL_PERCENT)
        shortfalls = self._headroom_shortfalls(filling, now_s)
        for run in sorted(
            filling, key=self._disturbance_key(shortfalls), reverse=True
        ):
            share = cpu_share_of(run, self.worker, FULL_PERCENT)
            image = run.step.image
            weights = {
                step: self.model.weight(image, step.request.image) * share
                for step in shortfalls
            }
            needed_cut = max(
                (
                    shortfalls[step] / weight
                    for step, weight in weights.items()
                    if weight > _MIN_DISTURBANCE and shortfalls[step] > 0
                ),
                default=0,
            )
            cut_percent = _round_up_percent(min(1, needed_cut))
            paces[run] = FULL_PERCENT - cut_percent
            for step, weight in weights.items():
                shortfalls[step] -= weight * cut_percent / FULL_PERCENT
        return paces

    def _headroom_shortfalls(
        self,
        filling: Sequence[Run],
        now_s: float,
    ) -> dict[Step, float]:
        """Return the headroom that each serving step would lack at full pace.

        That is the larger one of the expected shortfall and of the measured
        shortfall of any task that is over its target.
        """
        loads = [
            FillingLoad(
                run.step.image,
                cpu_share_of(run, self.worker, FULL_PERCENT),
            )
            for run in filling
        ]
        shortfalls: dict[Step, float] = {}
        for run in running_runs(self.worker.serving_runs()):
            step = run.task.step
            if step not in shortfalls:
                loss = self.model.expected_loss(step.request.image, loads)
                baseline = step.baseline_headroom.forecast(
                    at_s=now_s + _FORECAST_AHEAD_S
                )
                margin = _MARGIN_DEVIATIONS * math.sqrt(loss.variance)
                goal = _GOAL_HEADROOM + margin
                shortfalls[step] = goal - baseline + loss.headroom
            if run in self._over_target_since_s:
                measured = _GOAL_HEADROOM - measured_headroom(run)
                shortfalls[step] = max(shortfalls[step], measured)
        return shortfalls

    def _disturbance_key(
        self,
        shortfalls: Mapping[Step, float],
    ) -> Callable[[Run], float]:
        # Counts the headroom that a run takes from the steps that lack some.
        def disturbance(run: Run) -> float:
            share = cpu_share_of(run, self.worker, FULL_PERCENT)
            return share * sum(
                self.model.weight(run.step.image, step.request.image)
                for step, shortfall in shortfalls.items()
                if shortfall > 0
            )

        return disturbance


def _round_up_percent(fraction: float) -> int:
    """Return a fraction as a percentage, rounded up to a pace step."""
    steps = math.ceil(fraction * FULL_PERCENT / _PACE_STEP_PERCENT)
    return steps * _PACE_STEP_PERCENT


def _due_changes(paces: Mapping[Run, int], now_s: float) -> Mapping[Run, int]:
    """Leave out paces that are in force, and raises that come too soon."""
    return {
        run: percent
        for run, percent in paces.items()
        if _is_change_due(run, percent, now_s)
    }


def _is_change_due(run: Run, percent: int, now_s: float) -> bool:
    if percent > run.pace_percent:
        return now_s - run.pace_changed_s > _MIN_RAISE_INTERVAL_S
    return percent < run.pace_percent
