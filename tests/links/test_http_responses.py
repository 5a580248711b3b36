"""Responses in pieces, malformed, cut off, or more than were asked for."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from itertools import repeat
from typing import NamedTuple

import trio
from outcome import acapture as outcome_of
from trio.testing import memory_stream_pair, wait_all_tasks_blocked

from marjoramwharf.links.http_client import BadRequest, HttpClient
from marjoramwharf.links.http_responses import (
    ClientResponse,
    ResponseError,
    ResponseReader,
)

_PLAIN = b'HTTP/1.1 200 OK\r\nX-Name: a\r\nContent-Length: 4\r\n\r\nbody'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class _Read(NamedTuple):
    """A response and whether its connection may be used again."""

    response: ClientResponse
    is_reusable: bool


async def _read(chunks: Sequence[bytes], *, ends: bool = True) -> _Read:
    """Read one response from a connection that carries these chunks."""
    ours, theirs = memory_stream_pair()
    reader = ResponseReader()
    async with trio.open_nursery() as nursery:

        async def send() -> None:
            for chunk in chunks:
                await theirs.send_all(chunk)
                await wait_all_tasks_blocked()
            if ends:
                await theirs.aclose()

        nursery.start_soon(send)
        outcome = await outcome_of(reader.read, ours)
        nursery.cancel_scope.cancel()
    return _Read(outcome.unwrap(), reader.is_reusable)


class ResponseTests(unittest.TestCase):
    """Guards against answers that are taken for complete ones, or mixed up."""

    def test_pieces(self) -> None:
        """Guards against a response that is lost between two reads."""
        pieces = [_PLAIN[at : at + 1] for at in range(len(_PLAIN))]
        read = trio.run(_read, pieces)
        self.assertEqual(b'body', read.response.body)
        self.assertEqual(200, read.response.status)
        self.assertEqual('a', read.response.headers['x-name'])
        self.assertTrue(read.is_reusable)

    def test_chunked(self) -> None:
        """Guards against the framing of chunks inside a body."""
        read = trio.run(
            _read,
            [
                b'HTTP/1.1 503 Away\r\nTransfer-Encoding: chunked\r\n\r\n',
                b'3\r\nabc\r\n',
                b'2\r\nde\r\n0\r\n\r\n',
            ],
        )
        self.assertEqual(b'abcde', read.response.body)
        self.assertFalse(read.response.is_success)

    def test_body_ends_with_connection(self) -> None:
        """Guards against a reused connection that has ended."""
        read = trio.run(_read, [b'HTTP/1.1 200 OK\r\n\r\n', b'to the end'])
        self.assertEqual(b'to the end', read.response.body)
        self.assertFalse(read.is_reusable)

    def test_informational_response(self) -> None:
        """Guards against "continue" taken for the answer."""
        read = trio.run(_read, [b''.join((_CONTINUE, _PLAIN))])
        self.assertEqual(200, read.response.status)
        self.assertEqual(b'body', read.response.body)

    def test_excess(self) -> None:
        """Guards against an answer that the next request takes for its own."""
        for excess in (_PLAIN, b'nonsense\r\n\r\n'):
            read = trio.run(_read, [_PLAIN + excess])
            self.assertEqual(b'body', read.response.body)
            self.assertFalse(read.is_reusable)

    def test_connection_close(self) -> None:
        """Guards against a request on a connection about to be closed."""
        closing = _PLAIN.replace(b'X-Name: a', b'Connection: close')
        self.assertFalse(trio.run(_read, [closing]).is_reusable)

    def test_no_complete_response(self) -> None:
        """Guards against half an answer taken for a whole one."""
        for raw in (
            b'',
            _PLAIN[:30],
            _PLAIN[:-1],
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab',
            b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n',
            b'HTTP/1.1 101 Switching\r\nUpgrade: a\r\n\r\n',
            b'\x00\xff no response at all\r\n\r\n',
        ):
            with self.subTest(raw), self.assertRaises(ResponseError):
                trio.run(_read, [raw])

    def test_large_body(self) -> None:
        """Guards against a body that fills the memory."""
        head = b'HTTP/1.1 200 OK\r\n\r\n'
        part = bytes(1024 * 1024)
        with self.assertRaises(ResponseError):
            trio.run(_read, (head, *repeat(part, 33)))

    def test_line_break_in_header(self) -> None:
        """Guards against a header that adds another request."""

        async def ask() -> None:
            await HttpClient().request(
                'GET',
                'http://127.0.0.1:1/',
                headers={'X-Name': 'a\r\nX-Other: b'},
                timeout_s=1,
            )

        with self.assertRaises(BadRequest):
            trio.run(ask)
