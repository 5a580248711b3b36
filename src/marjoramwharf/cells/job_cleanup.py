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
from marjoramwharf.scheduling.job_state import Job
from marjoramwharf.scheduling.job_table import JobTable

_LOG = part_logger('cell')

# The three keys of each job and the condition on the owner's record have to fit
# into one call to the store.
_JOBS_PER_COMMIT = 10


async def remove_finished_jobs(
    store: PollingStore,
    cell: CellId,
    ownership_guard: Guard,
    job_table: JobTable,
    inbox: Inbox,
    *,
    min_age_s: float,
) -> None:
    """Remove jobs that finished more than ``min_age_s`` ago.

    Stops at the first failed or refused write; the next call tries again.
    """
    expired = [
        job for job in job_table.jobs.values() if _is_expired(job, min_age_s)
    ]
    for start in range(0, len(expired), _JOBS_PER_COMMIT):
        batch = expired[start : start + _JOBS_PER_COMMIT]
        revision = await _remove_from_store(store, cell, ownership_guard, batch)
        if revision is None:
            return
        for job in batch:
            job_table.forget(job.job_id)
            inbox.forget(job.job_id, removed_at_revision=revision)


def _is_expired(job: Job, min_age_s: float) -> bool:
    is_settled = not job.occurrences and job.stored_version == job.version
    return (
        not job.is_open and is_settled and boot_s() - job.finished_s > min_age_s
    )


async def _remove_from_store(
    store: PollingStore,
    cell: CellId,
    ownership_guard: Guard,
    jobs: Sequence[Job],
) -> int | None:
    """Delete the keys of some jobs.

    Returns the revision of the deletion, ``None`` unless it is certain.
    """
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
        outcome = await store.commit([ownership_guard], writes)
    except Failure as failure:
        _LOG.info('finished jobs not removed yet', error=str(failure))
        return None
    return outcome.revision if isinstance(outcome, Committed) else None
