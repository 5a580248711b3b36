"""Relaying store calls while some of the peers can't execute them either."""

from __future__ import annotations

import random
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from unittest.mock import patch

import trio
from trio.testing import MockClock, memory_stream_pair

from marjoramwharf.errors import Failure
from marjoramwharf.ids import DataCentreId, EntryId, Incarnation
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.peer_server import PeerServer
from marjoramwharf.links.relay_peers import PeerAddress
from marjoramwharf.links.relayed_store import RelayedStore
from marjoramwharf.links.store_reachability import StoreReachability
from marjoramwharf.links.store_relay import StoreRelay, handle_store_call
from marjoramwharf.links.thrift_types.peer import ttypes
from standins.polling_store import PollingMemoryStore

_SECRET = 'a-secret-of-16-bytes'
_READ_PERIOD_S = 0.2


def _identity(name: str) -> PeerIdentity:
    return PeerIdentity(EntryId(name), Incarnation('i'), DataCentreId('dc'))


@dataclass
class _Peer:
    """A peer, which may lack a way to the store, or stand still."""

    store: PollingMemoryStore
    reachability: StoreReachability = field(default_factory=StoreReachability)
    is_still: bool = False

    async def handle(self, _sender: PeerIdentity, call: Message) -> Message:
        """Execute a relayed call."""
        if self.is_still:
            await trio.sleep_forever()
        return await handle_store_call(self.store, self.reachability, call)


@dataclass
class _Setup:
    """An entry that the store rejects, and its peers by port."""

    nursery: trio.Nursery
    peers: list[_Peer]
    store: RelayedStore = field(init=False)

    def __post_init__(self) -> None:
        addresses = [
            PeerAddress(EntryId(f'e{port}'), 'host', port, _SECRET)
            for port in range(len(self.peers))
        ]
        own_store = PollingMemoryStore()
        own_store.is_down = True
        reachability = StoreReachability()
        relay = StoreRelay(
            lambda: addresses, _identity('own'), reachability, random.Random(1)
        )
        self.store = RelayedStore(own_store, relay, reachability)
        self.nursery.start_soon(relay.run)
        self.nursery.start_soon(self.store.run_probe)

    async def connect(self, _host: str, port: int) -> trio.abc.Stream:
        """Connect to a peer without a network."""
        await trio.lowlevel.checkpoint()
        client_end, server_end = memory_stream_pair()
        server = PeerServer(
            {ttypes.JobCall: self.peers[port].handle},
            identity=_identity(f'e{port}'),
            secret=_SECRET,
        )
        self.nursery.start_soon(server.serve, server_end)
        return client_end

    async def count_failures(self, during_s: float) -> int:
        """Return how many of the reads in some seconds failed."""
        failures_count = 0
        with trio.move_on_after(during_s):
            while True:
                try:
                    await self.store.read('x')
                except Failure:
                    failures_count += 1
                await trio.sleep(_READ_PERIOD_S)
        return failures_count


@asynccontextmanager
async def _open_peers(useless: int, useful: int) -> AsyncIterator[_Setup]:
    peers = [_Peer(PollingMemoryStore()) for _ in range(useless + useful)]
    for peer in peers[:useless]:
        peer.store.is_down = True
        peer.reachability.is_unreachable = True
    async with trio.open_nursery() as nursery:
        setup = _Setup(nursery, peers)
        with patch(
            'marjoramwharf.links.relay_peers.open_stream', setup.connect
        ):
            yield setup
            nursery.cancel_scope.cancel()


def _run(test: Callable[[], Awaitable[None]]) -> None:
    trio.run(test, clock=MockClock(autojump_threshold=0))


class UselessPeerTests(unittest.TestCase):
    """Guards against calls that fail though another peer could execute them."""

    def test_one_peer_lacks_the_store(self) -> None:
        """Guards against using one peer only because it is connected."""
        _run(self._one_peer_lacks_the_store)

    def test_most_peers_lack_the_store(self) -> None:
        """Guards against staying connected to peers that are of no use."""
        _run(self._most_peers_lack_the_store)

    def test_peer_stands_still(self) -> None:
        """Guards against waiting for the same silent peer again and again."""
        _run(self._peer_stands_still)

    def test_store_is_back_for_peers_only(self) -> None:
        """Guards against an entry that never asks its peers again."""
        _run(self._store_is_back_for_peers_only)

    async def _one_peer_lacks_the_store(self) -> None:
        async with _open_peers(useless=0, useful=2) as setup:
            await setup.count_failures(during_s=3)
            for peer in setup.peers:
                peer.store.is_down = True
                failures_count = await setup.count_failures(during_s=10)
                self.assertEqual(0, failures_count)
                peer.store.is_down = False

    async def _most_peers_lack_the_store(self) -> None:
        async with _open_peers(useless=7, useful=1) as setup:
            await setup.count_failures(during_s=15)
            failures_count = await setup.count_failures(during_s=10)
            self.assertEqual(0, failures_count)

    async def _peer_stands_still(self) -> None:
        async with _open_peers(useless=0, useful=2) as setup:
            await setup.count_failures(during_s=3)
            for still in (0, 1):
                setup.peers[still].is_still = True
                failures_count = await setup.count_failures(during_s=10)
                self.assertLessEqual(failures_count, 1)
                setup.peers[still].is_still = False

    async def _store_is_back_for_peers_only(self) -> None:
        async with _open_peers(useless=2, useful=0) as setup:
            await setup.count_failures(during_s=5)
            self.assertFalse(setup.store.is_reachable)
            for peer in setup.peers:
                peer.store.is_down = False
                peer.reachability.is_unreachable = False
            await trio.sleep(5)
            self.assertTrue(setup.store.is_reachable)
            failures_count = await setup.count_failures(during_s=10)
            self.assertEqual(0, failures_count)
