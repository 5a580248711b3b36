"""Log lines about the incarnations, clocks and leases of workers.

They tell an operator which incarnation of a worker an order, a report or the
end of a lease belongs to. Times that end in ``_ms`` are those of the worker's
own clock, except ``born_ms``, the Unix time of its start.
"""

from __future__ import annotations

from marjoramwharf.cells.worker_clock import WorkerClock
from marjoramwharf.cells.worker_messages import (
    EndReport,
    HoldReport,
    OrderAnswer,
    RunReport,
    StartOrder,
)
from marjoramwharf.ids import WorkerId
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import Worker

_LOG = part_logger('worker')


def log_first_poll(
    worker: Worker, report: HoldReport, *, lease_end_ms: int
) -> None:
    """Log the first report of a worker to this owner.

    ``lease_end_ms`` is the latest end of a lease that the owner assumes.
    """
    _LOG.info(
        'worker first polled',
        worker=worker.worker_id,
        born_ms=report.born_ms,
        clock_ms=report.clock_ms,
        lease_end_ms=lease_end_ms,
        running_count=len(report.running),
    )


def log_restart(
    worker: Worker,
    report: HoldReport,
    *,
    former_lease_end_ms: int,
    lease_end_ms: int,
    former_runs_count: int,
) -> None:
    """Log the first report of another incarnation of a worker.

    ``former_lease_end_ms`` is the latest end of a lease that was sent to the
    former incarnation, by its clock, and ``former_runs_count`` the number of
    runs there that the new incarnation doesn't list as running.
    """
    _LOG.warning(
        'worker restarted',
        worker=worker.worker_id,
        born_ms=report.born_ms,
        previous_born_ms=worker.born_ms,
        clock_ms=report.clock_ms,
        former_lease_end_ms=former_lease_end_ms,
        lease_end_ms=lease_end_ms,
        running_count=len(report.running),
        former_runs_count=former_runs_count,
    )


def log_dropped_runs(
    worker: Worker, clock: WorkerClock, *, is_replaced: bool, now_s: float
) -> None:
    """Log that the owner takes all runs of a worker for ended.

    ``silent_s`` is the time since the latest report was made. It is ``None``,
    as is the bound of the clock, for a worker that never reported.
    """
    lower_bound_ms = clock.lower_bound_ms(now_s=now_s)
    silent_s = now_s - worker.reported_at_s
    has_reported = lower_bound_ms is not None
    _LOG.warning(
        'leases lapsed',
        worker=worker.worker_id,
        born_ms=worker.born_ms,
        runs_count=len(worker.runs),
        lease_end_ms=clock.lease_end_ms,
        clock_lower_bound_ms=_rounded(lower_bound_ms),
        silent_s=round(silent_s, 3) if has_reported else None,
        reason='replaced' if is_replaced else 'lapsed',
    )


def log_unknown_run(
    worker: Worker, run_report: RunReport, *, clock_ms: int
) -> None:
    """Log that a run is stopped which the cell has dropped or never had."""
    _LOG.warning(
        'stopping unknown run',
        task=run_report.task,
        run=run_report.run,
        worker=worker.worker_id,
        born_ms=worker.born_ms,
        clock_ms=clock_ms,
    )


def log_unknown_end(
    worker_id: WorkerId, ended: EndReport, *, born_ms: int
) -> None:
    """Log the end of a run which the cell has dropped or never had."""
    _LOG.info(
        'end of unknown run',
        task=ended.task,
        run=ended.run,
        worker=worker_id,
        how=ended.how.value,
        born_ms=born_ms,
    )


def log_other_clock(
    worker_id: WorkerId,
    order: StartOrder,
    answer: OrderAnswer,
    *,
    expected_ms: int,
) -> None:
    """Log an answer with a time that the clock of the order can't show.

    ``expected_ms`` is the time that the order's lease was counted from.
    """
    _LOG.warning(
        'answer of another clock',
        task=order.task,
        run=order.run,
        worker=worker_id,
        outcome=answer.outcome.value,
        clock_ms=answer.clock_ms,
        expected_ms=expected_ms,
        expires_ms=order.expires_ms,
    )


def _rounded(number: float | None) -> int | None:
    return None if number is None else round(number)
