"""Removal of cancellations whose jobs were never stored."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from marjoramwharf.cells.cancellations import Cancellation, Cancellations
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.owner_guard import found_by_owner
from marjoramwharf.cells.records import CellId, cancel_key, request_key
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
from marjoramwharf.scheduling.job_table import JobTable

_LOG = part_logger('cell')

# The key of each cancellation, two conditions on it, and the condition on the
# owner's record have to fit into one call to the store.
_CANCELLATIONS_PER_COMMIT = 10


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
            outcome = await _remove_from_store(
                store, cell, ownership_guard, batch
            )
            found = _found_after(outcome, ownership_guard)
        except Failure as failure:
            _LOG.info('cancellations not removed yet', error=str(failure))
            return
        _record_removal(cell, cancellations, batch, found)


async def _remove_from_store(
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


def _found_after(
    outcome: Committed | Conflict, ownership_guard: Guard
) -> dict[str, StoredValue]:
    """Return what has kept a removal from being applied, by key.

    Raises ``NotOwner`` if the owner's record isn't that of this entry.
    """
    if isinstance(outcome, Committed):
        return {}
    return found_by_owner(outcome, ownership_guard)


def _record_removal(
    cell: CellId,
    cancellations: Cancellations,
    batch: Sequence[Cancellation],
    found: Mapping[str, StoredValue],
) -> None:
    """Forget the cancellations that are gone, or have a job.

    One that has been written again counts as new.
    """
    for cancellation in batch:
        job_id = cancellation.job_id
        cancel = found.get(cancel_key(cell, job_id))
        if cancel is None or request_key(cell, job_id) in found:
            cancellations.discard(job_id, up_to_revision=cancellation.revision)
        else:
            cancellations.observe(job_id, cancel.mod_revision, now_s=boot_s())
