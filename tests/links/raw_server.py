"""A server for tests whose connections end at chosen moments."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

import trio

from marjoramwharf.links.http_server import open_listener

_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


@dataclass
class RawServer:
    """Answers each request with 200, or closes its connection instead.

    The next ``silent_requests_count`` requests get no response, and none does
    once the server ``is_silent``. A request that ``ends_all`` ends all
    connections.
    """

    listener: trio.SocketListener
    port: int
    is_silent: bool = False
    ends_all: bool = False
    response: bytes = _RESPONSE
    ends_after_response: bool = False
    silent_requests_count: int = 0
    requests_count: int = 0
    open_count: int = 0
    streams: list[trio.SocketStream] = field(default_factory=list)

    @property
    def url(self) -> str:
        """The address of the server, with a path."""
        return f'http://127.0.0.1:{self.port}/'

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection; a request arrives in one piece."""
        self.streams.append(stream)
        self.open_count += 1
        async with stream:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await self._answer_requests(stream)
        self.open_count -= 1

    async def _answer_requests(self, stream: trio.SocketStream) -> None:
        while await stream.receive_some(65_536):
            self.requests_count += 1
            if self.ends_all:
                for other in self.streams:
                    other.socket.close()
            if self.ends_all or self._must_stay_silent():
                return
            await stream.send_all(self.response)
            if self.ends_after_response:
                return

    def _must_stay_silent(self) -> bool:
        if self.silent_requests_count:
            self.silent_requests_count -= 1
            return True
        return self.is_silent


@asynccontextmanager
async def raw_server() -> AsyncIterator[RawServer]:
    """Serve on loopback until the context ends."""
    listener = await open_listener('127.0.0.1', 0)
    port = listener.socket.getsockname()[1]
    server = RawServer(listener, port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_accept, nursery, server)
        yield server
        nursery.cancel_scope.cancel()


async def _accept(nursery: trio.Nursery, server: RawServer) -> None:
    """Start a task for each connection, also of those that outlive it."""
    while True:
        try:
            stream = await server.listener.accept()
        except trio.ClosedResourceError:
            return
        nursery.start_soon(server.serve, stream)
