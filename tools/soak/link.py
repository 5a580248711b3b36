"""A TCP link on loopback that can be delayed, cut, silenced, reset or refused."""

from __future__ import annotations

import enum
import socket
import struct
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field

import trio

from marjoramwharf.links.http_server import open_listener
from marjoramwharf.links.tcp import open_stream
from tools.soak.sockets import has_port

HOST = '127.0.0.1'

_CHUNK_BYTES = 65_536
_HELD_PAUSE_S = 0.02
_LINGER = struct.pack('ii', 1, 0)  # closing sends a reset


@enum.unique
class LinkMode(enum.Enum):
    """What a link does with bytes that arrive while it is in this mode."""

    OPEN = 'open'
    SILENT = 'silent'
    NO_REQUESTS = 'no_requests'
    NO_ANSWERS = 'no_answers'


@enum.unique
class _Direction(enum.Enum):
    REQUESTS = 'requests'
    ANSWERS = 'answers'


_HELD_DIRECTIONS = {
    LinkMode.OPEN: frozenset[_Direction](),
    LinkMode.SILENT: frozenset(_Direction),
    LinkMode.NO_REQUESTS: frozenset((_Direction.REQUESTS,)),
    LinkMode.NO_ANSWERS: frozenset((_Direction.ANSWERS,)),
}


@dataclass(eq=False)
class Link:
    """Passes connections to a port on to another one.

    Bytes that are held up by the mode arrive once it changes, unless the
    connection has ended by then. ``delay_s`` is added to each chunk. Nothing
    passes from or to the processes with ``cut_pids``.
    """

    port: int
    target_port: int
    mode: LinkMode = LinkMode.OPEN
    delay_s: float = 0
    cut_pids: set[int] = field(default_factory=set)
    _streams: set[trio.SocketStream] = field(default_factory=set)
    _accept_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    _refusals_count: int = 0

    async def serve(self) -> None:
        """Accept connections until cancelled, but for those to refuse."""
        async with trio.open_nursery() as nursery:
            while True:
                listener = await open_listener(HOST, self.port)
                self._accept_scope = trio.CancelScope()
                with self._accept_scope:
                    await trio.serve_listeners(
                        self._pass_connection,
                        [listener],
                        handler_nursery=nursery,
                    )
                await listener.aclose()
                while self._refusals_count:
                    await trio.sleep(_HELD_PAUSE_S)

    async def refuse(self, duration_s: float) -> None:
        """Reset all connections, and refuse new ones for some seconds."""
        self._refusals_count += 1
        self._accept_scope.cancel()
        await trio.lowlevel.checkpoint()
        await self.reset()
        await trio.sleep(duration_s)
        self._refusals_count -= 1

    def heal(self) -> None:
        """Pass bytes on without a delay from now on."""
        self.mode = LinkMode.OPEN
        self.delay_s = 0
        self.cut_pids.clear()

    async def reset(self) -> None:
        """Reset all connections; new ones work."""
        for stream in tuple(self._streams):
            # The other end of a connection closes with the first one.
            with suppress(OSError, trio.ClosedResourceError):
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
                await trio.aclose_forcefully(stream)

    async def _pass_connection(self, caller: trio.SocketStream) -> None:
        try:
            server = await open_stream(HOST, self.target_port)
        except OSError:
            await trio.aclose_forcefully(caller)
            return
        ends = {caller, server}
        caller_port = caller.socket.getpeername()[1]
        self._streams |= ends
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._pump,
                    caller,
                    server,
                    _Direction.REQUESTS,
                    caller_port,
                )
                nursery.start_soon(
                    self._pump,
                    server,
                    caller,
                    _Direction.ANSWERS,
                    caller_port,
                )
        finally:
            self._streams -= ends
            await _close(ends)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: _Direction,
        caller_port: int,
    ) -> None:
        """Pass chunks on until either side ends the connection."""
        try:
            while chunk := await source.receive_some(_CHUNK_BYTES):
                await trio.sleep(self.delay_s)
                while self._is_held(direction, caller_port):
                    await trio.sleep(_HELD_PAUSE_S)
                await sink.send_all(chunk)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            await _close((source, sink))

    def _is_held(self, direction: _Direction, caller_port: int) -> bool:
        if direction in _HELD_DIRECTIONS[self.mode]:
            return True
        return any(has_port(pid, caller_port) for pid in self.cut_pids)


async def _close(streams: Iterable[trio.SocketStream]) -> None:
    for stream in streams:
        await trio.aclose_forcefully(stream)
