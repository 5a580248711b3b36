"""A stand-in worker that runs tasks under leases and fences, without HTTP.

A task's payload controls the run: ``ms=150`` makes it take 150 ms, and with
``more=20`` each task of a step takes 20 ms longer than the one before. ``fail``
makes it end as failed after that time; with ``hang`` or ``last`` it makes no
progress, and with ``serve`` it is at work and never complete. With ``save`` its
checkpoint is its progress in percent. The current time is an argument; the
worker's own clock starts anew when the worker starts.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass, field

from marjoramwharf.cells.worker_messages import (
    EndReport,
    HoldOrder,
    HoldReport,
    OrderAnswer,
    OrderOutcome,
    PaceOrder,
    RunReport,
    StartOrder,
    StopOrder,
)
from marjoramwharf.ids import TaskId
from marjoramwharf.scheduling.job_state import RunEnd

_MS_PER_S = 1_000

# The Unix time at which the simulated clock shows 0.
_EPOCH_MS = 1_600_000_000_000
_FULL_PERCENT = 100
_DURATION = re.compile(r'ms=(\d+)')
_INCREASE = re.compile(r'more=(\d+)')
_DEFAULT_MS = 100
_ENDLESS_PAYLOADS = ('hang', 'last', 'serve')


@dataclass(slots=True)
class RunHistory:
    """What a worker did with one run, for checks after the fact.

    ``ended_s`` is ``None`` while the run is at work, and ``acknowledged_s``
    until the owner has acknowledged the end. ``how`` is the way it ended.
    """

    task: TaskId
    number: int
    started_s: float
    ended_s: float | None = None
    how: str = ''
    acknowledged_s: float | None = None


@dataclass(slots=True)
class _Run:
    task: TaskId
    number: int
    payload: str
    started_s: float
    duration_ms: float
    history: RunHistory
    pace_percent: int = _FULL_PERCENT

    def complete_at_s(self) -> float:
        """Return when the run is complete, infinity if it makes no progress."""
        if any(word in self.payload for word in _ENDLESS_PAYLOADS):
            return math.inf
        return self.started_s + self.duration_ms / _MS_PER_S


@dataclass(slots=True)
class SimulatedWorker:
    """One incarnation of a worker.

    ``capacity`` is the number of concurrent runs. Four lists are for tests to
    check: ``starts`` has every start that was carried out, ``start_times``
    their times, ``start_checkpoints`` the checkpoints in their orders, and
    ``acknowledged_completions`` the tasks that ended as done and whose end the
    owner acknowledged, each with the time of its end.
    ``history`` has all runs. The worker's own clock shows ``clock_origin_ms`` at
    ``born_s``.
    """

    born_s: float
    clock_origin_ms: int = 0
    max_hold_ms: int = 10_000
    capacity: int = 100
    fence: int = 0
    lease_end_ms: float = 0
    running: dict[TaskId, _Run] = field(default_factory=dict)
    starts: list[tuple[TaskId, int, int]] = field(default_factory=list)
    start_times: list[tuple[TaskId, float]] = field(default_factory=list)
    start_checkpoints: list[str] = field(default_factory=list)
    acknowledged_completions: list[tuple[TaskId, float]] = field(
        default_factory=list
    )
    history: list[RunHistory] = field(default_factory=list)
    _unacknowledged_ends: list[EndReport] = field(default_factory=list)
    _highest_refused_run: dict[TaskId, int] = field(default_factory=dict)
    _next_end_number: int = 1
    _ended_runs: dict[int, RunHistory] = field(default_factory=dict)

    @property
    def born_ms(self) -> int:
        """The Unix time of the worker's start, which tells its incarnation."""
        return _EPOCH_MS + int(self.born_s * _MS_PER_S)

    def clock_ms(self, now_s: float) -> int:
        """Return the time of the worker's own clock."""
        age_ms = int((now_s - self.born_s) * _MS_PER_S)
        return self.clock_origin_ms + age_ms

    def advance(self, now_s: float) -> None:
        """End the runs that are complete, and all if the lease has expired.

        Each ends at the time at which it was complete or its lease expired,
        which may be long before ``now_s``.
        """
        lease_end_ms = self.lease_end_ms - self.clock_origin_ms
        lapsed_s = self.born_s + lease_end_ms / _MS_PER_S
        for run in tuple(self.running.values()):
            done_s = run.complete_at_s()
            if done_s <= min(now_s, lapsed_s):
                failed = 'fail' in run.payload
                how = RunEnd.FAILED if failed else RunEnd.DONE
                self._end_run(run, how, done_s)
            elif lapsed_s < now_s:
                self._end_run(run, RunEnd.LAPSED, lapsed_s)

    def start(self, order: StartOrder, now_s: float) -> OrderAnswer:
        """Start a run, or refuse the order."""
        self.advance(now_s)
        clock_ms = self.clock_ms(now_s)
        if not self._accept_fence(order.fence):
            return OrderAnswer(OrderOutcome.FENCED, clock_ms)
        if order.expires_ms <= clock_ms:
            return OrderAnswer(OrderOutcome.TOO_LATE, clock_ms)
        self._extend_lease(order.expires_ms, clock_ms)
        run = self.running.get(order.task)
        if run is not None and run.number == order.run:
            return OrderAnswer(OrderOutcome.ACCEPTED, clock_ms)
        if order.run <= self._highest_refused_run.get(order.task, 0):
            return OrderAnswer(OrderOutcome.RUN_TOO_OLD, clock_ms)
        if len(self.running) >= self.capacity:
            return OrderAnswer(OrderOutcome.NO_ROOM, clock_ms)
        history = RunHistory(order.task, order.run, now_s)
        self.history.append(history)
        self.running[order.task] = _Run(
            order.task,
            order.run,
            order.payload,
            now_s,
            _duration_ms(order),
            history,
        )
        self.starts.append((order.task, order.run, order.fence))
        self.start_checkpoints.append(order.checkpoint)
        self.start_times.append((order.task, now_s))
        return OrderAnswer(OrderOutcome.ACCEPTED, clock_ms)

    def stop(self, order: StopOrder, now_s: float) -> OrderAnswer:
        """Stop a run and refuse it and earlier ones from then on."""
        self.advance(now_s)
        clock_ms = self.clock_ms(now_s)
        if not self._accept_fence(order.fence):
            return OrderAnswer(OrderOutcome.FENCED, clock_ms)
        self._refuse_runs_up_to(order.task, order.run)
        run = self.running.get(order.task)
        if run is not None and run.number <= order.run:
            self._end_run(run, RunEnd.STOPPED, now_s)
        return OrderAnswer(OrderOutcome.ACCEPTED, clock_ms)

    def pace(self, order: PaceOrder, now_s: float) -> OrderAnswer:
        """Change the pace of a run."""
        self.advance(now_s)
        if not self._accept_fence(order.fence):
            return OrderAnswer(OrderOutcome.FENCED, self.clock_ms(now_s))
        run = self.running.get(order.task)
        if run is not None:
            run.pace_percent = order.percent
        return OrderAnswer(OrderOutcome.ACCEPTED, self.clock_ms(now_s))

    def hold(self, order: HoldOrder, now_s: float) -> HoldReport:
        """Extend the lease and report all runs and unacknowledged ends."""
        self.advance(now_s)
        clock_ms = self.clock_ms(now_s)
        if not self._accept_fence(order.fence):
            return HoldReport(OrderOutcome.FENCED)
        if order.expires_ms is not None:
            self._extend_lease(order.expires_ms, clock_ms)
        self._remove_acknowledged(order.acknowledged_end, now_s)
        return HoldReport(
            outcome=OrderOutcome.ACCEPTED,
            clock_ms=clock_ms,
            born_ms=self.born_ms,
            running=[
                RunReport(
                    run.task,
                    run.number,
                    self._checkpoint(run, now_s),
                    self._progress_percent(run, now_s),
                    0,
                )
                for run in self.running.values()
            ],
            ended=tuple(self._unacknowledged_ends),
        )

    @property
    def has_unacknowledged_ends(self) -> bool:
        """Whether the owner has ends left to acknowledge."""
        return bool(self._unacknowledged_ends)

    def _remove_acknowledged(self, acknowledged_end: int, now_s: float) -> None:
        for ended in self._unacknowledged_ends:
            if ended.number > acknowledged_end:
                continue
            history = self._ended_runs[ended.number]
            history.acknowledged_s = now_s
            if ended.how is RunEnd.DONE and history.ended_s is not None:
                self.acknowledged_completions.append(
                    (ended.task, history.ended_s)
                )
        self._unacknowledged_ends = [
            ended
            for ended in self._unacknowledged_ends
            if ended.number > acknowledged_end
        ]

    def _accept_fence(self, fence: int) -> bool:
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def _extend_lease(self, expires_ms: int, clock_ms: int) -> None:
        allowed_ms = min(expires_ms, clock_ms + self.max_hold_ms)
        self.lease_end_ms = max(self.lease_end_ms, allowed_ms)

    def _checkpoint(self, run: _Run, now_s: float) -> str:
        if 'save' not in run.payload:
            return ''
        return str(self._progress_percent(run, now_s))

    def _progress_percent(self, run: _Run, now_s: float) -> int:
        if 'serve' in run.payload:
            return _FULL_PERCENT
        if run.complete_at_s() == math.inf:
            return 0
        passed_ms = (now_s - run.started_s) * _MS_PER_S
        percent = int(_FULL_PERCENT * passed_ms / run.duration_ms)
        return min(_FULL_PERCENT, percent)

    def _end_run(self, run: _Run, how: RunEnd, ended_s: float) -> None:
        run.history.ended_s = ended_s
        run.history.how = how.value
        self.running.pop(run.task, None)
        self._refuse_runs_up_to(run.task, run.number)
        self._unacknowledged_ends.append(
            EndReport(self._next_end_number, run.task, run.number, how, ''),
        )
        self._ended_runs[self._next_end_number] = run.history
        self._next_end_number += 1

    def _refuse_runs_up_to(self, task: TaskId, number: int) -> None:
        self._highest_refused_run[task] = max(
            self._highest_refused_run.get(task, 0), number
        )


def _duration_ms(order: StartOrder) -> float:
    """Return how long a task runs at full pace, from its payload."""
    found = _DURATION.search(order.payload)
    duration_ms = float(found.group(1)) if found else _DEFAULT_MS
    increase = _INCREASE.search(order.payload)
    if increase is None:
        return duration_ms
    index = int(order.task.rpartition('.')[2])
    return duration_ms + index * float(increase.group(1))
