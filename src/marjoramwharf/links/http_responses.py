"""Reads HTTP/1.1 responses from a stream, parsed by httptools."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import httptools
import trio

_CHUNK_BYTES = 65_536

# Protects the memory of this process; the largest real one is a page of values.
_MAX_BODY_BYTES = 32 * 1024 * 1024

_FINAL_STATUS = 200
_LENGTH_HEADERS = frozenset(('content-length', 'transfer-encoding'))


class ResponseError(Exception):
    """A response is malformed, too large or cut off."""


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the status is 200 to 299."""
        return 200 <= self.status < 300


class _Message:
    """Collects what the parser finds; its callbacks have fixed names.

    An informational message is dropped. Bytes after the end of the response
    are noted in ``has_excess``, since nobody asked for them.
    """

    def __init__(self) -> None:
        """Begin with an empty message."""
        self._parser = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.status = 0
        self.is_complete = False
        self.is_kept_alive = False
        self.has_excess = False

    def feed(self, chunk: bytes | bytearray) -> None:
        """Parse a chunk.

        Raises ``ResponseError`` if the response is malformed or too large.
        """
        try:
            self._parser.feed_data(chunk)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as failure:
            if not self.is_complete:
                raise ResponseError(str(failure)) from failure
            self.has_excess = True
        if len(self.body) > _MAX_BODY_BYTES:
            raise ResponseError('the response is too large')

    def end_connection(self) -> None:
        """End a body whose length wasn't stated.

        Raises ``ResponseError`` if the response is not complete by then.
        """
        if not self.status or not _LENGTH_HEADERS.isdisjoint(self.headers):
            raise ResponseError('the response is cut off')

    def on_message_begin(self) -> None:
        """Note a message that follows the response."""
        self.has_excess = self.is_complete

    def on_header(self, name: bytes, text: bytes) -> None:
        """Keep a header; the last one of a name counts."""
        if not self.is_complete:
            self.headers[name.decode('latin-1').lower()] = text.decode(
                'latin-1'
            )

    def on_headers_complete(self) -> None:
        """Note the status, which is known by now."""
        if not self.is_complete:
            self.status = self._parser.get_status_code()

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body."""
        if not self.is_complete:
            self.body += chunk

    def on_message_complete(self) -> None:
        """Note the end of the response, or drop an informational one."""
        if self.is_complete:
            return
        if self.status < _FINAL_STATUS:
            self.headers.clear()
            self.body.clear()
            self.status = 0
            return
        self.is_kept_alive = self._parser.should_keep_alive()
        self.is_complete = True


@dataclass(slots=True)
class ResponseReader:
    """Reads the responses on one connection, one after the other.

    ``has_begun`` tells whether any byte of the latest response has arrived, and
    ``is_reusable`` whether another request may be sent after it.
    """

    has_begun: bool = False
    is_reusable: bool = False

    async def read(
        self,
        stream: trio.abc.ReceiveStream,
        on_chunk: Callable[[], None] | None = None,
    ) -> ClientResponse:
        """Read one response to its end.

        Informational responses are skipped. ``on_chunk`` is called for each part
        that arrives. Raises ``ResponseError`` if the response is malformed,
        larger than 32 MB or cut off.
        """
        self.has_begun = False
        self.is_reusable = False
        message = _Message()
        while not message.is_complete:
            chunk = await stream.receive_some(_CHUNK_BYTES)
            if not chunk:
                message.end_connection()
                break
            self.has_begun = True
            if on_chunk is not None:
                on_chunk()
            message.feed(chunk)
        self.is_reusable = message.is_kept_alive and not message.has_excess
        return ClientResponse(
            message.status, message.headers, bytes(message.body)
        )
