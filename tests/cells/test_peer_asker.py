"""Calls to other entries, of which some can't answer."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from unittest.mock import patch

import trio
from trio.testing import memory_stream_pair

from marjoramwharf.cells.entry_calls import make_count_call
from marjoramwharf.cells.peer_asker import PeerAsker
from marjoramwharf.errors import Failure, NotOwner, PeerRefused
from marjoramwharf.ids import DataCentreId, EntryId, Incarnation
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.peer_server import PeerServer
from marjoramwharf.links.relay_peers import PeerAddress
from marjoramwharf.links.thrift_types.peer import ttypes
from tests.cells.cluster import CELL, run_with_clock

_SECRET = 'a-secret-of-16-bytes'


def _identity(name: str) -> PeerIdentity:
    return PeerIdentity(EntryId(name), Incarnation('i'), DataCentreId('dc'))


@dataclass
class _Setup:
    """An entry and its peers by port; only those that are able answer."""

    nursery: trio.Nursery
    count: int
    able: set[int] = field(default_factory=set)
    still: set[int] = field(default_factory=set)
    asker: PeerAsker = field(init=False)

    def __post_init__(self) -> None:
        addresses = [
            PeerAddress(EntryId(f'e{port}'), 'host', port, _SECRET)
            for port in range(self.count)
        ]
        self.asker = PeerAsker(lambda: addresses, _identity('own'))
        self.nursery.start_soon(self.asker.run)

    async def connect(self, _host: str, port: int) -> trio.abc.Stream:
        """Connect to a peer without a network."""
        await trio.lowlevel.checkpoint()
        client_end, server_end = memory_stream_pair()

        async def answer(_sender: PeerIdentity, _call: Message) -> Message:
            await trio.lowlevel.checkpoint()
            if port in self.still:
                await trio.sleep_forever()
            if port not in self.able:
                raise NotOwner(message='not connected to the owner')
            return ttypes.JobReply(status=200, body=b'7')

        server = PeerServer(
            {ttypes.JobCall: answer},
            identity=_identity(f'e{port}'),
            secret=_SECRET,
        )
        self.nursery.start_soon(server.serve, server_end)
        return client_end

    async def ask(self) -> bytes:
        """Return the body of a reply; raises a ``Failure``."""
        call = make_count_call(CELL, 'recipes')
        return bytes((await self.asker.ask(call, 0.6)).body)

    async def count_failures(self, asks_count: int) -> int:
        """Return how many of some calls failed."""
        failures_count = 0
        for _ in range(asks_count):
            try:
                await self.ask()
            except Failure:
                failures_count += 1
            await trio.sleep(0.2)
        return failures_count


@asynccontextmanager
async def _open_peers(count: int) -> AsyncIterator[_Setup]:
    async with trio.open_nursery() as nursery:
        setup = _Setup(nursery, count)
        target = 'marjoramwharf.links.relay_peers.open_stream'
        with patch(target, setup.connect):
            yield setup
            nursery.cancel_scope.cancel()


class PeerAskerTests(unittest.TestCase):
    """Guards against a call that fails though some entry could answer it."""

    def test_one_entry_is_able(self) -> None:
        """Guards against asking only the entries that were connected first."""
        run_with_clock(self._one_entry_is_able)

    def test_entry_stands_still(self) -> None:
        """Guards against asking a silent entry again and again."""
        run_with_clock(self._entry_stands_still)

    async def _one_entry_is_able(self) -> None:
        async with _open_peers(8) as setup:
            with self.assertRaises(PeerRefused):
                await setup.ask()
            setup.able.add(5)
            await setup.count_failures(60)
            self.assertEqual(0, await setup.count_failures(20))

    async def _entry_stands_still(self) -> None:
        async with _open_peers(2) as setup:
            setup.able.update((0, 1))
            self.assertEqual(b'7', await setup.ask())
            for still in (0, 1):
                setup.still.add(still)
                self.assertLessEqual(await setup.count_failures(20), 1)
                setup.still.clear()
