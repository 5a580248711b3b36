"""When an entry repeats the store call of a caller's request, and when not."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio

RETRY_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class StoreRetries:
    """Tells whether one more attempt makes sense.

    ``is_store_reachable`` tells whether a call to the store is likely to
    succeed.
    """

    is_store_reachable: Callable[[], bool]

    def must_give_up(self, deadline_s: float, *, now_s: float) -> bool:
        """Whether another attempt would be too late or in vain.

        The times are those of trio's clock.
        """
        is_late = now_s + RETRY_PAUSE_S >= deadline_s
        return is_late or not self.is_store_reachable()

    async def pause(self) -> None:
        """Wait until the next attempt."""
        await trio.sleep(RETRY_PAUSE_S)
