"""Discovery of other entries through leased records in the store.

Every entry keeps a leased record of itself and periodically reads the records
of the others. The records share a fixed number of slots, so that the cost of
a read doesn't grow with the number of entries. An entry takes the slot of its
id, or the next one that is free; while none is free, the others don't find it.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.records import (
    ENTRIES_PREFIX,
    EntryRecord,
    decode,
    encode,
    entry_key,
)
from marjoramwharf.errors import Failure, JournalDamaged
from marjoramwharf.ids import EntryId, LeaseId
from marjoramwharf.links.relay_peers import PeerAddress
from marjoramwharf.links.store import (
    Committed,
    Guard,
    PollingStore,
    StoredValue,
    Write,
)
from marjoramwharf.logs import part_logger

_LOG = part_logger('entries')

_RECORD_SLOTS_COUNT = 64
_RECORD_TTL_MS = 12_000
_RENEWAL_PERIOD_S = 4.0
_READ_PERIOD_S = 10.0

# A peer without a record may be alive: an entry can't renew its record while it
# is cut off from the store, nor can any while the store is away.
_RETENTION_S = 30.0

# While all slots are taken, enough entries can be found.
_NO_SLOT_PAUSE_S = 30.0

# Entries that start together may choose the same slot.
_MAX_ATTEMPTS_COUNT = 3

# Entries start together, so the first read waits until all have been written.
_FIRST_READ_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class _SeenPeer:
    """A peer, and when a read of the records showed it last."""

    address: PeerAddress
    seen_s: float


@dataclass(slots=True)
class EntryDirectory:
    """Publishes the record of this entry and reads those of its peers.

    A peer is kept for a while after the last read that showed it, and all are
    while the store is unavailable.
    """

    store: PollingStore
    record: EntryRecord
    peers: tuple[PeerAddress, ...] = ()
    _seen: dict[EntryId, _SeenPeer] = field(default_factory=dict)
    _lease: LeaseId | None = field(default=None)

    async def run(self) -> None:
        """Renew the record and read those of the peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._publish_record)
            await trio.sleep(_FIRST_READ_DELAY_S)
            while True:
                await self._read_peers()
                await trio.sleep(_READ_PERIOD_S)

    async def _publish_record(self) -> None:
        while True:
            try:
                await self._renew_or_write_record()
            except Failure as failure:
                _LOG.info('entry record not published', error=str(failure))
            await trio.sleep(_RENEWAL_PERIOD_S)

    async def _renew_or_write_record(self) -> None:
        if self._lease is not None:
            if await self.store.keep_alive(self._lease):
                return
            self._lease = None
        for _ in range(_MAX_ATTEMPTS_COUNT):
            found = (await self.store.read_prefix(ENTRIES_PREFIX)).found
            place = _choose_place(found, self.record.entry_id)
            if place is None:
                _LOG.info('no slot for the entry record')
                await trio.sleep(_NO_SLOT_PAUSE_S)
                return
            lease = await self.store.grant_lease(_RECORD_TTL_MS)
            write = Write(place.key, encode(self.record), lease)
            outcome = await self.store.commit([place], [write])
            if isinstance(outcome, Committed):
                self._lease = lease
                return
            # Another entry that starts has taken the place.
            await self.store.revoke_lease(lease)

    async def _read_peers(self) -> None:
        try:
            result = await self.store.read_prefix(ENTRIES_PREFIX)
        except Failure as failure:
            _LOG.info('entry records not read', error=str(failure))
            return
        decoded = (_decode_peer(stored) for stored in result.found)
        found = {peer.entry_id: peer for peer in decoded if peer is not None}
        self._keep_peers(found, now_s=boot_s())
        if self.record.entry_id not in found:
            # The lease may outlive the record, which is then written again.
            self._lease = None

    def _keep_peers(
        self, found: Mapping[EntryId, PeerAddress], *, now_s: float
    ) -> None:
        for entry_id, address in found.items():
            self._seen[entry_id] = _SeenPeer(address, now_s)
        self._seen = {
            entry_id: seen
            for entry_id, seen in self._seen.items()
            if now_s - seen.seen_s < _RETENTION_S
        }
        self.peers = tuple(seen.address for seen in self._seen.values())


def _choose_place(found: Sequence[StoredValue], entry_id: str) -> Guard | None:
    """Return the key for the record of an entry and its present revision.

    This is the record of a former process of the entry, else the first free
    slot from the one of its id on. Returns ``None`` if all slots are taken.
    """
    for stored in found:
        peer = _decode_peer(stored)
        if peer is not None and peer.entry_id == entry_id:
            return Guard(stored.key, stored.mod_revision)
    taken = {stored.key for stored in found}
    first_slot = zlib.crc32(entry_id.encode())
    for offset in range(_RECORD_SLOTS_COUNT):
        key = entry_key((first_slot + offset) % _RECORD_SLOTS_COUNT)
        if key not in taken:
            return Guard(key, 0)
    return None


def _decode_peer(stored: StoredValue) -> PeerAddress | None:
    try:
        record = decode(stored.body, EntryRecord, key=stored.key)
    except JournalDamaged as failure:
        _LOG.error('entry record ignored', error=str(failure))
        return None
    return PeerAddress(
        EntryId(record.entry_id),
        record.host,
        record.port,
        record.secret,
        record.cpu_share,
    )
