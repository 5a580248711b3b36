"""Sends calls to other entries, over connections that are kept for a while."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from marjoramwharf.errors import PeerRefused, PeerUnreachable
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.peer_usefulness import PeerRecords
from marjoramwharf.links.relay_peers import PeerSource, RelayPeers

# Entries to be connected to, and how long after the latest call.
_PEERS_COUNT = 2
_WANTED_S = 10.0

# A call waits this long for a first connection.
_CONNECT_WAIT_S = 0.4
_CONNECT_CHECK_S = 0.02


@dataclass(slots=True)
class PeerAsker:
    """Asks one of a few other entries, the ones that have answered first.

    ``ask`` is an ``entry_calls.AskPeer``.
    """

    peers: PeerSource
    identity: PeerIdentity
    _relay_peers: RelayPeers = field(init=False)
    _records: PeerRecords = field(init=False)
    _asked_s: float | None = None

    def __post_init__(self) -> None:
        """Create the connections, which are opened with the first call."""
        self._records = PeerRecords(self.peers)
        self._relay_peers = RelayPeers(
            self.peers,
            self.identity,
            self._was_asked_lately,
            size=_PEERS_COUNT,
            is_admitted=self._records.is_useful,
        )

    async def run(self) -> None:
        """Keep the connections until cancelled."""
        await self._relay_peers.run()

    async def ask(self, call: Message, timeout_s: float) -> Message:
        """Return the reply of an entry to a read-only call.

        An entry that refuses gives way to the next one, and so does one that
        doesn't answer from then on. Raises ``PeerUnreachable`` or
        ``PeerRefused``.
        """
        self._asked_s = trio.current_time()
        await self._wait_until_connected()
        clients = self._relay_peers.connected()
        refused: PeerRefused | None = None
        for peer in self._records.rank(clients):
            try:
                reply = await clients[peer].call(call, timeout_s=timeout_s)
            except PeerUnreachable:
                self._records.find(peer).record_failure(
                    now_s=trio.current_time()
                )
                raise
            except PeerRefused as refusal:
                self._records.find(peer).record_failure(
                    now_s=trio.current_time()
                )
                refused = refusal
            else:
                self._records.find(peer).record_answer()
                return reply
        raise refused or PeerUnreachable(message='no other entry is connected')

    async def _wait_until_connected(self) -> None:
        with trio.move_on_after(_CONNECT_WAIT_S):
            while not self._relay_peers.connected():
                await trio.sleep(_CONNECT_CHECK_S)

    def _was_asked_lately(self) -> bool:
        if self._asked_s is None:
            return False
        return trio.current_time() - self._asked_s < _WANTED_S
