"""Moves runs away from workers that leave or on which runs hang or are slow."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.worker_registry import WorkerRegistry
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.candidates import CandidatePool
from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.job_state import Run
from marjoramwharf.scheduling.planner import Planner
from marjoramwharf.scheduling.policy import QueuePolicy
from marjoramwharf.scheduling.run_moves import (
    MoveReason,
    RunMove,
    find_run_moves,
)

_LOG = part_logger('cell')

# For this long, a worker on which a run hangs or is slow is the last choice for
# new runs.
_SUSPECT_DURATION_S = 5.0


@dataclass(frozen=True, slots=True)
class RunMover:
    """Stops runs so that they start elsewhere, or plans a duplicate run.

    ``on_planned`` is called when a second run of a task has been planned.
    """

    worker_registry: WorkerRegistry
    planner: Planner
    queue_of: Callable[[Run], QueuePolicy]
    counters: CellCounters
    on_planned: Callable[[], None]

    def move_all(self, *, now_s: float) -> None:
        """Move each run that should leave and that another worker can take."""
        fleet = self.worker_registry.fleet
        pool = CandidatePool(fleet, now_s)
        for worker in fleet.workers.values():
            for move in tuple(find_run_moves(worker, now_s=now_s)):
                self._move_run(move, worker, pool)

    def _move_run(
        self, move: RunMove, worker: Worker, pool: CandidatePool
    ) -> None:
        """Stop or duplicate a run, unless no other worker can take it now."""
        run = move.run
        service = self.queue_of(run).service
        if move.reason is not MoveReason.LEAVING:
            worker.suspect_until_s = pool.now_s + _SUSPECT_DURATION_S
            run.task.failed_workers.add(worker.worker_id)
        if not self.planner.has_alternative_worker(run.task, service, pool):
            return
        may_duplicate = run.step.may_duplicate and not run.step.is_lasting
        if may_duplicate and len(run.task.runs) > 1:
            return
        _LOG.info(
            'run moved',
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
            trouble=move.reason.value,
            percent=run.percent,
            doubled=may_duplicate,
        )
        self.counters.moved_runs_count += 1
        if may_duplicate:
            self.planner.plan_duplicate(run.task, service, pool)
            self.on_planned()
        else:
            self.worker_registry.stop(run)
