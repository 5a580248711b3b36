"""Acceptance of release notes and the configuration in force on an entry.

The registry of each entry follows the head record of the notes in the store.
The revision in force only grows: an older head, from a stale read or a watch
that restarted, is ignored. Acceptance is a compare-and-swap on the head.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

import trio

from marjoramwharf.contracts import _note_records as records
from marjoramwharf.contracts._note_acceptance import (
    STORE_FAILURES,
    NoteAcceptor,
    not_accepted,
)
from marjoramwharf.contracts.configuration import Configuration
from marjoramwharf.contracts.note_answers import Answer
from marjoramwharf.contracts.release_note import ReleaseNote
from marjoramwharf.ids import EntryId
from marjoramwharf.links.store import Store, StoredValue, Urgency
from marjoramwharf.logs import part_logger

HistoryEntry: TypeAlias = records.HistoryEntry

# Interval at which the registry polls for the next note, since a watch may
# stop without an error. A note must be in force within 11 s.
_POLL_INTERVAL_S = 4

_WATCH_BACKOFF_S = 0.5

_log = part_logger('notes')


@dataclass(frozen=True, slots=True)
class ActiveConfiguration:
    """The configuration in force on this entry, and since when (Unix time)."""

    configuration: Configuration
    since_ms: int

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first note."""
        return self.configuration.revision


Listener: TypeAlias = Callable[[ActiveConfiguration], None]


class NoteRegistry:
    """Accepts release notes and tracks the configuration of one entry.

    ``now_ms`` returns Unix time, ``jitter`` a number from 0 to 1. ``run``
    follows the store until it is cancelled. ``is_synchronised`` becomes true
    with the first head that is read since the start.
    """

    def __init__(
        self,
        store: Store,
        *,
        entry: EntryId,
        now_ms: Callable[[], int],
        jitter: Callable[[], float] = random.random,
    ) -> None:
        """Start with the empty configuration at revision 0."""
        self.entry = entry
        self.current = ActiveConfiguration(Configuration(), now_ms())
        self.is_synchronised = False
        self._store = store
        self._now_ms = now_ms
        self._jitter = jitter
        self._listeners: list[Listener] = []
        self._min_revision = 0
        self._hint_received = trio.Event()
        self._acceptor = NoteAcceptor(
            store,
            entry=entry,
            now_ms=now_ms,
            jitter=jitter,
            observe=self._observe_now,
            known_revision=self._known_revision,
        )

    def add_listener(self, listener: Listener) -> None:
        """Add a function that is called after each configuration change."""
        self._listeners.append(listener)

    def hint(self, revision: int) -> None:
        """Record a revision that a peer has in force.

        A newer one makes ``run`` read the head again at once. Older heads are
        ignored from then on, so that a stale read can't revert a restarted
        entry.
        """
        if revision > self._known_revision():
            self._min_revision = revision
            self._hint_received.set()

    def observe(self, configuration: Configuration, *, now_ms: int) -> bool:
        """Put a configuration in force unless a newer revision is known.

        Returns false in that case, or if it is in force already.
        """
        if configuration.revision < self._known_revision():
            return False
        self.is_synchronised = True
        if configuration.revision == self.current.revision:
            return False
        self.current = ActiveConfiguration(configuration, now_ms)
        _log.info('note in force', revision=configuration.revision)
        for listener in self._listeners:
            self._notify(listener)
        return True

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Follow the head; report ``started`` after the first read attempt."""
        async with trio.open_nursery() as nursery:
            await self._read_head()
            task_status.started()
            nursery.start_soon(self._poll_forever)
            nursery.start_soon(self._watch_forever)

    async def history(self, *, limit: int) -> tuple[HistoryEntry, ...]:
        """Return up to ``limit`` accepted notes, the newest first.

        Raises ``StoreUnavailable`` or ``StoreBudgetSpent``.
        """
        head = await records.read_head(self._store)
        newest = head.configuration.revision
        found: list[HistoryEntry] = []
        for revision in range(newest, max(newest - limit, 0), -1):
            entry = await records.read_entry(
                self._store,
                revision,
                urgency=Urgency.STATUS,
            )
            if entry is None:
                break
            found.append(entry)
        return tuple(found)

    async def accept(
        self,
        note: ReleaseNote,
        *,
        based_on: int | None = None,
    ) -> Answer:
        """Accept a note, or return why it is not accepted.

        A note that touches other fields than the notes accepted since its
        base is rebased. Without ``based_on`` and a base in the note, the
        base is the revision in force on this entry.
        """
        if based_on is None:
            based_on = note.based_on
        if not self.is_synchronised:
            await self._read_head()
        if based_on is None and not self.is_synchronised:
            return not_accepted(note, 'the head was not read yet')
        if based_on is None:
            based_on = self.current.revision
        return await self._acceptor.accept(note, based_on)

    async def _poll_forever(self) -> None:
        while True:
            with trio.move_on_after(_POLL_INTERVAL_S):
                await self._hint_received.wait()
            self._hint_received = trio.Event()
            if await self._may_have_changed():
                await self._read_head()

    async def _may_have_changed(self) -> bool:
        # At the target load the head has 195 KB, so only the next note is
        # read instead of the head.
        current = self.current.revision
        if not self.is_synchronised or self._min_revision > current:
            return True
        try:
            following = await records.read_entry(
                self._store,
                current + 1,
                urgency=Urgency.JOB,
            )
        except STORE_FAILURES as failure:
            _log.warning('reading the next note failed', cause=failure.message)
            return False
        return following is not None

    async def _read_head(self) -> None:
        try:
            head = await records.read_head(self._store)
        except STORE_FAILURES as failure:
            _log.warning('reading the head failed', cause=failure.message)
        else:
            self._observe_now(head.configuration)

    async def _watch_forever(self) -> None:
        while True:
            try:
                await self._watch()
            except STORE_FAILURES as failure:
                _log.warning('watch on the head ended', cause=failure.message)
            await trio.sleep(_WATCH_BACKOFF_S * (1 + self._jitter()))

    async def _watch(self) -> None:
        reading = await self._store.read_prefix(
            records.HEAD_KEY,
            urgency=Urgency.OWNERSHIP,
        )
        for found in reading.found:
            self._observe_stored(found)
        watch = self._store.watch(
            records.HEAD_KEY,
            from_revision=reading.revision,
        )
        async with watch as batches:
            async for batch in batches:
                for event in batch.events:
                    self._observe_stored(event.stored)

    def _observe_stored(self, stored: StoredValue | None) -> None:
        # The head is only deleted by an operating error of the store; the
        # configuration in force stays.
        if stored is not None and stored.key == records.HEAD_KEY:
            configuration = records.decode(stored, Configuration)
            self._observe_now(configuration)

    def _observe_now(self, configuration: Configuration) -> bool:
        return self.observe(configuration, now_ms=self._now_ms())

    def _known_revision(self) -> int:
        return max(self._min_revision, self.current.revision)

    def _notify(self, listener: Listener) -> None:
        try:
            listener(self.current)
        except Exception:
            _log.exception(
                'configuration listener failed',
                revision=self.current.revision,
            )
