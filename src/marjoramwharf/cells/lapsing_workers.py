"""Workers at which the owner of a cell lets the leases of runs lapse.

A run may be at work until its lease ends. When that is, only the owner knows
that extended it last: a worker that is gone tells nobody. The owner therefore
stores a mark for each worker with runs that it doesn't reach, and extends no
lease there until the mark is out of the store again. The next owner waits for
the leases from the time on at which it has seen the mark (``lapsing_view``),
and not from its own start.
"""

from __future__ import annotations

from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.auto_reset_event import AutoResetEvent
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.lapsing_view import LapsingView
from marjoramwharf.cells.owner_guard import found_by_owner
from marjoramwharf.cells.records import (
    CellId,
    LapsingMark,
    LapsingRecord,
    decode,
    encode,
    lapsing_key,
)
from marjoramwharf.errors import Failure, JournalDamaged
from marjoramwharf.ids import WorkerId
from marjoramwharf.links.store import Conflict, Guard, PollingStore, Write
from marjoramwharf.logs import part_logger

_LOG = part_logger('lapsing')

_RETRY_PAUSE_S = 0.1

# A worker that answers again is asked once more after this time if its mark
# can't be removed.
_REMOVAL_TIMEOUT_S = 1.0


@dataclass(slots=True, eq=False)
class LapsingWorkers:
    """The marks of a cell, in one tenure of its owner.

    ``former_fence`` is that of the owner before, if this entry knows it. Marks
    that another one vouched for are not relied on: an owner in between may not
    have known of them. ``_confirmed`` are the marks that the store holds for
    certain, and ``_possible`` the workers in writes without an answer. The
    record ``_is_vouched`` for once it has the fence of this owner.
    """

    store: PollingStore
    cell: CellId
    ownership_guard: Guard
    view: LapsingView
    former_fence: int | None = None
    _marks: dict[WorkerId, LapsingMark] = field(default_factory=dict)
    _confirmed: dict[WorkerId, LapsingMark] = field(default_factory=dict)
    _possible: set[WorkerId] = field(default_factory=set)
    _returning: set[WorkerId] = field(default_factory=set)
    _inherited_s: dict[WorkerId, float] = field(default_factory=dict)
    _is_vouched: bool = True
    _marks_count: int = 0
    _revision: int = 0
    _wake_event: AutoResetEvent = field(default_factory=AutoResetEvent)
    _stored_event: trio.Event = field(default_factory=trio.Event)

    @property
    def marked(self) -> AbstractSet[WorkerId]:
        """The workers that are to be marked in the store."""
        return self._marks.keys()

    async def load(self) -> None:
        """Read the marks of the former owner; raises store failures."""
        key = lapsing_key(self.cell)
        stored = await self.store.read(key)
        if stored is None:
            return
        self._revision = stored.mod_revision
        try:
            record = decode(stored.body, LapsingRecord, key=key)
        except JournalDamaged as failure:
            _LOG.error('marks left out', error=str(failure))
            return
        now_s = boot_s()
        self._confirmed = {
            WorkerId(mark.worker_id): mark for mark in record.marks
        }
        self._is_vouched = not record.marks
        if record.fence == self.former_fence:
            self._inherit(now_s)
        _LOG.info(
            'marks loaded',
            fence=record.fence,
            former_fence=self.former_fence,
            count=len(record.marks),
            oldest_s=round(
                now_s - min(self._inherited_s.values(), default=now_s), 3
            ),
        )
        self._wake_event.set()

    def _inherit(self, now_s: float) -> None:
        """Vouch for the marks of the former owner."""
        self._marks = dict(self._confirmed)
        for worker_id, mark in self._marks.items():
            seen_s = self.view.seen_s(self.cell, mark)
            self._inherited_s[worker_id] = now_s if seen_s is None else seen_s

    async def run(self) -> None:
        """Store the marks as they change, until cancelled.

        Raises ``NotOwner`` when another entry has become the owner.
        """
        while True:
            await self._wake_event.wait()
            while self._needs_write():
                if not await self._write():
                    await trio.sleep(_RETRY_PAUSE_S)

    def inherited_s(self, worker_id: WorkerId) -> float | None:
        """Return a time by which no lease was extended any more at a worker.

        It is of this entry's boot clock, and ``None`` if a former owner left no
        mark. It holds until this owner extends a lease there.
        """
        return self._inherited_s.get(worker_id)

    def mark(self, worker_ids: AbstractSet[WorkerId]) -> None:
        """Mark these workers and no others; extend no lease there from now on.

        A worker that has answered meanwhile is left out.
        """
        wanted = worker_ids - self._returning
        if wanted == self._marks.keys():
            return
        self._marks = {
            worker_id: self._marks.get(worker_id) or self._new_mark(worker_id)
            for worker_id in wanted
        }
        _LOG.info('leases left to lapse', workers_count=len(self._marks))
        self._wake_event.set()

    def may_extend(self, worker_id: WorkerId) -> bool:
        """Whether leases may be extended at a worker: no mark can be stored."""
        is_stored = worker_id in self._confirmed or worker_id in self._possible
        return worker_id not in self._marks and not is_stored

    async def allow_extending(self, worker_id: WorkerId) -> bool:
        """Remove the mark of a worker that answers; return whether it is out.

        ``True`` holds until the next checkpoint of the caller.
        """
        if self.may_extend(worker_id):
            return True
        self._returning.add(worker_id)
        try:
            with trio.move_on_after(_REMOVAL_TIMEOUT_S):
                await self._remove(worker_id)
        finally:
            self._returning.discard(worker_id)
        return self.may_extend(worker_id)

    async def _remove(self, worker_id: WorkerId) -> None:
        self._marks.pop(worker_id, None)
        while not self.may_extend(worker_id):
            self._wake_event.set()
            await self._stored_event.wait()

    def _needs_write(self) -> bool:
        is_stored = self._marks == self._confirmed and not self._possible
        return not is_stored or not self._is_vouched

    def _new_mark(self, worker_id: WorkerId) -> LapsingMark:
        self._marks_count += 1
        return LapsingMark(
            worker_id, self.ownership_guard.mod_revision, self._marks_count
        )

    async def _write(self) -> bool:
        """Write the marks; return whether they are stored.

        The condition on the record's revision keeps a write without an answer
        from taking effect after a later one.
        """
        marks = dict(self._marks)
        self._possible.update(marks)
        key = lapsing_key(self.cell)
        fence = self.ownership_guard.mod_revision
        body = encode(LapsingRecord(fence, tuple(marks.values())))
        try:
            outcome = await self.store.commit(
                [self.ownership_guard, Guard(key, self._revision)],
                [Write(key, body)],
            )
        except Failure as failure:
            _LOG.info('marks not stored', error=str(failure))
            return False
        if isinstance(outcome, Conflict):
            stored = found_by_owner(outcome, self.ownership_guard).get(key)
            self._revision = 0 if stored is None else stored.mod_revision
            return False
        self._revision = outcome.revision
        self._confirmed = marks
        self._possible.clear()
        self._is_vouched = True
        self._stored_event.set()
        self._stored_event = trio.Event()
        return True
