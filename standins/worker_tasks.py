"""Tasks of the stand-in for a worker, without any transport.

Times are arguments, in monotonic seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from marjoramwharf.ids import TaskId
from marjoramwharf.machines.calls import (
    Demand,
    TaskPhase,
    TaskReport,
    TaskStart,
    WorkerRefusal,
)

_MS_PER_S = 1_000
_ACTIVE = frozenset((TaskPhase.RUNNING, TaskPhase.THROTTLED))


@dataclass(slots=True)
class TaskRecord:
    """History of one started attempt.

    ``work_ms`` is the work done up to ``seen_s``.
    """

    start: TaskStart
    start_s: float
    seen_s: float
    work_ms: float
    cpu_share: float = 1
    end_s: float | None = None
    phase: TaskPhase = TaskPhase.RUNNING


class TaskTable:
    """The latest attempt of each task, with fences and the lease."""

    def __init__(self, capacity: Demand, expires_at_s: float) -> None:
        """Start empty; ``capacity`` is what all tasks may use together."""
        self.expires_at_s = expires_at_s
        self.history: list[TaskRecord] = []
        self._capacity = capacity
        self._tasks: dict[TaskId, TaskRecord] = {}
        self._fences: dict[str, tuple[int, int]] = {}

    def start(
        self,
        start: TaskStart,
        now_s: float,
    ) -> TaskReport | WorkerRefusal:
        """Start an attempt; a repeated start only returns its report.

        A start after the lease expired is refused like one of an old owner.
        """
        self.advance(now_s)
        existing = self._tasks.get(start.task_id)
        if existing is not None and existing.start.fence == start.fence:
            return _report(existing)
        if now_s >= self.expires_at_s:
            return WorkerRefusal.STALE_EPOCH
        refusal = self._refusal(start)
        if refusal is not None:
            return refusal
        for name in _fence_names(start):
            self._fences[name] = start.fence
        task = TaskRecord(start, now_s, now_s, start.checkpoint)
        self._tasks[start.task_id] = task
        self.history.append(task)
        return _report(task)

    def stop(
        self,
        task_id: TaskId,
        fence: tuple[int, int],
        now_s: float,
        *,
        with_checkpoint: bool,
    ) -> TaskReport | None:
        """Stop an attempt; returns ``None`` if it never ran here.

        Stopping an unknown attempt fences it, so that a late start is refused.
        """
        self.advance(now_s)
        task = self._tasks.get(task_id)
        if task is None or task.start.fence != fence:
            next_fence = (fence[0], fence[1] + 1)
            current = self._fences.get(task_id, next_fence)
            self._fences[task_id] = max(current, next_fence)
            return None
        if task.phase in _ACTIVE:
            task.phase = TaskPhase.STOPPED
            task.end_s = now_s
            if not with_checkpoint:
                task.work_ms = task.start.checkpoint
        return _report(task)

    def throttle(
        self,
        task_id: TaskId,
        cpu_share: float,
        now_s: float,
    ) -> TaskReport | None:
        """Limit a running task; returns ``None`` for an unknown task."""
        self.advance(now_s)
        task = self._tasks.get(task_id)
        if task is None:
            return None
        if task.phase in _ACTIVE:
            task.cpu_share = cpu_share
            task.phase = TaskPhase.RUNNING
            if cpu_share < 1:
                task.phase = TaskPhase.THROTTLED
        return _report(task)

    def reports(self) -> tuple[TaskReport, ...]:
        """Return the reports of the latest attempt of every task."""
        return tuple(map(_report, self._tasks.values()))

    def advance(self, now_s: float) -> None:
        """Advance the tasks to now, and stop them if the lease expired."""
        until_s = min(now_s, self.expires_at_s)
        for task in self.active():
            self._advance_task(task, until_s)
            if task.phase in _ACTIVE and now_s >= self.expires_at_s:
                task.phase = TaskPhase.STOPPED
                task.end_s = self.expires_at_s

    def _advance_task(self, task: TaskRecord, until_s: float) -> None:
        rate = task.cpu_share * _MS_PER_S
        left_s = (task.start.run_ms - task.work_ms) / rate if rate else None
        if left_s is not None and task.seen_s + left_s <= until_s:
            task.phase = TaskPhase.FINISHED
            task.end_s = task.seen_s + left_s
            task.work_ms = task.start.run_ms
        else:
            task.work_ms += max(until_s - task.seen_s, 0) * rate
        task.seen_s = max(until_s, task.seen_s)

    def active(self) -> list[TaskRecord]:
        """Return the running attempts, throttled or not."""
        return [task for task in self._tasks.values() if task.phase in _ACTIVE]

    def _refusal(self, start: TaskStart) -> WorkerRefusal | None:
        for name in _fence_names(start):
            if start.fence < self._fences.get(name, start.fence):
                return WorkerRefusal.STALE_FENCE
        if self._is_busy(start) or not self._has_capacity(start):
            return WorkerRefusal.FULL
        return None

    def _is_busy(self, start: TaskStart) -> bool:
        """Return whether an attempt of the same task or key still runs."""
        names = set(_fence_names(start))
        return any(
            names.intersection(_fence_names(task.start))
            for task in self.active()
        )

    def _has_capacity(self, start: TaskStart) -> bool:
        demands = [task.start.demand for task in self.active()]
        demands.append(start.demand)
        return (
            sum(demand.cpu_millicores for demand in demands)
            <= self._capacity.cpu_millicores
            and sum(demand.memory_mb for demand in demands)
            <= self._capacity.memory_mb
            and sum(demand.accelerators_count for demand in demands)
            <= self._capacity.accelerators_count
        )


def _fence_names(start: TaskStart) -> tuple[str, ...]:
    if start.exclusive_key is None:
        return (start.task_id,)
    return (start.task_id, f'exclusive {start.exclusive_key}')


def _report(task: TaskRecord) -> TaskReport:
    return TaskReport(
        task.start.task_id,
        task.start.fence,
        task.phase,
        int(task.work_ms),
        task.start.demand,
    )
