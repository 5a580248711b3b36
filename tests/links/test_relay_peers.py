"""Connections to peers that are opened while they are wanted."""

from __future__ import annotations

import random
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial

import trio

from marjoramwharf.ids import DataCentreId, EntryId, Incarnation
from marjoramwharf.links.http_server import open_listener
from marjoramwharf.links.peer_messages import PeerIdentity
from marjoramwharf.links.peer_server import PeerServer
from marjoramwharf.links.relay_peers import PeerAddress, RelayPeers

_SECRET = 'a-secret-of-16-bytes'
_PEERS_COUNT = 3
_SIZE = 2


def _identity(name: str) -> PeerIdentity:
    return PeerIdentity(EntryId(name), Incarnation('i'), DataCentreId('dc'))


@dataclass
class _Peers:
    """Peers that serve on loopback, and connections to two of them."""

    addresses: list[PeerAddress] = field(default_factory=list)
    refused: set[EntryId] = field(default_factory=set)
    used: set[EntryId] = field(default_factory=set)
    is_wanted: bool = True
    relay_peers: RelayPeers = field(init=False)

    def __post_init__(self) -> None:
        """Create the connections; the entry itself is among the addresses."""
        self.relay_peers = RelayPeers(
            lambda: self.addresses,
            _identity('e0'),
            lambda: self.is_wanted,
            size=_SIZE,
            is_admitted=lambda peer: peer.entry_id not in self.refused,
            is_in_use=lambda peer: peer.entry_id in self.used,
            rng=random.Random(1),
        )

    def connected_ids(self) -> set[EntryId]:
        """Return the ids of the connected peers."""
        return {peer.entry_id for peer in self.relay_peers.connected()}

    async def wait_connected(self, expected: set[EntryId]) -> None:
        """Wait until just these peers are connected."""
        with trio.fail_after(5):
            while self.connected_ids() != expected:
                await trio.sleep(0.02)


@asynccontextmanager
async def _serving_peers() -> AsyncIterator[_Peers]:
    peers = _Peers([PeerAddress(EntryId('e0'), '127.0.0.1', 1, _SECRET)])
    async with trio.open_nursery() as nursery:
        for number in range(1, _PEERS_COUNT + 1):
            identity = _identity(f'e{number}')
            server = PeerServer({}, identity=identity, secret=_SECRET)
            listener = await open_listener('127.0.0.1', 0)
            port = listener.socket.getsockname()[1]
            peers.addresses.append(
                PeerAddress(identity.entry_id, '127.0.0.1', port, _SECRET)
            )
            nursery.start_soon(
                partial(trio.serve_listeners, server.serve, [listener])
            )
        nursery.start_soon(peers.relay_peers.run)
        yield peers
        nursery.cancel_scope.cancel()


class RelayPeersTests(unittest.TestCase):
    """Guards against calls that go through the wrong peers."""

    def test_useless_peer(self) -> None:
        """Guards against a useless peer that keeps the place of another."""
        trio.run(self._useless_peer)

    def test_all_are_useless(self) -> None:
        """Guards against an entry without peers while all are useless."""
        trio.run(self._all_are_useless)

    def test_peers_in_use(self) -> None:
        """Guards against peers in use that keep others from being tried."""
        trio.run(self._peers_in_use)

    def test_not_wanted(self) -> None:
        """Guards against connections of entries that need none."""
        trio.run(self._not_wanted)

    async def _useless_peer(self) -> None:
        async with _serving_peers() as peers:
            await trio.sleep(0.5)
            first_ids = peers.connected_ids()
            self.assertEqual(_SIZE, len(first_ids))
            useless = min(first_ids)
            peers.refused.add(useless)
            others = {peer.entry_id for peer in peers.addresses[1:]}
            await peers.wait_connected(others - {useless})

    async def _all_are_useless(self) -> None:
        async with _serving_peers() as peers:
            await trio.sleep(0.5)
            first_ids = peers.connected_ids()
            peers.refused.update(peer.entry_id for peer in peers.addresses)
            await trio.sleep(1)
            self.assertEqual(first_ids, peers.connected_ids())

    async def _peers_in_use(self) -> None:
        async with _serving_peers() as peers:
            await trio.sleep(0.5)
            peers.used.update(peers.connected_ids())
            await peers.wait_connected(
                {peer.entry_id for peer in peers.addresses[1:]}
            )

    async def _not_wanted(self) -> None:
        async with _serving_peers() as peers:
            peers.is_wanted = False
            await trio.sleep(0.5)
            self.assertEqual(set(), peers.connected_ids())


if __name__ == '__main__':
    unittest.main()
