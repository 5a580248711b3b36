"""Group commit of the progress of a cell's jobs.

Every write is conditional on the owner's record and on the revision of each
progress record, so that a late write of a former owner, or a lost write that
the store carries out seconds later, changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.records import (
    CellId,
    encode,
    progress_key,
    progress_of,
)
from marjoramwharf.cells.signals import Signal
from marjoramwharf.errors import (
    Failure,
    NotOwner,
    StoreAnswerLost,
)
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
from marjoramwharf.scheduling.job_book import JobBook
from marjoramwharf.scheduling.job_state import Job, JobPhase

_LOG = part_logger('progress')

# The store takes 32 entries in one call: the owner's record, and a condition
# and a value for each job.
_JOBS_PER_COMMIT = 15

# Commits under way at a time, each for other jobs. More than one keeps a slow
# store from delaying every job by several answers.
_COMMITS_COUNT = 3

# Changes that nothing waits for are collected for so long, so that one call
# takes many of them.
_COLLECTING_S = 0.15

_FIRST_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 0.5

OnStored = Callable[[Job], None]


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """One version of a job's progress on its way to the store."""

    job: Job
    version: int
    phase: JobPhase
    body: bytes


@dataclass(slots=True)
class ProgressWriter:
    """Writes what the book marks as unstored, in groups.

    ``owner`` is the condition that this entry still owns the cell.
    ``on_stored`` is called for each job after a version of it was stored.
    """

    store: PollingStore
    cell: CellId
    book: JobBook
    owner: Guard
    on_stored: OnStored
    counters: CellCounters = field(default_factory=CellCounters)
    is_failing: bool = False
    _in_flight: set[JobId] = field(default_factory=set)
    _unanswered: dict[JobId, list[_Snapshot]] = field(default_factory=dict)
    _signal: Signal = field(default_factory=Signal)
    _collected_s: float = 0

    def wake(self) -> None:
        """Note that the book has unstored jobs."""
        self._signal.set()

    async def run(self) -> None:
        """Write until cancelled; raises ``NotOwner`` once superseded."""
        async with trio.open_nursery() as nursery:
            for _ in range(_COMMITS_COUNT):
                nursery.start_soon(self._run_one)

    async def flush(self) -> None:
        """Return when all changes up to now are stored."""
        while self.book.unstored:
            for job in self.book.unstored.values():
                job.is_urgent = True
            self.wake()
            await trio.sleep(0.01)

    async def _run_one(self) -> None:
        pauses = Backoff(initial_s=_FIRST_PAUSE_S, max_s=_LONGEST_PAUSE_S)
        while True:
            group = self._take()
            if not group:
                await self._signal.wait(timeout_s=_COLLECTING_S)
                continue
            self._signal.set()
            names = {snapshot.job.job_id for snapshot in group}
            self._in_flight |= names
            try:
                failed = await self._commit(group)
            finally:
                self._in_flight -= names
            if failed:
                await trio.sleep(pauses.next_wait_s())
            else:
                pauses.reset()

    def _take(self) -> list[_Snapshot]:
        """Return what goes into the next call, urgent changes first."""
        waiting = [
            job
            for job_id, job in self.book.unstored.items()
            if job_id not in self._in_flight
        ]
        now_s = trio.current_time()
        has_urgent = any(job.is_urgent for job in waiting)
        if not has_urgent and now_s - self._collected_s < _COLLECTING_S:
            return []
        self._collected_s = now_s
        waiting.sort(key=lambda job: not job.is_urgent)
        return [_snapshot(job) for job in waiting[:_JOBS_PER_COMMIT]]

    async def _commit(self, group: Sequence[_Snapshot]) -> bool:
        """Write a group; tell whether that failed for now."""
        guards = [self.owner]
        writes: list[Write] = []
        for snapshot in group:
            key = progress_key(self.cell, snapshot.job.job_id)
            guards.append(Guard(key, snapshot.job.stored_revision))
            writes.append(Write(key, snapshot.body))
        began_s = trio.current_time()
        try:
            outcome = await self.store.commit(guards, writes)
        except StoreAnswerLost as lost:
            self._note_failure(lost, group)
            for unanswered in group:
                job_id = unanswered.job.job_id
                self._unanswered.setdefault(job_id, []).append(unanswered)
            return True
        except Failure as failure:
            self._note_failure(failure, group)
            return True
        if isinstance(outcome, Conflict):
            self._resolve(group, outcome)
            return False
        took_s = trio.current_time() - began_s
        self.counters.write_samples_s.append(took_s)
        self._note_stored(group, outcome)
        return False

    def _note_failure(
        self,
        failure: Failure,
        group: Sequence[_Snapshot],
    ) -> None:
        for snapshot in group:
            snapshot.job.is_urgent = True
        if not self.is_failing:
            _LOG.warning('write failed', error=str(failure))
        self.is_failing = True

    def _note_stored(
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
            self._adopt(snapshot, outcome.revision)

    def _adopt(self, snapshot: _Snapshot, revision: int) -> None:
        job = snapshot.job
        job.stored_revision = revision
        job.stored_version = max(job.stored_version, snapshot.version)
        job.shown_phase = snapshot.phase
        self._unanswered.pop(job.job_id, None)
        if job.version == snapshot.version:
            self.book.unstored.pop(job.job_id, None)
        self.on_stored(job)

    def _resolve(
        self,
        group: Sequence[_Snapshot],
        conflict: Conflict,
    ) -> None:
        """Settle a refused write by what the store holds.

        A value that equals an earlier write without an answer shows that the
        earlier one was applied. Raises ``NotOwner`` if the owner's record is
        not ours or another process wrote a progress record.
        """
        found = {stored.key: stored for stored in conflict.found}
        mine = found.get(self.owner.key)
        if mine is None or mine.mod_revision != self.owner.mod_revision:
            raise NotOwner(message=f'cell {self.cell} has another owner')
        for snapshot in group:
            key = progress_key(self.cell, snapshot.job.job_id)
            self._settle(snapshot.job, found.get(key))

    def _settle(self, job: Job, stored: StoredValue | None) -> None:
        revision = 0 if stored is None else stored.mod_revision
        if revision == job.stored_revision:
            return
        body = b'' if stored is None else stored.body
        for snapshot in self._unanswered.get(job.job_id, ()):
            if snapshot.body == body:
                _LOG.info('lost write was applied', job=job.job_id)
                self._adopt(snapshot, revision)
                return
        raise NotOwner(message=f'job {job.job_id} has another writer')


def _snapshot(job: Job) -> _Snapshot:
    job.is_urgent = False
    return _Snapshot(job, job.version, job.phase, encode(progress_of(job)))
