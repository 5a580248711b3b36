"""An event that resets itself after waking one task."""

from __future__ import annotations

import trio


class AutoResetEvent:
    """An event that stays set until one task has waited for it."""

    def __init__(self) -> None:
        """Create the event, not set."""
        self._event = trio.Event()

    def set(self) -> None:
        """Wake the waiting task, or the next one that waits."""
        self._event.set()

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Wait until the event is set; return whether it was set in time."""
        if timeout_s is None:
            await self._event.wait()
        else:
            with trio.move_on_after(timeout_s):
                await self._event.wait()
        was_set = self._event.is_set()
        if was_set:
            self._event = trio.Event()
        return was_set
