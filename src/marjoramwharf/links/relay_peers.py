"""Connections to a few peers, open only while they are wanted."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

import trio

from marjoramwharf.ids import EntryId
from marjoramwharf.links.peer_client import PeerClient
from marjoramwharf.links.peer_messages import PeerIdentity
from marjoramwharf.links.tcp import open_stream

# Connections stay open this long after they were wanted last. A peer that is
# not connected within the connect timeout is replaced by another.
_KEEP_OPEN_S = 5.0
_CONNECT_TIMEOUT_S = 0.7
_CHECK_INTERVAL_S = 0.1

# Without any connection for this long, no peer counts as reachable.
_ISOLATED_AFTER_S = 3.0


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address of a peer's message port, with the secret that it requires.

    ``cpu_share`` is the speed of the peer in cores.
    """

    entry_id: EntryId
    host: str
    port: int
    secret: str
    cpu_share: float = 1


PeerSource = Callable[[], Sequence[PeerAddress]]


def _admit_all(_peer: PeerAddress) -> bool:
    """Admit every peer."""
    return True


def _use_none(_peer: PeerAddress) -> bool:
    """Count no peer as in use."""
    return False


@dataclass(slots=True, eq=False)
class _PeerConnection:
    client: PeerClient
    opened_s: float
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def run(self) -> None:
        with self.scope:
            await self.client.run()


@dataclass(slots=True)
class RelayPeers:
    """Keeps connections to a few peers while ``is_wanted()``.

    They are at most ``size`` beside those that are in use, so that others can
    be tried. A peer that ``is_admitted`` no longer admits is replaced by
    another one.
    """

    peers: PeerSource
    identity: PeerIdentity
    is_wanted: Callable[[], bool]
    size: int
    is_admitted: Callable[[PeerAddress], bool] = _admit_all
    is_in_use: Callable[[PeerAddress], bool] = _use_none
    rng: random.Random = field(default_factory=random.Random)
    _connections: dict[PeerAddress, _PeerConnection] = field(
        default_factory=dict
    )
    _last_wanted_s: float = 0
    # Since when peers are wanted and none is connected, if that is so.
    _missed_since_s: float | None = None

    def connected(self) -> dict[PeerAddress, PeerClient]:
        """Return the connected peers, the one opened first at the start."""
        return {
            peer: connection.client
            for peer, connection in self._connections.items()
            if connection.client.peer is not None
        }

    def others(self) -> list[PeerAddress]:
        """Return the known peers without this entry itself."""
        own_id = self.identity.entry_id
        return [peer for peer in self.peers() if peer.entry_id != own_id]

    def is_isolated(self, *, now_s: float) -> bool:
        """Whether peers are known and wanted, but none could be reached."""
        since_s = self._missed_since_s
        return since_s is not None and now_s - since_s > _ISOLATED_AFTER_S

    async def run(self) -> None:
        """Connect to peers whenever they are wanted; never returns."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(_CHECK_INTERVAL_S)
                now_s = trio.current_time()
                is_wanted = self.is_wanted()
                self._note_whether_missed(now_s, is_wanted=is_wanted)
                if is_wanted:
                    self._last_wanted_s = now_s
                    self._replace_useless(nursery, now_s)
                elif (
                    self._connections
                    and now_s - self._last_wanted_s > _KEEP_OPEN_S
                ):
                    self._close(tuple(self._connections))

    def _note_whether_missed(self, now_s: float, *, is_wanted: bool) -> None:
        is_missed = is_wanted and self.others() and not self.connected()
        if not is_missed:
            self._missed_since_s = None
        elif self._missed_since_s is None:
            self._missed_since_s = now_s

    def _replace_useless(self, nursery: trio.Nursery, now_s: float) -> None:
        """Close useless connections, and open others up to the size.

        A peer that is not admitted stays until another one can take its place.
        """
        self._close(
            [
                peer
                for peer, connection in self._connections.items()
                if connection.client.peer is None
                and now_s - connection.opened_s > _CONNECT_TIMEOUT_S
            ],
        )
        candidates = self._candidates()
        not_admitted = [
            peer for peer in self._connections if not self.is_admitted(peer)
        ]
        self._close(not_admitted[: len(candidates)])
        tried_count = sum(
            not self.is_in_use(peer) for peer in self._connections
        )
        for peer in candidates[: max(0, self.size - tried_count)]:
            connection = _PeerConnection(self._make_client(peer), now_s)
            self._connections[peer] = connection
            nursery.start_soon(connection.run)

    def _candidates(self) -> list[PeerAddress]:
        """Return the admitted peers without a connection, in random order."""
        candidates = [
            peer
            for peer in self.others()
            if peer not in self._connections and self.is_admitted(peer)
        ]
        self.rng.shuffle(candidates)
        return candidates

    def _close(self, peers: Sequence[PeerAddress]) -> None:
        for peer in peers:
            self._connections.pop(peer).scope.cancel()

    def _make_client(self, peer: PeerAddress) -> PeerClient:
        return PeerClient(
            partial(open_stream, peer.host, peer.port),
            identity=self.identity,
            secret=peer.secret,
            rng=self.rng,
        )
