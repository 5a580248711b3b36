"""Detects from this entry's calls whether it can reach the store.

>>> reachability = StoreReachability()
>>> reachability.record_answer(now_s=1)
>>> reachability.record_failure(now_s=2)
>>> reachability.record_failure(now_s=2.1)
>>> reachability.is_unreachable
True
"""

from __future__ import annotations

from dataclasses import dataclass

# A single failure may be due to its connection rather than to the store.
_FAILURES_UNTIL_UNREACHABLE = 2

# Failures within this time after the latest answer may be a burst of lost
# answers; they don't count as an unreachable store.
_SILENCE_UNTIL_UNREACHABLE_S = 0.3


@dataclass(slots=True)
class StoreReachability:
    """Counts failures since the latest answer.

    The store is reachable again from the first answer on.
    """

    is_unreachable: bool = False
    _failures_count: int = 0
    _latest_answer_s: float = 0

    def record_answer(self, *, now_s: float) -> None:
        """Record a call that the store executed, or refused as invalid."""
        self._latest_answer_s = now_s
        self._failures_count = 0
        self.is_unreachable = False

    def record_failure(self, *, now_s: float) -> None:
        """Record a call that the store did not process or did not answer."""
        self._failures_count += 1
        silence_s = now_s - self._latest_answer_s
        self.is_unreachable = (
            self._failures_count >= _FAILURES_UNTIL_UNREACHABLE
            and silence_s >= _SILENCE_UNTIL_UNREACHABLE_S
        )
