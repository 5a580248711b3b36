"""When this entry first saw that leases of runs are left to lapse.

The owner of a cell stores a mark for each worker at which it has stopped to
extend leases. Whatever it granted there, it granted before any entry can have
seen the mark, by the clock of that entry.

    >>> view = LapsingView()
    >>> mark = LapsingMark('w1', fence=7, number=1)
    >>> view.observe(CellId(0), LapsingRecord(7, (mark,)), now_s=20)
    >>> view.observe(CellId(0), LapsingRecord(9, (mark,)), now_s=25)
    >>> view.seen_s(CellId(0), mark)
    20
"""

from __future__ import annotations

from dataclasses import dataclass, field

from marjoramwharf.cells.records import CellId, LapsingMark, LapsingRecord


@dataclass(slots=True)
class LapsingView:
    """The marks in the store and the times at which they were first seen.

    What it holds may be old, so it counts only for marks that are read from the
    store again.
    """

    _seen_s: dict[CellId, dict[LapsingMark, float]] = field(
        default_factory=dict
    )

    def observe(
        self, cell: CellId, record: LapsingRecord, *, now_s: float
    ) -> None:
        """Follow a change of the record of a cell."""
        former = self._seen_s.get(cell, {})
        self._seen_s[cell] = {
            mark: former.get(mark, now_s) for mark in record.marks
        }

    def seen_s(self, cell: CellId, mark: LapsingMark) -> float | None:
        """Return when a mark was first seen, ``None`` if it hasn't been."""
        return self._seen_s.get(cell, {}).get(mark)
