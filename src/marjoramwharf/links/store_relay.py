"""Relays store calls through peers, and executes those of peers."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

import trio

from marjoramwharf.errors import (
    BadFrame,
    Failure,
    PeerRefused,
    PeerUnreachable,
    StoreAnswerLost,
    StoreRefused,
    StoreUnavailable,
)
from marjoramwharf.links.peer_client import PeerClient
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.peer_usefulness import (
    PeerUsefulness,
    find_replaceable,
    rank_peers,
)
from marjoramwharf.links.store import PollingStore
from marjoramwharf.links.store_calls import (
    CallOutcome,
    PollCall,
    StoreCall,
    StoreReply,
    decode_call,
    decode_reply,
    encode_call,
    encode_reply,
    execute_call,
    get_outcome,
    make_failure,
)
from marjoramwharf.links.store_reachability import StoreReachability
from marjoramwharf.links.tcp import open_stream
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.logs import part_logger

_LOG = part_logger('relay')

STORE_METHOD = 'store'

# Number of peers to connect to while the store is unreachable.
_MAX_PEERS_COUNT = 2

# Connections stay open this long after the store became reachable again. A
# peer that is not connected within the connect timeout is replaced by another.
_KEEP_OPEN_S = 5.0
_CONNECT_TIMEOUT_S = 0.7
_CHECK_INTERVAL_S = 0.1

# Longer than a peer's own timeout for a call to the store.
_CALL_TIMEOUT_S = 0.9
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address of a peer's message port, with the secret that it requires."""

    entry_id: str
    host: str
    port: int
    secret: str


PeerSource = Callable[[], Sequence[PeerAddress]]


@dataclass(slots=True, eq=False)
class _PeerConnection:
    client: PeerClient
    opened_s: float
    usefulness: PeerUsefulness = field(default_factory=PeerUsefulness)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def run(self) -> None:
        with self.scope:
            await self.client.run()

    async def call(self, call: StoreCall) -> StoreReply:
        """Let the peer execute a call, and record whether it could."""
        try:
            reply = await _send_call(self.client, call)
        except StoreRefused:
            self.usefulness.record_answer()
            raise
        except (StoreUnavailable, StoreAnswerLost):
            self.usefulness.record_failure(now_s=trio.current_time())
            raise
        except Failure:
            self.usefulness.record_answer()
            raise
        self.usefulness.record_answer()
        return reply


@dataclass(slots=True)
class StoreRelay:
    """Keeps connections to a few peers while the store is unreachable.

    Implements ``relayed_store.Relay``. ``reachability`` tells whether this
    entry reaches the store itself.
    """

    peers: PeerSource
    identity: PeerIdentity
    reachability: StoreReachability
    rng: random.Random = field(default_factory=random.Random)
    _connections: dict[PeerAddress, _PeerConnection] = field(
        default_factory=dict
    )
    _replaced_s: dict[PeerAddress, float] = field(default_factory=dict)
    _last_unreachable_s: float = 0

    @property
    def is_connected(self) -> bool:
        """Whether at least one peer is connected."""
        return any(
            connection.client.peer for connection in self._connections.values()
        )

    async def run(self) -> None:
        """Connect to peers whenever the store is unreachable; never returns."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(_CHECK_INTERVAL_S)
                now_s = trio.current_time()
                if self.reachability.is_unreachable:
                    self._last_unreachable_s = now_s
                    self._close_unconnected(now_s)
                    self._replace_useless(now_s)
                    self._connect(nursery, now_s)
                elif (
                    self._connections
                    and now_s - self._last_unreachable_s > _KEEP_OPEN_S
                ):
                    self._close(tuple(self._connections))

    async def call(self, call: StoreCall) -> StoreReply:
        """Let a connected peer execute a call.

        If one says that it can't, so that nothing was applied, the next one is
        asked. Raises ``PeerUnreachable`` if no peer is connected, so that
        nothing was sent, else what the store's method raises.
        """
        unavailable: Failure = PeerUnreachable(message='no peer is connected')
        for connection in self._ranked_connections():
            try:
                return await connection.call(call)
            except StoreRefused:
                raise
            except StoreUnavailable as failure:
                unavailable = failure
        raise unavailable

    def _ranked_connections(self) -> list[_PeerConnection]:
        connected = self._connected()
        ranked = rank_peers(
            {
                peer: connection.usefulness
                for peer, connection in connected.items()
            }
        )
        return [connected[peer] for peer in ranked]

    def _connected(self) -> dict[PeerAddress, _PeerConnection]:
        return {
            peer: connection
            for peer, connection in self._connections.items()
            if connection.client.peer is not None
        }

    def _connect(self, nursery: trio.Nursery, now_s: float) -> None:
        candidates = self._candidates()
        self.rng.shuffle(candidates)
        candidates.sort(key=lambda peer: self._replaced_s.get(peer, 0))
        for peer in candidates[: _MAX_PEERS_COUNT - len(self._connections)]:
            connection = _PeerConnection(self._make_client(peer), now_s)
            self._connections[peer] = connection
            nursery.start_soon(connection.run)

    def _candidates(self) -> list[PeerAddress]:
        return [
            peer
            for peer in self.peers()
            if peer not in self._connections
            and peer.entry_id != self.identity.entry_id
        ]

    def _replace_useless(self, now_s: float) -> None:
        """Close the most useless peer if another one can take its place.

        The one that was replaced longest ago is then the first to return.
        """
        candidates = self._candidates()
        useless = find_replaceable(
            {
                peer: connection.usefulness
                for peer, connection in self._connected().items()
            },
            now_s=now_s,
        )
        if useless is None or not candidates:
            return
        self._close([useless])
        listed = {useless, *candidates}
        self._replaced_s = {
            peer: replaced_s
            for peer, replaced_s in self._replaced_s.items()
            if peer in listed
        }
        self._replaced_s[useless] = now_s

    def _close_unconnected(self, now_s: float) -> None:
        self._close(
            [
                peer
                for peer, connection in self._connections.items()
                if connection.client.peer is None
                and now_s - connection.opened_s > _CONNECT_TIMEOUT_S
            ],
        )

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


async def handle_store_call(
    store: PollingStore,
    reachability: StoreReachability,
    call: Message,
) -> Message:
    """Execute a peer's call on the store that this entry reaches directly.

    While this entry can't reach the store either, the reply says unavailable.
    """
    if reachability.is_unreachable:
        return _make_reply(CallOutcome.UNAVAILABLE, b'')
    try:
        reply = await execute_call(store, decode_call(call.body))
    except Failure as failure:
        return _make_reply(get_outcome(failure), str(failure).encode())
    return _make_reply(CallOutcome.DONE, encode_reply(reply))


async def _send_call(client: PeerClient, call: StoreCall) -> StoreReply:
    timeout_s = _CALL_TIMEOUT_S
    if isinstance(call, PollCall):
        timeout_s += call.wait_ms / _MS_PER_S
    # Store calls reuse JobCall; `method` tells them apart, `shard` is unused.
    message = ttypes.JobCall(
        method=STORE_METHOD,
        shard=0,
        body=encode_call(call),
    )
    try:
        reply = await client.call(message, timeout_s=timeout_s)
        if reply.status == CallOutcome.DONE:
            return decode_reply(reply.body)
    except (PeerUnreachable, PeerRefused, BadFrame) as failure:
        raise StoreAnswerLost(
            message=f'store call through a peer failed: {failure}',
        ) from failure
    raise make_failure(reply.status, reply.body.decode('utf-8', 'replace'))


def _make_reply(outcome: CallOutcome, body: bytes) -> Message:
    return ttypes.JobReply(status=outcome.value, body=body)
