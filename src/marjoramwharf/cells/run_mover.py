"""Moves runs off workers that leave, hang or are slow."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.worker_board import WorkerBoard
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.job_state import Run
from marjoramwharf.scheduling.planner import Planner
from marjoramwharf.scheduling.policy import QueuePolicy
from marjoramwharf.scheduling.run_moves import (
    RunMove,
    MoveReason,
    find_run_moves,
)

_LOG = part_logger('cell')

# A worker on which a run hangs or is slow gets new runs last for this long.
_SUSPECT_S = 5.0


@dataclass(frozen=True, slots=True)
class RunMover:
    """Stops runs so that they start elsewhere, or doubles them.

    ``on_planned`` is called when a second run of a task was planned.
    """

    board: WorkerBoard
    planner: Planner
    queue_of: Callable[[Run], QueuePolicy]
    counters: CellCounters
    on_planned: Callable[[], None]

    def move_all(self, *, now_s: float) -> None:
        """Move what should not stay where it is."""
        for worker in self.board.fleet.workers.values():
            for rescue in tuple(find_run_moves(worker, now_s=now_s)):
                self._move(rescue, worker, now_s)

    def _move(self, rescue: RunMove, worker: Worker, now_s: float) -> None:
        run = rescue.run
        service = self.queue_of(run).service
        if rescue.trouble is not MoveReason.LEAVING:
            worker.suspect_until_s = now_s + _SUSPECT_S
            run.task.failed_workers.add(worker.worker_id)
        if not self.planner.has_alternative_worker(
            run.task, service, now_s=now_s
        ):
            return
        may_double = run.step.may_duplicate and not run.step.is_lasting
        if may_double and len(run.task.runs) > 1:
            return
        _LOG.info(
            'run moved',
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
            trouble=rescue.trouble.value,
            percent=run.percent,
            doubled=may_double,
        )
        self.counters.moved_runs_count += 1
        if may_double:
            self.planner.plan_duplicate(run.task, service, now_s=now_s)
            self.on_planned()
        else:
            self.board.stop(run)
