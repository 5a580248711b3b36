"""Stand-in of the advice service, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from review.lib.http11 import Answer, HttpServer, Request
from review.lib.record import Record

_MS = 1_000


@dataclass
class Advice:
    """Handles one call at a time for each caller; ``is_good`` is its policy."""

    host: str
    record: Record
    is_good: Callable[[str, str], bool]
    decision_ms: float
    period_ms: float
    valid_ms: int
    server: HttpServer = field(init=False)
    _turn: asyncio.Lock = field(default_factory=asyncio.Lock)

    def __post_init__(self) -> None:
        """Create the server; ``server.open`` makes the service reachable."""
        self.server = HttpServer(self.host, self._handle)

    def ticket(self, step: str, worker_id: str) -> str:
        """Return the ticket that allows a step on a worker."""
        return f'{worker_id}/{step}'

    def is_refused(self, worker_id: str, task: str, ticket: str) -> bool:
        """Whether a worker rejects a start with this ticket."""
        return ticket != self.ticket(task.rpartition('.')[0], worker_id)

    async def _handle(self, request: Request) -> Answer:
        step = request.body['Step']
        workers = request.body['Workers']
        async with self._turn:
            wait_ms = self.decision_ms + self.period_ms * len(workers)
            await asyncio.sleep(wait_ms / _MS)
        good = [
            [worker_id, self.ticket(step, worker_id)]
            for worker_id in workers
            if self.is_good(step, worker_id)
        ]
        self.record.add('advised', step=step, asked=len(workers), good=len(good))
        return 200, {'Good': good, 'ValidMs': self.valid_ms}
