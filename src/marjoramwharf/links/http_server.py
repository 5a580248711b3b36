"""A small HTTP/1.1 server on h11 and trio, with a task for each connection.

    server = HttpServer(handle)
    await server.serve(listener)

``handle`` turns an ``HttpRequest`` into an ``HttpResponse``. During a graceful
shutdown the server closes idle connections at once, and each active one after
its response.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import h11
import trio

from marjoramwharf.isolation import log_unexpected, run_isolated
from marjoramwharf.links.http_events import BodyTooLarge, read_body
from marjoramwharf.logs import part_logger

_LOG = part_logger('http')
_CHUNK_BYTES = 65_536
_BACKLOG_COUNT = 512
_DRAIN_IDLE_TIMEOUT_S = 1.0
_STATUS_REQUEST_TIMEOUT = 408
_STATUS_CONTENT_TOO_LARGE = 413

# For an unexpected error, after which the request may have been carried out.
_STATUS_OUTCOME_UNKNOWN = 502

HeaderMap = Mapping[str, str]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: HeaderMap
    body: bytes
    arrived_s: float


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response with a body of one content type."""

    status: int
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = 'application/json'


@dataclass(slots=True)
class HttpLimits:
    """Limits of a connection; ``header_timeout_s`` is for reading a body."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 5
    idle_timeout_s: float = 30


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class _RequestRejected(Exception):
    """A request exceeds a limit; the connection closes after the response."""

    def __init__(self, status: int) -> None:
        super().__init__(f'status {status}')
        self.status = status


@dataclass(slots=True)
class HttpServer:
    """Serves HTTP connections with one request handler.

    ``limits`` may be replaced at any time and applies to later requests.
    """

    handle: Handler
    limits: HttpLimits = field(default_factory=HttpLimits)
    is_draining: bool = False
    active_requests_count: int = 0
    _idle_scopes: set[trio.CancelScope] = field(default_factory=set)

    async def serve(self, listener: trio.SocketListener) -> None:
        """Accept connections until cancelled."""
        await trio.serve_listeners(self.serve_stream, [listener])

    def drain(self) -> None:
        """Close idle connections now and active ones after their response."""
        self.is_draining = True
        for scope in tuple(self._idle_scopes):
            scope.cancel()

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it ends; an error ends only this one."""
        await run_isolated('connection', self._serve_requests, stream)

    async def _serve_requests(self, stream: trio.abc.Stream) -> None:
        protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.limits.header_bytes,
        )
        try:
            while await self._serve_request(stream, protocol):
                protocol.start_next_cycle()
        except (OSError, trio.BrokenResourceError, h11.ProtocolError) as end:
            _LOG.debug('connection ended', error=repr(end))
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_request(
        self,
        stream: trio.abc.Stream,
        protocol: h11.Connection,
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        try:
            request = await self._read_request(stream, protocol)
        except _RequestRejected as rejected:
            await _send(
                stream, protocol, HttpResponse(rejected.status), last=True
            )
            return False
        if request is None:
            return False
        self.active_requests_count += 1
        try:
            response = await self._answer(request)
            await _send(stream, protocol, response, last=self.is_draining)
        finally:
            self.active_requests_count -= 1
        states = {protocol.our_state, protocol.their_state}
        return states == {h11.DONE} and not self.is_draining

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        """Return the handler's response; that of an error says nothing."""
        try:
            return await self.handle(request)
        except (OSError, trio.BrokenResourceError):
            raise
        except Exception:
            log_unexpected(f'request {request.target}')
            return HttpResponse(_STATUS_OUTCOME_UNKNOWN)

    async def _read_request(
        self,
        stream: trio.abc.Stream,
        protocol: h11.Connection,
    ) -> HttpRequest | None:
        head = await self._read_head(stream, protocol)
        if head is None:
            return None
        body: bytes | None = None
        try:
            with trio.move_on_after(self.limits.header_timeout_s):
                body = await read_body(
                    stream,
                    protocol,
                    limit_bytes=self.limits.body_bytes,
                )
        except BodyTooLarge as failure:
            raise _RequestRejected(_STATUS_CONTENT_TOO_LARGE) from failure
        if body is None:
            raise _RequestRejected(_STATUS_REQUEST_TIMEOUT)
        return HttpRequest(
            method=head.method.decode('ascii'),
            target=head.target.decode('latin-1'),
            headers={
                name.decode(): text.decode('latin-1')
                for name, text in head.headers
            },
            body=body,
            arrived_s=trio.current_time(),
        )

    async def _read_head(
        self,
        stream: trio.abc.Stream,
        protocol: h11.Connection,
    ) -> h11.Request | None:
        # A connection that is opened during a drain may still send one
        # request within a short time.
        idle_timeout_s = self.limits.idle_timeout_s
        if self.is_draining:
            idle_timeout_s = min(idle_timeout_s, _DRAIN_IDLE_TIMEOUT_S)
        scope = trio.CancelScope(deadline=trio.current_time() + idle_timeout_s)
        with scope:
            while True:
                event = protocol.next_event()
                if isinstance(event, h11.Request):
                    return event
                if event is not h11.NEED_DATA:
                    return None
                self._mark_idle(scope, protocol)
                await _receive(stream, protocol)
                self._idle_scopes.discard(scope)
        self._idle_scopes.discard(scope)
        return None

    def _mark_idle(
        self,
        scope: trio.CancelScope,
        protocol: h11.Connection,
    ) -> None:
        if not protocol.trailing_data[0]:
            self._idle_scopes.add(scope)


async def open_listener(host: str, port: int) -> trio.SocketListener:
    """Listen on an address; raises ``OSError`` if it is in use."""
    listening_socket = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    await listening_socket.bind((host, port))
    listening_socket.listen(_BACKLOG_COUNT)
    return trio.SocketListener(listening_socket)


async def _receive(
    stream: trio.abc.Stream,
    protocol: h11.Connection,
) -> None:
    protocol.receive_data(bytes(await stream.receive_some(_CHUNK_BYTES)))


async def _send(
    stream: trio.abc.Stream,
    protocol: h11.Connection,
    response: HttpResponse,
    *,
    last: bool,
) -> None:
    headers = [
        ('Content-Type', response.content_type),
        ('Content-Length', str(len(response.body))),
        *response.headers,
    ]
    if last:
        headers.append(('Connection', 'close'))
    raw_head = protocol.send(
        h11.Response(status_code=response.status, headers=headers),
    )
    raw_body = (
        protocol.send(h11.Data(data=response.body)) if response.body else b''
    )
    raw_end = protocol.send(h11.EndOfMessage())
    await stream.send_all(
        (raw_head or b'') + (raw_body or b'') + (raw_end or b'')
    )
