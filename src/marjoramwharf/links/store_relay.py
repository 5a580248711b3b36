"""Relays store calls through peers, and executes those of peers."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

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
from marjoramwharf.links.peer_usefulness import PeerRecords
from marjoramwharf.links.relay_peers import (
    PeerAddress,
    PeerSource,
    RelayPeers,
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
from marjoramwharf.links.thrift_types.peer import ttypes

STORE_METHOD = 'store'

# Number of peers to connect to while the store is unreachable.
_MAX_PEERS_COUNT = 2

# Longer than a peer's own timeout for a call to the store.
_CALL_TIMEOUT_S = 0.9
_MS_PER_S = 1_000


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
    _peers: RelayPeers = field(init=False)
    _records: PeerRecords = field(init=False)

    def __post_init__(self) -> None:
        """Create the connections to peers."""
        self._records = PeerRecords(self.peers)
        self._peers = RelayPeers(
            self.peers,
            self.identity,
            lambda: self.reachability.is_unreachable,
            size=_MAX_PEERS_COUNT,
            is_admitted=self._records.is_useful,
            rng=self.rng,
        )

    @property
    def is_connected(self) -> bool:
        """Whether at least one peer is connected."""
        return bool(self._peers.connected())

    async def run(self) -> None:
        """Connect to peers whenever the store is unreachable; never returns."""
        await self._peers.run()

    async def call(self, call: StoreCall) -> StoreReply:
        """Let a connected peer execute a call.

        If one says that it can't, so that nothing was applied, the next one is
        asked. Raises ``PeerUnreachable`` if no peer is connected, so that
        nothing was sent, else what the store's method raises.
        """
        unavailable: Failure = PeerUnreachable(message='no peer is connected')
        clients = self._peers.connected()
        for peer in self._records.rank(clients):
            try:
                return await self._call_peer(peer, clients[peer], call)
            except StoreRefused:
                raise
            except StoreUnavailable as failure:
                unavailable = failure
        raise unavailable

    async def _call_peer(
        self, peer: PeerAddress, client: PeerClient, call: StoreCall
    ) -> StoreReply:
        """Let a peer execute a call, and record whether it could."""
        usefulness = self._records.find(peer)
        try:
            reply = await _send_call(client, call)
        except (StoreUnavailable, StoreAnswerLost) as failure:
            if isinstance(failure, StoreRefused):
                usefulness.record_answer()
            else:
                usefulness.record_failure(now_s=trio.current_time())
            raise
        except Failure:
            usefulness.record_answer()
            raise
        usefulness.record_answer()
        return reply


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
