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
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
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
_REAP_PERIOD_S = 4.0

Address = tuple[str, int]

# Connect errors that prove that no process listens at the address.
_REFUSED_ERRNOS = frozenset((errno.ECONNREFUSED, errno.ECONNRESET))


class CallFailed(Exception):
    """A request got no complete response; the server may have executed it."""


class NotConnected(CallFailed):
    """No connection could be opened; the request was not sent."""


class NoKeptConnection(NotConnected):
    """No connection to the process is kept; the request was not sent."""


class StaleConnection(CallFailed):
    """A reused connection ended before the first byte of a response."""


class BadRequest(ValueError):
    """A request can't be written as HTTP; nothing was sent."""


@dataclass(frozen=True, slots=True)
class KeptConnection:
    """Use only a kept connection, on which ``process`` has answered.

    A connection leads to one process for as long as it lasts, so the request
    can't reach another one that listens at the same address later.
    """

    process: int


@dataclass(frozen=True, slots=True)
class NewConnection:
    """Open a connection, and keep it for the process that answers there.

    ``identify`` returns a number of the process that gave a response, ``None``
    if the response doesn't tell it; the connection is closed then. Opening it may
    take ``connect_timeout_s``, or what the client allows if that is longer.
    """

    identify: Callable[[ClientResponse], int | None]
    connect_timeout_s: float = 0


# Without a choice, any connection is used that isn't kept for a process.
ConnectionChoice = KeptConnection | NewConnection | None

_Pools = dict[int | None, list['_Connection']]


@dataclass(slots=True)
class _Connection:
    """A connection to a server, and the reader of its responses.

    ``process`` is the process that it is kept for, if any.
    """

    stream: trio.SocketStream
    reader: ResponseReader
    idle_since_s: float = 0
    responses_count: int = 0
    process: int | None = None

    def is_reusable(self, oldest_s: float) -> bool:
        """Whether the connection is open and idle since ``oldest_s`` at most.

        An idle connection that is readable has ended, or the server has sent
        bytes that are no response to a request.
        """
        is_recent = self.idle_since_s >= oldest_s
        return is_recent and not self.stream.socket.is_readable()


@dataclass(slots=True)
class _Exchange:
    """A request, and whether any part of it may have been sent.

    ``on_chunk`` is called for each part of the response.
    """

    address: Address
    message: bytes
    choice: ConnectionChoice
    may_be_sent: bool = False
    on_chunk: Callable[[], None] | None = None


@dataclass(slots=True)
class HttpClient:
    """Sends requests; keeps idle connections by address for reuse."""

    connect_timeout_s: float = 2
    opened_count: int = 0
    _idle_connections: dict[Address, _Pools] = field(default_factory=dict)

    async def request(
        self,
        method: str,
        url: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b'',
        timeout_s: float,
        is_repeatable: bool = False,
        choice: ConnectionChoice = None,
        longest_s: float | None = None,
    ) -> ClientResponse:
        """Send a request and return the complete response.

        The ``choice`` limits the connections that may be used. With
        ``longest_s``, the timeout begins anew with each part of the response
        that arrives, and the whole takes that long at most.

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
        exchange = _Exchange(address, message, choice)
        with trio.move_on_after(timeout_s) as scope:
            if longest_s is not None:
                latest_s = trio.current_time() + longest_s
                exchange.on_chunk = partial(_extend, scope, timeout_s, latest_s)
            try:
                return await self._attempt(exchange)
            except StaleConnection:
                # The other idle connections have probably ended, too.
                await self._close_idle(address)
                if not is_repeatable:
                    raise
            return await self._repeat(exchange)
        if not exchange.may_be_sent:
            raise NotConnected(f'no connection within {timeout_s} s')
        raise CallFailed(f'no response within {timeout_s} s')

    async def run_reaper(self) -> None:
        """Close connections that were idle for too long, until cancelled.

        A server may take a limited number of them. Requests to its address
        close them as well, but there may be none any more.
        """
        while True:
            await trio.sleep(_REAP_PERIOD_S)
            for pools in tuple(self._idle_connections.values()):
                for idle in tuple(pools.values()):
                    await _close_expired(idle)

    async def _attempt(self, exchange: _Exchange) -> ClientResponse:
        connection = await self._acquire(exchange)
        exchange.may_be_sent = True
        try:
            await connection.stream.send_all(exchange.message)
            response = await connection.reader.read(
                connection.stream, exchange.on_chunk
            )
        except (OSError, trio.BrokenResourceError, ResponseError) as error:
            await trio.aclose_forcefully(connection.stream)
            raise _make_failure(connection, error) from error
        except trio.Cancelled:
            await trio.aclose_forcefully(connection.stream)
            raise
        if isinstance(exchange.choice, NewConnection):
            connection.process = exchange.choice.identify(response)
        await self._release(exchange, connection)
        if connection.process is not None:
            await self._close_others(exchange.address, connection.process)
        return response

    async def _repeat(self, exchange: _Exchange) -> ClientResponse:
        """Send a request again that the server may have executed."""
        try:
            return await self._attempt(exchange)
        except NotConnected as failure:
            raise CallFailed(f'sent, but now {failure}') from failure

    async def _acquire(self, exchange: _Exchange) -> _Connection:
        choice = exchange.choice
        if isinstance(choice, NewConnection):
            return await self._open(exchange.address, choice.connect_timeout_s)
        process = None if choice is None else choice.process
        connection = await self._take_idle(exchange.address, process)
        if connection is not None:
            return connection
        if process is not None:
            raise NoKeptConnection(f'{exchange.address[0]}: none is kept')
        return await self._open(exchange.address)

    async def _take_idle(
        self, address: Address, process: int | None
    ) -> _Connection | None:
        idle = self._idle_connections.get(address, {}).get(process, [])
        oldest_s = trio.current_time() - _MAX_IDLE_S
        while idle:
            connection = idle.pop()
            if connection.is_reusable(oldest_s):
                return connection
            await trio.aclose_forcefully(connection.stream)
        return None

    async def _close_others(self, address: Address, process: int) -> None:
        """Close those kept for processes that listened there earlier."""
        pools = self._idle_connections.get(address, {})
        for other in tuple(pools):
            if other not in {None, process}:
                await _close_all(pools.pop(other, []))

    async def _close_idle(self, address: Address) -> None:
        for idle in tuple(self._idle_connections.get(address, {}).values()):
            await _close_all(idle)

    async def _open(
        self, address: Address, timeout_s: float = 0
    ) -> _Connection:
        """Open a connection, within ``timeout_s`` or longer if usual."""
        try:
            with trio.fail_after(max(timeout_s, self.connect_timeout_s)):
                stream = await open_stream(*address)
        except (OSError, trio.TooSlowError) as failure:
            raise NotConnected(
                f'{address[0]} is unreachable: {failure!r}',
            ) from failure
        self.opened_count += 1
        return _Connection(stream, ResponseReader())

    async def _release(
        self, exchange: _Exchange, connection: _Connection
    ) -> None:
        is_unidentified = connection.process is None and isinstance(
            exchange.choice, NewConnection
        )
        if connection.reader.is_reusable and not is_unidentified:
            connection.idle_since_s = trio.current_time()
            connection.responses_count += 1
            pools = self._idle_connections.setdefault(exchange.address, {})
            idle = pools.setdefault(connection.process, [])
            idle.append(connection)
            await _close_expired(idle)
        else:
            await trio.aclose_forcefully(connection.stream)


def _extend(scope: trio.CancelScope, timeout_s: float, latest_s: float) -> None:
    """Begin the timeout of a call anew, up to the latest end of it."""
    scope.deadline = min(trio.current_time() + timeout_s, latest_s)


async def _close_all(idle: list[_Connection]) -> None:
    while idle:
        # Removed first, since another request may take one meanwhile.
        await trio.aclose_forcefully(idle.pop().stream)


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
        return StaleConnection(repr(error))
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
