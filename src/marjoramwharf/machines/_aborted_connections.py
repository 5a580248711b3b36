"""Places that cut connections to a worker keep for a while."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import trio

# Several times the one-way delay between data centres (3 to 4.5 ms), so that
# the close of a connection has arrived.
_CUT_GRACE_S = 0.05


class AbortedConnections:
    """Connections that were closed in the midst of an exchange.

    The worker counts such a connection until the close arrives. A new one in
    its place could exceed the session, so its place stays taken for a while.
    """

    def __init__(self) -> None:
        """Start without cuts."""
        self._at_s: deque[float] = deque()

    @contextmanager
    def track_exchange(self) -> Iterator[trio.Event]:
        """Note a cut unless the event is set within the block."""
        whole = trio.Event()
        with ExitStack() as stack:
            stack.callback(self._note, whole)
            yield whole

    async def wait_for_capacity(self, limit: trio.CapacityLimiter) -> None:
        """Wait until the runs and the cut connections fit into the limit."""
        while True:
            now_s = trio.current_time()
            while self._at_s and self._at_s[0] + _CUT_GRACE_S <= now_s:
                self._at_s.popleft()
            used_count = limit.borrowed_tokens + len(self._at_s)
            if not self._at_s or used_count <= limit.total_tokens:
                return
            await trio.sleep_until(self._at_s[0] + _CUT_GRACE_S)

    def _note(self, whole: trio.Event) -> None:
        if not whole.is_set():
            self._at_s.append(trio.current_time())
