"""Checks of what callers and workers saw during a soak.

>>> run = Run('j.0.0.0', 1, 0.0, 2.0, 'done', None)
>>> other = Run('j.0.0.0', 2, 1.0, 3.0, 'done', None)
>>> find_overlaps([run, other])
['j.0.0.0: run 2 began at 1.000 while run 1 was at work']
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

_DONE = 'done'

# Workers tell apart what happens within this time only by chance.
_CLOCK_TOLERANCE_S = 0.001


@dataclass(frozen=True, slots=True)
class Run:
    """One run at a worker, in seconds of the clock that all workers share.

    ``ended_s`` is ``None`` while it is at work, and ``acknowledged_s`` until
    its owner has acknowledged the end.
    """

    task: str
    number: int
    started_s: float
    ended_s: float | None
    how: str
    acknowledged_s: float | None

    @property
    def job_id(self) -> str:
        """The id of the job that the task belongs to."""
        return self.task.partition('.')[0]

    @property
    def end_s(self) -> float:
        """The time of the end, infinity if there is none yet."""
        return math.inf if self.ended_s is None else self.ended_s


@dataclass
class CallerRecord:
    """What the caller of one job was told.

    ``tasks_count`` is the number of tasks of the job. ``states`` has each
    change of the state that was shown, ``was_refused`` tells that every answer
    to the submission was a refusal.
    """

    job_id: str
    tasks_count: int
    is_accepted: bool = False
    was_refused: bool = True
    is_cancelled: bool = False
    states: list[str] = field(default_factory=list)

    def show(self, state: str) -> None:
        """Record a state that was shown."""
        if not self.states or self.states[-1] != state:
            self.states.append(state)


def find_violations(
    runs: Sequence[Run], callers: Sequence[CallerRecord]
) -> list[str]:
    """Return what was promised and not kept, as sentences."""
    return [
        *find_overlaps(runs),
        *_find_starts_after_ends(runs),
        *_find_unasked(runs, callers),
        *_find_wrong_answers(runs, callers),
    ]


def find_overlaps(runs: Iterable[Run]) -> list[str]:
    """Return the tasks of which two runs were at work at the same time."""
    found: list[str] = []
    for task, of_task in _by_task(runs).items():
        of_task.sort(key=lambda run: run.started_s)
        for before, after in zip(of_task, of_task[1:], strict=False):
            if after.started_s < before.end_s - _CLOCK_TOLERANCE_S:
                found.append(
                    f'{task}: run {after.number} began at '
                    f'{after.started_s:.3f} while run {before.number} was at '
                    'work'
                )
    return found


def _find_starts_after_ends(runs: Iterable[Run]) -> list[str]:
    """Return the tasks that began again after an acknowledged completion."""
    found: list[str] = []
    for task, of_task in _by_task(runs).items():
        completed_s = min(
            (
                run.end_s
                for run in of_task
                if run.how == _DONE and run.acknowledged_s is not None
            ),
            default=math.inf,
        )
        found += [
            f'{task}: run {run.number} began after the task was done'
            for run in of_task
            if run.started_s > completed_s
        ]
    return found


def _find_unasked(
    runs: Iterable[Run], callers: Iterable[CallerRecord]
) -> list[str]:
    """Return the jobs that ran though nobody asked, or after a refusal."""
    refused = {
        caller.job_id
        for caller in callers
        if caller.was_refused and not caller.is_accepted
    }
    known = {caller.job_id for caller in callers}
    ran = {run.job_id for run in runs}
    return [
        *(f'{job_id}: ran though it was refused' for job_id in ran & refused),
        *(f'{job_id}: ran though nobody asked' for job_id in ran - known),
    ]


def _find_wrong_answers(
    runs: Sequence[Run], callers: Iterable[CallerRecord]
) -> list[str]:
    """Return accepted jobs that were lost, or shown in a wrong state."""
    done: dict[str, set[str]] = defaultdict(set)
    for run in runs:
        if run.how == _DONE:
            done[run.job_id].add(run.task)
    return [
        f'{caller.job_id}: {wrong}'
        for caller in callers
        if caller.is_accepted
        for wrong in _wrong_states(caller, len(done[caller.job_id]))
    ]


def _wrong_states(caller: CallerRecord, done_count: int) -> Iterator[str]:
    """Return what is wrong with the states that an accepted job showed."""
    last = caller.states[-1] if caller.states else 'unknown'
    if 'missing' in caller.states:
        yield 'accepted and then not known'
    if 'completed' in caller.states[:-1]:
        yield f'{caller.states} after completion'
    if last == 'completed':
        if done_count < caller.tasks_count:
            yield 'completed before its tasks'
    elif not (caller.is_cancelled and last == 'cancelled'):
        yield f'accepted, and {last} at the end'


def _by_task(runs: Iterable[Run]) -> dict[str, list[Run]]:
    grouped: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        grouped[run.task].append(run)
    return grouped
