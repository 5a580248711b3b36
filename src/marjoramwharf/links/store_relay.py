"""Calls to the store through peers, and their service for peers."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

import trio

from marjoramwharf.errors import (
    Failure,
    PeerRefused,
    PeerUnreachable,
    StoreAnswerLost,
)
from marjoramwharf.links.peer_client import PeerClient
from marjoramwharf.links.peer_messages import Message, PeerIdentity
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
    make_failure,
    get_outcome,
    execute_call,
)
from marjoramwharf.links.store_reachability import StoreReachability
from marjoramwharf.links.tcp import open_stream
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.logs import part_logger

_LOG = part_logger('relay')

STORE_METHOD = 'store'

# Peers that are connected while the store is away.
_PEERS_COUNT = 2

# Connections are kept for so long after the store answered again, and another
# peer is chosen for one that could not be reached within this time.
_KEPT_S = 5.0
_REACHED_WITHIN_S = 0.7
_CHECK_PAUSE_S = 0.1

# Longer than a peer waits for the store itself.
_CALL_TIMEOUT_S = 0.9
_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a peer takes messages, and the secret that opens it."""

    entry_id: str
    host: str
    port: int
    secret: str


PeerSource = Callable[[], Sequence[PeerAddress]]


@dataclass(slots=True, eq=False)
class _Link:
    client: PeerClient
    opened_s: float
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def run(self) -> None:
        with self.scope:
            await self.client.run()


@dataclass(slots=True)
class StoreRelay:
    """Keeps connections to a few peers while the store is away.

    Implements ``relayed_store.Relay``. ``reachability`` tells whether the store
    answers this entry itself.
    """

    peers: PeerSource
    identity: PeerIdentity
    reachability: StoreReachability
    rng: random.Random = field(default_factory=random.Random)
    _links: dict[PeerAddress, _Link] = field(default_factory=dict)
    _away_s: float = 0

    @property
    def is_connected(self) -> bool:
        """Whether a peer can be asked now."""
        return any(link.client.peer for link in self._links.values())

    async def run(self) -> None:
        """Connect to peers whenever the store is away, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(_CHECK_PAUSE_S)
                now_s = trio.current_time()
                if self.reachability.is_unreachable:
                    self._away_s = now_s
                    self._replace_unreached(now_s)
                    self._connect(nursery, now_s)
                elif self._links and now_s - self._away_s > _KEPT_S:
                    self._close(tuple(self._links))

    async def call(self, call: StoreCall) -> StoreReply:
        """Have a call carried out by the first peer that takes it.

        Raises ``PeerUnreachable`` if no peer has acted on it, else what the
        store's method raises.
        """
        for link in tuple(self._links.values()):
            if link.client.peer is not None:
                return await _ask(link.client, call)
        raise PeerUnreachable(message='no peer is connected')

    def _connect(self, nursery: trio.Nursery, now_s: float) -> None:
        others = [
            peer
            for peer in self.peers()
            if peer not in self._links
            and peer.entry_id != self.identity.entry_id
        ]
        self.rng.shuffle(others)
        for peer in others[: _PEERS_COUNT - len(self._links)]:
            link = _Link(self._client_of(peer), now_s)
            self._links[peer] = link
            nursery.start_soon(link.run)

    def _replace_unreached(self, now_s: float) -> None:
        self._close(
            [
                peer
                for peer, link in self._links.items()
                if link.client.peer is None
                and now_s - link.opened_s > _REACHED_WITHIN_S
            ],
        )

    def _close(self, peers: Sequence[PeerAddress]) -> None:
        for peer in peers:
            self._links.pop(peer).scope.cancel()

    def _client_of(self, peer: PeerAddress) -> PeerClient:
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
    """Carry a peer's call out on the store that this entry reaches itself."""
    if reachability.is_unreachable:
        return _reply(CallOutcome.UNAVAILABLE, b'')
    try:
        reply = await execute_call(store, decode_call(call.body))
    except Failure as failure:
        return _reply(get_outcome(failure), str(failure).encode())
    return _reply(CallOutcome.DONE, encode_reply(reply))


async def _ask(client: PeerClient, call: StoreCall) -> StoreReply:
    timeout_s = _CALL_TIMEOUT_S
    if isinstance(call, PollCall):
        timeout_s += call.wait_ms / _MS_PER_S
    message = ttypes.JobCall(
        method=STORE_METHOD,
        shard=0,
        body=encode_call(call),
    )
    try:
        reply = await client.call(message, timeout_s=timeout_s)
    except (PeerUnreachable, PeerRefused) as failure:
        raise StoreAnswerLost(message=f'peer: {failure}') from failure
    if reply.status == CallOutcome.DONE:
        return decode_reply(reply.body)
    raise make_failure(reply.status, reply.body.decode('utf-8', 'replace'))


def _reply(outcome: CallOutcome, body: bytes) -> Message:
    return ttypes.JobReply(status=outcome.value, body=body)
