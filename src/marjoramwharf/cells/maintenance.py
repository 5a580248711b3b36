"""Periodic work of a cell's owner: moves, surplus runs and removals."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.cell_context import CellContext, CellOwnership
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.inbox import Inbox
from marjoramwharf.cells.job_cleanup import remove_finished_jobs
from marjoramwharf.cells.owner_lag import OwnerLag
from marjoramwharf.cells.owner_reach import OwnerReach
from marjoramwharf.cells.run_mover import RunMover
from marjoramwharf.cells.worker_registry import WorkerRegistry
from marjoramwharf.isolation import run_isolated
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.job_state import Job, Run, RunEnd, RunPhase
from marjoramwharf.scheduling.job_table import JobTable

_LOG = part_logger('cell')

_PERIOD_S = 0.5

# Covers the error of a former owner's estimate of a worker's clock.
_FORMER_LEASE_MARGIN_S = 0.3


@dataclass(slots=True, eq=False)
class Maintenance:
    """Checks a cell twice a second for what no message tells."""

    ownership: CellOwnership
    context: CellContext
    job_table: JobTable
    worker_registry: WorkerRegistry
    inbox: Inbox
    run_mover: RunMover
    may_plan: Callable[[], bool]
    end_run: Callable[[Run, RunEnd, str], Job]
    stop_surplus_runs: Callable[[Job], None]
    lag: OwnerLag = field(default_factory=lambda: OwnerLag(boot_s()))
    _reach: OwnerReach = field(default_factory=OwnerReach)

    async def run(self) -> None:
        """Check the cell until cancelled."""
        while True:
            began_s = trio.current_time()
            await trio.sleep(_PERIOD_S)
            lag_s = trio.current_time() - began_s - _PERIOD_S
            self.lag.record(lag_s, now_s=boot_s())
            await run_isolated('maintenance', self._maintain)

    def _must_give_way(self, now_s: float) -> bool:
        """Whether an entry that reaches more, or is faster, may serve better."""
        if not self.context.has_other_entries():
            return False
        if self.lag.is_too_slow(now_s=now_s):
            _LOG.warning(
                'owner too slow', lag_s=round(self.lag.median_s(now_s=now_s), 3)
            )
            return True
        return self._reach.must_give_way(
            self.worker_registry.fleet,
            is_isolated=self.context.is_isolated(),
            changes_count=self.context.owner_changes_count(),
            now_s=now_s,
        )

    async def _maintain(self) -> None:
        if self._must_give_way(boot_s()):
            self.ownership.give_way()
        self._end_runs_of_unreached_workers()
        if self.may_plan():
            self.run_mover.move_all(now_s=boot_s())
        for job in tuple(self.job_table.jobs.values()):
            if job.occurrences:
                self.stop_surplus_runs(job)
        self.worker_registry.remove_gone_workers()
        await remove_finished_jobs(
            self.context.store,
            self.ownership.cell,
            self.ownership.guard,
            self.job_table,
            self.inbox,
            retention_ms=self.context.bounds.status_ms,
        )

    def _end_runs_of_unreached_workers(self) -> None:
        """End runs of a former owner at workers that never answered a poll.

        A former owner that doesn't know of this one may have extended their
        leases until its own right to do so ended. After the longest lease from
        then on, by the slowest clock, they can't be at work.
        """
        lapsed_s = (
            self.ownership.former_owner_until_s + self.context.longest_lease_s
        )
        if boot_s() < lapsed_s + _FORMER_LEASE_MARGIN_S:
            return
        for run in tuple(self.job_table.live_runs()):
            is_unreached = self.worker_registry.was_never_polled(run.worker_id)
            if is_unreached and run.phase is not RunPhase.PLANNED:
                self.end_run(run, RunEnd.VANISHED, '')
