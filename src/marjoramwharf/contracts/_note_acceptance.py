"""Acceptance of a release note by compare-and-swap on the head record.

The head record, or head, is the stored configuration in force.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from marjoramwharf.contracts import _note_records as records
from marjoramwharf.contracts.configuration import (
    Configuration,
    IncompatibleNote,
    apply_note,
)
from marjoramwharf.contracts.note_answers import (
    Accepted,
    Answer,
    NoteConflict,
    NoteRefused,
)
from marjoramwharf.contracts.release_note import ReleaseNote, shared_fields
from marjoramwharf.errors import (
    Reason,
    StoreAnswerLost,
    StoreBudgetSpent,
    StoreUnavailable,
)
from marjoramwharf.ids import EntryId
from marjoramwharf.links.store import Committed, Store, Urgency
from marjoramwharf.service.request import NotRun, Unknown

MAX_REBASES = 5

# Most notes between the base and the head; each is read and compared. At the
# two-year target this is about 15 minutes of changes.
MAX_GAP_COUNT = 200

RETRY_AFTER_S = 2

STORE_FAILURES = (StoreUnavailable, StoreBudgetSpent)

_BACKOFF_S = 0.05


class NoteAcceptor:
    """Accepts notes; ``observe`` is called with each head that is read.

    A head older than ``known_revision()`` is a stale read.
    """

    def __init__(
        self,
        store: Store,
        *,
        entry: EntryId,
        now_ms: Callable[[], int],
        jitter: Callable[[], float],
        observe: Callable[[Configuration], object],
        known_revision: Callable[[], int],
    ) -> None:
        """Set up the acceptor; it reads nothing yet."""
        self._store = store
        self._entry_id = entry
        self._now_ms = now_ms
        self._jitter = jitter
        self._observe = observe
        self._known_revision = known_revision

    async def accept(self, note: ReleaseNote, based_on: int) -> Answer:
        """Accept a note or return why not; up to ``MAX_REBASES`` more tries."""
        is_in_doubt = False
        for attempt in range(MAX_REBASES + 1):
            await self._back_off(attempt)
            try:
                answer = await self._attempt(note, based_on)
            except StoreAnswerLost:
                # The next attempt starts with a read of the note's id.
                is_in_doubt = True
            except STORE_FAILURES as failure:
                return not_accepted(
                    note,
                    failure.message,
                    is_in_doubt=is_in_doubt,
                )
            else:
                if answer is not None:
                    return answer
        return await self._give_up(note, is_in_doubt=is_in_doubt)

    async def _attempt(
        self,
        note: ReleaseNote,
        based_on: int,
    ) -> Answer | None:
        """Try to accept a note; ``None`` means that a new try is needed."""
        repeat = await self._find_repeat(note)
        if repeat is not None:
            return repeat
        head = await records.read_head(self._store)
        if head.configuration.revision < self._known_revision():
            # A stale read; the note must not be refused because of it.
            return None
        self._observe(head.configuration)
        refusal = await self._find_conflict(note, based_on, head.configuration)
        return refusal or await self._commit(note, head)

    async def _find_repeat(self, note: ReleaseNote) -> Answer | None:
        record = await records.read_id(self._store, note.note_id)
        if record is None:
            return None
        if record.digest == records.digest_of(note):
            return Accepted(record.revision, is_repeat=True)
        return NoteRefused(
            Reason.KEY_REUSED,
            f'the note id {note.note_id!r} belongs to another note, which '
            f'was accepted as revision {record.revision}',
        )

    async def _find_conflict(
        self,
        note: ReleaseNote,
        based_on: int,
        configuration: Configuration,
    ) -> Answer | None:
        """Compare a note with those since its base; ``None`` if it fits."""
        newest = configuration.revision
        if based_on > newest:
            return _refuse_base(f'revision {based_on} does not exist')
        if newest - based_on > MAX_GAP_COUNT:
            return _refuse_base(
                f'revision {based_on} is more than {MAX_GAP_COUNT} notes old',
            )
        for revision in range(based_on + 1, newest + 1):
            other = await self._read_entry(revision, Urgency.JOB)
            if other is None:
                return _refuse_base(f'revision {revision} is no longer kept')
            if other.note == note:
                # The note was written after its id was read: by a commit
                # whose answer was lost, or by another entry.
                return Accepted(revision, is_repeat=True)
            fields = shared_fields(note, other.note)
            if fields:
                return NoteConflict(
                    note_id=other.note.note_id,
                    author=other.note.author,
                    revision=revision,
                    fields=fields,
                )
        return None

    async def _commit(
        self,
        note: ReleaseNote,
        head: records.Head,
    ) -> Answer | None:
        try:
            after = apply_note(head.configuration, note)
        except IncompatibleNote as failure:
            return NoteRefused(
                Reason.BAD_REQUEST,
                failure.message,
                failure.problems,
            )
        accepted = records.HistoryEntry(
            after.revision,
            self._now_ms(),
            self._entry_id,
            note,
        )
        outdated = await self._read_entry(
            after.revision - records.HISTORY_COUNT,
            Urgency.JOB,
        )
        guards, writes = records.build_acceptance(
            head, after, accepted, outdated
        )
        if any(_is_too_large(write.body) for write in writes):
            return NoteRefused(
                Reason.BODY_TOO_LARGE,
                f'the configuration exceeds {records.MAX_RECORD_BYTES} bytes',
            )
        outcome = await self._store.commit(guards, writes, urgency=Urgency.JOB)
        if not isinstance(outcome, Committed):
            return None
        self._observe(after)
        return Accepted(after.revision)

    async def _give_up(self, note: ReleaseNote, *, is_in_doubt: bool) -> Answer:
        message = 'other notes were accepted at the same time'
        if is_in_doubt:
            message = 'the answer of the store was lost'
            try:
                repeat = await self._find_repeat(note)
            except STORE_FAILURES as failure:
                return not_accepted(
                    note, failure.message, is_in_doubt=is_in_doubt
                )
            if repeat is not None:
                return repeat
        return not_accepted(note, message, is_in_doubt=is_in_doubt)

    async def _read_entry(
        self,
        revision: int,
        urgency: Urgency,
    ) -> records.HistoryEntry | None:
        if revision <= 0:
            return None
        return await records.read_entry(self._store, revision, urgency=urgency)

    async def _back_off(self, attempt: int) -> None:
        if attempt:
            longest = _BACKOFF_S * 2**attempt
            await trio.sleep(longest * (1 + self._jitter()) / 2)


def _refuse_base(message: str) -> NoteRefused:
    return NoteRefused(
        Reason.NOTE_CONFLICT,
        f'based_on: {message}; compare the note with the configuration in '
        'force and base it on that revision',
    )


def _is_too_large(body: bytes | None) -> bool:
    return body is not None and len(body) > records.MAX_RECORD_BYTES


def not_accepted(
    note: ReleaseNote,
    message: str,
    *,
    is_in_doubt: bool = False,
) -> NotRun | Unknown:
    """Return the outcome "not run", or "unknown" after a lost answer."""
    # After a lost answer the write may still be applied, so "not run" is not
    # proved. Submitting the same note again is safe.
    if is_in_doubt:
        return Unknown(Reason.STORE_ANSWER_LOST, message, note.note_id)
    return NotRun(Reason.STORE_UNAVAILABLE, message, RETRY_AFTER_S)
