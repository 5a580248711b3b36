"""A minimal HTTP/1.1 server and client on asyncio.

The server can go down the hard way: it resets every open connection and
refuses new ones until it is opened again.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

_REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone'}
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class ResetConnection(Exception):
    """The handler asks for a reset of the connection instead of an answer."""


class NoAnswer(Exception):
    """The handler leaves the request unanswered; the connection stays silent."""


@dataclass(frozen=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any


Answer = tuple[int, Any]
Handler = Callable[[Request], Awaitable[Answer]]


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        except OSError:
            pass
    writer.transport.abort()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read a start line, headers and a body with a content length."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    length = int(headers.get('content-length', '0'))
    return first, headers, await reader.readexactly(length)


@dataclass
class HttpServer:
    """Serves one address; ``port`` is chosen on the first ``open``.

    Connections beyond ``max_connections`` are reset.
    """

    host: str
    handle: Handler
    port: int = 0
    max_connections: int | None = None
    refused_count: int = 0
    _server: asyncio.AbstractServer | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def connections_count(self) -> int:
        """How many connections are open."""
        return len(self._writers)

    @property
    def address(self) -> str:
        """The address as ``host:port``."""
        return f'{self.host}:{self.port}'

    @property
    def is_open(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None

    async def open(self) -> None:
        """Listen, on the same port as before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Reset all connections and refuse new ones until ``open``."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        limit = self.max_connections
        if limit is not None and len(self._writers) >= limit:
            self.refused_count += 1
            reset(writer)
            return
        self._writers.add(writer)
        try:
            while True:
                first, headers, raw = await read_message(reader)
                method, target, _ = first.split(' ', 2)
                parts = urlsplit(target)
                query = {
                    name: found[0]
                    for name, found in parse_qs(parts.query).items()
                }
                body = json.loads(raw) if raw else {}
                request = Request(method, parts.path, query, headers, body)
                try:
                    status, answer = await self.handle(request)
                except NoAnswer:
                    await reader.read()
                    return
                encoded = json.dumps(answer).encode()
                reason = _REASONS.get(status, 'Answer')
                writer.write(
                    f'HTTP/1.1 {status} {reason}\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(encoded)}\r\n\r\n'.encode()
                    + encoded
                )
                await writer.drain()
        except ResetConnection:
            reset(writer)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: Any = None,
    timeout_s: float = 3.0,
) -> Answer | None:
    """Send one request on a new connection; ``None`` if it gets no answer."""
    host, _, port = address.rpartition(':')
    raw = b'' if body is None else json.dumps(body).encode()
    lines = {
        'Host': address,
        'Content-Type': 'application/json',
        'Content-Length': str(len(raw)),
        **(headers or {}),
    }
    head = ''.join(f'{name}: {text}\r\n' for name, text in lines.items())
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f'{method} {path} HTTP/1.1\r\n{head}\r\n'.encode() + raw)
            await writer.drain()
            first, _headers, answer = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
    return int(first.split(' ')[1]), json.loads(answer or b'null')
