"""State of a stand-in worker that runs tasks under leases and fences.

A task's payload says what it does: ``ms=150`` runs for 150 ms, with
``more=20`` each task of a step for 20 ms more than the one before, ``fail``
ends as failed after that time, and ``hang`` makes no progress. The present
time is an argument; the worker's own clock is that time less its birth.
"""

from __future__ import annotations

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
_FULL_PERCENT = 100
_DURATION = re.compile(r'ms=(\d+)')
_INCREASE = re.compile(r'more=(\d+)')
_DEFAULT_MS = 100


@dataclass(slots=True)
class _Run:
    task: TaskId
    number: int
    payload: str
    started_s: float
    length_ms: float
    pace_percent: int = _FULL_PERCENT


@dataclass(slots=True)
class SimulatedWorker:
    """One incarnation of a worker.

    ``starts`` keeps every start that was carried out, ``start_times`` when,
    and ``acknowledged_completions`` the tasks whose end as done was noted, with the time of
    that end; all are for checks.
    ``capacity`` is the number of runs that it takes at a time.
    """

    born_s: float
    max_hold_ms: int = 10_000
    capacity: int = 100
    fence: int = 0
    lease_end_ms: float = 0
    running: dict[TaskId, _Run] = field(default_factory=dict)
    starts: list[tuple[TaskId, int, int]] = field(default_factory=list)
    start_times: list[tuple[TaskId, float]] = field(default_factory=list)
    acknowledged_completions: list[tuple[TaskId, float]] = field(
        default_factory=list
    )
    _ended: list[EndReport] = field(default_factory=list)
    _floor: dict[TaskId, int] = field(default_factory=dict)
    _next_end: int = 1
    _end_times: dict[int, float] = field(default_factory=dict)
    _now_s: float = 0

    def clock_ms(self, now_s: float) -> int:
        """Return what the worker's own clock reads."""
        return int((now_s - self.born_s) * _MS_PER_S)

    def advance(self, now_s: float) -> None:
        """End what is over by now."""
        self._now_s = now_s
        if self.running and self.clock_ms(now_s) > self.lease_end_ms:
            for run in tuple(self.running.values()):
                self._end(run, RunEnd.LAPSED)
        for run in tuple(self.running.values()):
            if self._percent(run, now_s) >= _FULL_PERCENT:
                failed = 'fail' in run.payload
                self._end(run, RunEnd.FAILED if failed else RunEnd.DONE)

    def start(self, order: StartOrder, now_s: float) -> OrderAnswer:
        """Carry out an order to start a run."""
        self.advance(now_s)
        clock_ms = self.clock_ms(now_s)
        if not self._admit(order.fence):
            return OrderAnswer(OrderOutcome.FENCED, clock_ms)
        if order.expires_ms <= clock_ms:
            return OrderAnswer(OrderOutcome.TOO_LATE, clock_ms)
        self._extend(order.expires_ms, clock_ms)
        known = self.running.get(order.task)
        if known is not None and known.number == order.run:
            return OrderAnswer(OrderOutcome.ACCEPTED, clock_ms)
        if order.run <= self._floor.get(order.task, 0):
            return OrderAnswer(OrderOutcome.RUN_TOO_OLD, clock_ms)
        if len(self.running) >= self.capacity:
            return OrderAnswer(OrderOutcome.NO_ROOM, clock_ms)
        self.running[order.task] = _Run(
            order.task,
            order.run,
            order.payload,
            now_s,
            _duration_ms(order),
        )
        self.starts.append((order.task, order.run, order.fence))
        self.start_times.append((order.task, now_s))
        return OrderAnswer(OrderOutcome.ACCEPTED, clock_ms)

    def stop(self, order: StopOrder, now_s: float) -> OrderAnswer:
        """Carry out an order to stop a run, and refuse it from then on."""
        self.advance(now_s)
        clock_ms = self.clock_ms(now_s)
        if not self._admit(order.fence):
            return OrderAnswer(OrderOutcome.FENCED, clock_ms)
        self._raise_floor(order.task, order.run)
        known = self.running.get(order.task)
        if known is not None and known.number <= order.run:
            self._end(known, RunEnd.STOPPED)
        return OrderAnswer(OrderOutcome.ACCEPTED, clock_ms)

    def pace(self, order: PaceOrder, now_s: float) -> OrderAnswer:
        """Carry out an order to change the pace of a run."""
        self.advance(now_s)
        if not self._admit(order.fence):
            return OrderAnswer(OrderOutcome.FENCED, self.clock_ms(now_s))
        known = self.running.get(order.task)
        if known is not None:
            known.pace_percent = order.percent
        return OrderAnswer(OrderOutcome.ACCEPTED, self.clock_ms(now_s))

    def hold(self, order: HoldOrder, now_s: float) -> HoldReport:
        """Extend the leases and report."""
        self.advance(now_s)
        clock_ms = self.clock_ms(now_s)
        if not self._admit(order.fence):
            return HoldReport(OrderOutcome.FENCED, clock_ms)
        if order.expires_ms is not None:
            self._extend(order.expires_ms, clock_ms)
        self._forget(order.noted_end)
        return HoldReport(
            outcome=OrderOutcome.ACCEPTED,
            clock_ms=clock_ms,
            born_ms=int(self.born_s * _MS_PER_S),
            running=[
                RunReport(
                    run.task,
                    run.number,
                    '',
                    int(min(_FULL_PERCENT, self._percent(run, now_s))),
                    0,
                )
                for run in self.running.values()
            ],
            ended=tuple(self._ended),
        )

    @property
    def has_unacknowledged_ends(self) -> bool:
        """Whether ends wait to be noted."""
        return bool(self._ended)

    def _forget(self, noted_end: int) -> None:
        for ended in self._ended:
            if ended.number <= noted_end and ended.how is RunEnd.DONE:
                ended_s = self._end_times[ended.number]
                self.acknowledged_completions.append((ended.task, ended_s))
        self._ended = [
            ended for ended in self._ended if ended.number > noted_end
        ]

    def _admit(self, fence: int) -> bool:
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def _extend(self, expires_ms: int, clock_ms: int) -> None:
        allowed_ms = min(expires_ms, clock_ms + self.max_hold_ms)
        self.lease_end_ms = max(self.lease_end_ms, allowed_ms)

    def _percent(self, run: _Run, now_s: float) -> float:
        if 'hang' in run.payload or 'last' in run.payload:
            return 0
        passed_ms = (now_s - run.started_s) * _MS_PER_S
        return _FULL_PERCENT * passed_ms / run.length_ms

    def _end(self, run: _Run, how: RunEnd) -> None:
        self.running.pop(run.task, None)
        self._raise_floor(run.task, run.number)
        self._ended.append(
            EndReport(self._next_end, run.task, run.number, how, ''),
        )
        self._end_times[self._next_end] = self._now_s
        self._next_end += 1

    def _raise_floor(self, task: TaskId, number: int) -> None:
        self._floor[task] = max(self._floor.get(task, 0), number)


def _duration_ms(order: StartOrder) -> float:
    """Return how long a task runs at full pace."""
    found = _DURATION.search(order.payload)
    duration_ms = float(found.group(1)) if found else _DEFAULT_MS
    increase = _INCREASE.search(order.payload)
    if increase is None:
        return duration_ms
    index = int(order.task.rpartition('.')[2])
    return duration_ms + index * float(increase.group(1))
