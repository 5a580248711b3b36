"""How far the owner of a cell has followed the platform's list of workers.

The next owner reads from there what became of the workers that have left the
list in between.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio
from msgspec import Struct

from marjoramwharf.cells.owner_guard import found_by_owner
from marjoramwharf.cells.records import (
    CellId,
    decode,
    encode,
    list_position_key,
)
from marjoramwharf.errors import Failure, JournalDamaged, NotOwner
from marjoramwharf.links.store import Conflict, Guard, PollingStore, Write
from marjoramwharf.logs import part_logger

_LOG = part_logger('roster')

# The store keeps the changes of the list for several times as long.
_PERIOD_S = 5.0


class PositionRecord(Struct, frozen=True, array_like=True):
    """The revision of the store up to which the list has been followed."""

    revision: int = 0


@dataclass(slots=True, eq=False)
class ListPosition:
    """Stores from time to time what ``current_revision`` returns.

    That is the revision up to which this owner knows all changes of the list,
    0 while it doesn't know any. While it isn't ``is_complete``, as workers are
    still to be checked or to be stored, the position of the former owner stays:
    the next one has to read from there.
    """

    store: PollingStore
    cell: CellId
    ownership_guard: Guard
    current_revision: Callable[[], int]
    is_complete: Callable[[], bool]
    _stored_revision: int = 0

    async def load(self) -> int:
        """Return how far the former owner had come, 0 if it isn't known.

        Raises store failures.
        """
        stored = await self.store.read(list_position_key(self.cell))
        if stored is None:
            return 0
        try:
            record = decode(stored.body, PositionRecord, key=stored.key)
        except JournalDamaged as failure:
            _LOG.error('position of the list left out', error=str(failure))
            return 0
        return record.revision

    async def run(self) -> None:
        """Store the position while it changes, until cancelled.

        Raises ``NotOwner`` when another entry has become the owner.
        """
        while True:
            await trio.sleep(_PERIOD_S)
            revision = self.current_revision()
            if revision > self._stored_revision and self.is_complete():
                await self._write(revision)

    async def _write(self, revision: int) -> None:
        """Store a position; one that isn't stored is replaced by the next."""
        write = Write(
            list_position_key(self.cell), encode(PositionRecord(revision))
        )
        try:
            outcome = await self.store.commit([self.ownership_guard], [write])
            if isinstance(outcome, Conflict):
                found_by_owner(outcome, self.ownership_guard)
        except NotOwner:
            raise
        except Failure as failure:
            _LOG.info('position of the list not stored', error=str(failure))
        else:
            self._stored_revision = revision
