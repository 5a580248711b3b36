"""The tenures of an entry as the owner of a cell: wires one cell for each."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

import trio

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.cell_context import CellContext, CellOwnership
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.former_owner import FormerOwner
from marjoramwharf.cells.instance_settings import InstanceSettings
from marjoramwharf.cells.owner_view import OwnerView
from marjoramwharf.cells.ownership import Campaign, Tenure
from marjoramwharf.cells.stronger_entries import StrongerEntries
from marjoramwharf.cells.tenure_end import ask_tenure_end
from marjoramwharf.isolation import run_isolated
from marjoramwharf.links.http_client import HttpClient
from marjoramwharf.links.peer_messages import PeerIdentity
from marjoramwharf.links.relayed_store import RelayedStore
from marjoramwharf.platform.advice_client import PlatformAdviceClient
from marjoramwharf.platform.worker_listings import (
    WORKERS_PREFIX,
    decode_listing,
)
from marjoramwharf.programs._operator_requests import OperatorRequests
from marjoramwharf.programs._worker_paths import WorkerPaths

_MS_PER_S = 1_000

# The lease of a run as a share of the longest allowed one, so that the run
# outlives a change of owner.
_HOLD_LEASE_SHARE = 0.65

# For how long an owner whose own lease has expired still extends those of runs.
HOLD_AFTER_EXPIRY_S = 1.2

# How long an owner that gives way to a faster entry waits for its last writes.
_HAND_OVER_TIMEOUT_S = 1.0


@dataclass(slots=True, eq=False)
class CellTenures:
    """Runs a cell in each tenure of this entry; ``cell`` is the present one."""

    settings: InstanceSettings
    identity: PeerIdentity
    store: RelayedStore
    client: HttpClient
    view: OwnerView
    campaign: Campaign
    operators: OperatorRequests
    worker_paths: WorkerPaths
    counters: CellCounters
    cell: Cell | None = None

    async def run(self, tenure: Tenure) -> None:
        """Run the cell as its owner until the tenure ends."""
        former_owner = FormerOwner(
            tenure,
            self.view.succession,
            self.campaign.ttl_ms / _MS_PER_S + HOLD_AFTER_EXPIRY_S,
            HOLD_AFTER_EXPIRY_S,
            self.campaign.latest_tenure,
            partial(ask_tenure_end, self.identity, tenure.cell),
        )
        cell = Cell(
            ownership=CellOwnership(
                cell=tenure.cell,
                guard=tenure.guard,
                is_current=lambda: tenure.is_current(boot_s()),
                may_extend_leases=lambda: tenure.is_current(
                    boot_s() - HOLD_AFTER_EXPIRY_S,
                ),
                former_owner_until_s=former_owner.may_extend_until_s,
                give_up=tenure.scope.cancel,
                give_way=lambda: self.campaign.give_way(now_s=boot_s()),
                former_fence=self.view.fence_before(
                    tenure.cell, tenure.revision
                ),
            ),
            context=CellContext(
                store=self.store,
                worker_client=self.worker_paths.begin_tenure(),
                configuration=lambda: self.operators.config.current,
                workers_prefix=WORKERS_PREFIX,
                decode_listing=decode_listing,
                bounds=self.settings.bounds,
                hold_ms=round(
                    self.settings.bounds.max_hold_ms * _HOLD_LEASE_SHARE
                ),
                counters=self.counters,
                advice_client=self._advice_client(),
                evacuated=self.operators.evacuations.data_centres,
                has_other_entries=self.worker_paths.has_other_entries,
                is_isolated=self.worker_paths.is_isolated,
                given_way_count=lambda: self.view.given_way_count(
                    tenure.cell, now_s=boot_s()
                ),
                lapsing_view=self.view.lapsing,
            ),
        )
        self.cell = cell
        self.counters.tenures_count += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    run_isolated, 'former owner', former_owner.run
                )
                nursery.start_soon(
                    run_isolated,
                    'stronger entries',
                    self._stronger_entries(tenure, cell).run,
                )
                await cell.run()
                nursery.cancel_scope.cancel()
        finally:
            self.cell = None

    def _stronger_entries(self, tenure: Tenure, cell: Cell) -> StrongerEntries:
        async def hand_over() -> None:
            with trio.move_on_after(_HAND_OVER_TIMEOUT_S):
                await cell.hand_over()
            self.campaign.give_way(now_s=boot_s())

        return StrongerEntries(
            store=self.store,
            cell=tenure.cell,
            ownership_guard=tenure.guard,
            cpu_share=self.settings.cpu_share,
            owned_since_s=tenure.acquired_s,
            peers=self.worker_paths.relay_peers.others,
            stored_cpu_share=lambda: self.view.fastest.get(tenure.cell, 0),
            given_way_count=lambda: self.view.given_way_count(
                tenure.cell, now_s=boot_s()
            ),
            is_store_reachable=lambda: self.store.is_reachable,
            hand_over=hand_over,
        )

    def _advice_client(self) -> PlatformAdviceClient | None:
        address = self.settings.advice_address
        return PlatformAdviceClient(self.client, address) if address else None
