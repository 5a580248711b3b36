"""Ownership of shards by compare-and-swap on records in the store.

The record ``<prefix>/<shard>`` names the owner, its incarnation and an epoch
that only grows. A record is taken when its owner has no member record. The
module serves capacity shards (``/own/capacity``) and job shards
(``/own/jobs``) alike.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import TypeAlias

import msgspec

from marjoramwharf.errors import StoreAnswerLost, StoreUnavailable
from marjoramwharf.ids import (
    EntryId,
    Epoch,
    Incarnation,
    ShardId,
    WorkerId,
    random_id,
)
from marjoramwharf.links.store import (
    Conflict,
    Guard,
    Store,
    StoredValue,
    Urgency,
    Write,
)
from marjoramwharf.logs import part_logger

Members: TypeAlias = Callable[[], Mapping[EntryId, Incarnation]]

_LOG = part_logger('capacity')
_DIGEST_BYTES = 8


class OwnerRecord(msgspec.Struct, frozen=True):
    """The body of an ownership record.

    An empty ``owner`` means that the shard was handed over. ``nonce`` is
    fresh for each write and settles a write whose answer was lost.
    """

    owner: EntryId
    incarnation: Incarnation
    epoch: Epoch
    nonce: str


def shard_of(worker_id: WorkerId, shard_count: int) -> ShardId:
    """Return the capacity shard of a worker."""
    return ShardId(_digest(worker_id) % shard_count)


def preferred_entry(
    shard: ShardId,
    entries: Iterable[EntryId],
) -> EntryId | None:
    """Return the entry with the highest rendezvous hash for a shard."""
    return max(
        entries,
        key=lambda entry: (_digest(f'{entry}/{shard}'), entry),
        default=None,
    )


class Ownership:
    """The shards below one prefix that this process owns.

    ``members`` returns the live entries with their incarnations; it must come
    from a current reading of the members, since a record whose owner is
    missing there is taken. ``candidates`` returns the entries that may own
    shards, by default all members.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        shard_count: int,
        *,
        entry_id: EntryId,
        incarnation: Incarnation,
        members: Members,
        candidates: Callable[[], Collection[EntryId]] | None = None,
    ) -> None:
        """Start without shards."""
        self.owned: dict[ShardId, Epoch] = {}
        self._store = store
        self._prefix = prefix
        self._shard_count = shard_count
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._members = members
        self._candidates = candidates or members
        self._must_reread = True
        self._records: dict[ShardId, tuple[OwnerRecord, int]] = {}

    def owner_of(self, shard: ShardId) -> OwnerRecord | None:
        """Return the last known record of a shard."""
        known = self._records.get(shard)
        return None if known is None else known[0]

    def records(self) -> Mapping[ShardId, OwnerRecord]:
        """Return the last known records."""
        return {shard: known[0] for shard, known in self._records.items()}

    def revision_of(self, shard: ShardId) -> int:
        """Return the revision of the last known record, 0 without one."""
        known = self._records.get(shard)
        return 0 if known is None else known[1]

    async def refresh(self, *, may_take_over: bool = True) -> bool:
        """Reread all records, then take the free shards meant for this entry.

        Call it at start, after an outage and at long intervals. During an
        outage the owned shards are kept; the records are reread before
        anything is written after it. Without ``may_take_over``, shards of
        missing owners are left alone. Returns false if the store is down.
        """
        try:
            await self._reread()
        except StoreUnavailable:
            self._must_reread = True
            return False
        await self.take_preferred(may_take_over=may_take_over)
        return True

    async def take_preferred(self, *, may_take_over: bool = True) -> None:
        """Take the free shards meant for this entry.

        Call it after a change of the members or of an observed record. It
        does nothing while the records must first be reread.
        """
        for number in range(self._shard_count):
            shard = ShardId(number)
            if not may_take_over and self._is_others(shard):
                continue
            if self._should_take(shard):
                await self.take(shard)

    async def take(self, shard: ShardId) -> bool:
        """Take a free shard with the next epoch.

        Returns false if another entry was first or the store is down.
        """
        if self._must_reread or not self._is_free(shard):
            return False
        known = self._records.get(shard)
        former_epoch = 0 if known is None else known[0].epoch
        record = OwnerRecord(
            owner=self._entry_id,
            incarnation=self._incarnation,
            epoch=Epoch(former_epoch + 1),
            nonce=random_id(),
        )
        if not await self._swap(shard, record):
            return False
        self.owned[shard] = record.epoch
        _LOG.info(
            'shard taken', key=f'{self._prefix}/{shard}', epoch=record.epoch
        )
        return True

    async def hand_over(self, shard: ShardId) -> bool:
        """Free an owned shard on a planned stop; its epoch stays.

        The caller stops using the shard first.
        """
        epoch = self.owned.pop(shard, None)
        if epoch is None or self._must_reread:
            return False
        freed = OwnerRecord(
            owner=EntryId(''),
            incarnation=Incarnation(''),
            epoch=epoch,
            nonce=random_id(),
        )
        return await self._swap(shard, freed)

    async def advance_epoch(self, shard: ShardId) -> bool:
        """Move an owned shard to the next epoch.

        Grants of the former epoch end at the next fence. It serves a worker
        that was disowned and came back while the shard did not change hands.
        """
        epoch = self.owned.get(shard)
        if epoch is None or self._must_reread:
            return False
        record = OwnerRecord(
            owner=self._entry_id,
            incarnation=self._incarnation,
            epoch=Epoch(epoch + 1),
            nonce=random_id(),
        )
        if not await self._swap(shard, record):
            return False
        self.owned[shard] = record.epoch
        return True

    def misplaced(self) -> list[ShardId]:
        """Return the owned shards that another live entry should own.

        Handing over a few at a time balances the entries after a start.
        """
        members = self._candidates()
        return [
            shard
            for shard in self.owned
            if preferred_entry(shard, members) not in {None, self._entry_id}
        ]

    def mark_lost(self, shard: ShardId) -> None:
        """Give up a shard after a refusal that proves a higher epoch."""
        if self.owned.pop(shard, None) is not None:
            _LOG.warning('shard lost', key=f'{self._prefix}/{shard}')
        self._must_reread = True

    def observe(self, stored: StoredValue) -> None:
        """Take over one record, as a reading or a watch shows it."""
        shard = ShardId(int(stored.key.rpartition('/')[2]))
        record = msgspec.json.decode(stored.body, type=OwnerRecord)
        known = self._records.get(shard)
        if known is not None and known[1] > stored.mod_revision:
            return
        self._records[shard] = (record, stored.mod_revision)
        if shard in self.owned and not self._is_mine(record):
            self.owned.pop(shard)
            _LOG.warning('shard lost', key=stored.key, epoch=record.epoch)

    async def _reread(self) -> None:
        reading = await self._store.read_prefix(
            f'{self._prefix}/',
            urgency=Urgency.OWNERSHIP,
        )
        for stored in reading.found:
            self.observe(stored)
        self._must_reread = False

    async def _swap(self, shard: ShardId, record: OwnerRecord) -> bool:
        known = self._records.get(shard)
        key = f'{self._prefix}/{shard}'
        guard = Guard(key, 0 if known is None else known[1])
        try:
            outcome = await self._store.commit(
                [guard],
                [Write(key, msgspec.json.encode(record))],
                urgency=Urgency.OWNERSHIP,
            )
        except StoreAnswerLost:
            return await self._settle(shard, record)
        except StoreUnavailable:
            self._must_reread = True
            return False
        if isinstance(outcome, Conflict):
            self._must_reread = True
            return False
        self._records[shard] = (record, outcome.revision)
        return True

    async def _settle(self, shard: ShardId, record: OwnerRecord) -> bool:
        """Read back a write whose answer was lost.

        If the store can't be read either, the shard counts as not taken. The
        record may then name this process without its knowledge; the next
        refresh takes it again with a higher epoch.
        """
        try:
            stored = await self._store.read(
                f'{self._prefix}/{shard}',
                urgency=Urgency.OWNERSHIP,
            )
        except StoreUnavailable:
            self._must_reread = True
            return False
        if stored is None:
            return False
        self.observe(stored)
        return self._records[shard][0].nonce == record.nonce

    def _should_take(self, shard: ShardId) -> bool:
        if shard in self.owned or not self._is_free(shard):
            return False
        known = self._records.get(shard)
        if known is not None and self._is_mine(known[0]):
            # A hand-over did not reach the store. No other entry takes the
            # shard while the record names this process.
            return True
        return preferred_entry(shard, self._candidates()) == self._entry_id

    def _is_free(self, shard: ShardId) -> bool:
        known = self._records.get(shard)
        if known is None:
            return True
        record = known[0]
        if self._is_mine(record):
            return shard not in self.owned
        return self._members().get(record.owner) != record.incarnation

    def _is_others(self, shard: ShardId) -> bool:
        """Tell whether a record names an entry other than this process."""
        known = self._records.get(shard)
        if known is None or not known[0].owner:
            return False
        return not self._is_mine(known[0])

    def _is_mine(self, record: OwnerRecord) -> bool:
        return (
            record.owner == self._entry_id
            and record.incarnation == self._incarnation
        )


def _digest(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')
