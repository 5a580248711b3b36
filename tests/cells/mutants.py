"""Deliberate faults in the code of a cell, each of which its tests must catch.

A mutant leaves out one of the precautions that keep work from being doubled or
lost. ``make mutants`` runs the tests of the cell against each of them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager, nullcontext
from dataclasses import replace
from typing import Any
from unittest.mock import PropertyMock, patch

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.end_acknowledgements import (
    EndAcknowledgements,
    _UnacknowledgedEnd,
)
from marjoramwharf.cells.inbox import Inbox
from marjoramwharf.cells.lapsing_workers import LapsingWorkers
from marjoramwharf.cells.maintenance import Maintenance
from marjoramwharf.cells.owner_lag import OwnerLag
from marjoramwharf.cells.owner_reach import OwnerReach
from marjoramwharf.cells.owner_view import OwnerView
from marjoramwharf.cells.plan_loop import PlanLoop
from marjoramwharf.cells.progress_writer import ProgressWriter
from marjoramwharf.cells.records import (
    LapsingMark,
    lapsing_key,
)
from marjoramwharf.cells.report_processor import ReportProcessor
from marjoramwharf.cells.worker_clock import WorkerClock
from marjoramwharf.cells.worker_link import WorkerLink, _FetchedReport
from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    HoldReport,
    OrderAnswer,
    OrderOutcome,
    StopOrder,
    WorkerAddress,
)
from marjoramwharf.cells.worker_orders import WorkerOrders
from marjoramwharf.cells.worker_routes import DIRECT, Route, WorkerRoutes
from marjoramwharf.ids import WorkerId
from marjoramwharf.links.store import Guard
from marjoramwharf.scheduling.fleet import Fleet, Worker
from marjoramwharf.scheduling.job_state import Run, RunEnd, RunPhase
from tests.cells.cancellation_mutants import CANCELLATION_MUTANTS
from tests.cells.former_owner_mutants import FORMER_OWNER_MUTANTS
from tests.cells.worker_list_mutants import WORKER_LIST_MUTANTS

_Patch = AbstractContextManager[Any]

_LONG_S = 60

_send_start = WorkerOrders._send_start
_send_stop = WorkerOrders._send_stop
_poll_unknown = WorkerLink._poll_unknown
_late_lease_ms = ReportProcessor._late_lease_ms
_plan = PlanLoop._plan
_add_end = EndAcknowledgements.add
_run_writer = ProgressWriter.run
_load_marks = LapsingWorkers.load
_write_marks = LapsingWorkers._write


async def _start_without_fence(self: WorkerOrders, run: Run) -> OrderAnswer:
    context = self.context
    self.context = replace(context, fence=0)
    try:
        return await _send_start(self, run)
    finally:
        self.context = context


async def _stop_without_fence(
    self: WorkerOrders, order: StopOrder
) -> OrderAnswer:
    return await _send_stop(self, replace(order, fence=0))


def _plan_and_start(self: PlanLoop) -> None:
    _plan(self)
    cell: Cell = self.may_plan.__self__  # type: ignore[attr-defined]
    for run in tuple(self.job_table.live_runs()):
        if run.phase is RunPhase.PLANNED:
            cell._send_start(run)


def _probe_with_lease(self: WorkerOrders) -> HoldOrder:
    lease_end_ms = self.clock.grant_lease(self.context.hold_ms, now_s=boot_s())
    return HoldOrder(self.context.fence, 0, lease_end_ms, 0)


async def _poll_with_old_ends(self: WorkerLink) -> _FetchedReport:
    number = self.acknowledgements.acknowledged_number
    probe = replace(self.orders.build_probe(), acknowledged_end=number)
    with patch.object(WorkerOrders, 'build_probe', lambda _self: probe):
        return await _poll_unknown(self)


def _is_same_by_clock(
    self: ReportProcessor, report: HoldReport, _sent_s: float
) -> bool:
    return self.clock.may_show(report.clock_ms, since_s=self.clock.read_s + 1.2)


def _no_late_lease(
    _self: ReportProcessor, _clock_ms: int, _now_s: float
) -> int:
    return 0


def _lease_of_latest_life(
    self: ReportProcessor, clock_ms: int, now_s: float
) -> int:
    self._latest_lease_end_ms = self.clock.lease_end_ms
    return _late_lease_ms(self, clock_ms, now_s)


def _may_start_late_if_unanswered(run: Run, _now_s: float) -> bool:
    return run.phase is RunPhase.ORDERED or run.is_start_unconfirmed


async def _write_unguarded(self: ProgressWriter) -> None:
    self.ownership_guard = Guard('nobody', 0)
    await _run_writer(self)


async def _stop_once(self: WorkerOrders, run: Run) -> None:
    """Send a stop order once, and take the run for ended whatever comes."""
    order = StopOrder(run.task.name, run.number, self.context.fence)
    await _send_stop(self, order)
    if run.phase is not RunPhase.ENDED:
        self.owner.end_run(run, RunEnd.VANISHED, '')


def _is_any_other_worker(
    _self: WorkerLink, outcome: OrderOutcome, _address: WorkerAddress
) -> bool:
    return outcome is OrderOutcome.OTHER_WORKER


async def _start_for_sure(self: WorkerOrders, run: Run) -> OrderAnswer:
    """Take an order without an outcome for one that was never sent."""
    answer = await _send_start(self, run)
    if answer.outcome is OrderOutcome.UNKNOWN:
        return OrderAnswer(OrderOutcome.NOT_SENT)
    return answer


def _may_start_anywhere(self: Cell, _worker: Worker) -> bool:
    return self.ownership.is_current()


def _never(*_args: object, **_named: object) -> bool:
    return False


def _none(*_args: object, **_named: object) -> int:
    return 0


def _direct_only(*_args: object, **_named: object) -> tuple[Route]:
    return (DIRECT,)


async def _never_connected(_self: WorkerOrders) -> bool:
    return False


def _always(*_args: object, **_named: object) -> bool:
    return True


async def _extend_at_once(self: LapsingWorkers, worker_id: WorkerId) -> bool:
    self._marks.pop(worker_id, None)
    return True


async def _trust_any_owner(self: LapsingWorkers) -> None:
    await _load_marks(self)
    self._marks = dict(self._confirmed)
    self._inherit(boot_s())


async def _write_whatever_is_stored(self: LapsingWorkers) -> bool:
    stored = await self.store.read(lapsing_key(self.cell))
    self._revision = 0 if stored is None else stored.mod_revision
    return await _write_marks(self)


def _same_mark(self: LapsingWorkers, worker_id: WorkerId) -> LapsingMark:
    return LapsingMark(worker_id, self.ownership_guard.mod_revision, 0)


def _mark_at_once(self: Maintenance, _now_s: float) -> None:
    self.lapsing.mark(self._lost_workers())


# Each mutant by the precaution that it leaves out.
MUTANTS: Mapping[str, Callable[[], _Patch]] = {
    'start orders carry a fence': lambda: patch.object(
        WorkerOrders, '_send_start', _start_without_fence
    ),
    'an end is stored before it is acknowledged': lambda: patch.object(
        _UnacknowledgedEnd, 'is_stored', PropertyMock(return_value=True)
    ),
    'a run is stored before it is ordered': lambda: patch.object(
        PlanLoop, '_plan', _plan_and_start
    ),
    'no lease is extended without answers': lambda: patch.object(
        WorkerOrders, 'build_probe', _probe_with_lease
    ),
    'a worker that may have restarted keeps its ends': lambda: patch.object(
        WorkerLink, '_poll_unknown', _poll_with_old_ends
    ),
    'an order opens a connection where none is kept': lambda: patch.object(
        WorkerOrders, '_open_connection', _never_connected
    ),
    'an order that finds another incarnation ends its poll': lambda: (
        patch.object(WorkerLink, 'interrupt_poll', _never)
    ),
    'an order reaches only the incarnation it is meant for': lambda: (
        patch.object(WorkerOrders, 'incarnation', WorkerOrders.address)
    ),
    'the start time of a worker tells its incarnation': lambda: patch.object(
        ReportProcessor, '_is_same_incarnation', _is_same_by_clock
    ),
    'a worker gets runs only by the listing of its incarnation': lambda: (
        patch.object(
            Worker, 'is_listing_current', PropertyMock(return_value=True)
        )
    ),
    'a missing run may still start': lambda: patch(
        f'{ReportProcessor.__module__}._has_certainly_ended', _always
    ),
    'late orders at a restarted worker hold a lease': lambda: patch.object(
        ReportProcessor, '_late_lease_ms', _no_late_lease
    ),
    'a late order may be one to an incarnation of long before': lambda: (
        patch.object(ReportProcessor, '_late_lease_ms', _lease_of_latest_life)
    ),
    'a stopped run may have an order under way': lambda: patch(
        f'{ReportProcessor.__module__}._may_start_late',
        _may_start_late_if_unanswered,
    ),
    'a late order may start a run that has ended': lambda: patch.object(
        ReportProcessor, '_bar_late_starts', _never
    ),
    'all leases have ended before runs are given up': lambda: patch.object(
        WorkerClock, 'has_lapsed', _always
    ),
    'a new owner waits for workers that it never reached': lambda: patch(
        f'{Maintenance.__module__}._FORMER_LEASE_MARGIN_S', -_LONG_S
    ),
    'a marked worker gets a lease only once its mark is out': lambda: (
        patch.object(LapsingWorkers, 'allow_extending', _extend_at_once)
    ),
    'marks count only if the owner before vouched for them': lambda: (
        patch.object(LapsingWorkers, 'load', _trust_any_owner)
    ),
    'a worker is marked anew each time that it is lost': lambda: patch.object(
        LapsingWorkers, '_new_mark', _same_mark
    ),
    'a new owner marks nothing that a former one may extend': lambda: (
        patch.object(Maintenance, '_mark_lost_workers', _mark_at_once)
    ),
    'marks of a former owner are waited for': lambda: patch.object(
        LapsingWorkers, 'inherited_s', _none
    ),
    'progress is written only by the owner': lambda: patch.object(
        ProgressWriter, 'run', _write_unguarded
    ),
    'another worker proves something where the worker was': lambda: (
        patch.object(WorkerLink, '_is_replaced', _is_any_other_worker)
    ),
    'an order without an answer may be carried out': lambda: patch.object(
        WorkerOrders, '_send_start', _start_for_sure
    ),
    'orders to a worker take turns': lambda: patch(
        f'{WorkerOrders.__module__}._CONCURRENT_ORDERS_COUNT', _LONG_S
    ),
    'an order is not sent to a worker evacuated meanwhile': lambda: (
        patch.object(Cell, 'may_start_runs', _may_start_anywhere)
    ),
    'evacuated workers are known to the planner and to orders': lambda: (
        patch.object(Fleet, 'is_evacuated', _never)
    ),
    'a lost worker is looked for through other entries': lambda: patch.object(
        WorkerRoutes, 'routes_to_probe', _direct_only
    ),
    'an owner that reaches nobody gives way': lambda: patch.object(
        OwnerReach, 'must_give_way', _never
    ),
    'a slow owner gives way': lambda: patch.object(
        OwnerLag, 'is_too_slow', _never
    ),
    'an owner that reaches most gives no way': lambda: patch(
        f'{OwnerReach.__module__}._MIN_REACHED_SHARE', 2
    ),
    'an owner that reaches more and more gives no way': lambda: patch(
        f'{OwnerReach.__module__}._PATIENCE_S', 0
    ),
    'owners that reach nobody give way later each time': lambda: patch.object(
        OwnerView, 'given_way_count', _none
    ),
    'a job that cannot be scheduled hides no other': lambda: patch.object(
        Inbox, '_left_out_on_error', nullcontext
    ),
    'a stop order is repeated until it is answered': lambda: patch.object(
        WorkerOrders, 'stop', _stop_once
    ),
    **CANCELLATION_MUTANTS,
    **FORMER_OWNER_MUTANTS,
    **WORKER_LIST_MUTANTS,
}
