"""Group commit of the progress records of a cell's jobs.

Every write is conditional on the owner's record and on the revision of each
progress record. A late write of a former owner, or a write whose answer was
lost and which the store carries out seconds later, therefore changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.auto_reset_event import AutoResetEvent
from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.owner_guard import found_by_owner
from marjoramwharf.cells.records import (
    CellId,
    build_progress_record,
    encode,
    progress_key,
)
from marjoramwharf.errors import Failure, NotOwner, StoreUnavailable
from marjoramwharf.ids import JobId
from marjoramwharf.links.backoff import Backoff
from marjoramwharf.links.store import (
    Committed,
    Conflict,
    Guard,
    PollingStore,
    StoredValue,
    Write,
)
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.job_state import Job, JobPhase
from marjoramwharf.scheduling.job_table import JobTable

_LOG = part_logger('progress')

# The store takes 32 conditions and values in one call: one condition on the
# owner's record, and a condition and a value for each job.
_JOBS_PER_COMMIT = 15

# Number of commits in flight at a time, each for different jobs. With only one,
# a slow store would delay every job by several round trips.
_CONCURRENT_COMMITS_COUNT = 3

# Changes that nothing waits for are collected for this long, so that one call
# writes many of them.
_COLLECTION_S = 0.15

_FLUSH_CHECK_S = 0.01

_INITIAL_PAUSE_S = 0.05
_MAX_PAUSE_S = 0.5

OnStored = Callable[[Job], None]


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """One version of a job's progress that is being written to the store."""

    job: Job
    version: int
    phase: JobPhase
    body: bytes


@dataclass(slots=True)
class ProgressWriter:
    """Writes the progress of jobs with unstored changes, in groups.

    ``ownership_guard`` is the condition that this entry still owns the cell.
    ``on_stored`` is called for each job after one of its versions is stored.
    """

    store: PollingStore
    cell: CellId
    job_table: JobTable
    ownership_guard: Guard
    on_stored: OnStored
    counters: CellCounters = field(default_factory=CellCounters)
    is_failing: bool = False
    _in_flight: set[JobId] = field(default_factory=set)
    _unanswered: dict[JobId, list[_Snapshot]] = field(default_factory=dict)
    _wake_event: AutoResetEvent = field(default_factory=AutoResetEvent)
    _last_group_s: float = 0

    def wake(self) -> None:
        """Wake the writer, since there are jobs with unstored changes."""
        self._wake_event.set()

    async def run(self) -> None:
        """Write until cancelled.

        Raises ``NotOwner`` when another entry has become the owner.
        """
        async with trio.open_nursery() as nursery:
            for _ in range(_CONCURRENT_COMMITS_COUNT):
                nursery.start_soon(self._run_committer)

    async def flush(self) -> None:
        """Store the changes made until now; return when that is done.

        Those that are made meanwhile are not waited for: while many runs end,
        there is always one.
        """
        flushed = {
            job_id: job.version
            for job_id, job in self.job_table.unstored.items()
        }
        while waiting := self._older_than(flushed):
            for job in waiting:
                job.is_urgent = True
            self.wake()
            await trio.sleep(_FLUSH_CHECK_S)

    def _older_than(self, versions: Mapping[JobId, int]) -> list[Job]:
        """Return the jobs that are not stored at one of these versions yet."""
        return [
            job
            for job_id, job in self.job_table.unstored.items()
            if job.stored_version < versions.get(job_id, 0)
        ]

    async def _run_committer(self) -> None:
        """Write one group after the other, with a pause after a failure."""
        pauses = Backoff(initial_s=_INITIAL_PAUSE_S, max_s=_MAX_PAUSE_S)
        while True:
            group = self._next_group()
            if not group:
                await self._wake_event.wait(timeout_s=_COLLECTION_S)
                continue
            self._wake_event.set()
            job_ids = {snapshot.job.job_id for snapshot in group}
            self._in_flight |= job_ids
            try:
                has_failed = await self._commit(group)
            finally:
                self._in_flight -= job_ids
            if has_failed:
                await trio.sleep(pauses.next_wait_s())
            else:
                pauses.reset()

    def _next_group(self) -> list[_Snapshot]:
        """Take snapshots of the jobs for the next commit, urgent ones first.

        The result is empty until changes that aren't urgent have been
        collected for long enough.
        """
        waiting = [
            job
            for job_id, job in self.job_table.unstored.items()
            if job_id not in self._in_flight
        ]
        now_s = trio.current_time()
        has_urgent = any(job.is_urgent for job in waiting)
        if not has_urgent and now_s - self._last_group_s < _COLLECTION_S:
            return []
        self._last_group_s = now_s
        waiting.sort(key=lambda job: not job.is_urgent)
        return [_take_snapshot(job) for job in waiting[:_JOBS_PER_COMMIT]]

    async def _commit(self, group: Sequence[_Snapshot]) -> bool:
        """Write a group; return whether the call failed and needs a retry."""
        guards = [self.ownership_guard]
        writes: list[Write] = []
        for snapshot in group:
            key = progress_key(self.cell, snapshot.job.job_id)
            guards.append(Guard(key, snapshot.job.stored_revision))
            writes.append(Write(key, snapshot.body))
        began_s = trio.current_time()
        try:
            outcome = await self.store.commit(guards, writes)
        except StoreUnavailable as refusal:
            self._record_failure(refusal, group)
            return True
        except Failure as failure:
            # No other failure proves that nothing was applied.
            self._record_failure(failure, group)
            for unanswered in group:
                job_id = unanswered.job.job_id
                self._unanswered.setdefault(job_id, []).append(unanswered)
            return True
        if isinstance(outcome, Conflict):
            self._resolve_conflict(group, outcome)
            return False
        took_s = trio.current_time() - began_s
        self.counters.write_samples_s.append(took_s)
        self._record_stored(group, outcome)
        return False

    def _record_failure(
        self,
        failure: Failure,
        group: Sequence[_Snapshot],
    ) -> None:
        # The snapshots cleared the flag; no job waits to be collected again.
        for snapshot in group:
            snapshot.job.is_urgent = True
        if not self.is_failing:
            _LOG.warning('write failed', error=str(failure))
        self.is_failing = True

    def _record_stored(
        self,
        group: Sequence[_Snapshot],
        outcome: Committed,
    ) -> None:
        if self.is_failing:
            _LOG.info('writes succeed again')
        self.is_failing = False
        self.counters.commits_count += 1
        self.counters.written_bytes += sum(
            len(snapshot.body) for snapshot in group
        )
        for snapshot in group:
            self._mark_stored(snapshot, outcome.revision)

    def _mark_stored(self, snapshot: _Snapshot, revision: int) -> None:
        job = snapshot.job
        job.stored_revision = revision
        job.stored_version = max(job.stored_version, snapshot.version)
        job.stored_phase = snapshot.phase
        self._unanswered.pop(job.job_id, None)
        if job.version == snapshot.version:
            self.job_table.unstored.pop(job.job_id, None)
        self.on_stored(job)

    def _resolve_conflict(
        self,
        group: Sequence[_Snapshot],
        conflict: Conflict,
    ) -> None:
        """Resolve a refused write from the values that the store holds.

        A stored value equal to an earlier write without an answer shows that
        this write was applied. Raises ``NotOwner`` if the owner's record isn't
        that of this entry, or if another process wrote a progress record.
        """
        found = found_by_owner(conflict, self.ownership_guard)
        for snapshot in group:
            key = progress_key(self.cell, snapshot.job.job_id)
            self._resolve_job(snapshot.job, found.get(key))

    def _resolve_job(self, job: Job, stored: StoredValue | None) -> None:
        """Compare one progress record; if unchanged, it is written again."""
        revision = 0 if stored is None else stored.mod_revision
        if revision == job.stored_revision:
            return
        body = b'' if stored is None else stored.body
        for snapshot in self._unanswered.get(job.job_id, ()):
            if snapshot.body == body:
                _LOG.info('write without an answer was applied', job=job.job_id)
                self._mark_stored(snapshot, revision)
                return
        raise NotOwner(message=f'job {job.job_id} has another writer')


def _take_snapshot(job: Job) -> _Snapshot:
    job.is_urgent = False
    return _Snapshot(
        job, job.version, job.phase, encode(build_progress_record(job))
    )
