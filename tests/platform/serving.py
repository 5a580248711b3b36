"""A scripted HTTP server for the tests of the platform's clients."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import trio

from marjoramwharf.links.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    open_listener,
)


@dataclass
class Script:
    """Answers each request with the next reply and records the requests.

    A reply of ``None`` closes the connection without an answer.
    """

    replies: list[tuple[int, Any] | None]
    requests: list[HttpRequest] = field(default_factory=list)
    address: str = ''

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        self.requests.append(request)
        await trio.lowlevel.checkpoint()
        reply = self.replies.pop(0)
        if reply is None:
            raise trio.BrokenResourceError
        return HttpResponse(reply[0], json.dumps(reply[1]).encode())

    def body(self, index: int) -> Any:
        """Return the decoded body of a recorded request."""
        return json.loads(self.requests[index].body)


@asynccontextmanager
async def scripted(*replies: tuple[int, Any] | None) -> AsyncIterator[Script]:
    """Serve a script of replies on loopback."""
    script = Script(list(replies))
    listener = await open_listener('127.0.0.1', 0)
    port = listener.socket.getsockname()[1]
    script.address = f'127.0.0.1:{port}'
    async with trio.open_nursery() as nursery:
        nursery.start_soon(HttpServer(script.handle).serve, listener)
        yield script
        nursery.cancel_scope.cancel()
