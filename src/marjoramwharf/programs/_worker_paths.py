"""Wiring of an entry's calls to workers, direct and through other entries."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.routed_worker_client import RoutedWorkerClient
from marjoramwharf.cells.worker_messages import WorkerClient
from marjoramwharf.cells.worker_relay import (
    PeerWorkerRelay,
    answer_worker_call,
)
from marjoramwharf.cells.worker_routes import WorkerRoutes
from marjoramwharf.links.http_client import HttpClient
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.relay_peers import PeerAddress, PeerSource, RelayPeers
from marjoramwharf.platform.worker_client import PlatformWorkerClient

# Entries that a cell's owner is connected to while it has lost workers, beside
# those through which it reaches some.
_TRIED_PEERS_COUNT = 4


@dataclass(slots=True)
class WorkerPaths:
    """The paths from this entry to workers.

    ``routes`` are those of the current tenure, if this entry is the owner.
    """

    client: HttpClient
    identity: PeerIdentity
    peers: PeerSource
    counters: CellCounters
    routes: WorkerRoutes = field(default_factory=WorkerRoutes)
    relay_peers: RelayPeers = field(init=False)
    _direct: WorkerClient = field(init=False)

    def __post_init__(self) -> None:
        """Create the client of workers and the connections to entries."""
        self._direct = PlatformWorkerClient(self.client)
        self.relay_peers = RelayPeers(
            self.peers,
            self.identity,
            self._has_lost_workers,
            size=_TRIED_PEERS_COUNT,
            is_admitted=self._is_useful,
            is_in_use=lambda peer: self.routes.is_in_use(peer.entry_id),
        )

    def begin_tenure(self) -> RoutedWorkerClient:
        """Return the client of a new owner, which calls workers directly."""
        self.routes = WorkerRoutes()
        return RoutedWorkerClient(
            self._direct, PeerWorkerRelay(self.relay_peers), self.routes
        )

    def has_other_entries(self) -> bool:
        """Whether other entries are known."""
        return bool(self.relay_peers.others())

    def is_isolated(self) -> bool:
        """Whether this entry reaches no other one, though it has tried."""
        return self.relay_peers.is_isolated(now_s=trio.current_time())

    async def answer(self, call: Message) -> Message:
        """Make a call to a worker for another entry; raises ``BadFrame``."""
        self.counters.calls_for_others_count += 1
        return await answer_worker_call(self._direct, call)

    def _has_lost_workers(self) -> bool:
        return self.routes.is_tracking(now_s=boot_s())

    def _is_useful(self, peer: PeerAddress) -> bool:
        return self.routes.is_useful(peer.entry_id, now_s=boot_s())
