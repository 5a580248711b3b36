"""Leaves a cell to entries that are far faster than its owner.

An owner that is outclassed gives the cell up while a faster entry is there, and
an outclassed entry campaigns after those have had time to. The owner stores the speed
of the fastest entry it knows beside its own record, which every entry watches,
so that all know it right after they have started.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.entry_speed import is_outclassed, patience_s
from marjoramwharf.cells.records import (
    CellId,
    FastestRecord,
    encode,
    fastest_key,
)
from marjoramwharf.errors import Failure
from marjoramwharf.links.peer_client import fetch_identity
from marjoramwharf.links.peer_messages import PeerIdentity
from marjoramwharf.links.relay_peers import PeerAddress
from marjoramwharf.links.store import Guard, PollingStore, Write
from marjoramwharf.links.tcp import open_stream
from marjoramwharf.logs import part_logger

_LOG = part_logger('owner')

_CHECK_PERIOD_S = 0.5
_ASK_TIMEOUT_S = 0.5

# A new owner doesn't know all entries yet, so a lower speed isn't stored before.
_SETTLED_S = 45.0

# Returns who answers at the address of a peer; raises ``OSError`` or a
# ``Failure`` if nobody does.
AskPeer = Callable[[PeerAddress], Awaitable[PeerIdentity]]


async def ask_peer(peer: PeerAddress) -> PeerIdentity:
    """Ask the process at the address of a peer who it is."""
    return await fetch_identity(partial(open_stream, peer.host, peer.port))


@dataclass(slots=True, eq=False)
class StrongerEntries:
    """Compares the owner of a cell, since ``owned_since_s``, with its peers.

    ``stored_cpu_share`` returns the speed that is stored, as far as known,
    ``given_way_count`` how often owners have given way lately. Nobody can take
    the cell over while the store isn't reachable. ``hand_over`` gives the cell
    up in good order.
    """

    store: PollingStore
    cell: CellId
    ownership_guard: Guard
    cpu_share: float
    owned_since_s: float
    peers: Callable[[], Sequence[PeerAddress]]
    stored_cpu_share: Callable[[], float]
    given_way_count: Callable[[], int]
    is_store_reachable: Callable[[], bool]
    hand_over: Callable[[], Awaitable[None]]
    ask: AskPeer = ask_peer

    async def run(self) -> None:
        """Compare until the cell is handed over."""
        while True:
            await trio.sleep(_CHECK_PERIOD_S)
            await self._store_fastest(now_s=boot_s())
            if await self._has_stronger(now_s=boot_s()):
                await self.hand_over()
                return

    async def _store_fastest(self, *, now_s: float) -> None:
        """Store the speed of the fastest entry if that isn't stored."""
        shares = [peer.cpu_share for peer in self.peers()]
        fastest = max([self.cpu_share, *shares])
        stored = self.stored_cpu_share()
        is_settled = now_s - self.owned_since_s >= _SETTLED_S
        if fastest > stored or (fastest < stored and is_settled):
            write = Write(
                fastest_key(self.cell), encode(FastestRecord(fastest))
            )
            try:
                await self.store.commit([self.ownership_guard], [write])
            except Failure as failure:
                _LOG.info('fastest entry not stored', error=str(failure))

    async def _has_stronger(self, *, now_s: float) -> bool:
        """Whether an entry that outclasses this one answers."""
        owned_s = now_s - self.owned_since_s
        is_early = owned_s < patience_s(self.given_way_count())
        if is_early or not self.is_store_reachable():
            return False
        stronger = [
            peer
            for peer in self.peers()
            if is_outclassed(self.cpu_share, peer.cpu_share)
        ]
        for peer in sorted(stronger, key=lambda found: -found.cpu_share):
            if await self._is_there(peer):
                _LOG.warning(
                    'outclassed',
                    cpu_share=self.cpu_share,
                    other=peer.entry_id,
                    other_cpu_share=peer.cpu_share,
                )
                return True
        return False

    async def _is_there(self, peer: PeerAddress) -> bool:
        """Whether the process of a peer's record answers."""
        with trio.move_on_after(_ASK_TIMEOUT_S):
            try:
                identity = await self.ask(peer)
            except (OSError, Failure) as failure:
                _LOG.debug('faster entry not asked', error=repr(failure))
                return False
            return identity.entry_id == peer.entry_id
        return False
