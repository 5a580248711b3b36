"""Acquires job shards, serves them, and hands them over."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from marjoramwharf.batch.journal import Journal
from marjoramwharf.batch.ordering import ShardPolicy
from marjoramwharf.batch.runner import JobRunner
from marjoramwharf.batch.shard import JobShard
from marjoramwharf.contracts.ownership import Ownership
from marjoramwharf.errors import Failure
from marjoramwharf.ids import Epoch, ShardId
from marjoramwharf.links.members import MemberView
from marjoramwharf.links.store import Guard, Store
from marjoramwharf.logs import part_logger
from marjoramwharf.settings import BatchSettings

PREFIX = '/own/jobs'

# Limits how late a lost or free shard is noticed when no member changes.
_REFRESH_S = 1.0
_RECOVER_PAUSE_S = 0.5
_FLUSH_TIMEOUT_S = 3.0
_MS_PER_S = 1_000

_log = part_logger('jobs')


@dataclass(slots=True)
class _ServedShard:
    epoch: Epoch
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    ended: trio.Event = field(default_factory=trio.Event)


class JobShards:
    """The job shards that this entry owns and serves.

    The ownership record of an owned shard is not rewritten while it is served:
    every write to the journal is conditional on the revision of the record.
    """

    def __init__(
        self,
        ownership: Ownership,
        runner: JobRunner,
        store: Store,
        *,
        settings: BatchSettings,
        policy: ShardPolicy,
        view: MemberView,
        entry_lease_s: float,
    ) -> None:
        """Start without shards."""
        self._ownership = ownership
        self._runner = runner
        self._store = store
        self._settings = settings
        self._policy = policy
        self._view = view
        self._served: dict[ShardId, _ServedShard] = {}
        self._lease_s = entry_lease_s
        # After an outage, which may have ended just before this start, the
        # entries register again one by one. Until they had one lease of time
        # for that, a missing member does not prove that it is dead.
        self._takeover_allowed_at_s: float = 0
        self._is_stopping = False

    async def run(self) -> None:
        """Serve the shards that this entry should own until cancelled."""
        self._takeover_allowed_at_s = trio.current_time() + self._lease_s
        async with trio.open_nursery() as nursery:
            while not self._is_stopping:
                now_s = trio.current_time()
                if not await self._ownership.refresh(
                    may_take_over=now_s >= self._takeover_allowed_at_s,
                ):
                    self._takeover_allowed_at_s = (
                        now_s + _REFRESH_S + self._lease_s
                    )
                await self._reconcile(nursery)
                with trio.move_on_after(_REFRESH_S):
                    await self._view.wait_change()

    async def hand_over_all(self) -> None:
        """Flush the journals and release all shards on a planned stop."""
        self._is_stopping = True
        async with trio.open_nursery() as nursery:
            for shard in tuple(self._ownership.owned):
                nursery.start_soon(self._hand_over, shard)

    async def _reconcile(self, nursery: trio.Nursery) -> None:
        if self._is_stopping:
            return
        owned = dict(self._ownership.owned)
        for shard, served in tuple(self._served.items()):
            if owned.get(shard) != served.epoch:
                await self._stop_serving(shard)
        for taken, epoch in owned.items():
            if taken not in self._served:
                started = _ServedShard(epoch)
                self._served[taken] = started
                nursery.start_soon(self._serve, taken, started)
        if trio.current_time() < self._takeover_allowed_at_s:
            return
        # One at a time, since a shard has no owner during its handover.
        for moved in self._ownership.misplaced()[:1]:
            await self._hand_over(moved)
        for declined in self._find_declinable()[:1]:
            _log.warning('shard declined', shard=declined)
            await self._hand_over(declined, is_declined=True)

    def _find_declinable(self) -> list[ShardId]:
        """Return the shards that another entry may serve better.

        This entry can start no task of theirs if it reaches no worker.
        """
        if not self._runner.worker_failures.reaches_no_worker:
            return []
        return [
            shard
            for shard in self._ownership.owned
            if self._ownership.has_other_candidate(shard)
        ]

    async def _serve(self, shard: ShardId, served: _ServedShard) -> None:
        with served.scope:
            await self._recover_and_serve(shard, served.epoch)
            # A write of the journal was refused: another entry owns the shard.
            self._ownership.mark_lost(shard)
        if self._served.get(shard) is served:
            self._served.pop(shard)
        served.ended.set()

    async def _recover_and_serve(self, shard: ShardId, epoch: Epoch) -> None:
        revision = self._ownership.revision_of(shard)
        settings = self._settings
        journal = Journal(
            self._store,
            shard,
            owner=Guard(f'{PREFIX}/{shard}', revision),
            snapshot_part_bytes=settings.snapshot_part_bytes,
            snapshot_after_entries_count=settings.snapshot_after_entries_count,
            commit_interval_s=settings.commit_interval_ms / _MS_PER_S,
        )
        while True:
            try:
                await journal.recover()
            except Failure as failure:
                _log.warning(
                    'journal not read',
                    shard=shard,
                    reason=failure.reason.value,
                )
                await trio.sleep(_RECOVER_PAUSE_S)
            else:
                break
        await self._runner.serve_shard(
            JobShard(shard, epoch, journal, self._policy)
        )

    async def _hand_over(
        self, shard: ShardId, *, is_declined: bool = False
    ) -> None:
        owned = self._runner.shard(shard)
        if owned is not None:
            with trio.move_on_after(_FLUSH_TIMEOUT_S):
                try:
                    await owned.flush()
                except Failure as failure:
                    _log.warning(
                        'journal not flushed',
                        shard=shard,
                        reason=failure.reason.value,
                    )
        await self._stop_serving(shard)
        await self._ownership.hand_over(shard, is_declined=is_declined)

    async def _stop_serving(self, shard: ShardId) -> None:
        served = self._served.get(shard)
        if served is not None:
            served.scope.cancel()
            await served.ended.wait()
