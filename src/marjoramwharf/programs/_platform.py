"""Background tasks that track the list of workers and the capacity shards."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import trio

from marjoramwharf.contracts.lending import (
    CapacityManager,
    assign_workers,
    find_silent_shards,
)
from marjoramwharf.contracts.ownership import Ownership
from marjoramwharf.errors import BadListing, DirectoryUnavailable
from marjoramwharf.ids import (
    EntryId,
    Epoch,
    Incarnation,
    ShardId,
    WorkerId,
)
from marjoramwharf.links.directory import DirectoryClient
from marjoramwharf.links.members import MemberView
from marjoramwharf.logs import part_logger
from marjoramwharf.machines.worker_table import WorkerTable
from marjoramwharf.settings import CapacitySettings

# Limits how late a lost or free shard is noticed when no member changes.
_REFRESH_S = 2
# Balances the shards after an entry starts without moving many at a time.
_MAX_MOVED_AT_ONCE_COUNT = 1

# A shard is declined when no worker of it has answered this many heartbeats: early
# enough for a successor to renew their leases. Once all entries have declined it,
# it is declined again after the larger number.
_SILENT_HEARTBEATS_COUNT = 3
_SILENT_FOR_ALL_HEARTBEATS_COUNT = 30
_MS_PER_S = 1_000

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
    _owned_since_s: dict[WorkerId, tuple[Epoch, float]] = field(
        default_factory=dict
    )
    _silent_before: set[ShardId] = field(default_factory=set)

    async def run(self) -> None:
        """Own the shards that this entry should own until cancelled."""
        while True:
            await self.ownership.refresh()
            await self.assign()
            await self._decline_silent(self.clock())
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

    async def _decline_silent(self, now_s: float) -> None:
        """Hand over the shards whose workers this entry doesn't reach.

        A shard has to be silent at two checks in turn, since all are at the
        first one after this process stood still.
        """
        silent_shards = self._find_silent_shards(now_s)
        for shard in silent_shards & self._silent_before:
            _log.warning('shard declined', shard=shard)
            await self.ownership.hand_over(shard, is_declined=True)
            await self.assign()
        self._silent_before.clear()
        self._silent_before.update(silent_shards)

    def _find_silent_shards(self, now_s: float) -> frozenset[ShardId]:
        if self.ownership.is_only_candidate:
            return frozenset()
        answered_s = self._find_answer_times(now_s)
        silent, silent_for_all = (
            find_silent_shards(
                answered_s,
                self.settings.shard_count,
                silent_s=count * self.settings.heartbeat_ms / _MS_PER_S,
                now_s=now_s,
            )
            for count in (
                _SILENT_HEARTBEATS_COUNT,
                _SILENT_FOR_ALL_HEARTBEATS_COUNT,
            )
        )
        return silent_for_all | {
            shard
            for shard in silent
            if self.ownership.has_other_candidate(shard)
        }

    def _find_answer_times(self, now_s: float) -> dict[WorkerId, float]:
        """Return when each worker answered, or from when on it was owned."""
        answered_s: dict[WorkerId, float] = {}
        ledgers = self.capacity_manager.allocator.ledgers
        for worker_id, ledger in ledgers.items():
            epoch, since_s = self._owned_since_s.get(
                worker_id, (ledger.epoch, now_s)
            )
            if epoch != ledger.epoch:
                since_s = now_s
            self._owned_since_s[worker_id] = (ledger.epoch, since_s)
            answered_s[worker_id] = max(ledger.reported_at_s, since_s)
        return answered_s

    async def _hand_over_misplaced(self) -> None:
        for shard in self.ownership.misplaced()[:_MAX_MOVED_AT_ONCE_COUNT]:
            await self.ownership.hand_over(shard)
            await self.assign()
