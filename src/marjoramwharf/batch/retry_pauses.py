"""Fixed delays before failed operations are retried."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field


@dataclass(slots=True)
class RetryPauses:
    """Pauses retries by key, such as a task id or a task size."""

    pause_s: float
    _until_s: dict[Hashable, float] = field(default_factory=dict)

    def pause(self, key: Hashable, now_s: float) -> None:
        """Pause a key for ``pause_s`` from now on."""
        self._until_s[key] = now_s + self.pause_s

    def is_paused(self, key: Hashable, now_s: float) -> bool:
        """Tell whether a key is paused; remove a pause that has ended."""
        until_s = self._until_s.get(key)
        if until_s is None:
            return False
        if until_s <= now_s:
            self._until_s.pop(key)
        return until_s > now_s
