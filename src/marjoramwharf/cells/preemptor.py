"""Stops lasting runs so that urgent short tasks find room."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.job_state import Run, RunPhase
from marjoramwharf.scheduling.planner import Planner
from marjoramwharf.scheduling.policy import QueuePolicy
from marjoramwharf.scheduling.preemption import choose_victims

_LOG = part_logger('cell')

# The planner makes many more passes than this during a burst.
_MIN_PERIOD_S = 0.2


@dataclass(slots=True)
class Preemptor:
    """Stops runs for the shortages of the planner, within what jobs allow.

    Nothing but the runs that are being stopped is remembered, so nothing is
    left reserved if the owner ends.
    """

    planner: Planner
    queue_of: Callable[[Run], QueuePolicy]
    stop: Callable[[Run], None]
    counters: CellCounters
    _stopping: set[Run] = field(default_factory=set)
    _looked_at_s: float = 0

    def preempt(self, *, now_s: float) -> None:
        """Stop lasting runs for urgent tasks that found no room."""
        shortages = self.planner.shortages
        if not shortages or now_s - self._looked_at_s < _MIN_PERIOD_S:
            return
        self._looked_at_s = now_s
        self._stopping = {
            run for run in self._stopping if run.phase is not RunPhase.ENDED
        }
        victims = choose_victims(
            shortages,
            sum(run.step.cpu_millicores for run in self._stopping),
            priority_of=lambda run: self.queue_of(run).priority,
            now_s=now_s,
        )
        for run in victims:
            _LOG.info(
                'run preempted',
                task=run.task.name,
                run=run.number,
                worker=run.worker_id,
                waiting=sum(shortage.tasks_count for shortage in shortages),
            )
            self.counters.preempted_runs_count += 1
            self._stopping.add(run)
            self.stop(run)
