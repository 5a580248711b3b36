"""Which owner of a cell came directly before another, as a watch shows them.

A watch shows each record that is written, unless it has to begin again. An owner
may then have come and gone unseen, so that nothing is known of the one before.

    >>> succession = OwnerSuccession()
    >>> first = EntryRecord('e1', '10.0.0.1', 7, 'secret')
    >>> second = EntryRecord('e2', '10.0.0.2', 7, 'another')
    >>> succession.observe(CellId(0), first, 5, now_s=20)
    >>> succession.observe(CellId(0), second, 9, now_s=31)
    >>> succession.before(CellId(0), 9).record.entry_id
    'e1'
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from marjoramwharf.cells.records import CellId, EntryRecord


@dataclass(frozen=True, slots=True)
class SeenOwner:
    """An owner's record, its revision, and when this entry first saw it.

    ``former`` is the owner directly before, ``None`` if that isn't known.
    """

    record: EntryRecord
    revision: int
    seen_s: float
    former: SeenOwner | None = None


@dataclass(slots=True)
class OwnerSuccession:
    """The latest owner of each cell, and the one before it if that is known."""

    _latest: dict[CellId, SeenOwner] = field(default_factory=dict)

    def observe(
        self, cell: CellId, record: EntryRecord, revision: int, *, now_s: float
    ) -> None:
        """Follow a record; all others since the one seen last were seen, too."""
        former = self._latest.get(cell)
        if former is None or former.revision < revision:
            # A longer history would only take memory.
            earlier = former and replace(former, former=None)
            self._latest[cell] = SeenOwner(record, revision, now_s, earlier)

    def keep_only(self, revisions: Iterable[int]) -> None:
        """Forget the owners whose record isn't among those that exist now.

        Others may have come after them that nobody has told of.
        """
        existing = frozenset(revisions)
        self._latest = {
            cell: owner
            for cell, owner in self._latest.items()
            if owner.revision in existing
        }

    def before(self, cell: CellId, fence: int) -> SeenOwner | None:
        """Return the owner directly before the latest one, if that is known.

        It isn't known until the record with this fence, the latest one, has
        been seen.
        """
        latest = self._latest.get(cell)
        if latest is None or latest.revision != fence:
            return None
        return latest.former
