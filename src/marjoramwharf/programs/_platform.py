"""Background tasks that track the list of workers and the capacity shards."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import trio

from marjoramwharf.contracts.lending import CapacityManager, assign_workers
from marjoramwharf.contracts.ownership import Ownership
from marjoramwharf.errors import BadListing, DirectoryUnavailable
from marjoramwharf.ids import EntryId, Incarnation
from marjoramwharf.links.directory import DirectoryClient
from marjoramwharf.links.members import MemberView
from marjoramwharf.logs import part_logger
from marjoramwharf.machines.worker_table import WorkerTable
from marjoramwharf.settings import CapacitySettings

# Limits how late a lost or free shard is noticed when no member changes.
_REFRESH_S = 2
# Balances the shards after an entry starts without moving many at a time.
_MAX_MOVED_AT_ONCE_COUNT = 1

_log = part_logger('platform')


def incarnation_lookup(
    view: MemberView,
) -> Callable[[], Mapping[EntryId, Incarnation]]:
    """Return a function that returns the incarnations of all known entries."""

    def members() -> Mapping[EntryId, Incarnation]:
        return {member.entry_id: member.incarnation for member in view.known()}

    return members


@dataclass(frozen=True, slots=True, kw_only=True)
class DirectoryPoller:
    """Polls the platform's list of workers into the worker table.

    ``on_change`` is called after each successful poll, ``on_removed`` for each
    worker that left the list.
    """

    client: DirectoryClient
    worker_table: WorkerTable
    poll_s: float
    on_change: Callable[[], None]
    on_removed: Callable[[str], None]

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Poll until cancelled; reports started after the first success."""
        is_started = False
        while True:
            if await self._poll() and not is_started:
                task_status.started()
                is_started = True
            await trio.sleep(self.poll_s)

    async def _poll(self) -> bool:
        try:
            listing = await self.client.fetch()
        except (DirectoryUnavailable, BadListing) as failure:
            _log.warning('list of workers not read', cause=failure.message)
            return False
        change = self.worker_table.apply(listing)
        self.on_change()
        for worker_id in change.removed:
            self.on_removed(worker_id)
        return True


@dataclass(frozen=True, slots=True, kw_only=True)
class CapacityShards:
    """Acquires capacity shards, owns their workers and hands shards over."""

    ownership: Ownership
    view: MemberView
    worker_table: WorkerTable
    capacity_manager: CapacityManager
    settings: CapacitySettings
    clock: Callable[[], float]

    async def run(self) -> None:
        """Own the shards that this entry should own until cancelled."""
        while True:
            await self.ownership.refresh()
            await self.assign()
            await self._hand_over_misplaced()
            with trio.move_on_after(_REFRESH_S):
                await self.view.wait_change()

    async def assign(self) -> None:
        """Own the workers of the owned shards and disown the others."""
        listed = {
            worker.worker_id: worker for worker in self.worker_table.known()
        }
        outdated_shards = assign_workers(
            self.capacity_manager,
            listed,
            self.ownership.owned,
            self.settings,
            self.clock(),
        )
        for shard in outdated_shards:
            await self.ownership.advance_epoch(shard)

    async def hand_over_all(self) -> None:
        """Release all shards on a planned stop."""
        for shard in tuple(self.ownership.owned):
            await self.ownership.hand_over(shard)

    async def _hand_over_misplaced(self) -> None:
        for shard in self.ownership.misplaced()[:_MAX_MOVED_AT_ONCE_COUNT]:
            await self.ownership.hand_over(shard)
            await self.assign()
