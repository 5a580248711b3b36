"""Job requests and cancellations that entries store for the owner of a cell."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from marjoramwharf.cells.cancellations import Cancellations
from marjoramwharf.cells.clocks import boot_s, wall_ms
from marjoramwharf.cells.records import (
    CellId,
    ProgressRecord,
    cancel_key,
    decode,
    inbox_prefix,
    progress_prefix,
    request_key,
    restore_job,
)
from marjoramwharf.errors import JournalDamaged
from marjoramwharf.ids import JobId
from marjoramwharf.isolation import log_unexpected
from marjoramwharf.links.store import (
    PollingStore,
    StoredValue,
    WatchBatch,
)
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.job_state import Job
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.workload import JobRequest

_LOG = part_logger('inbox')

_ProgressByJob = dict[JobId, tuple[ProgressRecord, int]]


@dataclass(frozen=True, slots=True)
class _Removal:
    """A job that has been removed from the store, by its request's revision.

    The store had nothing of it any more at ``by_revision``.
    """

    request_revision: int
    by_revision: int


@dataclass(slots=True)
class Inbox:
    """Reads requests and cancellations and applies them to the cell's jobs.

    ``on_cancelled`` is called for each open job that is cancelled, and
    ``on_change`` after each batch of watch events.
    """

    cell: CellId
    job_table: JobTable
    on_cancelled: Callable[[Job], None]
    on_change: Callable[[], None]
    # Also holds ids without a job, and jobs whose request isn't read yet.
    cancellations: Cancellations = field(default_factory=Cancellations)
    _damaged: set[JobId] = field(default_factory=set)
    # Each is kept until a batch is later than the removal.
    _removed: dict[JobId, _Removal] = field(default_factory=dict)

    async def load(self, store: PollingStore) -> None:
        """Restore all jobs and their progress; raises store failures.

        A job whose progress can't be decoded is left out: what of it has run is
        not known, so nothing of it may run. So is one that can't be scheduled.
        """
        progress = await self._read_progress(store)
        found = (await store.read_prefix(inbox_prefix(self.cell))).found
        now_s = boot_s()
        now_ms = wall_ms()
        for stored in found:
            request = self._decode_request(stored)
            if request is not None and request.job_id not in self._damaged:
                with self._left_out_on_error(request.job_id):
                    record, revision = progress.get(request.job_id, (None, 0))
                    job = restore_job(
                        request, record, revision=revision, now_s=now_s
                    )
                    job.request_revision = stored.mod_revision
                    self.job_table.add_restored(job, now_s=now_s, now_ms=now_ms)
        self.job_table.create_due_occurrences(now_s=now_s, now_ms=now_ms)
        for stored in found:
            self._apply_cancellation(stored)

    async def apply(self, batch: WatchBatch) -> None:
        """Apply watch events: new requests and cancellations."""
        now_s = boot_s()
        now_ms = wall_ms()
        for event in batch.events:
            if event.stored is not None and not self._is_removed(event.stored):
                self._add_job(event.stored, now_s, now_ms)
                self._apply_cancellation(event.stored)
        self._removed = {
            job_id: removal
            for job_id, removal in self._removed.items()
            if removal.by_revision > batch.revision
        }
        self.on_change()

    def forget(self, job: Job, *, removed_by_revision: int) -> None:
        """Forget a job that had been removed from the store at a revision.

        A batch that was read before may still arrive. The job in it would look
        like a new one, and all of it would run again. If another job has come
        in its place meanwhile, that one stays.
        """
        job_id = job.job_id
        self._removed[job_id] = _Removal(
            job.request_revision, removed_by_revision
        )
        if self.job_table.jobs.get(job_id) is job:
            self.job_table.forget(job_id)
            self.cancellations.discard(
                job_id, up_to_revision=removed_by_revision
            )

    def _is_removed(self, stored: StoredValue) -> bool:
        """Whether a request is that of a removed job."""
        job_id = JobId(stored.key.rpartition('/')[2])
        removal = self._removed.get(job_id)
        if removal is None:
            return False
        return stored.mod_revision <= removal.request_revision

    def _add_job(self, stored: StoredValue, now_s: float, now_ms: int) -> None:
        """Add the job of a request, unless the value is none or damaged."""
        request = self._decode_request(stored)
        if request is None or request.job_id in self._damaged:
            return
        self._forget_former(request.job_id, stored.mod_revision)
        with self._left_out_on_error(request.job_id):
            job = self.job_table.add(request, now_s=now_s, now_ms=now_ms)
            job.request_revision = job.request_revision or stored.mod_revision
        self._cancel_job(request.job_id)

    def _forget_former(self, job_id: JobId, revision: int) -> None:
        """Forget a finished job if a later request has its id.

        A request is written once, so the former job has been removed, though
        the store's answer hasn't come yet or was lost.
        """
        job = self.job_table.jobs.get(job_id)
        if job is None or job.is_open:
            return
        if job.request_revision < revision:
            self.forget(job, removed_by_revision=revision)

    @contextmanager
    def _left_out_on_error(self, job_id: JobId) -> Iterator[None]:
        """Leave out a job that can't be added, so that it hides no other."""
        try:
            yield
        except Exception:
            log_unexpected(f'job {job_id}')
            self._damaged.add(job_id)
            self.job_table.forget(job_id)

    async def _read_progress(self, store: PollingStore) -> _ProgressByJob:
        """Return the progress by job; remember the jobs with a damaged one."""
        prefix = progress_prefix(self.cell)
        found: _ProgressByJob = {}
        for stored in (await store.read_prefix(prefix)).found:
            job_id = JobId(stored.key.removeprefix(prefix))
            try:
                record = decode(stored.body, ProgressRecord, key=stored.key)
            except JournalDamaged as failure:
                _LOG.error('job left out', job=job_id, error=str(failure))
                self._damaged.add(job_id)
            else:
                found[job_id] = (record, stored.mod_revision)
        return found

    def _decode_request(self, stored: StoredValue) -> JobRequest | None:
        """Decode a request.

        Returns ``None`` if the key is of another kind, or the value damaged.
        """
        if not stored.key.startswith(request_key(self.cell, JobId(''))):
            return None
        try:
            return decode(stored.body, JobRequest, key=stored.key)
        except JournalDamaged as failure:
            _LOG.error('request left out', error=str(failure))
            return None

    def _apply_cancellation(self, stored: StoredValue) -> None:
        """Apply a cancellation; does nothing for a key of another kind."""
        prefix = cancel_key(self.cell, JobId(''))
        if stored.key.startswith(prefix):
            job_id = JobId(stored.key.removeprefix(prefix))
            self.cancellations.observe(
                job_id, stored.mod_revision, now_s=boot_s()
            )
            self._cancel_job(job_id)

    def _cancel_job(self, job_id: JobId) -> None:
        """Cancel a job if it is open and its cancellation is known."""
        job = self.job_table.jobs.get(job_id)
        if job is None or not job.is_open:
            return
        if self.cancellations.applies(
            job_id, request_revision=job.request_revision
        ):
            _LOG.info('job cancelled', job=job_id)
            self.job_table.cancel(job_id, now_s=boot_s())
            self.on_cancelled(job)
