"""Counts aborted connections until their worker has noticed the end."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import trio

# Several times the one-way delay between data centres (3 to 4.5 ms), so that
# the worker has received the close of the connection.
_CLOSE_GRACE_S = 0.05


class AbortedConnections:
    """Connections that were closed in the middle of an exchange.

    The worker counts such a connection until it receives the close. A new
    connection could exceed the worker's limit for the session, so the
    closed one counts as open for ``_CLOSE_GRACE_S``.
    """

    def __init__(self) -> None:
        """Start without aborted connections."""
        self._aborted_at_s: deque[float] = deque()

    @contextmanager
    def track_exchange(self) -> Iterator[trio.Event]:
        """Record an aborted connection unless the block sets the event."""
        completed = trio.Event()
        with ExitStack() as stack:
            stack.callback(self._record_unless_completed, completed)
            yield completed

    async def wait_for_capacity(self, limit: trio.CapacityLimiter) -> None:
        """Wait until runs and aborted connections together fit the limit."""
        while True:
            now_s = trio.current_time()
            while (
                self._aborted_at_s
                and self._aborted_at_s[0] + _CLOSE_GRACE_S <= now_s
            ):
                self._aborted_at_s.popleft()
            used_count = limit.borrowed_tokens + len(self._aborted_at_s)
            if not self._aborted_at_s or used_count <= limit.total_tokens:
                return
            await trio.sleep_until(self._aborted_at_s[0] + _CLOSE_GRACE_S)

    def _record_unless_completed(self, completed: trio.Event) -> None:
        if not completed.is_set():
            self._aborted_at_s.append(trio.current_time())
