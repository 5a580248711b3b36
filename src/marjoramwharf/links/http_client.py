"""A small HTTP/1.1 client on h11 and trio with kept connections.

A general client costs an entry about three times as much for a call, which
matters on instances with less than half a core.

    client = HttpClient()
    answer = await client.request(
        'GET', 'http://10.0.0.7:8169/health', timeout_s=1
    )
"""

from __future__ import annotations

import errno
from collections.abc import Mapping
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import h11
import trio

from marjoramwharf.links.http_events import next_event, read_body
from marjoramwharf.links.tcp import open_stream

_DEFAULT_PORT = 80

# A connection that was idle for longer is not used again: the other side may
# have closed it, or it may have gone silent without a reset.
_MAX_IDLE_S = 8.0

Address = tuple[str, int]

# Errors of a connect that prove that nothing listens at the address.
_REFUSED = frozenset((errno.ECONNREFUSED, errno.ECONNRESET))


class CallFailed(Exception):
    """A request got no whole answer; the server may have acted on it."""


class NotConnected(CallFailed):
    """No connection could be opened; the request was not sent."""


class _Stale(CallFailed):
    """A kept connection ended before the first byte of an answer."""


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """A whole answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the status is 200 to 299."""
        return 200 <= self.status < 300


@dataclass(slots=True)
class _Connection:
    """One connection and the state of its protocol."""

    stream: trio.SocketStream
    protocol: h11.Connection
    idle_since_s: float = 0
    answers_count: int = 0
    has_answer: bool = False


@dataclass(slots=True)
class _Progress:
    """Whether any part of a request may have left this process."""

    is_sent: bool = False


@dataclass(slots=True)
class HttpClient:
    """Keeps idle connections by address."""

    connect_timeout_s: float = 2
    opened_count: int = 0
    _idle: dict[Address, list[_Connection]] = field(default_factory=dict)

    async def request(
        self,
        method: str,
        url: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b'',
        timeout_s: float,
    ) -> ClientResponse:
        """Send a request and return the whole answer.

        A request on a kept connection that ends without a byte of an answer
        is sent once more on a new one, so requests have to be idempotent. A
        ``Host`` among the headers replaces that of the address.
        Raises ``NotConnected`` if nothing was sent, also when the time was up
        before a connection was open, else ``CallFailed``.
        """
        parts = urlsplit(url)
        address = (parts.hostname or '', parts.port or _DEFAULT_PORT)
        sent = h11.Request(
            method=method,
            target=url.removeprefix(f'{parts.scheme}://{parts.netloc}'),
            headers=list(
                {
                    'Host': parts.netloc,
                    'Content-Length': str(len(body)),
                    **(headers or {}),
                }.items(),
            ),
        )
        progress = _Progress()
        with trio.move_on_after(timeout_s):
            try:
                return await self._attempt(address, sent, body, progress)
            except _Stale:
                return await self._attempt(address, sent, body, progress)
        if not progress.is_sent:
            raise NotConnected(f'no connection within {timeout_s} s')
        raise CallFailed(f'no answer within {timeout_s} s')

    async def _attempt(
        self,
        address: Address,
        sent: h11.Request,
        body: bytes,
        progress: _Progress,
    ) -> ClientResponse:
        connection = await self._take(address, fresh=progress.is_sent)
        progress.is_sent = True
        try:
            answer = await _exchange(connection, sent, body)
        except (OSError, trio.BrokenResourceError, h11.ProtocolError) as error:
            await trio.aclose_forcefully(connection.stream)
            raise _failure_of(connection, error) from error
        except trio.Cancelled:
            await trio.aclose_forcefully(connection.stream)
            raise
        await self._keep(address, connection)
        return answer

    async def _take(self, address: Address, *, fresh: bool) -> _Connection:
        idle = self._idle.setdefault(address, [])
        oldest_s = trio.current_time() - _MAX_IDLE_S
        while idle:
            connection = idle.pop()
            if connection.idle_since_s >= oldest_s and not fresh:
                return connection
            await trio.aclose_forcefully(connection.stream)
        return await self._open(address)

    async def _open(self, address: Address) -> _Connection:
        try:
            with trio.fail_after(self.connect_timeout_s):
                stream = await open_stream(*address)
        except (OSError, trio.TooSlowError) as failure:
            raise NotConnected(f'{address[0]}: {failure!r}') from failure
        self.opened_count += 1
        return _Connection(stream, h11.Connection(h11.CLIENT))

    async def _keep(self, address: Address, connection: _Connection) -> None:
        protocol = connection.protocol
        if {protocol.our_state, protocol.their_state} == {h11.DONE}:
            protocol.start_next_cycle()
            connection.idle_since_s = trio.current_time()
            connection.answers_count += 1
            self._idle.setdefault(address, []).append(connection)
        else:
            await trio.aclose_forcefully(connection.stream)


def is_connection_refused(failure: CallFailed) -> bool:
    """Tell whether the address answered that nothing listens there."""
    cause = failure.__cause__
    return isinstance(cause, OSError) and cause.errno in _REFUSED


def _failure_of(connection: _Connection, error: Exception) -> CallFailed:
    if connection.answers_count and not connection.has_answer:
        return _Stale(repr(error))
    return CallFailed(repr(error))


async def _exchange(
    connection: _Connection,
    sent: h11.Request,
    body: bytes,
) -> ClientResponse:
    protocol = connection.protocol
    connection.has_answer = False
    head = protocol.send(sent) or b''
    rest = protocol.send(h11.Data(data=body)) or b'' if body else b''
    end = protocol.send(h11.EndOfMessage()) or b''
    await connection.stream.send_all(head + rest + end)
    return await _read(connection)


async def _read(connection: _Connection) -> ClientResponse:
    stream = connection.stream
    event = await next_event(stream, connection.protocol)
    while isinstance(event, h11.InformationalResponse):
        event = await next_event(stream, connection.protocol)
    if not isinstance(event, h11.Response):
        raise h11.RemoteProtocolError('closed before the answer')
    connection.has_answer = True
    body = await read_body(stream, connection.protocol)
    return ClientResponse(event.status_code, _decoded(event), body)


def _decoded(response: h11.Response) -> dict[str, str]:
    return {
        name.decode(): content.decode('latin-1')
        for name, content in response.headers
    }
