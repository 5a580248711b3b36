"""Whether the store answers this entry, judged from the calls it makes.

>>> reach = StoreReachability()
>>> reach.answered(now_s=1)
>>> reach.failed(now_s=2)
>>> reach.failed(now_s=2.1)
>>> reach.is_unreachable
True
"""

from __future__ import annotations

from dataclasses import dataclass

# One failed call may be the fault of its connection.
_FAILURES_UNTIL_AWAY = 2

# Failures that follow an answer this closely are a burst of lost answers.
_SILENCE_UNTIL_AWAY_S = 0.3


@dataclass(slots=True)
class StoreReachability:
    """Counts failures since the latest answer; any answer ends the absence."""

    is_unreachable: bool = False
    _failures_count: int = 0
    _answered_s: float = 0

    def record_answer(self, *, now_s: float) -> None:
        """Note a call that the store carried out or refused by its content."""
        self._answered_s = now_s
        self._failures_count = 0
        self.is_unreachable = False

    def record_failure(self, *, now_s: float) -> None:
        """Note a call that was turned away or got no answer."""
        self._failures_count += 1
        silence_s = now_s - self._answered_s
        self.is_unreachable = (
            self._failures_count >= _FAILURES_UNTIL_AWAY
            and silence_s >= _SILENCE_UNTIL_AWAY_S
        )
