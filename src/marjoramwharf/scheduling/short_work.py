"""Room that is held back from lasting tasks for short ones still to come.

The load answered: lasting tasks reserve most of the CPU and keep it for a
minute, while urgent jobs of a second or two arrive all the time and need whole
pieces of it at once. A lasting task that starts a little later loses little of
its life; a short job that finds no room is late. Times are those of the boot clock:
the entry that accepted a job may have a clock of its own.

    >>> demand = ShortWorkDemand()
    >>> step = StepRequest(4, cpu_millicores=2_000, estimate_ms=1_000)
    >>> job = JobRequest('j', 'q', 's', '', (step,), accepted_at_ms=0)
    >>> demand.record_job(job, arrived_s=0, now_s=0)
    >>> demand.held_millicores(now_s=1)
    8800.0
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.workload import JobRequest, StepRequest

# Arrivals count for this long.
_WINDOW_S = 10.0

_MS_PER_S = 1_000

_Workers = Callable[[], Iterable[Worker]]


class _Arrival(NamedTuple):
    """A short step that arrived, with its size in millicores."""

    arrived_s: float
    task_millicores: int
    step_millicores: int
    run_ms: int


@dataclass(slots=True)
class ShortWorkDemand:
    """The short steps that reserve CPU and arrived within the last seconds."""

    _arrivals: deque[_Arrival] = field(default_factory=deque)

    def __len__(self) -> int:
        """Return the number of arrivals that are kept."""
        return len(self._arrivals)

    def record_job(
        self, request: JobRequest, *, arrived_s: float, now_s: float
    ) -> None:
        """Add the steps of a job that arrived at a time, unless it's too old."""
        self._forget_before(now_s - _WINDOW_S)
        if arrived_s < now_s - _WINDOW_S:
            return
        for step in request.steps:
            if step.cpu_millicores and not (step.is_lasting or step.fills):
                self._arrivals.append(
                    _Arrival(
                        arrived_s,
                        step.cpu_millicores,
                        step.count * step.cpu_millicores,
                        step.estimate_ms,
                    )
                )

    def held_millicores(self, now_s: float) -> float:
        """Return the CPU to hold back: the mean demand and one wide step."""
        self._forget_before(now_s - _WINDOW_S)
        if not self._arrivals:
            return 0
        work = sum(
            arrival.step_millicores * arrival.run_ms
            for arrival in self._arrivals
        )
        widest = max(arrival.step_millicores for arrival in self._arrivals)
        return work / (_WINDOW_S * _MS_PER_S) + widest

    def piece_millicores(self) -> int:
        """Return the CPU that three of four recent tasks fit in."""
        sizes = sorted(arrival.task_millicores for arrival in self._arrivals)
        return sizes[len(sizes) * 3 // 4]

    def _forget_before(self, at_s: float) -> None:
        """Forget the oldest arrivals; they come nearly in order of time."""
        while self._arrivals and self._arrivals[0].arrived_s < at_s:
            self._arrivals.popleft()


@dataclass(slots=True)
class LastingRoom:
    """The CPU that lasting tasks may take in one pass of the planner.

    It is worked out once for each service, since a scan of all workers for
    each waiting step would take seconds in a large fleet after an outage.
    """

    demand: ShortWorkDemand
    now_s: float
    _left_millicores: dict[str, float] = field(default_factory=dict)

    def fitting_count(
        self, step: StepRequest, count: int, service: str, workers: _Workers
    ) -> int:
        """Return how many of ``count`` tasks of a step fit.

        A gang fits as a whole or not at all.
        """
        left = self._left_millicores.get(service)
        if left is None:
            left = self._measure(workers())
            self._left_millicores[service] = left
        fitting = max(0, left / max(1, step.cpu_millicores))
        found = math.floor(min(count, fitting))
        return 0 if step.is_gang and found < count else found

    def take(self, step: StepRequest, count: int, service: str) -> None:
        """Take the room of the tasks of a step that have been placed."""
        left = self._left_millicores[service]
        self._left_millicores[service] = left - count * step.cpu_millicores

    def _measure(self, workers: Iterable[Worker]) -> float:
        """Return the room on these workers.

        What short tasks use now counts as held for them already. Only pieces
        that most recent tasks fit in count as free.
        """
        held = self.demand.held_millicores(self.now_s)
        if not held:
            return math.inf
        piece = self.demand.piece_millicores()
        room = -held
        for worker in workers:
            free = worker.capacity.cpu_millicores - worker.reserved_millicores
            room += free // piece * piece
            room += worker.reserved_millicores - worker.serving_millicores
        return room
