"""Workers that answer polls and refuse what they are ordered to start."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.worker_messages import (
    OrderAnswer,
    OrderOutcome,
    StartOrder,
    WorkerAddress,
)
from marjoramwharf.ids import WorkerId
from standins.simulated_worker_client import MemoryWorkerClient

# An order and its answer take this long.
ORDER_S = 0.06


@dataclass
class RefusingWorkerClient(MemoryWorkerClient):
    """Calls workers whose answers to starts take a while.

    ``refusals`` are the answers of the workers that start nothing.
    """

    refusals: dict[WorkerId, OrderOutcome] = field(default_factory=dict)

    async def _send_start(
        self, worker: WorkerAddress, order: StartOrder, timeout_s: float
    ) -> OrderAnswer:
        refusal = self.refusals.get(worker.worker_id)
        await trio.sleep(ORDER_S)
        if refusal is None or worker.worker_id in self.unreachable:
            return await super()._send_start(worker, order, timeout_s)
        clock_ms = self._worker(worker.worker_id).clock_ms(trio.current_time())
        return OrderAnswer(refusal, clock_ms)
