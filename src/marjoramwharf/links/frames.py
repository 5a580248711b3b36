"""Length-prefixed frames between entries.

A frame is a big-endian length of 4 bytes, followed by one ``Envelope`` in the
binary protocol of Thrift. Frames over 1 MiB are rejected before they are read.
Thrift's compiled codec is used where it is installed, since an entry decodes
a Summary of each peer every second.
"""

from __future__ import annotations

from typing import Any

import trio
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from marjoramwharf.errors import BadFrame, PeerUnreachable
from marjoramwharf.links.thrift_types.peer.ttypes import Envelope

MAX_FRAME_BYTES = 1_048_576

# A Hello has six short fields. An unauthenticated sender must not make an
# entry decode more than that.
HELLO_FRAME_BYTES = 4_096

_LENGTH_BYTES = 4


def encode_frame(envelope: Envelope) -> bytes:
    """Encode an envelope; raises ``BadFrame`` if it is over the limit."""
    buffer = TMemoryBuffer()
    envelope.write(TBinaryProtocolAccelerated(buffer))
    body = buffer.getvalue()
    _check_length(len(body))
    return len(body).to_bytes(_LENGTH_BYTES, 'big') + body


def decode_body(body: bytes) -> Envelope:
    """Decode the body of a frame; raises ``BadFrame``."""
    envelope = Envelope()
    protocol = TBinaryProtocolAccelerated(
        TMemoryBuffer(body),
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=MAX_FRAME_BYTES,
    )
    try:
        _read(envelope, protocol)
    except Exception as failure:
        # The generated code raises exceptions of many types on such input.
        raise BadFrame(message=f'malformed envelope: {failure}') from failure
    return envelope


class FrameStream:
    """Sends and receives whole envelopes on a byte stream."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        """Wrap a stream; both directions may be used at the same time.

        Received frames are limited to the size of a Hello. ``limit_bytes``
        is raised once the sender is authenticated.
        """
        self.limit_bytes = HELLO_FRAME_BYTES
        self._stream = stream
        self._buffer = bytearray()
        self._send_lock = trio.Lock()

    async def send(self, envelope: Envelope) -> None:
        """Send an envelope; raises ``PeerUnreachable`` or ``BadFrame``.

        A cancelled send leaves a partial frame, so the stream is closed.
        """
        frame = encode_frame(envelope)
        async with self._send_lock:
            try:
                await self._stream.send_all(frame)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as end:
                raise PeerUnreachable(message='connection lost') from end
            except trio.Cancelled:
                await trio.aclose_forcefully(self._stream)
                raise

    async def receive(self) -> Envelope:
        """Return the next envelope.

        Raises ``PeerUnreachable`` at the end of the stream and ``BadFrame``
        for a malformed frame.
        """
        prefix = await self._receive_exactly(_LENGTH_BYTES)
        length = int.from_bytes(prefix, 'big')
        _check_length(length, self.limit_bytes)
        return decode_body(await self._receive_exactly(length))

    async def aclose(self) -> None:
        """Close the stream without waiting for the peer."""
        await trio.aclose_forcefully(self._stream)

    async def _receive_exactly(self, count: int) -> bytes:
        while len(self._buffer) < count:
            try:
                chunk = await self._stream.receive_some()
            except (trio.BrokenResourceError, trio.ClosedResourceError) as end:
                raise PeerUnreachable(message='connection lost') from end
            if not chunk:
                raise PeerUnreachable(message='connection closed by the peer')
            self._buffer += chunk
        taken = bytes(self._buffer[:count])
        self._buffer = self._buffer[count:]
        return taken


def _read(envelope: Envelope, protocol: Any) -> None:
    envelope.read(protocol)
    _validate(envelope)


def _validate(field: Any) -> None:
    # The generated validate() checks only the fields of one struct.
    if isinstance(field, list):
        for member in field:
            _validate(member)
    elif hasattr(field, 'validate'):
        field.validate()
        for name in field.__slots__:
            _validate(getattr(field, name))


def _check_length(length: int, limit_bytes: int = MAX_FRAME_BYTES) -> None:
    if not 0 < length <= limit_bytes:
        raise BadFrame(
            message=f'frame of {length} bytes, allowed are 1 to {limit_bytes}',
        )
