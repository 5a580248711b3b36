"""Bodies of the etcd v3 JSON gateway.

The gateway maps the published protocol buffers to JSON: keys and values are
base64, 64-bit integers are strings, and fields with a zero value are left out.
"""

from __future__ import annotations

import base64
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from marjoramwharf.links.store import Guard, StoredValue, StoreEvent, Write


class Header(msgspec.Struct, frozen=True):
    """The header of every response."""

    revision: str = '0'


class KeyValue(msgspec.Struct, frozen=True):
    """One key; a deletion has only the key and its revision."""

    key: str
    value: str = ''
    mod_revision: str = '0'
    create_revision: str = '0'


class RangeResponse(msgspec.Struct, frozen=True):
    """Response of ``/v3/kv/range``."""

    header: Header
    kvs: tuple[KeyValue, ...] = ()


class TxnResponse(msgspec.Struct, frozen=True):
    """Response of ``/v3/kv/txn``."""

    header: Header
    succeeded: bool = False


class LeaseResponse(msgspec.Struct, frozen=True):
    """Response of ``/v3/lease/grant``, and the result of a keep-alive."""

    lease: str = msgspec.field(default='0', name='ID')
    ttl: str = msgspec.field(default='0', name='TTL')


class KeepAliveResponse(msgspec.Struct, frozen=True):
    """One line of the response of ``/v3/lease/keepalive``."""

    result: LeaseResponse


class RevokeResponse(msgspec.Struct, frozen=True):
    """Response of ``/v3/lease/revoke``."""

    header: Header


class Event(msgspec.Struct, frozen=True):
    """One change of a key in a watch message."""

    kv: KeyValue
    type: str = 'PUT'


class WatchResult(msgspec.Struct, frozen=True):
    """The content of a watch message."""

    header: Header
    created: bool = False
    canceled: bool = False
    compact_revision: str = '0'
    events: tuple[Event, ...] = ()


class WatchMessage(msgspec.Struct, frozen=True):
    """One line of the response of ``/v3/watch``."""

    result: WatchResult


class ErrorResponse(msgspec.Struct, frozen=True):
    """Body of an error response; ``code`` is the gRPC status code."""

    message: str = ''
    code: int = 0


def encode(raw: bytes) -> str:
    """Encode a key or a value as base64."""
    return base64.b64encode(raw).decode('ascii')


def decode(text: str) -> bytes:
    """Decode a base64 key or value; raises ``ValueError``."""
    return base64.b64decode(text, validate=True)


def encode_range(prefix: str) -> dict[str, str]:
    """Return the fields that select all keys below a prefix."""
    raw = prefix.encode()
    return {'key': encode(raw), 'range_end': encode(_compute_range_end(raw))}


def encode_transaction(
    guards: Sequence[Guard], writes: Sequence[Write]
) -> dict[str, Any]:
    """Return the request body of a transaction."""
    return {
        'compare': [
            {
                'key': encode(guard.key.encode()),
                'target': 'MOD',
                'result': 'EQUAL',
                'mod_revision': str(guard.mod_revision),
            }
            for guard in guards
        ],
        'success': [_encode_write(write) for write in writes],
    }


def decode_stored(kv: KeyValue) -> StoredValue:
    """Decode a key with its value and revisions."""
    return StoredValue(
        key=decode(kv.key).decode(),
        body=decode(kv.value),
        mod_revision=int(kv.mod_revision),
        create_revision=int(kv.create_revision),
    )


def events_by_revision(
    events: Iterable[Event],
) -> dict[int, tuple[StoreEvent, ...]]:
    """Group the events of a message, which may span several revisions."""
    grouped: dict[int, tuple[StoreEvent, ...]] = {}
    for event in events:
        revision = int(event.kv.mod_revision)
        stored = None if event.type == 'DELETE' else decode_stored(event.kv)
        change = StoreEvent(decode(event.kv.key).decode(), stored)
        grouped[revision] = (*grouped.get(revision, ()), change)
    return dict(sorted(grouped.items()))


def _encode_write(write: Write) -> dict[str, Any]:
    key = encode(write.key.encode())
    if write.body is None:
        return {'request_delete_range': {'key': key}}
    put = {'key': key, 'value': encode(write.body)}
    if write.lease is not None:
        put['lease'] = str(write.lease)
    return {'request_put': put}


def _compute_range_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with a prefix.

    In the protocol, an end of one zero byte means "no end".
    """
    trimmed = prefix.rstrip(b'\xff')
    if not trimmed:
        return b'\0'
    return trimmed[:-1] + bytes((trimmed[-1] + 1,))
