"""An entry that competes for a cell, for these tests."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

import trio

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.evacuations import Evacuations
from marjoramwharf.cells.owner_view import OwnerView
from marjoramwharf.cells.ownership import Campaign
from marjoramwharf.ids import WorkerId
from marjoramwharf.platform.evacuation_requests import evacuated_data_centre
from standins.frozen_process import FreezeGate


@dataclass
class Candidate:
    """A process that competes for the cell.

    Cancelling ``scope`` kills it; ``gate`` lets it stand still for a while, and
    ``store_gate`` keeps it from the store.
    ``tenures_count`` tells how often it became the owner. It has no path to the
    ``unreachable`` workers, while other entries may have one, none to the
    ``unconnected`` entries, and none to any entry while it ``is_isolated``.
    While it ``refuses_connections``, no entry can ask it who it is.
    """

    view: OwnerView = field(default_factory=OwnerView)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    cell: Cell | None = None
    campaign: Campaign | None = None
    gate: FreezeGate = field(default_factory=FreezeGate)
    store_gate: FreezeGate = field(default_factory=FreezeGate)
    evacuations: Evacuations = field(
        default_factory=partial(Evacuations, evacuated_data_centre)
    )
    tenures_count: int = 0
    unreachable: set[WorkerId] = field(default_factory=set)
    unconnected: list[Candidate] = field(default_factory=list)
    is_isolated: bool = False
    refuses_connections: bool = False

    def give_way(self) -> None:
        """Let other entries campaign before this one does again."""
        if self.campaign is not None:
            self.campaign.give_way(now_s=boot_s())
