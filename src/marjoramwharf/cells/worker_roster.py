"""The workers that a cell's owner knows, kept in the store for the next one.

The platform's list shows only those that can renew their listing. A worker that
is cut off from the store, and the one that takes its place, are found by what
the owner knew of them. The roster is split by worker id into a fixed number of
records, so that a change rewrites a small part of it.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio
from msgspec import Struct

from marjoramwharf.cells.auto_reset_event import AutoResetEvent
from marjoramwharf.cells.owner_guard import found_by_owner
from marjoramwharf.cells.records import (
    CellId,
    decode,
    encode,
    roster_key,
    roster_prefix,
)
from marjoramwharf.errors import Failure, JournalDamaged
from marjoramwharf.ids import DataCentreId, WorkerId
from marjoramwharf.json_bodies import Amount, Port
from marjoramwharf.links.store import (
    Conflict,
    Guard,
    PollingStore,
    StoredValue,
    Write,
)
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import Resources, WorkerListing, WorkerState

_LOG = part_logger('roster')

# Together with the owner's guard, a guard and a write for each of them are
# within what the store takes in one transaction.
_RECORDS_COUNT = 8

# Changes are collected for this long, since workers come and go together.
_COLLECTION_S = 0.5
_RETRY_PAUSE_S = 0.2


class WorkerRecord(Struct, frozen=True, array_like=True):
    """A worker by its latest listing, without what changes while it drains."""

    worker_id: str
    service: str
    host: str
    port: Port
    data_centre: str
    state: WorkerState
    cpu_millicores: Amount
    memory_mb: Amount
    accelerators_count: Amount
    labels: tuple[str, ...]
    born_ms: Amount
    machine: str = ''


class RosterRecord(Struct, frozen=True, array_like=True):
    """The workers of a cell whose ids belong to one part of the roster."""

    workers: tuple[WorkerRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class KnownWorkers:
    """The workers that an owner knew, by the list up to a revision."""

    listings: tuple[WorkerListing, ...] = ()
    list_revision: int = 0


@dataclass(slots=True, eq=False)
class WorkerRoster:
    """Writes the listings of the known workers as they change.

    ``known_listings`` returns those of all workers that the owner tracks. The
    store holds ``_stored`` by part, as far as is known.
    """

    store: PollingStore
    cell: CellId
    ownership_guard: Guard
    known_listings: Callable[[], Iterable[WorkerListing]]
    _stored: dict[int, bytes] = field(default_factory=dict)
    _revisions: dict[int, int] = field(default_factory=dict)
    _changed: set[int] = field(default_factory=set)
    _wake_event: AutoResetEvent = field(default_factory=AutoResetEvent)

    async def load(self) -> list[WorkerListing]:
        """Return the workers that the former owner knew.

        A part that can't be decoded is left out. Raises store failures.
        """
        found = (await self.store.read_prefix(roster_prefix(self.cell))).found
        by_key = {stored.key: stored for stored in found}
        listings: list[WorkerListing] = []
        for part in range(_RECORDS_COUNT):
            stored = by_key.get(roster_key(self.cell, part))
            if stored is not None:
                listings.extend(self._load_part(part, stored))
        return listings

    async def run(self) -> None:
        """Store changed parts until cancelled.

        Raises ``NotOwner`` when another entry has become the owner.
        """
        while True:
            await self._wake_event.wait()
            await trio.sleep(_COLLECTION_S)
            while self._changed and not await self._write_changed():
                await trio.sleep(_RETRY_PAUSE_S)

    @property
    def is_stored(self) -> bool:
        """Whether all changes so far are in the store."""
        return not self._changed

    def mark_changed(self, worker_id: WorkerId) -> None:
        """Store the part of a worker that has come, changed or gone."""
        self._changed.add(_part_of(worker_id))
        self._wake_event.set()

    def _load_part(self, part: int, stored: StoredValue) -> list[WorkerListing]:
        self._revisions[part] = stored.mod_revision
        try:
            record = decode(stored.body, RosterRecord, key=stored.key)
        except JournalDamaged as failure:
            _LOG.error('part left out', error=str(failure))
            return []
        self._stored[part] = stored.body
        return [_to_listing(worker) for worker in record.workers]

    async def _write_changed(self) -> bool:
        """Write the changed parts; return whether they are stored.

        The condition on a part's revision keeps a write without an answer from
        taking effect after a later one.
        """
        changed = frozenset(self._changed)
        bodies = {
            part: body
            for part, body in self._encode(changed).items()
            if body != self._stored.get(part)
        }
        if bodies and not await self._commit(bodies):
            return False
        self._changed -= changed
        return True

    async def _commit(self, bodies: dict[int, bytes]) -> bool:
        keys = {part: roster_key(self.cell, part) for part in bodies}
        guards = [
            Guard(key, self._revisions.get(part, 0))
            for part, key in keys.items()
        ]
        writes = [Write(keys[part], body) for part, body in bodies.items()]
        try:
            outcome = await self.store.commit(
                [self.ownership_guard, *guards], writes
            )
        except Failure as failure:
            _LOG.info('roster not stored', error=str(failure))
            return False
        if isinstance(outcome, Conflict):
            found = found_by_owner(outcome, self.ownership_guard)
            for part, key in keys.items():
                stored = found.get(key)
                self._revisions[part] = stored.mod_revision if stored else 0
            return False
        self._stored.update(bodies)
        self._revisions.update(dict.fromkeys(bodies, outcome.revision))
        return True

    def _encode(self, parts: frozenset[int]) -> dict[int, bytes]:
        workers: dict[int, list[WorkerRecord]] = {part: [] for part in parts}
        for listing in self.known_listings():
            part = _part_of(listing.worker_id)
            if part in parts and listing.state is not WorkerState.UNREADABLE:
                workers[part].append(_to_record(listing))
        return {
            part: encode(RosterRecord(tuple(sorted(records, key=_id_of))))
            for part, records in workers.items()
        }


def _part_of(worker_id: WorkerId) -> int:
    return zlib.crc32(worker_id.encode()) % _RECORDS_COUNT


def _id_of(record: WorkerRecord) -> str:
    return record.worker_id


def _to_record(listing: WorkerListing) -> WorkerRecord:
    return WorkerRecord(
        worker_id=listing.worker_id,
        service=listing.service,
        host=listing.host,
        port=listing.port,
        data_centre=listing.data_centre,
        state=listing.state,
        cpu_millicores=listing.capacity.cpu_millicores,
        memory_mb=listing.capacity.memory_mb,
        accelerators_count=listing.capacity.accelerators_count,
        labels=listing.labels,
        born_ms=listing.born_ms,
        machine=listing.machine,
    )


def _to_listing(record: WorkerRecord) -> WorkerListing:
    return WorkerListing(
        worker_id=WorkerId(record.worker_id),
        service=record.service,
        host=record.host,
        port=record.port,
        data_centre=DataCentreId(record.data_centre),
        state=record.state,
        capacity=Resources(
            record.cpu_millicores,
            record.memory_mb,
            record.accelerators_count,
        ),
        labels=record.labels,
        born_ms=record.born_ms,
        machine=record.machine,
    )
