"""Applies a worker's report to the runs that its cell has placed there.

A run counts as ended only by proof: the worker lists its end, another
incarnation answers, or a poll that was sent after the start was confirmed
doesn't list the run. What a report doesn't prove is left as it is.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.end_acknowledgements import EndAcknowledgements
from marjoramwharf.cells.late_starts import LATE_ORDER_WINDOW_S, RunKey
from marjoramwharf.cells.link_context import LinkContext, LinkOwner
from marjoramwharf.cells.link_log import (
    log_first_poll,
    log_restart,
    log_unknown_end,
    log_unknown_run,
)
from marjoramwharf.cells.worker_clock import WorkerClock
from marjoramwharf.cells.worker_messages import (
    EndReport,
    HoldReport,
    RunReport,
)
from marjoramwharf.cells.worker_orders import WorkerOrders
from marjoramwharf.isolation import run_isolated
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.job_state import Run, RunEnd, RunPhase

_LOG = part_logger('worker')
_MS_PER_S = 1_000

# By how much the clock of a worker may be behind a former owner's estimate.
_FORMER_LEASE_MARGIN_MS = 500

# An unknown run is ordered to stop at most once in this time.
_UNKNOWN_STOP_INTERVAL_S = 1.0


@dataclass(slots=True, eq=False)
class ReportProcessor:
    """Applies the reports of one worker, in the order of its polls.

    ``_latest_lease_end_ms`` is the latest end of a lease granted to a former
    incarnation of the worker, as a number in an order.
    """

    worker: Worker
    owner: LinkOwner
    context: LinkContext
    clock: WorkerClock
    orders: WorkerOrders
    acknowledgements: EndAcknowledgements
    _unknown_stops_s: dict[RunKey, float] = field(default_factory=dict)
    _latest_lease_end_ms: int = 0

    def process(
        self,
        report: HoldReport,
        *,
        sent_s: float,
        nursery: trio.Nursery,
    ) -> None:
        """Apply the report to a poll that was sent at ``sent_s``."""
        now_s = boot_s()
        self._follow_incarnation(report, sent_s, now_s, nursery)
        made_s = self.clock.time_of(report.clock_ms, sent_s=sent_s, now_s=now_s)
        self.worker.reported_at_s = made_s
        self._process_ends(report)
        self.acknowledgements.acknowledge_stored()
        for run_report in report.running:
            self._process_running(
                run_report, report.clock_ms, made_s, now_s, nursery
            )
        if report.has_all_ends:
            for run in self._unlisted_runs(report):
                self._process_missing_run(run, sent_s)

    def _follow_incarnation(
        self,
        report: HoldReport,
        sent_s: float,
        now_s: float,
        nursery: trio.Nursery,
    ) -> None:
        """Read the worker's clock, and detect another incarnation."""
        if self.clock.reading_ms is None:
            # A former owner may have granted a lease just before this poll.
            self._restart_clock(
                report.clock_ms,
                now_s,
                lease_ms=self.context.hold_ms + _FORMER_LEASE_MARGIN_MS,
            )
            log_first_poll(
                self.worker, report, lease_end_ms=self.clock.lease_end_ms
            )
            self._forbid_late_starts(now_s, nursery)
        elif self._is_same_incarnation(report, sent_s):
            self.clock.observe(report.clock_ms, now_s=now_s)
        else:
            former_lease_end_ms = self.clock.lease_end_ms
            self._latest_lease_end_ms = max(
                self._latest_lease_end_ms, former_lease_end_ms
            )
            self._restart_clock(
                report.clock_ms,
                now_s,
                lease_ms=self._late_lease_ms(report.clock_ms, now_s),
            )
            log_restart(
                self.worker,
                report,
                former_lease_end_ms=former_lease_end_ms,
                lease_end_ms=self.clock.lease_end_ms,
                former_runs_count=sum(
                    run.phase is not RunPhase.PLANNED
                    for run in self._unlisted_runs(report)
                ),
            )
            self.acknowledgements.restart()
            # A late order may have started a run here that has ended already.
            self._process_ends(report)
            for run in self._unlisted_runs(report):
                if not _may_be_newer(run, sent_s):
                    self._end_or_stop_lost(run, now_s, nursery)
            self._forbid_late_starts(now_s, nursery)
        self.worker.born_ms = report.born_ms

    def _is_same_incarnation(self, report: HoldReport, sent_s: float) -> bool:
        """Compare the start times; the clock only tells where one is unknown.

        A report can be old by the time at which it is processed, so its clock
        is compared with the time at which the poll was sent.
        """
        known_born_ms = self.worker.born_ms
        if known_born_ms and report.born_ms:
            return known_born_ms == report.born_ms
        return self.clock.may_show(report.clock_ms, since_s=sent_s)

    def _restart_clock(
        self, clock_ms: int, now_s: float, *, lease_ms: int
    ) -> None:
        """Follow a new clock; leases of up to ``lease_ms`` may be in force."""
        self.clock.restart(
            clock_ms, now_s=now_s, lease_end_ms=clock_ms + lease_ms
        )

    def _late_lease_ms(self, clock_ms: int, now_s: float) -> int:
        """Return how long a late order may keep a run alive here, 0 if none.

        The end of its lease was meant for the clock of a former incarnation. On
        the present clock, the order is refused from then on, and before it the
        worker's own limit holds as well.
        """
        if not any(_may_start_late(run, now_s) for run in self.worker.runs):
            return 0
        late_ms = round(LATE_ORDER_WINDOW_S * _MS_PER_S)
        longest_ms = late_ms + self.context.max_hold_ms
        return max(0, min(longest_ms, self._latest_lease_end_ms - clock_ms))

    def _end_or_stop_lost(
        self, run: Run, now_s: float, nursery: trio.Nursery
    ) -> None:
        """End a run of a former incarnation, or stop it first.

        A late order could still start the run at the new incarnation, so a run
        whose order had no answer is stopped there. ``ORDERED`` makes ``stop``
        send its order again.
        """
        if run.phase is RunPhase.PLANNED:
            return
        if _may_start_late(run, now_s):
            run.phase = RunPhase.ORDERED
            run.stop_answered_s = None
            nursery.start_soon(
                run_isolated, 'stop order', self.orders.stop, run
            )
        else:
            self.owner.end_run(run, RunEnd.VANISHED, run.checkpoint)

    def _forbid_late_starts(self, now_s: float, nursery: trio.Nursery) -> None:
        """Have the worker refuse late orders for runs that have ended.

        It has not heard of them if they were at a former incarnation.
        """
        late_starts = self.context.late_starts
        for run in late_starts.runs_at(self.worker.worker_id, now_s=now_s):
            if self.owner.find_run(*run) is None:
                nursery.start_soon(
                    run_isolated,
                    'stop order',
                    self.orders.forbid_late_start,
                    run,
                )

    def _process_ends(self, report: HoldReport) -> None:
        for ended in report.ended:
            self._process_end(ended, report.born_ms)

    def _process_end(self, ended: EndReport, born_ms: int) -> None:
        """Record an end unless an earlier poll has reported it already."""
        if ended.number <= self.acknowledgements.processed_number:
            return
        run = self.owner.find_run(ended.task, ended.run)
        if run is None or run.worker_id != self.worker.worker_id:
            log_unknown_end(self.worker.worker_id, ended, born_ms=born_ms)
            self.acknowledgements.add(ended.number, None)
            return
        job = self.owner.end_run(run, ended.how, ended.checkpoint)
        self.acknowledgements.add(ended.number, job)

    def _process_running(
        self,
        run_report: RunReport,
        clock_ms: int,
        made_s: float,
        now_s: float,
        nursery: trio.Nursery,
    ) -> None:
        """Update a run from a report; stop one that the cell doesn't have."""
        run = self.owner.find_run(run_report.task, run_report.run)
        if run is None or run.worker_id != self.worker.worker_id:
            self._stop_unknown_run(run_report, clock_ms, now_s, nursery)
            return
        if run.phase in {RunPhase.ORDERED, RunPhase.UNCERTAIN}:
            self.owner.on_run_started(run, started_s=made_s)
        run.progress_read_s = made_s
        if not run.is_listed:
            run.is_listed = True
            run.resumed_percent = run_report.percent
            run.progressed_s = made_s
        if run_report.percent != run.percent:
            run.percent = run_report.percent
            run.progressed_s = made_s
        run.reading = run_report.reading
        run.checkpoint = run_report.checkpoint or run.checkpoint

    def _stop_unknown_run(
        self,
        run_report: RunReport,
        clock_ms: int,
        now_s: float,
        nursery: trio.Nursery,
    ) -> None:
        """Stop a run that the cell doesn't know, at most once a second."""
        self._unknown_stops_s = {
            key: stopped_s
            for key, stopped_s in self._unknown_stops_s.items()
            if now_s - stopped_s < _UNKNOWN_STOP_INTERVAL_S
        }
        key = (run_report.task, run_report.run)
        if key in self._unknown_stops_s:
            return
        self._unknown_stops_s[key] = now_s
        log_unknown_run(self.worker, run_report, clock_ms=clock_ms)
        nursery.start_soon(
            run_isolated,
            'stop order',
            self.orders.stop_unknown,
            run_report.task,
            run_report.run,
        )

    def _unlisted_runs(self, report: HoldReport) -> list[Run]:
        listed = {(listed.task, listed.run) for listed in report.running}
        return [
            run
            for run in self.worker.runs
            if (run.task.name, run.number) not in listed
        ]

    def _process_missing_run(self, run: Run, sent_s: float) -> None:
        """End a run that the worker reports neither as running nor ended."""
        if not _has_certainly_ended(run, sent_s, self.context.stop_ms):
            return
        if run.phase is RunPhase.RUNNING:
            _LOG.warning('run vanished', task=run.task.name, run=run.number)
        self.owner.end_run(run, RunEnd.VANISHED, run.checkpoint)


def _may_start_late(run: Run, now_s: float) -> bool:
    """Whether an order for a run may still be on its way to its worker.

    A run that is stopped while its order is under way isn't confirmed either.
    """
    if run.phase is RunPhase.ORDERED:
        return True
    is_recent = now_s - run.planned_s < LATE_ORDER_WINDOW_S
    never_started = run.phase is RunPhase.STOPPING and run.started_s is None
    return is_recent and (run.is_start_unconfirmed or never_started)


def _may_be_newer(run: Run, sent_s: float) -> bool:
    """Whether a run may have started after the report to a poll was made."""
    return run.confirmed_s is not None and run.confirmed_s >= sent_s


def _has_certainly_ended(run: Run, sent_s: float, stop_ms: int) -> bool:
    """Whether a run that is missing in a poll sent at ``sent_s`` has ended."""
    if run.phase is RunPhase.UNCERTAIN:
        return True
    if run.phase is RunPhase.RUNNING:
        return run.confirmed_s is not None and run.confirmed_s < sent_s
    if run.phase is RunPhase.STOPPING and run.stop_answered_s is not None:
        return run.stop_answered_s + stop_ms / _MS_PER_S < sent_s
    return False
