"""Keeps the tails of serving tasks under their targets on one worker.

Load answered: filling tasks that turn out to disturb what serves beside them.
The ones that are to blame most are slowed first; a tail that stays over its
target for long stops all filling work of the worker.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.interference import InterferenceModel, Pressure
from marjoramwharf.scheduling.job_state import Run, RunPhase
from marjoramwharf.scheduling.tails import rest_share_of

FULL_PERCENT = 100

# The share of its target to which a pause should bring a tail.
_GOAL_SHARE = 0.7

# How long before a tail has been over its target for too long the runs to
# blame are paused, and all filling work of the worker: an order takes a tenth
# of a second to act, and readings lag.
_PAUSE_MARGIN_S = 1.7
_PAUSE_ALL_MARGIN_S = 1.2

# Readings cover the last half second.
_READING_WINDOW_S = 0.5


@dataclass(slots=True)
class _Past:
    """A filling run that has ended, for as long as readings show it."""

    image: str
    share: float
    started_s: float
    ended_s: float


@dataclass(slots=True)
class PaceKeeper:
    """State of the pacing on one worker.

    No tail may be over its target for ``harm_s`` on end by what fills.
    """

    worker: Worker
    model: InterferenceModel
    harm_s: float
    _over_since_s: dict[Run, float] = field(default_factory=dict)
    _past: list[_Past] = field(default_factory=list)
    _looked_s: float = 0

    def note_end(self, run: Run, *, now_s: float) -> None:
        """Remember a filling run that has just ended."""
        if run.step.fills and run.started_s is not None:
            self._past.append(
                _Past(
                    run.step.image,
                    share_of(run, self.worker, run.pace_percent),
                    run.started_s,
                    now_s,
                ),
            )

    def learn(self, *, now_s: float) -> None:
        """Let the model learn from the latest readings."""
        pressures = self._recent_pressures(now_s)
        for run in _at_work(self.worker.serving_runs()):
            if run.reading and _is_settled(run, now_s):
                run.rest_share = self.model.observe(
                    run.step.image,
                    pressures,
                    rest_share=rest_share_of(run, self.model),
                    tail_share=_tail_share(run),
                )
        self.worker.touch()

    def decide(self, *, now_s: float) -> Mapping[Run, int]:
        """Return the runs whose pace changes, with the new percentage."""
        serving = [
            run for run in _at_work(self.worker.serving_runs()) if run.reading
        ]
        filling = _at_work(self.worker.filling_runs())
        over = [run for run in serving if _tail_share(run) > 1]
        # A tail may have risen right after the last look that found it low.
        self._over_since_s = {
            run: self._over_since_s.get(run, self._looked_s) for run in over
        }
        self._looked_s = now_s
        longest_s: float = 0
        if over:
            longest_s = now_s - min(self._over_since_s.values())
        self.worker.is_paused = longest_s >= self.harm_s - _PAUSE_MARGIN_S
        if not over:
            return _changes(dict.fromkeys(filling, FULL_PERCENT))
        if not self.worker.is_paused:
            return {}
        if longest_s >= self.harm_s - _PAUSE_ALL_MARGIN_S:
            return _changes(dict.fromkeys(filling, 0))
        return self._pause(over, filling)

    def needs_look(self) -> bool:
        """Whether the next look is due soon, to end a pause or begin one."""
        return bool(self._over_since_s) or any(
            run.pace_percent < FULL_PERCENT
            for run in self.worker.filling_runs()
        )

    def _pause(
        self,
        over: Sequence[Run],
        filling: Sequence[Run],
    ) -> Mapping[Run, int]:
        """Pause the runs to blame until the tails are expected back."""
        excess = {run: math.log(_tail_share(run) / _GOAL_SHARE) for run in over}
        paused: dict[Run, int] = {}
        for run in sorted(filling, key=self._blame_by(over), reverse=True):
            if max(excess.values()) <= 0:
                break
            paused[run] = 0
            share = share_of(run, self.worker, run.pace_percent)
            for served in excess:
                weight = self.model.weight(run.step.image, served.step.image)
                excess[served] -= weight * share
        return _changes(paused)

    def _blame_by(self, over: Sequence[Run]) -> Callable[[Run], float]:
        def blame(run: Run) -> float:
            share = share_of(run, self.worker, run.pace_percent)
            return share * sum(
                self.model.weight(run.step.image, served.step.image)
                for served in over
            )

        return blame

    def _recent_pressures(self, now_s: float) -> list[Pressure]:
        since_s = now_s - _READING_WINDOW_S
        self._past = [past for past in self._past if past.ended_s > since_s]
        found = [
            Pressure(
                past.image,
                past.share * _overlap(past.started_s, past.ended_s, since_s),
            )
            for past in self._past
        ]
        for run in _at_work(self.worker.filling_runs()):
            started_s = now_s if run.started_s is None else run.started_s
            part = _overlap(started_s, now_s, since_s)
            share = share_of(run, self.worker, run.pace_percent)
            found.append(Pressure(run.step.image, share * part))
        return [pressure for pressure in found if pressure.share > 0]


def share_of(run: Run, worker: Worker, percent: int) -> float:
    """Return the share of a worker that a run takes at a pace."""
    whole = max(1, worker.capacity.cpu_millicores)
    return run.step.cpu_millicores / whole * percent / FULL_PERCENT


def _overlap(started_s: float, ended_s: float, since_s: float) -> float:
    length_s = ended_s - max(started_s, since_s)
    return min(1, max(0, length_s / _READING_WINDOW_S))


def _tail_share(run: Run) -> float:
    return run.reading / max(1, run.step.target_tail_ms)


def _is_settled(run: Run, now_s: float) -> bool:
    started_s = run.started_s
    return started_s is not None and now_s - started_s > _READING_WINDOW_S


def _at_work(runs: Iterable[Run]) -> list[Run]:
    return [run for run in runs if run.phase is RunPhase.RUNNING]


def _changes(paces: Mapping[Run, int]) -> Mapping[Run, int]:
    return {
        run: percent
        for run, percent in paces.items()
        if percent != run.pace_percent
    }
