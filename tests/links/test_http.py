"""The HTTP client against the HTTP server: reuse, limits, timeouts, drain."""

from __future__ import annotations

import socket
import unittest
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager, suppress
from itertools import repeat

import trio
from trio.testing import wait_all_tasks_blocked

from marjoramwharf.links.http_client import (
    CallFailed,
    HttpClient,
    NotConnected,
    is_connection_refused,
)
from marjoramwharf.links.http_server import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    open_listener,
)
from tests.links.raw_server import raw_server


async def _echo(request: HttpRequest) -> HttpResponse:
    await trio.sleep(float(request.headers.get('x-wait-s', '0')))
    return HttpResponse(200, request.method.encode() + request.body)


@asynccontextmanager
async def _serving(
    limits: HttpLimits | None = None,
) -> AsyncIterator[tuple[HttpServer, str]]:
    server = HttpServer(_echo, limits or HttpLimits())
    listener = await open_listener('127.0.0.1', 0)
    port = listener.socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, listener)
        yield server, f'http://127.0.0.1:{port}/'
        nursery.cancel_scope.cancel()


class HttpTests(unittest.TestCase):
    """Guards against requests that are aborted, mixed up or never end."""

    def test_reused_connection(self) -> None:
        """Guards against a new connection for each request."""
        trio.run(self._reused_connection)

    def test_limits(self) -> None:
        """Guards against a body that fills the memory."""
        trio.run(self._limits)

    def test_timeout(self) -> None:
        """Guards against a response to an earlier, timed out request."""
        trio.run(self._timeout)

    def test_nothing_listens(self) -> None:
        """Guards against an unknown outcome of a request that was not sent.

        No process listens at the address.
        """
        trio.run(self._nothing_listens)

    def test_connect_times_out(self) -> None:
        """Guards against an unknown outcome of a request that was not sent.

        The connect gets no answer.
        """
        trio.run(self._connect_times_out)

    def test_sent_and_then_refused(self) -> None:
        """Guards against a sent request that is reported as not sent.

        The reused connection ends without a response, and new ones are refused.
        """
        trio.run(self._sent_and_then_refused)

    def test_repeat(self) -> None:
        """Guards against a second write, and against a read that isn't retried.

        The reused connection ends without a response.
        """
        trio.run(self._repeat)

    def test_unasked_response(self) -> None:
        """Guards against bytes sent before the request that are its response.

        The server says that it closes an idle connection.
        """
        trio.run(self._unasked_response)

    def test_many_connections_end(self) -> None:
        """Guards against a request on a connection that is closed meanwhile.

        All idle connections end while many requests look for one.
        """
        trio.run(self._many_connections_end)

    def test_drain(self) -> None:
        """Guards against a planned stop that aborts an active request."""
        trio.run(self._drain)

    async def _reused_connection(self) -> None:
        client = HttpClient()
        async with _serving() as (_, url):
            for number in range(5):
                answer = await client.request(
                    'POST',
                    url,
                    body=b'%d' % number,
                    timeout_s=2,
                )
                self.assertEqual(b'POST%d' % number, answer.body)
        self.assertEqual(1, client.opened_count)

    async def _limits(self) -> None:
        async with _serving(HttpLimits(body_bytes=10)) as (_, url):
            answer = await HttpClient().request(
                'POST',
                url,
                body=b'x' * 11,
                timeout_s=2,
            )
            self.assertEqual(413, answer.status)

    async def _timeout(self) -> None:
        client = HttpClient()
        async with _serving() as (_, url):
            with self.assertRaises(CallFailed):
                await client.request(
                    'GET',
                    url,
                    headers={'X-Wait-S': '5'},
                    timeout_s=0.1,
                )
            answer = await client.request('PUT', url, timeout_s=2)
            self.assertEqual(b'PUT', answer.body)

    async def _nothing_listens(self) -> None:
        with self.assertRaises(NotConnected) as caught:
            await HttpClient().request(
                'GET',
                'http://127.0.0.1:1/',
                timeout_s=2,
            )
        self.assertTrue(is_connection_refused(caught.exception))

    async def _connect_times_out(self) -> None:
        """Connect to a listener whose backlog is full."""
        with socket.socket() as full:
            full.bind(('127.0.0.1', 0))
            full.listen(0)
            address = full.getsockname()
            with ExitStack() as stack:
                for _ in range(3):
                    waiting = stack.enter_context(socket.socket())
                    waiting.setblocking(False)
                    waiting.connect_ex(address)
                with self.assertRaises(NotConnected):
                    await HttpClient().request(
                        'GET',
                        f'http://127.0.0.1:{address[1]}/',
                        timeout_s=0.2,
                    )

    async def _sent_and_then_refused(self) -> None:
        for is_repeatable in (False, True):
            async with raw_server() as server:
                client = HttpClient()
                await client.request('GET', server.url, timeout_s=2)
                server.is_silent = True
                await server.listener.aclose()
                with self.assertRaises(CallFailed) as caught:
                    await client.request(
                        'POST',
                        server.url,
                        timeout_s=2,
                        is_repeatable=is_repeatable,
                    )
            self.assertNotIsInstance(caught.exception, NotConnected)
            self.assertEqual(2, server.requests_count)

    async def _repeat(self) -> None:
        client = HttpClient()
        async with raw_server() as server:
            await client.request('GET', server.url, timeout_s=2)
            server.silent_requests_count = 1
            answer = await client.request(
                'GET', server.url, timeout_s=2, is_repeatable=True
            )
            self.assertEqual(200, answer.status)
            server.silent_requests_count = 1
            with self.assertRaises(CallFailed):
                await client.request('POST', server.url, timeout_s=2)
            self.assertEqual(4, server.requests_count)

    async def _unasked_response(self) -> None:
        client = HttpClient()
        async with raw_server() as server:
            await client.request('GET', server.url, timeout_s=2)
            await wait_all_tasks_blocked()
            await server.streams[0].send_all(
                b'HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n'
            )
            answer = await client.request('POST', server.url, timeout_s=2)
            self.assertEqual(200, answer.status)

    async def _many_connections_end(self) -> None:
        client = HttpClient()

        async def ask(url: str, after_steps: int = 0) -> None:
            for _ in range(after_steps):
                await trio.lowlevel.checkpoint()
            with suppress(CallFailed):
                await client.request('GET', url, timeout_s=2)

        async def ask_at_once(url: str, *steps: int) -> None:
            async with trio.open_nursery() as nursery:
                for after_steps in steps:
                    nursery.start_soon(ask, url, after_steps)

        async with raw_server() as server:
            for later in range(20):
                await ask_at_once(server.url, *repeat(0, 12))
                server.ends_all = True
                await ask_at_once(server.url, 0, later)
                server.ends_all = False

    async def _drain(self) -> None:
        client = HttpClient()
        answers: list[bytes] = []

        async def ask(url: str, wait_s: str) -> None:
            answer = await client.request(
                'GET',
                url,
                headers={'X-Wait-S': wait_s},
                timeout_s=5,
            )
            answers.append(answer.body)

        async with _serving() as (server, url):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask, url, '0')
                nursery.start_soon(ask, url, '0.3')
                await trio.sleep(0.1)
                server.drain()
            self.assertEqual([b'GET', b'GET'], answers)
            # The idle connection was closed, so a new one is opened.
            await ask(url, '0')
        self.assertEqual(3, client.opened_count)
