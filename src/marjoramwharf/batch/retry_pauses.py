"""Things that are not tried again before a time."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field


@dataclass(slots=True)
class RetryPauses:
    """Times before which a key is left alone."""

    pause_s: float
    _until_s: dict[Hashable, float] = field(default_factory=dict)

    def pause(self, key: Hashable, now_s: float) -> None:
        """Leave a key alone for the length of a pause."""
        self._until_s[key] = now_s + self.pause_s

    def is_paused(self, key: Hashable, now_s: float) -> bool:
        """Tell whether a key is to be left alone; forget a past pause."""
        until_s = self._until_s.get(key)
        if until_s is None:
            return False
        if until_s <= now_s:
            self._until_s.pop(key)
        return until_s > now_s
