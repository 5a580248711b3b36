"""Log lines about the decisions of a cell's owner and their results."""

from __future__ import annotations

from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.job_state import Job, Run, RunEnd
from marjoramwharf.scheduling.planner import StepPlan

_LOG = part_logger('cell')

# Replaces infinity, which JSON can't represent.
_MAX_LOGGED_HARM = 1_000_000
_MS_PER_S = 1_000


def log_finished(job: Job, *, now_s: float, now_ms: int) -> None:
    """Log that a job is done, failed or cancelled, and what took its time.

    ``accepted_s`` is the time since the job was accepted, by the clock of the
    entry that took it, and ``known_s`` that since this owner has known it.
    """
    times = job.stage_times
    accepted_ms = now_ms - job.request.accepted_at_ms
    _LOG.info(
        'job finished',
        job=job.job_id,
        queue=job.request.queue,
        phase=job.phase.name.lower(),
        accepted_s=round(accepted_ms / _MS_PER_S, 3),
        known_s=round(now_s - job.known_since_s, 3),
        retried_s=round(times.retried_s, 3),
        waited_s=round(times.waited_s, 3),
        started_s=round(times.started_s, 3),
        ran_s=round(times.ran_s, 3),
    )


def log_plan(plan: StepPlan, config_version: int) -> None:
    """Log the planned runs of a step with the reasons for the decision."""
    step = plan.runs[0].task.step
    _LOG.info(
        'runs planned',
        job=step.occurrence.job.job_id,
        occurrence=step.occurrence.number,
        step=step.number,
        count=len(plan.runs),
        workers=sorted({run.worker_id for run in plan.runs}),
        tier=plan.rank.tier.name.lower(),
        slack_ms=round(plan.rank.slack_ms),
        allowed_harm=loggable_harm(plan.allowed_harm),
        config=config_version,
    )


def loggable_harm(allowed_harm: float) -> float:
    """Return the largest allowed harm as a number that JSON can represent."""
    return round(min(allowed_harm, _MAX_LOGGED_HARM), 2)


def log_end(run: Run, how: RunEnd) -> None:
    """Log the end of a run."""
    _LOG.info(
        'run ended',
        task=run.task.name,
        run=run.number,
        worker=run.worker_id,
        how=how.value,
        percent=run.percent,
    )


def log_lapsed(run: Run, marked_s: float | None, now_s: float) -> None:
    """Log that a former owner's lease of a run has ended by now.

    ``marked_s`` is when this entry saw that the leases were left to lapse.
    """
    _LOG.info(
        'lease of former owner lapsed',
        task=run.task.name,
        run=run.number,
        worker=run.worker_id,
        marked_ago_s=None if marked_s is None else round(now_s - marked_s, 3),
    )
