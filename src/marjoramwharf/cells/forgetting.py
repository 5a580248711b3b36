"""Removal of finished jobs from the store."""

from __future__ import annotations

from collections.abc import Sequence

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.inbox import Inbox
from marjoramwharf.cells.records import (
    CellId,
    cancel_key,
    progress_key,
    request_key,
)
from marjoramwharf.errors import Failure
from marjoramwharf.links.store import Committed, Guard, PollingStore, Write
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.job_state import Job

_LOG = part_logger('cell')
_MS_PER_S = 1_000

# A finished job stays known for this much longer than callers are promised.
_SLACK_S = 30

# Three keys a job and the owner's record fit into one call.
_JOBS_PER_COMMIT = 10


async def forget_finished(
    store: PollingStore,
    cell: CellId,
    owner: Guard,
    job_table: JobTable,
    inbox: Inbox,
    *,
    kept_ms: int,
) -> None:
    """Remove the jobs that have been finished for ``kept_ms``."""
    kept_s = kept_ms / _MS_PER_S + _SLACK_S
    old = [job for job in job_table.jobs.values() if _is_old(job, kept_s)]
    for start in range(0, len(old), _JOBS_PER_COMMIT):
        group = old[start : start + _JOBS_PER_COMMIT]
        if not await _remove(store, cell, owner, group):
            return
        for job in group:
            job_table.forget(job.job_id)
            inbox.forget(job.job_id)


def _is_old(job: Job, kept_s: float) -> bool:
    is_settled = not job.occurrences and job.stored_version == job.version
    return not job.is_open and is_settled and boot_s() - job.finished_s > kept_s


async def _remove(
    store: PollingStore,
    cell: CellId,
    owner: Guard,
    jobs: Sequence[Job],
) -> bool:
    writes = [
        Write(key, None)
        for job in jobs
        for key in (
            request_key(cell, job.job_id),
            cancel_key(cell, job.job_id),
            progress_key(cell, job.job_id),
        )
    ]
    try:
        outcome = await store.commit([owner], writes)
    except Failure as failure:
        _LOG.info('finished jobs kept for now', error=str(failure))
        return False
    return isinstance(outcome, Committed)
