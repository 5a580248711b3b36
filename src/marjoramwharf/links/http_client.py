"""A small HTTP/1.1 client on httptools and trio that reuses connections.

An owner makes over a thousand small calls a second, so their cost decides how
many workers it can serve: a parser written in Python takes most of the time.

    client = HttpClient()
    response = await client.request(
        'GET', 'http://10.0.0.7:8169/health', timeout_s=1
    )
"""

from __future__ import annotations

import errno
from collections.abc import Mapping
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import trio

from marjoramwharf.links.http_responses import (
    ClientResponse,
    ResponseError,
    ResponseReader,
)
from marjoramwharf.links.tcp import open_stream

_DEFAULT_PORT = 80

# A connection that was idle for longer is not reused: the server may have
# closed it, or it may be dead without a reset.
_MAX_IDLE_S = 8.0

Address = tuple[str, int]

# Connect errors that prove that no process listens at the address.
_REFUSED_ERRNOS = frozenset((errno.ECONNREFUSED, errno.ECONNRESET))


class CallFailed(Exception):
    """A request got no complete response; the server may have executed it."""


class NotConnected(CallFailed):
    """No connection could be opened; the request was not sent."""


class BadRequest(ValueError):
    """A request can't be written as HTTP; nothing was sent."""


class _StaleConnection(CallFailed):
    """A reused connection ended before the first byte of a response."""


@dataclass(slots=True)
class _Connection:
    """A connection to a server, and the reader of its responses."""

    stream: trio.SocketStream
    reader: ResponseReader
    idle_since_s: float = 0
    responses_count: int = 0

    def is_reusable(self, oldest_s: float) -> bool:
        """Whether the connection is open and idle since ``oldest_s`` at most.

        An idle connection that is readable has ended, or the server has sent
        bytes that are no response to a request.
        """
        is_recent = self.idle_since_s >= oldest_s
        return is_recent and not self.stream.socket.is_readable()


@dataclass(slots=True)
class _Progress:
    """Tracks whether any part of a request may have been sent."""

    may_be_sent: bool = False


@dataclass(slots=True)
class HttpClient:
    """Sends requests; keeps idle connections by address for reuse."""

    connect_timeout_s: float = 2
    opened_count: int = 0
    _idle_connections: dict[Address, list[_Connection]] = field(
        default_factory=dict
    )

    async def request(
        self,
        method: str,
        url: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b'',
        timeout_s: float,
        is_repeatable: bool = False,
    ) -> ClientResponse:
        """Send a request and return the complete response.

        If a reused connection ends before the first byte of a response, a
        request that ``is_repeatable`` is sent once more on a new one. The
        response to that one says nothing about the first one, which the server
        may have executed, so this is meant for reads and renewals only.

        A ``Host`` among the headers replaces the URL's host. Raises
        ``NotConnected`` if nothing was sent, also if the timeout ended before a
        connection was open, else ``CallFailed``.
        """
        parts = urlsplit(url)
        address = (parts.hostname or '', parts.port or _DEFAULT_PORT)
        message = _encode_request(
            method,
            url.removeprefix(f'{parts.scheme}://{parts.netloc}'),
            {
                'Host': parts.netloc,
                'Content-Length': str(len(body)),
                **(headers or {}),
            },
            body,
        )
        progress = _Progress()
        with trio.move_on_after(timeout_s):
            try:
                return await self._attempt(address, message, progress)
            except _StaleConnection:
                # The other idle connections have probably ended, too.
                await self._close_idle(address)
                if not is_repeatable:
                    raise
            return await self._repeat(address, message, progress)
        if not progress.may_be_sent:
            raise NotConnected(f'no connection within {timeout_s} s')
        raise CallFailed(f'no response within {timeout_s} s')

    async def _attempt(
        self,
        address: Address,
        message: bytes,
        progress: _Progress,
    ) -> ClientResponse:
        connection = await self._acquire(address)
        progress.may_be_sent = True
        try:
            await connection.stream.send_all(message)
            response = await connection.reader.read(connection.stream)
        except (OSError, trio.BrokenResourceError, ResponseError) as error:
            await trio.aclose_forcefully(connection.stream)
            raise _make_failure(connection, error) from error
        except trio.Cancelled:
            await trio.aclose_forcefully(connection.stream)
            raise
        await self._release(address, connection)
        return response

    async def _repeat(
        self,
        address: Address,
        message: bytes,
        progress: _Progress,
    ) -> ClientResponse:
        """Send a request again that the server may have executed."""
        try:
            return await self._attempt(address, message, progress)
        except NotConnected as failure:
            raise CallFailed(f'sent, but now {failure}') from failure

    async def _acquire(self, address: Address) -> _Connection:
        idle = self._idle_connections.setdefault(address, [])
        oldest_s = trio.current_time() - _MAX_IDLE_S
        while idle:
            connection = idle.pop()
            if connection.is_reusable(oldest_s):
                return connection
            await trio.aclose_forcefully(connection.stream)
        return await self._open(address)

    async def _close_idle(self, address: Address) -> None:
        idle = self._idle_connections.get(address, [])
        while idle:
            # Removed first, since another request may take one meanwhile.
            await trio.aclose_forcefully(idle.pop().stream)

    async def _open(self, address: Address) -> _Connection:
        try:
            with trio.fail_after(self.connect_timeout_s):
                stream = await open_stream(*address)
        except (OSError, trio.TooSlowError) as failure:
            raise NotConnected(
                f'{address[0]} is unreachable: {failure!r}',
            ) from failure
        self.opened_count += 1
        return _Connection(stream, ResponseReader())

    async def _release(self, address: Address, connection: _Connection) -> None:
        if connection.reader.is_reusable:
            connection.idle_since_s = trio.current_time()
            connection.responses_count += 1
            idle = self._idle_connections.setdefault(address, [])
            idle.append(connection)
            await _close_expired(idle)
        else:
            await trio.aclose_forcefully(connection.stream)


async def _close_expired(idle: list[_Connection]) -> None:
    """Close the connections that have been idle for too long to be reused.

    The latest one is reused first, so those stay at the front of the list.
    """
    oldest_s = trio.current_time() - _MAX_IDLE_S
    while idle and idle[0].idle_since_s < oldest_s:
        await trio.aclose_forcefully(idle.pop(0).stream)


def is_connection_refused(failure: CallFailed) -> bool:
    """Return whether no process listened at the address of a failed call."""
    cause = failure.__cause__
    return isinstance(cause, OSError) and cause.errno in _REFUSED_ERRNOS


def _make_failure(connection: _Connection, error: Exception) -> CallFailed:
    if connection.responses_count and not connection.reader.has_begun:
        return _StaleConnection(repr(error))
    return CallFailed(repr(error))


def _encode_request(
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes,
) -> bytes:
    lines = [f'{method} {target} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    if any('\r' in line or '\n' in line for line in lines):
        raise BadRequest('a line break in the target or a header')
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode('latin-1') + body
