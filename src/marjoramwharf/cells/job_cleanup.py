"""Removal of finished jobs from the store."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

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
    Guard,
    PollingStore,
    StoredValue,
    Write,
)
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.job_state import Job
from marjoramwharf.scheduling.job_table import JobTable

_LOG = part_logger('cell')

# The three keys of each job, the condition on its request and that on the owner's
# record have to fit into one call to the store.
_JOBS_PER_COMMIT = 7


@dataclass(frozen=True, slots=True)
class _Removal:
    """Jobs of which the store had nothing any more at a revision."""

    jobs: Sequence[Job]
    by_revision: int


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

    Stops at the first failed write. The next call tries again, also to remove
    what a refused write has left.
    """
    expired = [
        job for job in job_table.jobs.values() if _is_expired(job, min_age_s)
    ]
    for start in range(0, len(expired), _JOBS_PER_COMMIT):
        batch = expired[start : start + _JOBS_PER_COMMIT]
        try:
            removal = await _remove_from_store(
                store, cell, ownership_guard, batch
            )
        except Failure as failure:
            _LOG.info('finished jobs not removed yet', error=str(failure))
            return
        for job in removal.jobs:
            inbox.forget(job, removed_by_revision=removal.by_revision)


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
) -> _Removal:
    """Delete the keys of some jobs, and return those that are gone.

    The store may carry the call out late, when another job has the same id. So
    it depends on the requests. If one of them has changed, an earlier call
    without an answer was applied. Raises ``NotOwner`` if the owner's record
    isn't that of this entry.
    """
    outcome = await store.commit(
        _guards(cell, ownership_guard, jobs),
        [Write(key, None) for job in jobs for key in _keys(cell, job)],
    )
    if isinstance(outcome, Committed):
        return _Removal(jobs, outcome.revision)
    found = found_by_owner(outcome, ownership_guard)
    gone = [job for job in jobs if not _is_found(cell, job, found)]
    snapshot = await store.read_prefix(request_key(cell, gone[0].job_id))
    return _Removal(gone, snapshot.revision)


def _guards(
    cell: CellId, ownership_guard: Guard, jobs: Sequence[Job]
) -> list[Guard]:
    """Return the conditions of a removal: the owner and the jobs are the same."""
    requests = [
        Guard(request_key(cell, job.job_id), job.request_revision)
        for job in jobs
    ]
    return [ownership_guard, *requests]


def _keys(cell: CellId, job: Job) -> tuple[str, ...]:
    return (
        request_key(cell, job.job_id),
        cancel_key(cell, job.job_id),
        progress_key(cell, job.job_id),
    )


def _is_found(cell: CellId, job: Job, found: Mapping[str, StoredValue]) -> bool:
    stored = found.get(request_key(cell, job.job_id))
    return stored is not None and stored.mod_revision == job.request_revision
