"""Judges whether the owner of a cell still reaches enough workers.

An owner that has lost the path to its workers calls them through other entries.
If it reaches most of them in neither way, it can do little but keep its lease
at the store alive, so it gives the cell up to an entry that may reach more.
"""

from __future__ import annotations

from dataclasses import dataclass

from marjoramwharf.scheduling.fleet import Fleet

# An owner that reaches less than this share of the present workers, and no more
# of them as time goes on, gives the cell up after a while: soon if it reaches no
# other entry either, and later with each time that an owner has given way lately.
_MIN_REACHED_SHARE = 0.5
_PATIENCE_S = 8.0
_ISOLATED_PATIENCE_S = 2.0


@dataclass(slots=True)
class OwnerReach:
    """How many workers the owner reaches, and since when these are too few."""

    _reached_count: int = 0
    _too_few_since_s: float | None = None

    def must_give_way(
        self,
        fleet: Fleet,
        *,
        is_isolated: bool,
        given_way_count: int,
        now_s: float,
    ) -> bool:
        """Whether the owner should give the cell up.

        An owner that ``is_isolated`` reaches no other entry. Owners have given
        way ``given_way_count`` times lately.
        """
        present = [
            worker for worker in fleet.workers.values() if worker.is_present
        ]
        reached_count = sum(worker.is_reachable for worker in present)
        is_more = reached_count > self._reached_count
        self._reached_count = reached_count
        if reached_count >= _MIN_REACHED_SHARE * len(present):
            self._too_few_since_s = None
            return False
        if is_more or self._too_few_since_s is None:
            self._too_few_since_s = now_s
        patience_s = _ISOLATED_PATIENCE_S if is_isolated else _PATIENCE_S
        patience_s *= 2.0**given_way_count
        return now_s - self._too_few_since_s >= patience_s
