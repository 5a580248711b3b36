"""The other entries, as far as this one has to know them.

Every entry keeps a leased record of itself and reads those of the others now
and then. The records share a fixed number of slots, so that the cost of a
reading doesn't grow with the number of entries: of two entries with the same
slot one stays unknown, which is of no matter since any few peers will do.
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
from marjoramwharf.errors import Failure
from marjoramwharf.ids import LeaseId
from marjoramwharf.links.store import PollingStore, Write
from marjoramwharf.links.store_relay import PeerAddress
from marjoramwharf.logs import part_logger

_LOG = part_logger('entries')

_SLOTS_COUNT = 64
_TTL_MS = 12_000
_RENEWAL_PAUSE_S = 4.0
_READING_PAUSE_S = 10.0

# Entries start together, so the first reading waits for their records.
_FIRST_READING_S = 1.0


@dataclass(slots=True)
class EntryDirectory:
    """Publishes one entry and knows the others.

    Entries that were known once are kept while the store is away.
    """

    store: PollingStore
    record: EntryRecord
    known: tuple[PeerAddress, ...] = ()
    _lease: LeaseId | None = field(default=None)

    async def run(self) -> None:
        """Publish and read until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._publish)
            await trio.sleep(_FIRST_READING_S)
            while True:
                await self._read()
                await trio.sleep(_READING_PAUSE_S)

    async def _publish(self) -> None:
        while True:
            try:
                await self._renew()
            except Failure as failure:
                _LOG.info('entry not published', error=str(failure))
            await trio.sleep(_RENEWAL_PAUSE_S)

    async def _renew(self) -> None:
        if self._lease is not None:
            if await self.store.keep_alive(self._lease):
                return
            self._lease = None
        lease = await self.store.grant_lease(_TTL_MS)
        slot = zlib.crc32(self.record.entry_id.encode()) % _SLOTS_COUNT
        write = Write(entry_key(slot), encode(self.record), lease)
        await self.store.commit([], [write])
        self._lease = lease

    async def _read(self) -> None:
        try:
            reading = await self.store.read_prefix(ENTRIES_PREFIX)
        except Failure as failure:
            _LOG.info('entries not read', error=str(failure))
            return
        records = (
            decode(stored.body, EntryRecord, key=stored.key)
            for stored in reading.found
        )
        self.known = tuple(
            PeerAddress(
                record.entry_id, record.host, record.port, record.secret
            )
            for record in records
        )
