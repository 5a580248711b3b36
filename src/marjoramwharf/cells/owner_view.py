"""This entry's view of the owners of cells, as their records in the store show.

It is counted how often an owner has given way, so that entries which leave the
ownership to each other in vain do it less and less often. Other changes of the
owner, such as planned ones, don't count.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.lapsing_view import LapsingView
from marjoramwharf.cells.owner_succession import OwnerSuccession
from marjoramwharf.cells.records import (
    CellId,
    EntryRecord,
    FastestRecord,
    LapsingRecord,
    decode,
    is_fastest_key,
    is_giving_way_key,
    is_lapsing_key,
    parse_owner_key,
    parse_owner_related_key,
)
from marjoramwharf.errors import JournalDamaged
from marjoramwharf.links.store import StoreEvent, WatchBatch
from marjoramwharf.logs import part_logger

_LOG = part_logger('owner')

# That an owner gave way counts for this long, and so often at most.
_GIVING_WAY_WINDOW_S = 120.0
_MAX_COUNTED = 8


@dataclass(frozen=True, slots=True)
class CurrentOwner:
    """The owner of a cell and the revision of its record in the store."""

    record: EntryRecord
    revision: int


@dataclass(slots=True)
class OwnerView:
    """Local copy of the owner records of all cells, updated by a watch.

    ``ended_revisions`` holds the revision of each record whose owner's process
    appears to have ended. It is a hint that only starts a campaign early. Once
    such a process has written another record, it was alive, and the path to it
    refuses connections; this entry follows no further hint then.
    ``is_loaded`` is true once the records have been read. ``lapsing`` follows
    the records that owners store beside theirs, and ``succession`` which owner
    came before which. ``fastest`` holds the speed in cores of the fastest entry
    that the latest owner knew.
    """

    owners: dict[CellId, CurrentOwner] = field(default_factory=dict)
    ended_revisions: dict[CellId, int] = field(default_factory=dict)
    is_loaded: bool = False
    is_misled: bool = False
    fastest: dict[CellId, float] = field(default_factory=dict)
    lapsing: LapsingView = field(default_factory=LapsingView)
    succession: OwnerSuccession = field(default_factory=OwnerSuccession)
    _ended_processes: dict[str, int] = field(default_factory=dict)
    _revisions: dict[CellId, deque[int]] = field(default_factory=dict)
    _given_way_s: dict[CellId, dict[int, float]] = field(default_factory=dict)
    _change_event: trio.Event = field(default_factory=trio.Event)

    async def apply(self, batch: WatchBatch) -> None:
        """Apply watch events of the owners' records."""
        if batch.restarted:
            self.owners.clear()
            self.fastest.clear()
            self.succession.keep_only(
                event.stored.mod_revision
                for event in batch.events
                if event.stored is not None
            )
        for event in batch.events:
            try:
                self._apply_event(event)
            except JournalDamaged as failure:
                _LOG.error('owner record ignored', error=str(failure))
                self.succession.keep_only(())
        self.is_loaded = True
        self._notify_waiters()

    def mark_owner_ended(self, owner: CurrentOwner) -> None:
        """Record that the process of an owner appears to have ended."""
        if self.is_misled:
            return
        for cell, listed_owner in self.owners.items():
            if listed_owner == owner and cell not in self.ended_revisions:
                _LOG.warning('owner process ended', owner=owner.record.entry_id)
                self.ended_revisions[cell] = owner.revision
                self._ended_processes[owner.record.secret] = owner.revision
                self._notify_waiters()

    def given_way_count(self, cell: CellId, *, now_s: float) -> int:
        """Return how often an owner of a cell has given way lately."""
        given_way_s = self._given_way_s.get(cell, {}).values()
        return sum(now_s - at_s < _GIVING_WAY_WINDOW_S for at_s in given_way_s)

    def fence_before(self, cell: CellId, fence: int) -> int | None:
        """Return the fence of the owner before one, if it has been seen."""
        earlier = [
            revision
            for revision in self._revisions.get(cell, ())
            if revision < fence
        ]
        return max(earlier, default=None)

    async def wait_change(self) -> None:
        """Wait for the next change of the owners."""
        await self._change_event.wait()

    def _apply_event(self, event: StoreEvent) -> None:
        """Apply one event; raises ``JournalDamaged``."""
        if is_lapsing_key(event.key):
            self._apply_lapsing(event)
            return
        if is_giving_way_key(event.key):
            self._count_giving_way(event)
            return
        if is_fastest_key(event.key):
            self._apply_fastest(event)
            return
        cell = parse_owner_key(event.key)
        self.ended_revisions.pop(cell, None)
        if event.stored is None:
            self.owners.pop(cell, None)
            return
        record = decode(event.stored.body, EntryRecord, key=event.key)
        owner = CurrentOwner(record, event.stored.mod_revision)
        self.owners[cell] = owner
        self._detect_living(owner)
        self._remember_fence(cell, owner)
        self.succession.observe(cell, record, owner.revision, now_s=boot_s())

    def _apply_lapsing(self, event: StoreEvent) -> None:
        """Follow the record beside an owner's; raises ``JournalDamaged``."""
        cell = parse_owner_related_key(event.key)
        if event.stored is not None:
            record = decode(event.stored.body, LapsingRecord, key=event.key)
            self.lapsing.observe(cell, record, now_s=boot_s())

    def _apply_fastest(self, event: StoreEvent) -> None:
        """Follow the speed of the fastest entry; raises ``JournalDamaged``."""
        cell = parse_owner_related_key(event.key)
        self.fastest.pop(cell, None)
        if event.stored is not None:
            record = decode(event.stored.body, FastestRecord, key=event.key)
            self.fastest[cell] = record.cpu_share

    def _detect_living(self, owner: CurrentOwner) -> None:
        """Detect a record of a process that appeared to have ended before."""
        process = owner.record.secret
        ended_revision = self._ended_processes.get(process, owner.revision)
        if owner.revision > ended_revision and not self.is_misled:
            _LOG.warning('owner had not ended', owner=owner.record.entry_id)
            self.is_misled = True

    def _count_giving_way(self, event: StoreEvent) -> None:
        """Count a write by an owner that gave way, once for each revision.

        One that is found at the start may be from long ago.
        """
        cell = parse_owner_related_key(event.key)
        if event.stored is None:
            return
        at_s = boot_s() if self.is_loaded else -math.inf
        given_way_s = self._given_way_s.setdefault(cell, {})
        given_way_s.setdefault(event.stored.mod_revision, at_s)
        if len(given_way_s) > _MAX_COUNTED:
            given_way_s.pop(min(given_way_s))

    def _remember_fence(self, cell: CellId, owner: CurrentOwner) -> None:
        """Remember the fences of the latest two owners."""
        revisions = self._revisions.setdefault(cell, deque(maxlen=2))
        if owner.revision not in revisions:
            revisions.append(owner.revision)

    def _notify_waiters(self) -> None:
        self._change_event.set()
        self._change_event = trio.Event()
