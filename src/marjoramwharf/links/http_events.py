"""Reads HTTP/1.1 events from a stream, for the client and the server."""

from __future__ import annotations

from typing import Any

import h11
import trio

_CHUNK_BYTES = 65_536


class BodyTooLarge(Exception):
    """The body of a message is larger than the limit."""


async def next_event(stream: trio.abc.Stream, protocol: h11.Connection) -> Any:
    """Return the next event; read from the stream as far as needed."""
    event = protocol.next_event()
    while event is h11.NEED_DATA:
        chunk = await stream.receive_some(_CHUNK_BYTES)
        protocol.receive_data(bytes(chunk))
        event = protocol.next_event()
    return event


async def read_body(
    stream: trio.abc.Stream,
    protocol: h11.Connection,
    *,
    limit_bytes: int | None = None,
) -> bytes:
    """Read the body of a message to its end.

    Raises ``h11.RemoteProtocolError`` if the message is truncated and
    ``BodyTooLarge`` if the body has more than ``limit_bytes``.
    """
    body = bytearray()
    event = await next_event(stream, protocol)
    while isinstance(event, h11.Data):
        body.extend(event.data)
        if limit_bytes is not None and len(body) > limit_bytes:
            raise BodyTooLarge
        event = await next_event(stream, protocol)
    if not isinstance(event, h11.EndOfMessage):
        raise h11.RemoteProtocolError('the message is truncated')
    return bytes(body)
