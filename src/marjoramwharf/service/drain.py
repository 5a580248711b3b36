"""The graceful shutdown of an entry.

The steps are: report not ready, so that the load balancer stops sending
requests; keep serving for a grace period, since the load balancer notices
with a delay; then refuse new requests and wait for those in flight.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from contextlib import contextmanager

import trio


@enum.unique
class DrainState(enum.Enum):
    """Step of the shutdown; in ``NOT_READY`` requests are still served."""

    SERVING = 'serving'
    NOT_READY = 'not_ready'
    REFUSING = 'refusing'


class DrainGate:
    """Counts the requests in flight and waits for their end at shutdown."""

    def __init__(self) -> None:
        """Start in the serving state."""
        self.state = DrainState.SERVING
        self.in_flight_count = 0
        self.shutdown_requested = trio.Event()
        self._drained = trio.Event()

    @property
    def is_accepting(self) -> bool:
        """Whether new requests are accepted."""
        return self.state is not DrainState.REFUSING

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in flight while the block runs."""
        self.in_flight_count += 1
        try:
            yield
        finally:
            self.in_flight_count -= 1
            if not self.in_flight_count:
                self._drained.set()

    def request_shutdown(self) -> None:
        """Request the shutdown; the program's root task carries it out."""
        self.shutdown_requested.set()

    async def drain(self, *, grace_s: float, timeout_s: float) -> bool:
        """Shut down in steps; return whether no request was left in flight."""
        self.state = DrainState.NOT_READY
        await trio.sleep(grace_s)
        self.state = DrainState.REFUSING
        with trio.move_on_after(timeout_s):
            while self.in_flight_count:
                self._drained = trio.Event()
                await self._drained.wait()
        return not self.in_flight_count
