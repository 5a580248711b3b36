"""Judges whether the owner of a cell still reaches what it needs.

An owner that has lost the path to its workers calls them through other entries.
One that reaches no entry either can only keep its lease at the store alive, so
it gives the cell up to an entry that may reach more.
"""

from __future__ import annotations

from dataclasses import dataclass

from marjoramwharf.scheduling.fleet import Fleet, WorkerState

# An owner that reaches less than this share of the listed workers, and no other
# entry, for this long gives the cell up.
_MIN_REACHED_SHARE = 0.25
_PATIENCE_S = 2.0


@dataclass(slots=True)
class OwnerReach:
    """How long the owner has reached too little."""

    _cut_off_since_s: float | None = None

    def must_give_way(
        self, fleet: Fleet, *, is_isolated: bool, now_s: float
    ) -> bool:
        """Whether the owner should give the cell up.

        An owner that ``is_isolated`` reaches no other entry.
        """
        if not is_isolated or _reaches_enough(fleet):
            self._cut_off_since_s = None
            return False
        if self._cut_off_since_s is None:
            self._cut_off_since_s = now_s
        return now_s - self._cut_off_since_s >= _PATIENCE_S


def _reaches_enough(fleet: Fleet) -> bool:
    listed = [
        worker
        for worker in fleet.workers.values()
        if worker.listing.state is not WorkerState.GONE
    ]
    reached_count = sum(worker.is_reachable for worker in listed)
    return reached_count >= _MIN_REACHED_SHARE * len(listed)
