"""The messages between entries, their envelopes and their authentication."""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from typing import Any, TypeAlias

from marjoramwharf.errors import BadFrame, Failure, PeerRefused, Reason
from marjoramwharf.ids import DataCentreId, EntryId, Incarnation
from marjoramwharf.links.thrift_types.peer import ttypes

# A struct of peer.thrift other than Envelope; the generated code is untyped.
Message: TypeAlias = Any

PROTOCOL_VERSION = 1

_FIELDS = {
    ttypes.Hello: 'hello',
    ttypes.Borrow: 'borrow',
    ttypes.Lent: 'lent',
    ttypes.Renew: 'renew',
    ttypes.Renewed: 'renewed',
    ttypes.GiveBack: 'give_back',
    ttypes.Ack: 'ack',
    ttypes.Revoke: 'revoke',
    ttypes.Summary: 'summary',
    ttypes.Reserve: 'reserve',
    ttypes.Reserved: 'reserved',
    ttypes.Release: 'release',
    ttypes.JobCall: 'job_call',
    ttypes.JobReply: 'job_reply',
    ttypes.NoteHint: 'note_hint',
    ttypes.Leaving: 'leaving',
    ttypes.Refusal: 'refusal',
    ttypes.TaskReports: 'task_reports',
}


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Identity of a process at one end of a connection."""

    entry_id: EntryId
    incarnation: Incarnation
    data_centre: DataCentreId


def pack(
    call_id: int,
    message: Message,
    *,
    is_reply: bool = False,
    traceparent: str | None = None,
) -> ttypes.Envelope:
    """Put a message into an envelope."""
    return ttypes.Envelope(
        call_id=call_id,
        is_reply=is_reply,
        traceparent=traceparent,
        **{_FIELDS[type(message)]: message},
    )


def unpack(envelope: ttypes.Envelope) -> Message:
    """Return the message of an envelope.

    Raises ``BadFrame`` unless it contains exactly one.
    """
    found = [
        getattr(envelope, name)
        for name in _FIELDS.values()
        if getattr(envelope, name) is not None
    ]
    if len(found) != 1:
        raise BadFrame(
            message=f'{len(found)} messages in an envelope instead of one'
        )
    return found[0]


def make_refusal(failure: Failure) -> Message:
    """Return the refusal message that reports a failure to a peer."""
    return ttypes.Refusal(
        reason=failure.reason.value,
        message=failure.message,
    )


def decode_refusal(message: Message) -> PeerRefused:
    """Return the failure that a refusal message reports."""
    valid_codes = {reason.value for reason in Reason}
    code = message.reason if message.reason in valid_codes else 'unknown reason'
    return PeerRefused(message=f'{code}: {message.message}')


def make_hello(
    identity: PeerIdentity,
    *,
    nonce: str,
    proof: str,
) -> Message:
    """Return a Hello message with the identity of this process."""
    return ttypes.Hello(
        entry_id=identity.entry_id,
        incarnation=identity.incarnation,
        data_centre=identity.data_centre,
        protocol_version=PROTOCOL_VERSION,
        nonce=nonce,
        proof=proof,
    )


def read_identity(message: Message) -> PeerIdentity:
    """Return the identity that a Hello claims."""
    return PeerIdentity(
        entry_id=EntryId(message.entry_id),
        incarnation=Incarnation(message.incarnation),
        data_centre=DataCentreId(message.data_centre),
    )


def compute_proof(
    secret: str,
    role: str,
    identity: PeerIdentity,
    nonces: tuple[str, str],
) -> str:
    """Return the HMAC-SHA-256 of an identity and the nonces of both sides.

    ``role`` (client or server) is included so that a peer can't send a proof
    back to its sender as its own.
    """
    parts = (
        role,
        identity.entry_id,
        identity.incarnation,
        identity.data_centre,
        str(PROTOCOL_VERSION),
        *nonces,
    )
    # Each part has its length as a prefix, so that two different lists of
    # parts never give the same text.
    text = ''.join(f'{len(part)}:{part}' for part in parts)
    return hmac.new(secret.encode(), text.encode(), 'sha256').hexdigest()


def verify_proof(message: Message, secret: str, role: str, nonces: Any) -> bool:
    """Check the version and, in constant time, the proof of a Hello."""
    expected = compute_proof(secret, role, read_identity(message), nonces)
    is_proof_valid = hmac.compare_digest(
        expected.encode(), message.proof.encode()
    )
    return is_proof_valid and message.protocol_version == PROTOCOL_VERSION
