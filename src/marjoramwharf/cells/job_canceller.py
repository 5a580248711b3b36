"""Cancellation of jobs, at any entry.

The job may not be stored yet, though an entry or the store still works on its
submission. So the cancellation of an unknown id is stored, too, before the
caller learns that there is no such job: from then on no write of a submission
can store the job. The owner of the cell removes this tombstone later, see
:mod:`cells.cancellation_cleanup`.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.records import CellId, cancel_key, request_key
from marjoramwharf.cells.store_retries import StoreRetries
from marjoramwharf.cells.tombstones import TombstoneLimit
from marjoramwharf.errors import (
    Failure,
    JobChanged,
    StoreAnswerLost,
    StoreUnavailable,
)
from marjoramwharf.ids import JobId
from marjoramwharf.links.store import (
    Committed,
    Guard,
    PollingStore,
    StoredValue,
    Write,
)
from marjoramwharf.logs import part_logger

_LOG = part_logger('intake')
_CANCELLED = b'1'


@dataclass(slots=True)
class JobCanceller:
    """Stores the cancellations that callers send to one entry."""

    store: PollingStore
    cell: CellId
    retries: StoreRetries
    tombstone_limit: TombstoneLimit

    async def cancel(self, job_id: JobId, *, deadline_s: float) -> bool:
        """Store the cancellation of a job; return whether the job exists.

        When the deadline has passed or the store can't be reached, raises
        ``StoreUnavailable`` or ``JobChanged`` if certainly nothing was stored,
        and ``StoreAnswerLost`` if any of the attempts may have been. Raises
        ``TooManyTombstones`` if the job is unknown and this entry has stored the
        cancellations of many such jobs.
        """
        told: Failure | None = None
        while True:
            try:
                return await self._cancel_once(job_id)
            except (StoreUnavailable, JobChanged, StoreAnswerLost) as failure:
                # A later refusal says nothing about an unanswered attempt.
                if not isinstance(told, StoreAnswerLost):
                    told = failure
            now_s = trio.current_time()
            if self.retries.must_give_up(deadline_s, now_s=now_s):
                raise told
            await self.retries.pause()

    async def _cancel_once(self, job_id: JobId) -> bool:
        """Write the cancellation; return whether the job exists.

        Raises ``JobChanged`` if the request of the job was stored or removed in
        the meantime, so that nothing was written.
        """
        stored = await self.store.read(request_key(self.cell, job_id))
        if stored is None:
            await self._store_tombstone(job_id)
            return False
        await self._cancel_stored(job_id, stored)
        return True

    async def _cancel_stored(self, job_id: JobId, request: StoredValue) -> None:
        """Store the cancellation of a job whose request is stored."""
        cancel = cancel_key(self.cell, job_id)
        outcome = await self.store.commit(
            [Guard(request.key, request.mod_revision), Guard(cancel, 0)],
            [Write(cancel, _CANCELLED)],
        )
        if isinstance(outcome, Committed):
            _LOG.info('cancel stored', job=job_id, revision=outcome.revision)
            return
        found = {stored.key: stored for stored in outcome.found}
        if cancel not in found or found.get(request.key) != request:
            raise JobChanged(message='the job has just been removed')

    async def _store_tombstone(self, job_id: JobId) -> None:
        """Keep the request of an unknown job from being stored.

        A cancellation that is there already is written again, so that it stays
        as long as this caller needs it.
        """
        self.tombstone_limit.admit(job_id, now_s=boot_s())
        outcome = await self.store.commit(
            [Guard(request_key(self.cell, job_id), 0)],
            [Write(cancel_key(self.cell, job_id), _CANCELLED)],
        )
        if not isinstance(outcome, Committed):
            raise JobChanged(message='the job has just been stored')
        _LOG.info('tombstone stored', job=job_id, revision=outcome.revision)
