"""Keeps a connection to every peer, with one task for each.

The pool follows the members view: it starts a client for each new incarnation
of a peer and stops the client of a removed one.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

import trio

from marjoramwharf.ids import EntryId
from marjoramwharf.links.members import Member, MemberView
from marjoramwharf.links.peer_client import PeerClient
from marjoramwharf.links.peer_messages import PeerIdentity


@dataclass(frozen=True, slots=True)
class _PooledClient:
    member: Member
    client: PeerClient
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class PeerPool:
    """The clients of all peers in the members view."""

    def __init__(
        self,
        view: MemberView,
        *,
        identity: PeerIdentity,
        secret: str,
        rng: random.Random,
    ) -> None:
        """Prepare an empty pool; ``run`` opens the connections."""
        self._view = view
        self._identity = identity
        self._secret = secret
        self._rng = rng
        self._clients: dict[EntryId, _PooledClient] = {}

    def clients(self) -> Mapping[EntryId, PeerClient]:
        """Return the clients that are connected."""
        return {
            entry_id: pooled.client
            for entry_id, pooled in self._clients.items()
            if pooled.client.peer is not None
        }

    async def run(self) -> None:
        """Update the clients from the members view until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._update(nursery)
                with trio.move_on_after(1):
                    await self._view.wait_change()

    def _update(self, nursery: trio.Nursery) -> None:
        peers = {
            member.entry_id: member
            for member in self._view.known()
            if member.entry_id != self._identity.entry_id
        }
        for entry_id, pooled in tuple(self._clients.items()):
            peer = peers.get(entry_id)
            if peer is None or peer.incarnation != pooled.member.incarnation:
                pooled.scope.cancel()
                self._clients.pop(entry_id)
        for entry_id, member in peers.items():
            if entry_id not in self._clients:
                pooled = self._make_client(member)
                self._clients[entry_id] = pooled
                nursery.start_soon(_run_client, pooled)

    def _make_client(self, member: Member) -> _PooledClient:
        client = PeerClient(
            _make_connector(member),
            identity=self._identity,
            secret=self._secret,
            rng=self._rng,
        )
        return _PooledClient(member, client)


async def _run_client(pooled: _PooledClient) -> None:
    with pooled.scope:
        await pooled.client.run()


def _make_connector(member: Member) -> Callable[[], Awaitable[trio.abc.Stream]]:
    return partial(trio.open_tcp_stream, member.host, member.peer_port)
