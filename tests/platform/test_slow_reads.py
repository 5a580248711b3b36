"""Reads of the store whose answers arrive over a slow link."""

from __future__ import annotations

import json
import unittest
from base64 import b64encode
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from marjoramwharf.errors import StoreUnavailable
from marjoramwharf.links.http_client import HttpClient
from marjoramwharf.links.http_server import open_listener
from marjoramwharf.platform.kv_store import KvStore

_HOST = '127.0.0.1'
_TIMEOUT_S = 0.3
_PARTS_COUNT = 6
_PART_PAUSE_S = 0.1


class SlowReadTests(unittest.TestCase):
    """Guards against a read that is begun again and again, and never ends."""

    def test_page_arrives_in_parts(self) -> None:
        """Guards against a whole read that no slow link can finish in time."""
        trio.run(self._in_parts)

    def test_page_stops_arriving(self) -> None:
        """Guards against waiting for a connection that has gone silent."""
        trio.run(self._stops_arriving)

    async def _in_parts(self) -> None:
        async with _slow_store(_PARTS_COUNT) as store:
            snapshot = await store.read_prefix('mw/')
        self.assertEqual(['mw/a'], [stored.key for stored in snapshot.found])

    async def _stops_arriving(self) -> None:
        async with _slow_store(_PARTS_COUNT - 1) as store:
            with self.assertRaises(StoreUnavailable):
                await store.read_prefix('mw/')


@asynccontextmanager
async def _slow_store(sent_count: int) -> AsyncIterator[KvStore]:
    """Yield a client of a store that sends so many parts of each answer."""
    listener = await open_listener(_HOST, 0)
    port = listener.socket.getsockname()[1]

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(65_536)
        for part in _parts()[:sent_count]:
            await stream.send_all(part)
            await trio.sleep(_PART_PAUSE_S)
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        yield KvStore(HttpClient(), f'{_HOST}:{port}', timeout_s=_TIMEOUT_S)
        nursery.cancel_scope.cancel()


def _parts() -> list[bytes]:
    """Return the answer to a read of one item, cut into parts."""
    item = {
        'Key': 'mw/a',
        'Value': b64encode(b'1').decode(),
        'Revision': 3,
        'Created': 3,
        'Lease': 0,
    }
    body = json.dumps(
        {'items': [item], 'HasMore': False, 'CurrentRev': 3}
    ).encode()
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
    size = len(body) // (_PARTS_COUNT - 1)
    edges = [size * number for number in range(_PARTS_COUNT - 1)]
    ends = [*edges[1:], len(body)]
    cut = [body[begin:end] for begin, end in zip(edges, ends, strict=True)]
    return [head, *cut]
