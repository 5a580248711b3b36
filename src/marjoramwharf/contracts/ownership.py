"""Ownership of shards by compare-and-swap on records in the store.

The record ``<prefix>/<shard>`` names the owner, its incarnation and an epoch
that only grows. A shard may be taken when its owner has no member record. The
module serves both capacity shards (``/own/capacity``) and job shards
(``/own/jobs``).
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
    fresh for each write, so that a writer recognises its own record after
    the store's answer was lost. ``declined`` has the entries that could not
    serve the shard, with their incarnations.
    """

    owner: EntryId
    incarnation: Incarnation
    epoch: Epoch
    nonce: str
    declined: tuple[tuple[EntryId, Incarnation], ...] = ()


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
    """Acquires and tracks this process's shards below one prefix.

    ``members`` returns the live entries with their incarnations; it must come
    from a current reading of the members, since a shard whose owner is
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
        """Return the cached record of a shard, if there is one."""
        cached = self._records.get(shard)
        return None if cached is None else cached[0]

    def records(self) -> Mapping[ShardId, OwnerRecord]:
        """Return the cached records of all shards."""
        return {shard: cached[0] for shard, cached in self._records.items()}

    def revision_of(self, shard: ShardId) -> int:
        """Return the revision of the cached record, or 0 without one."""
        cached = self._records.get(shard)
        return 0 if cached is None else cached[1]

    async def refresh(self, *, may_take_over: bool = True) -> bool:
        """Reread all records, then take the free shards this entry should own.

        Call it at start, after an outage and at long intervals. The owned
        shards are kept during an outage, and nothing is written after it until
        the records have been reread. Without ``may_take_over``, shards of
        missing owners are not taken. Returns false if the store is down.
        """
        try:
            await self._reread()
        except StoreUnavailable:
            self._must_reread = True
            return False
        await self.take_preferred(may_take_over=may_take_over)
        return True

    async def take_preferred(self, *, may_take_over: bool = True) -> None:
        """Take the free shards that rendezvous hashing assigns to this entry.

        Call it after a change of the members or of an observed record. It
        takes nothing while the records must first be reread.
        """
        for number in range(self._shard_count):
            shard = ShardId(number)
            if not may_take_over and self._is_owned_by_other(shard):
                continue
            if self._should_take(shard):
                await self.take(shard)

    async def take(self, shard: ShardId) -> bool:
        """Take a free shard under the next epoch.

        Returns false if another entry was first or the store is down.
        """
        if self._must_reread or not self._may_take(shard):
            return False
        cached = self._records.get(shard)
        former_epoch = 0 if cached is None else cached[0].epoch
        record = OwnerRecord(
            owner=self._entry_id,
            incarnation=self._incarnation,
            epoch=Epoch(former_epoch + 1),
            nonce=random_id(),
            declined=self._declined(shard),
        )
        if not await self._compare_and_swap(shard, record):
            return False
        self.owned[shard] = record.epoch
        _LOG.info(
            'shard taken', key=f'{self._prefix}/{shard}', epoch=record.epoch
        )
        return True

    async def hand_over(
        self, shard: ShardId, *, is_declined: bool = False
    ) -> bool:
        """Release an owned shard for another entry; its epoch stays.

        The caller stops using the shard first. With ``is_declined``, this
        entry takes the shard again only after all others have declined it.
        Returns whether the record was written.
        """
        declined = self._declined(shard)
        if is_declined:
            former = declined if self.has_other_candidate(shard) else ()
            declined = (*former, (self._entry_id, self._incarnation))
        epoch = self.owned.pop(shard, None)
        if epoch is None or self._must_reread:
            return False
        freed = OwnerRecord(
            owner=EntryId(''),
            incarnation=Incarnation(''),
            epoch=epoch,
            nonce=random_id(),
            declined=declined,
        )
        return await self._compare_and_swap(shard, freed)

    async def advance_epoch(self, shard: ShardId) -> bool:
        """Move an owned shard to the next epoch.

        Call it when a worker was dropped and came back while this entry kept
        the shard. Once the worker is told the new epoch, it refuses grants of
        the former one.
        """
        epoch = self.owned.get(shard)
        if epoch is None or self._must_reread:
            return False
        record = OwnerRecord(
            owner=self._entry_id,
            incarnation=self._incarnation,
            epoch=Epoch(epoch + 1),
            nonce=random_id(),
            declined=self._declined(shard),
        )
        if not await self._compare_and_swap(shard, record):
            return False
        self.owned[shard] = record.epoch
        return True

    def misplaced(self) -> list[ShardId]:
        """Return the owned shards whose preferred entry is another live one.

        Handing over a few at a time balances the shards after an entry starts.
        """
        return [
            shard
            for shard in self.owned
            if self._preferred_entry(shard) not in {None, self._entry_id}
        ]

    @property
    def is_only_candidate(self) -> bool:
        """Whether no other entry may own shards."""
        return not set(self._candidates()) - {self._entry_id}

    def has_other_candidate(self, shard: ShardId) -> bool:
        """Whether an entry other than this one has not declined a shard."""
        return bool(self._willing_entries(shard) - {self._entry_id})

    def mark_lost(self, shard: ShardId) -> None:
        """Disown a shard after a refusal that proves a higher epoch."""
        if self.owned.pop(shard, None) is not None:
            _LOG.warning('shard lost', key=f'{self._prefix}/{shard}')
        self._must_reread = True

    def observe(self, stored: StoredValue) -> None:
        """Cache a record from a reading or a watch unless it is outdated.

        An owned shard whose record names another owner is lost.
        """
        shard = ShardId(int(stored.key.rpartition('/')[2]))
        record = msgspec.json.decode(stored.body, type=OwnerRecord)
        cached = self._records.get(shard)
        if cached is not None and cached[1] > stored.mod_revision:
            return
        self._records[shard] = (record, stored.mod_revision)
        if shard in self.owned and not self._names_this_process(record):
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

    async def _compare_and_swap(
        self, shard: ShardId, record: OwnerRecord
    ) -> bool:
        cached = self._records.get(shard)
        key = f'{self._prefix}/{shard}'
        guard = Guard(key, 0 if cached is None else cached[1])
        try:
            outcome = await self._store.commit(
                [guard],
                [Write(key, msgspec.json.encode(record))],
                urgency=Urgency.OWNERSHIP,
            )
        except StoreAnswerLost:
            return await self._verify_by_reading(shard, record)
        except StoreUnavailable:
            self._must_reread = True
            return False
        if isinstance(outcome, Conflict):
            self._must_reread = True
            return False
        self._records[shard] = (record, outcome.revision)
        return True

    async def _verify_by_reading(
        self, shard: ShardId, record: OwnerRecord
    ) -> bool:
        """Read back a record whose write had no answer; return if it is ours.

        If the store can't be read either, the shard counts as not taken. The
        write may still have succeeded; then the next refresh takes the shard
        again under a higher epoch.
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
        if shard in self.owned or not self._may_take(shard):
            return False
        cached = self._records.get(shard)
        if cached is not None and self._names_this_process(cached[0]):
            # A hand-over did not reach the store. No other entry takes the
            # shard while its record names this process.
            return True
        return self._preferred_entry(shard) == self._entry_id

    def _preferred_entry(self, shard: ShardId) -> EntryId | None:
        willing = self._willing_entries(shard)
        return preferred_entry(shard, willing or self._candidates())

    def _willing_entries(self, shard: ShardId) -> set[EntryId]:
        declined = {entry for entry, _ in self._declined(shard)}
        return set(self._candidates()) - declined

    def _declined(
        self, shard: ShardId
    ) -> tuple[tuple[EntryId, Incarnation], ...]:
        """Return the living processes that have declined a shard."""
        cached = self._records.get(shard)
        if cached is None:
            return ()
        members = self._members()
        return tuple(
            (entry, incarnation)
            for entry, incarnation in cached[0].declined
            if members.get(entry) == incarnation
        )

    def _may_take(self, shard: ShardId) -> bool:
        cached = self._records.get(shard)
        if cached is None:
            return True
        record = cached[0]
        if self._names_this_process(record):
            return shard not in self.owned
        return self._members().get(record.owner) != record.incarnation

    def _is_owned_by_other(self, shard: ShardId) -> bool:
        """Tell whether the record of a shard names another process."""
        cached = self._records.get(shard)
        if cached is None or not cached[0].owner:
            return False
        return not self._names_this_process(cached[0])

    def _names_this_process(self, record: OwnerRecord) -> bool:
        return (
            record.owner == self._entry_id
            and record.incarnation == self._incarnation
        )


def _digest(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')
