"""What the owner of a cell stores, beside the jobs, for the owner after it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio

from marjoramwharf.cells.cell_context import CellContext, CellOwnership
from marjoramwharf.cells.lapsing_workers import LapsingWorkers
from marjoramwharf.cells.list_position import ListPosition
from marjoramwharf.cells.model_saver import ModelSaver
from marjoramwharf.cells.worker_registry import WorkerRegistry
from marjoramwharf.cells.worker_roster import KnownWorkers, WorkerRoster
from marjoramwharf.isolation import run_restarted
from marjoramwharf.scheduling.interference import InterferenceModel


@dataclass(frozen=True, slots=True)
class Succession:
    """The records of an owner's marks, known workers and learned weights."""

    lapsing: LapsingWorkers
    roster: WorkerRoster
    list_position: ListPosition
    model_saver: ModelSaver

    async def load(self) -> KnownWorkers:
        """Read what the former owner has left; return the workers it knew.

        Raises store failures.
        """
        await self.lapsing.load()
        await self.model_saver.load()
        list_revision = await self.list_position.load()
        return KnownWorkers(tuple(await self.roster.load()), list_revision)

    def start(self, nursery: trio.Nursery) -> None:
        """Keep the records up to date in tasks of a nursery."""
        nursery.start_soon(self.lapsing.run)
        nursery.start_soon(self.roster.run)
        nursery.start_soon(self.list_position.run)
        nursery.start_soon(run_restarted, 'model saver', self.model_saver.run)


def build_succession(
    context: CellContext,
    ownership: CellOwnership,
    model: InterferenceModel,
    registry: WorkerRegistry,
    list_revision: Callable[[], int],
) -> Succession:
    """Create the records of one tenure.

    ``list_revision`` returns how far the list of workers has been followed.
    """
    roster = WorkerRoster(
        store=context.store,
        cell=ownership.cell,
        ownership_guard=ownership.guard,
        known_listings=registry.listings,
    )
    return Succession(
        LapsingWorkers(
            store=context.store,
            cell=ownership.cell,
            ownership_guard=ownership.guard,
            view=context.lapsing_view,
            former_fence=ownership.former_fence,
        ),
        roster,
        ListPosition(
            store=context.store,
            cell=ownership.cell,
            ownership_guard=ownership.guard,
            current_revision=list_revision,
            is_complete=lambda: roster.is_stored and not registry.has_unchecked,
        ),
        ModelSaver(context.store, ownership.cell, ownership.guard, model),
    )
