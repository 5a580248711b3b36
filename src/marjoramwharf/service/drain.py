"""The graceful shutdown of an entry.

The steps are: report not ready, so that the balancer stops sending; go on
serving for a grace period, since the balancer learns it with a delay; then
refuse new requests and wait for those in flight.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from contextlib import contextmanager

import trio


@enum.unique
class DrainState(enum.Enum):
    """How far the shutdown has come."""

    SERVING = 'serving'
    NOT_READY = 'not_ready'
    REFUSING = 'refusing'


class DrainGate:
    """Counts the requests in flight and tells when they have ended."""

    def __init__(self) -> None:
        """Start serving."""
        self.state = DrainState.SERVING
        self.in_flight_count = 0
        self.shutdown_requested = trio.Event()
        self._empty = trio.Event()

    @property
    def is_accepting(self) -> bool:
        """Whether new requests are served."""
        return self.state is not DrainState.REFUSING

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request while the block runs."""
        self.in_flight_count += 1
        try:
            yield
        finally:
            self.in_flight_count -= 1
            if not self.in_flight_count:
                self._empty.set()

    def request_shutdown(self) -> None:
        """Ask for the shutdown; the program's root task carries it out."""
        self.shutdown_requested.set()

    async def drain(self, *, grace_s: float, timeout_s: float) -> bool:
        """Carry out the steps; return whether nothing was left in flight."""
        self.state = DrainState.NOT_READY
        await trio.sleep(grace_s)
        self.state = DrainState.REFUSING
        with trio.move_on_after(timeout_s):
            while self.in_flight_count:
                self._empty = trio.Event()
                await self._empty.wait()
        return not self.in_flight_count
