"""Log line about the tasks that wait longest, and why no worker takes them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.decision_log import loggable_harm
from marjoramwharf.isolation import run_isolated
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.job_state import Run, Task
from marjoramwharf.scheduling.ordering import queue_of
from marjoramwharf.scheduling.pass_outcomes import StepOutcome
from marjoramwharf.scheduling.placement import PlacementContext
from marjoramwharf.scheduling.planner import Planner
from marjoramwharf.scheduling.policy import Configuration
from marjoramwharf.scheduling.waiting_reasons import (
    WorkerReason,
    count_workers,
    count_workers_for,
    is_unconfirmed,
    worker_reason,
)
from marjoramwharf.scheduling.waiting_tasks import (
    LongWaits,
    WaitingTask,
    find_long_waits,
)

_LOG = part_logger('cell')

_PERIOD_S = 3.0
_MAX_LOGGED_JOBS_COUNT = 3

_READY = 'ready'
_UNKNOWN_WORKER = 'unknown'


@dataclass(frozen=True, slots=True)
class WaitingLog:
    """Logs at most one line in a few seconds, and none if nothing waits long.

    It reads the state of the cell and the planner's latest pass, and changes
    nothing.
    """

    planner: Planner
    configuration: Callable[[], Configuration | None]

    async def run(self) -> None:
        """Log until cancelled."""
        while True:
            await trio.sleep(_PERIOD_S)
            await run_isolated('waiting tasks', self._log_now)

    async def _log_now(self) -> None:
        self.log(now_s=boot_s())
        await trio.lowlevel.checkpoint()

    def log(self, *, now_s: float) -> None:
        """Log what has waited long at ``now_s``."""
        waits = find_long_waits(self.planner.job_table, now_s)
        if waits.longest or waits.idle_jobs:
            self._log_waits(waits, now_s)

    def _log_waits(self, waits: LongWaits, now_s: float) -> None:
        latest = self.planner.latest_pass
        outcomes = Counter(
            latest.outcome_of(waiting.task.step) for waiting in waits.ready
        )
        _LOG.info(
            'tasks wait',
            ready_count=len(waits.ready),
            outcomes=_by_value(outcomes),
            held_count=waits.held_count,
            idle_jobs_count=len(waits.idle_jobs),
            idle_jobs=[
                job.job_id for job in waits.idle_jobs[:_MAX_LOGGED_JOBS_COUNT]
            ],
            pass_age_s=round(now_s - latest.began_s, 3),
            workers=_by_value(count_workers(self.planner.fleet, now_s)),
            tasks=[self._describe(waiting, now_s) for waiting in waits.longest],
        )

    def _describe(self, waiting: WaitingTask, now_s: float) -> dict[str, Any]:
        """Return the fields of one task that waits."""
        task = waiting.task
        request = task.step.request
        fields: dict[str, Any] = {
            'task': task.name,
            'waits_s': round(waiting.waits_s, 1),
            'runs': task.last_run,
            'failed_workers': len(task.failed_workers),
            'needs': (
                request.cpu_millicores,
                request.memory_mb,
                request.accelerators_count,
            ),
            'workers': self._count_workers_for(task, now_s),
        }
        if waiting.run is None:
            return fields | self._describe_ready(task, now_s)
        return fields | self._describe_run(waiting.run, now_s)

    def _describe_ready(self, task: Task, now_s: float) -> dict[str, Any]:
        """Return what the latest pass did with the step of a ready task."""
        latest = self.planner.latest_pass
        fields: dict[str, Any] = {
            'state': _READY,
            'outcome': latest.outcome_of(task.step).value,
        }
        context = latest.contexts.get(task.step)
        if task.step.request.fills and context is not None:
            fields['allowed_harm'] = loggable_harm(context.allowed_harm)
        if task.not_before_s > now_s:
            fields['not_before_s'] = round(task.not_before_s - now_s, 1)
        return fields

    def _describe_run(self, run: Run, now_s: float) -> dict[str, Any]:
        """Return the state of a run that holds a task without a start."""
        worker = self.planner.fleet.workers.get(run.worker_id)
        reason = _UNKNOWN_WORKER
        if worker is not None:
            reason = worker_reason(self.planner.fleet, worker, now_s).value
        return {
            'state': run.phase.value,
            'planned_ago_s': round(now_s - run.planned_s, 1),
            'is_unconfirmed': is_unconfirmed(run),
            'worker': run.worker_id,
            'worker_reason': reason,
        }

    def _count_workers_for(self, task: Task, now_s: float) -> dict[str, int]:
        """Return the number of workers of the task's service by reason."""
        configuration = self.configuration()
        queues = {} if configuration is None else configuration.queues
        latest = self.planner.latest_pass
        context = latest.contexts.get(task.step)
        if context is None:
            context = PlacementContext(self.planner.model, now_s)
        context = replace(context, now_s=now_s)
        return _by_value(
            count_workers_for(
                task,
                self.planner.fleet,
                queue_of(task, queues).service,
                context,
                latest.tickets.get(task.step),
            )
        )


def _by_value(
    counts: Counter[WorkerReason] | Counter[StepOutcome],
) -> dict[str, int]:
    return {member.value: count for member, count in counts.items()}
