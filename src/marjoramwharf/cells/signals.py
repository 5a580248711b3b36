"""A wake-up for one waiting task."""

from __future__ import annotations

import trio


class Signal:
    """Remembers that something happened until one task has waited for it."""

    def __init__(self) -> None:
        """Start without a wake-up."""
        self._event = trio.Event()

    def set(self) -> None:
        """Wake the waiting task, or the next one that waits."""
        self._event.set()

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for a wake-up; tell whether there was one in time."""
        if timeout_s is None:
            await self._event.wait()
        else:
            with trio.move_on_after(timeout_s):
                await self._event.wait()
        woken = self._event.is_set()
        if woken:
            self._event = trio.Event()
        return woken
