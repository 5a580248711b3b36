"""Bounds how long a tail stays over its target on one worker.

Load answered: filling tasks that turn out to disturb what serves beside them.
The ones that are to blame most are slowed first; a tail that stays over its
target for long stops all filling work of the worker.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.headroom import cpu_share_of
from marjoramwharf.scheduling.interference import InterferenceModel, FillingLoad
from marjoramwharf.scheduling.job_state import Run, Step
from marjoramwharf.scheduling.readings import running_runs, measured_headroom

FULL_PERCENT = 100

# Paces are multiples of this, so that few orders are needed.
_PACE_STEP_PERCENT = 25

# The headroom that a pace should leave: the target, and a part for what is
# not known of a pair of images.
_WANTED_HEADROOM = 1.2
_SPREAD_FACTOR = 0.4

# How far ahead a pace is chosen for, which is until about the next look.
_AHEAD_S = 0.4

# A pace is not raised again sooner than this after a change.
_RAISE_PAUSE_S = 0.4

# How long before a tail has been over its target for too long the runs to
# blame are paused, and all filling work of the worker: an order takes a tenth
# of a second to act, and readings lag.
_PAUSE_MARGIN_S = 1.7
_PAUSE_ALL_MARGIN_S = 1.2

# A run to blame for less than this loss of headroom is left alone.
_LEAST_BLAME = 0.05


@dataclass(slots=True)
class PaceController:
    """State of the pacing on one worker.

    No tail may be over its target for ``max_over_target_s`` on end by what fills.
    """

    worker: Worker
    model: InterferenceModel
    max_over_target_s: float
    _over_since_s: dict[Run, float] = field(default_factory=dict)
    _looked_s: float = 0

    def decide(self, *, now_s: float) -> Mapping[Run, int]:
        """Return the runs whose pace changes, with the new percentage."""
        filling = running_runs(self.worker.filling_runs())
        longest_s = self._longest_over_s(now_s)
        self.worker.is_filling_paused = (
            longest_s >= self.max_over_target_s - _PAUSE_MARGIN_S
        )
        paces = dict.fromkeys(filling, FULL_PERCENT)
        if longest_s >= self.max_over_target_s - _PAUSE_ALL_MARGIN_S:
            paces = dict.fromkeys(filling, 0)
        elif self.worker.is_filling_paused:
            paces = self._paces(filling, now_s)
        return _changes(paces, now_s)

    def needs_early_poll(self) -> bool:
        """Whether the next look is due soon, to end a pause or begin one."""
        return bool(self._over_since_s) or any(
            run.pace_percent < FULL_PERCENT
            for run in self.worker.filling_runs()
        )

    def _longest_over_s(self, now_s: float) -> float:
        """Return how long a tail may have been over its target by now."""
        # A tail may have risen right after the last look that found it low.
        self._over_since_s = {
            run: self._over_since_s.get(run, self._looked_s)
            for run in running_runs(self.worker.serving_runs())
            if run.reading and measured_headroom(run) < 1
        }
        self._looked_s = now_s
        return now_s - min(self._over_since_s.values(), default=now_s)

    def _paces(
        self,
        filling: Sequence[Run],
        now_s: float,
    ) -> dict[Run, int]:
        """Slow what is to blame until all headrooms are expected to do."""
        paces = dict.fromkeys(filling, FULL_PERCENT)
        lacking = self._lacking(filling, now_s)
        for run in sorted(filling, key=self._blame_by(lacking), reverse=True):
            share = cpu_share_of(run, self.worker, FULL_PERCENT)
            image = run.step.image
            weights = {
                step: self.model.weight(image, step.request.image) * share
                for step in lacking
            }
            needed = max(
                (
                    lacking[step] / weight
                    for step, weight in weights.items()
                    if weight > _LEAST_BLAME and lacking[step] > 0
                ),
                default=0,
            )
            cut = _rounded_up(min(1, needed))
            paces[run] = FULL_PERCENT - cut
            for step, weight in weights.items():
                lacking[step] -= weight * cut / FULL_PERCENT
        return paces

    def _lacking(
        self,
        filling: Sequence[Run],
        now_s: float,
    ) -> dict[Step, float]:
        """Return the headroom that each serving step lacks at full pace.

        What is read counts as well as what is expected.
        """
        pressures = [
            FillingLoad(
                run.step.image,
                cpu_share_of(run, self.worker, FULL_PERCENT),
            )
            for run in filling
        ]
        lacking: dict[Step, float] = {}
        for run in running_runs(self.worker.serving_runs()):
            step = run.task.step
            if step not in lacking:
                loss = self.model.expected_loss(step.request.image, pressures)
                baseline = step.baseline_headroom.forecast(
                    at_s=now_s + _AHEAD_S
                )
                margin = _SPREAD_FACTOR * math.sqrt(loss.variance)
                wanted = _WANTED_HEADROOM + margin
                lacking[step] = wanted - baseline + loss.headroom
            if run in self._over_since_s:
                seen = _WANTED_HEADROOM - measured_headroom(run)
                lacking[step] = max(lacking[step], seen)
        return lacking

    def _blame_by(
        self,
        lacking: Mapping[Step, float],
    ) -> Callable[[Run], float]:
        def blame(run: Run) -> float:
            share = cpu_share_of(run, self.worker, FULL_PERCENT)
            return share * sum(
                self.model.weight(run.step.image, step.request.image)
                for step, lack in lacking.items()
                if lack > 0
            )

        return blame


def _rounded_up(part: float) -> int:
    """Return a part of the full pace as a percentage, in whole steps."""
    steps = math.ceil(part * FULL_PERCENT / _PACE_STEP_PERCENT)
    return steps * _PACE_STEP_PERCENT


def _changes(paces: Mapping[Run, int], now_s: float) -> Mapping[Run, int]:
    return {
        run: percent
        for run, percent in paces.items()
        if _is_due(run, percent, now_s)
    }


def _is_due(run: Run, percent: int, now_s: float) -> bool:
    if percent > run.pace_percent:
        return now_s - run.pace_changed_s > _RAISE_PAUSE_S
    return percent < run.pace_percent
