"""A worker that stays on the list and refuses connections for minutes."""

from __future__ import annotations

import unittest
from dataclasses import dataclass

import trio

from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    HoldReport,
    OrderOutcome,
    WorkerAddress,
)
from standins.simulated_worker_client import MemoryWorkerClient
from tests.cells.cluster import job_request, open_cluster, run_with_clock

_SILENT_S = 240.0
_FOUND_AGAIN_S = 10.0


@dataclass
class _UnconnectedClient(MemoryWorkerClient):
    """Calls workers that refuse connections until ``connects_s``."""

    connects_s: float = 0

    async def hold(
        self, worker: WorkerAddress, order: HoldOrder, *, timeout_s: float
    ) -> HoldReport:
        """Poll a worker, if it is time."""
        if trio.current_time() >= self.connects_s:
            return await super().hold(worker, order, timeout_s=timeout_s)
        await trio.lowlevel.checkpoint()
        return HoldReport(OrderOutcome.NOT_CONNECTED)


class LongSilenceTests(unittest.TestCase):
    """Guards against a worker that is never asked again."""

    def test_worker_answers_again(self) -> None:
        """Guards against polls that fail by their own count."""
        run_with_clock(self._worker_answers_again)

    async def _worker_answers_again(self) -> None:
        async with open_cluster(()) as (cluster, nursery):
            cluster.worker_client = _UnconnectedClient(
                cluster.workers, connects_s=trio.current_time() + _SILENT_S
            )
            await cluster.add_worker('w1')
            cluster.spawn(nursery, 'e1')
            await trio.sleep(_SILENT_S + _FOUND_AGAIN_S)
            request = job_request('aa')
            await cluster.submit(request)
            await cluster.wait_until_done(request, limit_s=_FOUND_AGAIN_S)
