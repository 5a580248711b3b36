"""The stored record of a claim and the outcomes of a write to it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from marjoramwharf.ids import CallId, Incarnation, WorkerId
from marjoramwharf.links.store import StoredValue


class ClaimRecord(msgspec.Struct, frozen=True):
    """A claim as it is stored, in MessagePack.

    ``writer`` is fresh for every write, so that a writer recognises its own
    write after the store's answer was lost. ``status`` is ``None`` while the
    claim is open. ``body`` is ``None`` in a completed claim whose answer was
    too large to store. ``incarnation`` is that of the worker process to which
    the call was sent.
    """

    digest: str
    worker_id: WorkerId
    call_id: CallId
    attempt: int
    writer: str
    incarnation: Incarnation | None = None
    status: int | None = None
    content_type: str = ''
    body: bytes | None = None
    body_sha256: str = ''


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim with the revision of its last write."""

    key: str
    record: ClaimRecord
    revision: int


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """The claim was written by the caller, whose call may be dispatched."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimExists:
    """Another call holds the claim."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimWithdrawn:
    """The claim is no longer in the store; it has been withdrawn."""


ClaimOutcome: TypeAlias = ClaimHeld | ClaimExists | ClaimWithdrawn


def decode_claim(stored: StoredValue) -> Claim:
    """Return the claim that a stored value holds."""
    record = msgspec.msgpack.decode(stored.body, type=ClaimRecord)
    return Claim(stored.key, record, stored.mod_revision)
