"""Processors, memory and accelerators of one worker, reserved for tasks.

A reservation is made before a task attempt starts. It ends with a release or
when the worker reports the end of the attempt, and never by time alone, since
a late start could then exceed the worker's capacity.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeAlias

from marjoramwharf.ids import TaskId
from marjoramwharf.machines.calls import Demand, TaskPhase, TaskReport
from marjoramwharf.machines.worker import Capacity

# The fence of an attempt: the epoch of its job shard and its number.
Fence: TypeAlias = tuple[int, int]
AttemptKey: TypeAlias = tuple[TaskId, Fence]

_RUNNING_PHASES = frozenset((TaskPhase.RUNNING, TaskPhase.THROTTLED))


@dataclass(slots=True)
class _Reservation:
    """The demand of an attempt and when it was first reported running."""

    demand: Demand
    reserved_at_s: float
    running_since_s: float | None = None


class Reservations:
    """Tracks the reservations of task attempts on one worker."""

    def __init__(self, capacity: Capacity) -> None:
        """Start without reservations."""
        self._capacity = capacity
        self._by_attempt: dict[AttemptKey, _Reservation] = {}

    @property
    def free(self) -> Demand:
        """Unreserved capacity; negative if reported attempts exceed it."""
        demands = [held.demand for held in self._by_attempt.values()]
        return Demand(
            cpu_millicores=self._capacity.cpu_millicores
            - sum(demand.cpu_millicores for demand in demands),
            memory_mb=self._capacity.memory_mb
            - sum(demand.memory_mb for demand in demands),
            accelerators_count=self._capacity.accelerators_count
            - sum(demand.accelerators_count for demand in demands),
        )

    def reserve(
        self,
        task_id: TaskId,
        fence: Fence,
        demand: Demand,
        now_s: float,
    ) -> bool:
        """Reserve a demand for an attempt; return whether it fits.

        A repeat for the same attempt succeeds and reserves nothing more.
        """
        if (task_id, fence) in self._by_attempt:
            return True
        fits = self.has_capacity(demand)
        if fits:
            self._by_attempt[task_id, fence] = _Reservation(demand, now_s)
        return fits

    def has_capacity(self, demand: Demand) -> bool:
        """Tell whether a demand fits into the free capacity.

        A negative demand fits nowhere: it would add to the capacity.
        """
        free = self.free
        return (
            0 <= demand.cpu_millicores <= free.cpu_millicores
            and 0 <= demand.memory_mb <= free.memory_mb
            and 0 <= demand.accelerators_count <= free.accelerators_count
        )

    def demands(self) -> dict[AttemptKey, Demand]:
        """Return the reserved demand of each attempt."""
        return {key: held.demand for key, held in self._by_attempt.items()}

    def holds(self, task_id: TaskId, fence: Fence) -> bool:
        """Tell whether an attempt has a reservation here."""
        return (task_id, fence) in self._by_attempt

    def running_since_s(self, task_id: TaskId, fence: Fence) -> float | None:
        """Return when an attempt was first reported running, if it was."""
        held = self._by_attempt.get((task_id, fence))
        return None if held is None else held.running_since_s

    def release(self, task_id: TaskId, fence: Fence) -> None:
        """Release a reservation after the worker has confirmed the end."""
        self._by_attempt.pop((task_id, fence), None)

    def record_reports(self, tasks: Iterable[TaskReport], now_s: float) -> None:
        """Reserve for reported running attempts and free those that ended.

        ``tasks`` is the complete list of a worker's reply. An attempt that
        was once reported running and is no longer listed has ended.
        """
        running: set[AttemptKey] = set()
        for report in tasks:
            key = (report.task_id, report.fence)
            if report.phase in _RUNNING_PHASES:
                running.add(key)
                self._adopt(key, report.demand, now_s)
            elif report.phase is not TaskPhase.UNKNOWN:
                self._by_attempt.pop(key, None)
        self._by_attempt = {
            key: held
            for key, held in self._by_attempt.items()
            if key in running or held.running_since_s is None
        }

    def never_reported(
        self, now_s: float, older_than_s: float
    ) -> list[AttemptKey]:
        """Return old reservations whose attempt was never reported running.

        They may be released only after the worker has confirmed that the
        attempt did not start and has refused it from then on.
        """
        return [
            key
            for key, held in self._by_attempt.items()
            if held.running_since_s is None
            and now_s - held.reserved_at_s >= older_than_s
        ]

    def _adopt(self, key: AttemptKey, demand: Demand, now_s: float) -> None:
        held = self._by_attempt.get(key)
        if held is None:
            self._by_attempt[key] = _Reservation(demand, now_s, now_s)
        elif held.running_since_s is None:
            held.running_since_s = now_s
