"""Periodic work of a cell's owner: moves, surplus runs and removals."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.cancellation_cleanup import (
    remove_expired_cancellations,
)
from marjoramwharf.cells.cell_context import CellContext, CellOwnership
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.decision_log import log_lapsed
from marjoramwharf.cells.inbox import Inbox
from marjoramwharf.cells.job_cleanup import remove_finished_jobs
from marjoramwharf.cells.lapsing_workers import LapsingWorkers
from marjoramwharf.cells.owner_lag import OwnerLag
from marjoramwharf.cells.owner_reach import OwnerReach
from marjoramwharf.cells.retention import retention_s
from marjoramwharf.cells.run_mover import RunMover
from marjoramwharf.cells.worker_registry import WorkerRegistry
from marjoramwharf.ids import WorkerId
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
    """Checks a cell twice a second for what no message tells.

    ``_lost_before`` are the workers that didn't answer at the latest check, and
    ``_restored`` those of the runs that a former owner has ordered.
    """

    ownership: CellOwnership
    context: CellContext
    job_table: JobTable
    worker_registry: WorkerRegistry
    inbox: Inbox
    lapsing: LapsingWorkers
    run_mover: RunMover
    may_plan: Callable[[], bool]
    end_run: Callable[[Run, RunEnd, str], Job]
    stop_surplus_runs: Callable[[Job], None]
    lag: OwnerLag = field(default_factory=lambda: OwnerLag(boot_s()))
    _reach: OwnerReach = field(default_factory=OwnerReach)
    _lost_before: set[WorkerId] = field(default_factory=set)
    _restored: set[WorkerId] | None = None

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
            given_way_count=self.context.given_way_count(),
            now_s=now_s,
        )

    async def _maintain(self) -> None:
        now_s = boot_s()
        if self._must_give_way(now_s):
            self.ownership.give_way()
        self._mark_lost_workers(now_s)
        self._end_runs_of_unreached_workers(now_s)
        if self.may_plan():
            self.run_mover.move_all(now_s=boot_s())
        for job in tuple(self.job_table.jobs.values()):
            if job.runs:
                self.stop_surplus_runs(job)
        self.worker_registry.remove_gone_workers(now_s=now_s)
        await self._remove_expired()

    async def _remove_expired(self) -> None:
        """Remove what has been in the store for long enough."""
        min_age_s = retention_s(self.context.bounds.status_ms)
        await remove_finished_jobs(
            self.context.store,
            self.ownership.cell,
            self.ownership.guard,
            self.job_table,
            self.inbox,
            min_age_s=min_age_s,
        )
        await remove_expired_cancellations(
            self.context.store,
            self.ownership.cell,
            self.ownership.guard,
            self.job_table,
            self.inbox.cancellations,
            min_age_s=min_age_s,
        )

    def _mark_lost_workers(self, now_s: float) -> None:
        """Mark the workers with runs that didn't answer at two checks in a row.

        A former owner may still extend leases at those that it hasn't marked.
        """
        if now_s < self.ownership.former_owner_until_s():
            return
        lost = self._lost_workers()
        former = self._lost_before | self.lapsing.marked
        self._lost_before = lost
        self.lapsing.mark(lost & former)

    def _lost_workers(self) -> set[WorkerId]:
        """Return the workers with runs that don't answer or aren't tracked."""
        workers = self.worker_registry.fleet.workers
        lost = {
            worker_id
            for worker_id, worker in workers.items()
            if worker.runs and not worker.is_reachable
        }
        return lost.union(self._restored_workers() - workers.keys())

    def _restored_workers(self) -> set[WorkerId]:
        """Return the workers of the runs that a former owner has ordered."""
        if self._restored is None:
            self._restored = {
                run.worker_id for run in self.job_table.live_runs()
            }
        return self._restored

    def _end_runs_of_unreached_workers(self, now_s: float) -> None:
        """End runs of a former owner at workers that never answered a poll.

        After the longest lease, they can't be at work.
        """
        restored = self._restored_workers()
        lapsed = {
            worker_id
            for worker_id in restored
            if self.worker_registry.never_answers(worker_id)
            and now_s >= self._lapsed_s(worker_id)
        }
        if not lapsed:
            return
        restored -= lapsed
        for run in tuple(self.job_table.live_runs()):
            if run.worker_id in lapsed and run.phase is not RunPhase.PLANNED:
                log_lapsed(run, self.lapsing.inherited_s(run.worker_id), now_s)
                self.end_run(run, RunEnd.VANISHED, '')

    def _lapsed_s(self, worker_id: WorkerId) -> float:
        """Return when all leases at a worker without a poll have ended.

        A former owner that doesn't know of this one may have extended them
        until its own right to do so ended, unless it had marked the worker.
        """
        extended_until_s = self.ownership.former_owner_until_s()
        inherited_s = self.lapsing.inherited_s(worker_id)
        if inherited_s is not None:
            extended_until_s = min(extended_until_s, inherited_s)
        longest_s = self.context.longest_lease_s
        return extended_until_s + longest_s + _FORMER_LEASE_MARGIN_S
