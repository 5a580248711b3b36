"""Caller requests that every entry serves: submit, status, cancel and count.

A job is accepted once its request is stored, whichever entry owns the cell.
Its state comes from the owner, or from the store while the owner can't be
reached.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from marjoramwharf.cells.clocks import boot_s, wall_ms
from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.instance_settings import Bounds
from marjoramwharf.cells.job_canceller import JobCanceller
from marjoramwharf.cells.job_status import (
    FINAL_STATES,
    PublicJobState,
    StatusAnswer,
)
from marjoramwharf.cells.job_submitter import JobSubmitter
from marjoramwharf.cells.owner_link import CellSource, OwnerLink
from marjoramwharf.cells.records import (
    CellId,
    ProgressRecord,
    cancel_key,
    decode,
    progress_key,
    request_key,
)
from marjoramwharf.cells.retention import retention_s
from marjoramwharf.cells.store_retries import StoreRetries
from marjoramwharf.cells.submission_outcome import SubmissionOutcome
from marjoramwharf.cells.tombstones import TombstoneLimit
from marjoramwharf.cells.unknown_jobs import UnknownJobs
from marjoramwharf.errors import Failure, JournalDamaged
from marjoramwharf.ids import JobId
from marjoramwharf.links.store import PollingStore, StoredValue
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.job_state import JobPhase
from marjoramwharf.scheduling.workload import JobRequest

_LOG = part_logger('intake')

_FINAL_STATES = {
    JobPhase.DONE: PublicJobState.DONE,
    JobPhase.FAILED: PublicJobState.FAILED,
    JobPhase.CANCELLED: PublicJobState.CANCELLED,
}


def _always() -> bool:
    return True


@dataclass(frozen=True, slots=True)
class _OwnerReply:
    """The owner's answer about a job, if it gave one.

    The job ``is_unknown`` if the owner answered that it has no such job.
    """

    answer: StatusAnswer | None
    is_unknown: bool


@dataclass(slots=True)
class Intake:
    """Handles the requests of callers to a cell at one entry.

    ``local_cell`` returns the cell if this entry owns it, and ``owner_link``
    asks the owner otherwise. ``is_store_reachable`` tells whether a call to
    the store is likely to succeed. ``tombstone_limit`` bounds the cancellations of
    unknown jobs.
    """

    store: PollingStore
    cell: CellId
    owner_link: OwnerLink
    local_cell: CellSource
    is_store_reachable: Callable[[], bool] = _always
    counters: CellCounters = field(default_factory=CellCounters)
    tombstone_limit: TombstoneLimit = field(
        default_factory=lambda: TombstoneLimit(retention_s(Bounds().status_ms))
    )
    _unknown_jobs: UnknownJobs = field(init=False)
    _submitter: JobSubmitter = field(init=False)
    _canceller: JobCanceller = field(init=False)

    def __post_init__(self) -> None:
        """Create the components for the writes of callers."""
        # The source may be replaced later.
        retries = StoreRetries(lambda: self.is_store_reachable())
        self._unknown_jobs = UnknownJobs(self.counters)
        self._submitter = JobSubmitter(self.store, self.cell, retries)
        self._canceller = JobCanceller(
            self.store, self.cell, retries, self.tombstone_limit
        )

    async def submit(
        self,
        request: JobRequest,
        *,
        deadline_s: float,
    ) -> SubmissionOutcome:
        """Store a job; the repeat of a stored job is accepted again.

        While the store can't be reached, a job is refused at once, so that
        its caller can try another entry. Retries of a write that may have been
        carried out stop then too, with the outcome ``UNKNOWN``.
        """
        outcome = await self._check_admission(request)
        if outcome is None:
            outcome = await self._submitter.store_request(
                request, deadline_s=deadline_s
            )
        self.counters.submissions[outcome] += 1
        return outcome

    async def _check_admission(
        self, request: JobRequest
    ) -> SubmissionOutcome | None:
        """Return the outcome if it is clear without a write, else ``None``."""
        if not self.is_store_reachable():
            return await self._accept_if_known(request)
        if await self._is_servable(request):
            return None
        _LOG.info('job unservable', job=request.job_id)
        return SubmissionOutcome.UNSERVABLE

    async def _accept_if_known(self, request: JobRequest) -> SubmissionOutcome:
        """Accept a job only if the owner has it, since no write can be made."""
        if (await self._ask_owner(request.job_id)).answer is not None:
            _LOG.info('job accepted', job=request.job_id, is_new=False)
            return SubmissionOutcome.ACCEPTED
        _LOG.info('submission refused', job=request.job_id, store='away')
        return SubmissionOutcome.REFUSED

    async def _is_servable(self, request: JobRequest) -> bool:
        """Ask the owner; if it can't be asked, the job counts as servable."""
        cell = self.local_cell()
        if cell is not None and cell.is_loaded:
            return cell.can_serve(request)
        try:
            return await self.owner_link.can_serve(request)
        except Failure as failure:
            _LOG.debug('owner call failed', error=str(failure))
            return True

    async def status(self, job_id: JobId) -> PublicJobState | None:
        """Return the state of a job, ``None`` if no such job is stored.

        The owner may have stood still while another one brought the job
        further, so an answer that may be outdated doesn't count. Raises
        ``StoreUnavailable`` if the store doesn't answer then.
        """
        reply = await self._ask_owner(job_id)
        answer = reply.answer
        if answer is not None and not answer.may_be_outdated:
            return answer.state
        return await self._read_status(
            job_id, is_unknown_to_owner=reply.is_unknown
        )

    async def cancel(self, job_id: JobId, *, deadline_s: float) -> bool:
        """Store the cancellation of a job; return whether the job exists.

        Raises what ``JobCanceller.cancel`` raises.
        """
        return await self._canceller.cancel(job_id, deadline_s=deadline_s)

    async def waiting_count(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue that have not begun.

        Raises a ``Failure`` if the owner can't be asked.
        """
        cell = self.local_cell()
        if cell is not None and cell.is_loaded:
            count = cell.waiting_count(queue)
            if count is not None:
                return count
        return await self.owner_link.waiting_count(queue)

    async def _ask_owner(self, job_id: JobId) -> _OwnerReply:
        cell = self.local_cell()
        if cell is not None and cell.is_loaded:
            return _reply_of(cell.answer_status(job_id))
        try:
            return _reply_of(await self.owner_link.status(job_id))
        except Failure as failure:
            _LOG.debug('owner call failed', job=job_id, error=str(failure))
            return _OwnerReply(None, is_unknown=False)

    async def _read_status(
        self, job_id: JobId, *, is_unknown_to_owner: bool
    ) -> PublicJobState | None:
        stored = await self.store.read(request_key(self.cell, job_id))
        if stored is None:
            return None
        progress = await self.store.read(progress_key(self.cell, job_id))
        cancelled = await self.store.read(cancel_key(self.cell, job_id))
        state = _state_from_store(progress, is_cancelled=cancelled is not None)
        if is_unknown_to_owner and state not in FINAL_STATES:
            self._record_unknown(stored)
        return state

    def _record_unknown(self, stored: StoredValue) -> None:
        """Record an open job that the owner doesn't know.

        A damaged request is left out; the owner has logged it.
        """
        try:
            request = decode(stored.body, JobRequest, key=stored.key)
        except JournalDamaged:
            return
        self._unknown_jobs.record(request, now_s=boot_s(), now_ms=wall_ms())


def _reply_of(answer: StatusAnswer | None) -> _OwnerReply:
    return _OwnerReply(answer, is_unknown=answer is None)


def _state_from_store(
    progress: StoredValue | None,
    *,
    is_cancelled: bool,
) -> PublicJobState:
    if progress is None:
        record = ProgressRecord(JobPhase.OPEN)
    else:
        record = decode(progress.body, ProgressRecord, key=progress.key)
    final = _FINAL_STATES.get(record.phase)
    if final is not None:
        return final
    if is_cancelled:
        return PublicJobState.CANCELLED
    return PublicJobState.RUNNING if record.has_begun else PublicJobState.QUEUED
