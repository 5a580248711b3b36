"""What the status of an answer of the etcd gateway proves."""

from __future__ import annotations

import httpx
import msgspec

from marjoramwharf.errors import (
    StoreAnswerLost,
    StoreRefused,
    StoreUnavailable,
)
from marjoramwharf.json_bodies import decode_json
from marjoramwharf.links import _etcd_wire as wire

# Server errors that the service gives before it proposes the write.
_NOT_PROPOSED = frozenset(('etcdserver: no leader',))


async def check_status(response: httpx.Response) -> None:
    """Return for status 200 only.

    Raises ``StoreRefused`` for a client error, ``StoreUnavailable`` for a
    server error that precedes the proposal, else ``StoreAnswerLost``: an
    error such as "request timed out" doesn't prove that the write is not
    applied later.
    """
    if response.status_code == httpx.codes.OK:
        return
    await response.aread()
    try:
        error = decode_json(response.content, wire.ErrorResponse)
    except msgspec.DecodeError:
        error = wire.ErrorResponse()
    message = f'status {response.status_code}: {error.message}'
    if response.is_client_error:
        raise StoreRefused(message=message)
    if error.message in _NOT_PROPOSED:
        raise StoreUnavailable(message=message)
    raise StoreAnswerLost(message=message)


def describe_failure(failure: Exception) -> str:
    """Return a message for a failure of the transport or of decoding."""
    return f'{type(failure).__name__}: {failure}'
