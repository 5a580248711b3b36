"""Maps the error responses of the etcd gateway to failures."""

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

# Messages of server errors that occur before the write is proposed.
_NOT_PROPOSED = frozenset(('etcdserver: no leader',))


async def check_status(response: httpx.Response) -> None:
    """Raise the failure of a response whose status is not 200.

    Raises ``StoreRefused`` for a client error, ``StoreUnavailable`` for a
    server error before the proposal, else ``StoreAnswerLost``: an error such
    as "request timed out" doesn't prove that the write is not applied later.
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
    """Return a message for a transport or decoding error."""
    return f'{type(failure).__name__}: {failure}'
