"""Removal of finished jobs, and of cancellations without a job, from the store."""

from __future__ import annotations

from collections.abc import Sequence

from marjoramwharf.cells.cancellations import Cancellation, Cancellations
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.inbox import Inbox
from marjoramwharf.cells.owner_guard import found_by_owner
from marjoramwharf.cells.records import (
    CellId,
    cancel_key,
    progress_key,
    request_key,
)
from marjoramwharf.errors import Failure
from marjoramwharf.links.store import (
    Committed,
    Conflict,
    Guard,
    PollingStore,
    StoredValue,
    Write,
)
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.job_state import Job
from marjoramwharf.scheduling.job_table import JobTable

_LOG = part_logger('cell')

# The three keys of each job and the condition on the owner's record have to fit
# into one call to the store.
_JOBS_PER_COMMIT = 10

# So have the key of each cancellation, two conditions on it, and that condition.
_CANCELLATIONS_PER_COMMIT = 10


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


async def remove_expired_cancellations(
    store: PollingStore,
    cell: CellId,
    ownership_guard: Guard,
    job_table: JobTable,
    cancellations: Cancellations,
    *,
    min_age_s: float,
) -> None:
    """Remove cancellations without a job that are older than ``min_age_s``.

    The age counts from when this owner learned of them. Stops at the first
    failed write; the next call tries again.
    """
    expired = cancellations.expired(
        job_table.jobs, now_s=boot_s(), min_age_s=min_age_s
    )
    for start in range(0, len(expired), _CANCELLATIONS_PER_COMMIT):
        batch = expired[start : start + _CANCELLATIONS_PER_COMMIT]
        try:
            outcome = await _remove_cancellations(
                store, cell, ownership_guard, batch
            )
        except Failure as failure:
            _LOG.info('cancellations not removed yet', error=str(failure))
            return
        _record_removal(cell, ownership_guard, cancellations, batch, outcome)


async def _remove_cancellations(
    store: PollingStore,
    cell: CellId,
    ownership_guard: Guard,
    batch: Sequence[Cancellation],
) -> Committed | Conflict:
    """Delete some cancellations unless one has changed or has a job."""
    guards = [ownership_guard]
    writes = []
    for cancellation in batch:
        key = cancel_key(cell, cancellation.job_id)
        guards.append(Guard(key, cancellation.revision))
        guards.append(Guard(request_key(cell, cancellation.job_id), 0))
        writes.append(Write(key, None))
    return await store.commit(guards, writes)


def _record_removal(
    cell: CellId,
    ownership_guard: Guard,
    cancellations: Cancellations,
    batch: Sequence[Cancellation],
    outcome: Committed | Conflict,
) -> None:
    """Forget what was removed; after a conflict, what is gone or has a job.

    One that has been written again counts as new. Raises ``NotOwner`` if the owner's record isn't that of this entry.
    """
    found: dict[str, StoredValue] = {}
    if isinstance(outcome, Conflict):
        found = found_by_owner(outcome, ownership_guard)
    for cancellation in batch:
        job_id = cancellation.job_id
        cancel = found.get(cancel_key(cell, job_id))
        if cancel is None or request_key(cell, job_id) in found:
            cancellations.discard(job_id)
        else:
            cancellations.observe(job_id, cancel.mod_revision, now_s=boot_s())


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
