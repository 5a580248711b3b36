"""The calls of ``PollingStore`` as messages that a peer can execute."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import TypeAlias

from msgspec import DecodeError, Struct, msgpack

from marjoramwharf.errors import (
    BadFrame,
    Failure,
    HistoryLost,
    LeaseEnded,
    StoreAnswerLost,
    StoreRefused,
    StoreUnavailable,
)
from marjoramwharf.ids import LeaseId
from marjoramwharf.links.store import (
    Committed,
    Conflict,
    Guard,
    PollingStore,
    PrefixSnapshot,
    StoredValue,
    WatchBatch,
    Write,
)


class ReadCall(Struct, frozen=True, tag=0, array_like=True):
    """Read one key."""

    key: str


class ReadPrefixCall(Struct, frozen=True, tag=1, array_like=True):
    """Read all keys below a prefix."""

    prefix: str


class CommitCall(Struct, frozen=True, tag=2, array_like=True):
    """Apply writes if guards hold."""

    guards: tuple[Guard, ...]
    writes: tuple[Write, ...]


class GrantCall(Struct, frozen=True, tag=3, array_like=True):
    """Create a lease."""

    ttl_ms: int


class KeepAliveCall(Struct, frozen=True, tag=4, array_like=True):
    """Extend a lease."""

    lease: LeaseId


class RevokeCall(Struct, frozen=True, tag=5, array_like=True):
    """End a lease."""

    lease: LeaseId


class PollCall(Struct, frozen=True, tag=6, array_like=True):
    """Wait for changes below a prefix."""

    prefix: str
    after_revision: int
    wait_ms: int


StoreCall: TypeAlias = (
    ReadCall
    | ReadPrefixCall
    | CommitCall
    | GrantCall
    | KeepAliveCall
    | RevokeCall
    | PollCall
)


class StoreReply(Struct, frozen=True, array_like=True):
    """Result of a call; only the field of the called method is set."""

    stored: StoredValue | None = None
    snapshot: PrefixSnapshot | None = None
    committed: Committed | None = None
    conflict: Conflict | None = None
    lease: LeaseId | None = None
    exists: bool = False
    batch: WatchBatch | None = None


@enum.unique
class CallOutcome(enum.IntEnum):
    """Outcome of a call that a peer executed; the values are sent."""

    DONE = 200
    LEASE_ENDED = 404
    HISTORY_LOST = 410
    REFUSED = 422
    ANSWER_LOST = 502
    UNAVAILABLE = 503


_FAILURES: dict[CallOutcome, type[Failure]] = {
    CallOutcome.LEASE_ENDED: LeaseEnded,
    CallOutcome.HISTORY_LOST: HistoryLost,
    CallOutcome.REFUSED: StoreRefused,
    CallOutcome.ANSWER_LOST: StoreAnswerLost,
    CallOutcome.UNAVAILABLE: StoreUnavailable,
}
_DECODE_FAILURES = (DecodeError, RecursionError, UnicodeError)
_OUTCOMES = {failure: outcome for outcome, failure in _FAILURES.items()}


async def execute_call(store: PollingStore, call: StoreCall) -> StoreReply:
    """Make a call on a store; raises what the store's method raises."""
    match call:
        case CommitCall(guards, writes):
            return await _commit(store, guards, writes)
        case PollCall(prefix, after_revision, wait_ms):
            batch = await store.poll(
                prefix,
                after_revision=after_revision,
                wait_ms=wait_ms,
            )
            return StoreReply(batch=batch)
        case GrantCall() | KeepAliveCall() | RevokeCall():
            return await _execute_lease_call(store, call)
        case ReadCall(key):
            return StoreReply(stored=await store.read(key))
        case ReadPrefixCall(prefix):
            return StoreReply(snapshot=await store.read_prefix(prefix))


async def _commit(
    store: PollingStore,
    guards: Sequence[Guard],
    writes: Sequence[Write],
) -> StoreReply:
    outcome = await store.commit(guards, writes)
    if isinstance(outcome, Committed):
        return StoreReply(committed=outcome)
    return StoreReply(conflict=outcome)


async def _execute_lease_call(
    store: PollingStore,
    call: GrantCall | KeepAliveCall | RevokeCall,
) -> StoreReply:
    match call:
        case GrantCall(ttl_ms):
            return StoreReply(lease=await store.grant_lease(ttl_ms))
        case KeepAliveCall(lease):
            return StoreReply(exists=await store.keep_alive(lease))
        case RevokeCall(lease):
            await store.revoke_lease(lease)
            return StoreReply()


def encode_call(call: StoreCall) -> bytes:
    """Encode a call for a peer."""
    return msgpack.encode(call)


def decode_call(raw: bytes) -> StoreCall:
    """Decode the call of a peer; raises ``BadFrame``."""
    try:
        return msgpack.decode(raw, type=StoreCall)
    except _DECODE_FAILURES as failure:
        raise BadFrame(message=f'malformed store call: {failure}') from failure


def encode_reply(reply: StoreReply) -> bytes:
    """Encode the result of a call for a peer."""
    return msgpack.encode(reply)


def decode_reply(raw: bytes) -> StoreReply:
    """Decode the result of a call from a peer; raises ``BadFrame``."""
    try:
        return msgpack.decode(raw, type=StoreReply)
    except _DECODE_FAILURES as failure:
        raise BadFrame(message=f'malformed store reply: {failure}') from failure


def get_outcome(failure: Failure) -> CallOutcome:
    """Return the outcome code that reports a failure to a peer.

    A failure without a code is reported as a lost answer.
    """
    return _OUTCOMES.get(type(failure), CallOutcome.ANSWER_LOST)


def make_failure(outcome: int, text: str) -> Failure:
    """Return the failure of an outcome code that a peer sent.

    An unknown code counts as a lost answer.
    """
    codes = {member.value for member in CallOutcome}
    if outcome not in codes:
        return StoreAnswerLost(message=f'unknown outcome {outcome}: {text}')
    return _FAILURES[CallOutcome(outcome)](message=text)
