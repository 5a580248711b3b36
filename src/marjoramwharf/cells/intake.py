"""What callers may ask of any entry: submit, status, cancel and count.

A job is accepted once its request is stored, whoever owns the cell. Its state
comes from the owner, and from the store while the owner can't be reached.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.intake_outcomes import Submission
from marjoramwharf.cells.owner_link import CellSource, OwnerLink
from marjoramwharf.cells.records import (
    CellId,
    ProgressRecord,
    cancel_key,
    decode,
    encode,
    progress_key,
    request_key,
)
from marjoramwharf.cells.status import ShownState
from marjoramwharf.errors import Failure, StoreAnswerLost, StoreUnavailable
from marjoramwharf.ids import JobId
from marjoramwharf.links.store import (
    Committed,
    Conflict,
    Guard,
    PollingStore,
    StoredValue,
    Write,
)
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.job_state import JobPhase
from marjoramwharf.scheduling.workload import JobRequest

_LOG = part_logger('intake')
_RETRY_PAUSE_S = 0.05

_SHOWN = {
    JobPhase.DONE: ShownState.DONE,
    JobPhase.FAILED: ShownState.FAILED,
    JobPhase.CANCELLED: ShownState.CANCELLED,
}


def _always() -> bool:
    return True


@dataclass(slots=True)
class Intake:
    """The callers' side of a cell at one entry.

    ``is_reachable`` tells whether a call to the store is likely to be carried
    out.
    """

    store: PollingStore
    cell: CellId
    owner: OwnerLink
    local: CellSource
    is_reachable: Callable[[], bool] = _always
    counters: CellCounters = field(default_factory=CellCounters)

    async def submit(
        self,
        request: JobRequest,
        *,
        deadline_s: float,
    ) -> Submission:
        """Store a job; a repeat of a known one is accepted again.

        While the store can't be reached, a job is refused at once, so that
        its caller may ask another entry. A job that may have been stored is
        given up then too, as ``UNKNOWN``.
        """
        outcome = await self._first_refusal(request)
        if outcome is None:
            outcome = await self._store(request, deadline_s)
        self.counters.submissions[outcome] += 1
        return outcome

    async def _first_refusal(self, request: JobRequest) -> Submission | None:
        """Return why a job need not be sent to the store, if it needn't."""
        if not self.is_reachable():
            return await self._answer_repeat(request)
        if await self._is_servable(request):
            return None
        _LOG.info('job unservable', job=request.job_id)
        return Submission.UNSERVABLE

    async def _answer_repeat(self, request: JobRequest) -> Submission:
        """Answer a submission without the store: a known job is accepted."""
        if await self._ask_owner(request.job_id) is not None:
            _LOG.info('job accepted', job=request.job_id, is_new=False)
            return Submission.ACCEPTED
        _LOG.info('submission refused', job=request.job_id, store='away')
        return Submission.REFUSED

    async def _is_servable(self, request: JobRequest) -> bool:
        """Ask the owner; a job that it can't be asked about is taken."""
        cell = self.local()
        if cell is not None and cell.is_loaded:
            return cell.can_serve(request)
        try:
            return await self.owner.can_serve(request)
        except Failure as failure:
            _LOG.debug('owner not asked', error=str(failure))
            return True

    async def _store(
        self,
        request: JobRequest,
        deadline_s: float,
    ) -> Submission:
        is_unknown = False
        while True:
            outcome = await self._store_once(request)
            is_unknown = is_unknown or outcome is Submission.UNKNOWN
            if outcome is Submission.ACCEPTED or not is_unknown:
                return outcome
            is_late = trio.current_time() + _RETRY_PAUSE_S >= deadline_s
            if is_late or not self.is_reachable():
                return Submission.UNKNOWN
            await trio.sleep(_RETRY_PAUSE_S)

    async def _store_once(self, request: JobRequest) -> Submission:
        key = request_key(self.cell, request.job_id)
        write = Write(key, encode(request))
        try:
            outcome = await self.store.commit([Guard(key, 0)], [write])
        except StoreAnswerLost as lost:
            _LOG.info(
                'submission without an answer',
                job=request.job_id,
                error=str(lost),
            )
            return Submission.UNKNOWN
        except Failure as failure:
            _LOG.info(
                'submission refused',
                job=request.job_id,
                error=str(failure),
            )
            return Submission.REFUSED
        self._note(request, outcome)
        return Submission.ACCEPTED

    async def status(self, job_id: JobId) -> ShownState | None:
        """Return the state of a job, ``None`` if no such job is stored.

        Raises ``StoreUnavailable`` if neither the owner nor the store answers.
        """
        shown = await self._ask_owner(job_id)
        return await self._read_status(job_id) if shown is None else shown

    async def cancel(self, job_id: JobId, *, deadline_s: float) -> bool:
        """Cancel a job once that is stored; tell whether it is known.

        Raises ``StoreUnavailable`` or ``StoreAnswerLost`` when time is up or
        the store can't be reached.
        """
        while True:
            try:
                return await self._cancel_once(job_id)
            except (StoreUnavailable, StoreAnswerLost):
                is_late = trio.current_time() + _RETRY_PAUSE_S >= deadline_s
                if is_late or not self.is_reachable():
                    raise
            await trio.sleep(_RETRY_PAUSE_S)

    async def _cancel_once(self, job_id: JobId) -> bool:
        revision = await self._revision_of(job_id)
        if revision is None:
            return False
        cancel = cancel_key(self.cell, job_id)
        outcome = await self.store.commit(
            [
                Guard(request_key(self.cell, job_id), revision),
                Guard(cancel, 0),
            ],
            [Write(cancel, b'1')],
        )
        if isinstance(outcome, Committed):
            _LOG.info('cancel stored', job=job_id, revision=outcome.revision)
            return True
        return any(stored.key == cancel for stored in outcome.found)

    async def waiting_count(self, queue: str) -> int:
        """Return the accepted jobs of a queue that have not begun.

        Raises a ``Failure`` if the owner can't be asked.
        """
        cell = self.local()
        if cell is not None and cell.is_loaded:
            return cell.job_table.waiting_count(queue)
        return await self.owner.waiting_count(queue)

    def _note(
        self,
        request: JobRequest,
        outcome: Committed | Conflict,
    ) -> None:
        is_new = isinstance(outcome, Committed)
        _LOG.info('job accepted', job=request.job_id, is_new=is_new)

    async def _ask_owner(self, job_id: JobId) -> ShownState | None:
        cell = self.local()
        if cell is not None and cell.is_loaded:
            return cell.status(job_id)
        try:
            return await self.owner.status(job_id)
        except Failure as failure:
            _LOG.debug('owner not asked', job=job_id, error=str(failure))
            return None

    async def _read_status(self, job_id: JobId) -> ShownState | None:
        stored = await self.store.read(
            request_key(self.cell, job_id),
        )
        if stored is None:
            return None
        progress = await self.store.read(
            progress_key(self.cell, job_id),
        )
        cancelled = await self.store.read(
            cancel_key(self.cell, job_id),
        )
        return _shown(progress, is_cancelled=cancelled is not None)

    async def _revision_of(self, job_id: JobId) -> int | None:
        stored = await self.store.read(
            request_key(self.cell, job_id),
        )
        return None if stored is None else stored.mod_revision


def _shown(
    progress: StoredValue | None,
    *,
    is_cancelled: bool,
) -> ShownState:
    if progress is None:
        record = ProgressRecord(JobPhase.OPEN)
    else:
        record = decode(
            progress.body,
            ProgressRecord,
            key=progress.key,
        )
    final = _SHOWN.get(record.phase)
    if final is not None:
        return final
    if is_cancelled:
        return ShownState.CANCELLED
    return ShownState.RUNNING if record.has_begun else ShownState.QUEUED
