"""Discovery of other entries through leased records in the store.

Every entry keeps a leased record of itself and periodically reads the records
of the others. The records share a fixed number of slots, so that the cost of
a read doesn't grow with the number of entries. Of two entries with the same
slot only one is found; the other one takes the slot when that one has gone.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.records import (
    ENTRIES_PREFIX,
    EntryRecord,
    decode,
    encode,
    entry_key,
)
from marjoramwharf.errors import Failure, JournalDamaged
from marjoramwharf.ids import EntryId, LeaseId
from marjoramwharf.links.store import PollingStore, StoredValue, Write
from marjoramwharf.links.relay_peers import PeerAddress
from marjoramwharf.logs import part_logger

_LOG = part_logger('entries')

_RECORD_SLOTS_COUNT = 64
_RECORD_TTL_MS = 12_000
_RENEWAL_PERIOD_S = 4.0
_READ_PERIOD_S = 10.0

# Entries start together, so the first read waits until all have been written.
_FIRST_READ_DELAY_S = 1.0


@dataclass(slots=True)
class EntryDirectory:
    """Publishes the record of this entry and reads those of its peers.

    The peers of the last successful read are kept while the store is
    unavailable.
    """

    store: PollingStore
    record: EntryRecord
    peers: tuple[PeerAddress, ...] = ()
    _lease: LeaseId | None = field(default=None)

    @property
    def _key(self) -> str:
        """The key of the slot of this entry."""
        slot = zlib.crc32(self.record.entry_id.encode()) % _RECORD_SLOTS_COUNT
        return entry_key(slot)

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
        lease = await self.store.grant_lease(_RECORD_TTL_MS)
        write = Write(self._key, encode(self.record), lease)
        await self.store.commit([], [write])
        self._lease = lease

    async def _read_peers(self) -> None:
        try:
            result = await self.store.read_prefix(ENTRIES_PREFIX)
        except Failure as failure:
            _LOG.info('entry records not read', error=str(failure))
            return
        if all(stored.key != self._key for stored in result.found):
            self._lease = None
        decoded = (_decode_peer(stored) for stored in result.found)
        self.peers = tuple(peer for peer in decoded if peer is not None)


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
