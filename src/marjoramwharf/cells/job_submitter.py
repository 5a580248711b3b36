"""Storing of submitted jobs, with retries, at any entry.

A request is stored only while neither it nor a cancellation of its id is in the
store. So a write that the store carries out late, or an entry that goes on
after its caller has left, can't store a job whose caller was told that there is
no such job.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.records import (
    CellId,
    cancel_key,
    encode,
    request_key,
)
from marjoramwharf.cells.retention import LONGEST_SUBMISSION_S
from marjoramwharf.cells.store_retries import StoreRetries
from marjoramwharf.cells.submission_outcome import SubmissionOutcome
from marjoramwharf.errors import Failure, StoreUnavailable
from marjoramwharf.ids import JobId
from marjoramwharf.links.store import Conflict, Guard, PollingStore, Write
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.workload import JobRequest

_LOG = part_logger('intake')

_FINAL_OUTCOMES = frozenset(
    (SubmissionOutcome.ACCEPTED, SubmissionOutcome.CANCELLED)
)


@dataclass(slots=True)
class JobSubmitter:
    """Stores the jobs that callers submit to one entry."""

    store: PollingStore
    cell: CellId
    retries: StoreRetries

    async def store_request(
        self,
        request: JobRequest,
        *,
        deadline_s: float,
    ) -> SubmissionOutcome:
        """Store a request; repeat a write without an answer until the deadline.

        ``deadline_s`` is a time of trio's clock, which stands still while the
        process is suspended. So the boot clock limits the repeats as well.
        """
        give_up_s = boot_s() + LONGEST_SUBMISSION_S
        maybe_stored = False
        while True:
            outcome = await self._store_once(request)
            maybe_stored = maybe_stored or outcome is SubmissionOutcome.UNKNOWN
            if outcome in _FINAL_OUTCOMES or not maybe_stored:
                return outcome
            now_s = trio.current_time()
            is_late = self.retries.must_give_up(deadline_s, now_s=now_s)
            if is_late or boot_s() >= give_up_s:
                return SubmissionOutcome.UNKNOWN
            await self.retries.pause()

    async def _store_once(self, request: JobRequest) -> SubmissionOutcome:
        """Write the request; one that is stored already is accepted, too."""
        key = request_key(self.cell, request.job_id)
        cancel = cancel_key(self.cell, request.job_id)
        try:
            outcome = await self.store.commit(
                [Guard(key, 0), Guard(cancel, 0)],
                [Write(key, encode(request))],
            )
        except StoreUnavailable as refusal:
            _LOG.info(
                'submission refused',
                job=request.job_id,
                error=str(refusal),
            )
            return SubmissionOutcome.REFUSED
        except Failure as failure:
            # No other failure proves that nothing was applied.
            _LOG.info(
                'submission outcome unknown',
                job=request.job_id,
                error=str(failure),
            )
            return SubmissionOutcome.UNKNOWN
        if isinstance(outcome, Conflict):
            return self._resolve_conflict(request.job_id, outcome)
        _LOG.info('job accepted', job=request.job_id, is_new=True)
        return SubmissionOutcome.ACCEPTED

    def _resolve_conflict(
        self, job_id: JobId, conflict: Conflict
    ) -> SubmissionOutcome:
        """Return the outcome of a write that found the job or its cancelling.

        A stored job stays accepted once it has been cancelled. Without a stored
        job, no earlier write of this submission was applied, and none can be.
        """
        found = {stored.key for stored in conflict.found}
        if request_key(self.cell, job_id) in found:
            _LOG.info('job accepted', job=job_id, is_new=False)
            return SubmissionOutcome.ACCEPTED
        if cancel_key(self.cell, job_id) in found:
            _LOG.info('submission of a cancelled job refused', job=job_id)
            return SubmissionOutcome.CANCELLED
        _LOG.warning('conflict without a reason', job=job_id)
        return SubmissionOutcome.UNKNOWN
