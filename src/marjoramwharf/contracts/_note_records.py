"""The records of release notes in the store, and their encoding.

``/note/head`` holds the whole configuration in force, ``/note/<revision>``
each accepted note, and ``/note/id/<note id>`` the revision of a note, by
which a repeated submission is recognised.
"""

from __future__ import annotations

import hashlib
from typing import TypeVar

from msgspec import MsgspecError, Struct, json

from marjoramwharf.contracts.configuration import Configuration
from marjoramwharf.contracts.release_note import ReleaseNote
from marjoramwharf.errors import StoreUnavailable
from marjoramwharf.links.store import (
    Guard,
    Store,
    StoredValue,
    Urgency,
    Write,
)

HEAD_KEY = '/note/head'

# The platform's store holds values of up to 1 MB.
MAX_RECORD_BYTES = 1_000_000

# Notes kept in the history: about one day of changes at the two-year target.
HISTORY_COUNT = 20_000

_Record = TypeVar('_Record', bound=Struct)


class HistoryEntry(Struct, frozen=True):
    """An accepted note with the entry and the time of its acceptance."""

    revision: int
    accepted_at_ms: int
    accepted_by: str
    note: ReleaseNote


class IdRecord(Struct, frozen=True):
    """The revision and the content digest of an accepted note."""

    revision: int
    digest: str


class Head(Struct, frozen=True):
    """The head record as read; ``mod_revision`` 0 means that none exists."""

    configuration: Configuration
    mod_revision: int


def note_key(revision: int) -> str:
    """Return the store key of an accepted note."""
    return f'/note/{revision}'


def id_key(note_id: str) -> str:
    """Return the store key of the record of a note id."""
    return f'/note/id/{note_id}'


def digest_of(note: ReleaseNote) -> str:
    """Return a digest of the content of a note."""
    return hashlib.sha256(json.encode(note)).hexdigest()


def decode(stored: StoredValue, model: type[_Record]) -> _Record:
    """Decode a record; raises ``StoreUnavailable`` if its form is wrong."""
    try:
        return json.decode(stored.body, type=model)
    except MsgspecError as failure:
        raise StoreUnavailable(
            message=f"{stored.key} has a body that can't be decoded: {failure}",
        ) from failure


async def read_head(store: Store) -> Head:
    """Read the configuration in force."""
    stored = await store.read(HEAD_KEY, urgency=Urgency.JOB)
    if stored is None:
        return Head(Configuration(), 0)
    return Head(decode(stored, Configuration), stored.mod_revision)


async def read_id(store: Store, note_id: str) -> IdRecord | None:
    """Read the record of a note id; ``None`` if no such note was accepted."""
    stored = await store.read(id_key(note_id), urgency=Urgency.JOB)
    return None if stored is None else decode(stored, IdRecord)


async def read_entry(
    store: Store,
    revision: int,
    *,
    urgency: Urgency,
) -> HistoryEntry | None:
    """Read an accepted note; ``None`` if it doesn't exist or was deleted."""
    stored = await store.read(note_key(revision), urgency=urgency)
    return None if stored is None else decode(stored, HistoryEntry)


def build_acceptance(
    head: Head,
    after: Configuration,
    entry: HistoryEntry,
    outdated: HistoryEntry | None,
) -> tuple[list[Guard], list[Write]]:
    """Return the guards and writes of the commit that accepts a note.

    The guards require the head's revision and the absence of the note's id.
    The commit deletes the ``outdated`` note from the history.
    """
    note = entry.note
    id_record = IdRecord(entry.revision, digest_of(note))
    guards = [
        Guard(HEAD_KEY, head.mod_revision),
        Guard(id_key(note.note_id), 0),
    ]
    writes = [
        Write(HEAD_KEY, json.encode(after)),
        Write(note_key(entry.revision), json.encode(entry)),
        Write(id_key(note.note_id), json.encode(id_record)),
    ]
    if outdated is not None:
        writes.append(Write(note_key(outdated.revision), None))
        writes.append(Write(id_key(outdated.note.note_id), None))
    return guards, writes
