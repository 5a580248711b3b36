"""Workers that answer polls and refuse starts, beside others with room."""

from __future__ import annotations

import unittest
from functools import partial

import trio

from marjoramwharf.cells.worker_messages import OrderOutcome
from marjoramwharf.ids import WorkerId
from tests.cells.cluster import (
    job_request,
    open_cluster,
    run_with_clock,
    step,
)
from tests.cells.refusals import RefusingWorkerClient

_REFUSING_COUNT = 14
_SETTLED_S = 5.0
_START_LIMIT_S = 4.0


class RefusingWorkerTests(unittest.TestCase):
    """Guards against a task that goes round the workers that refuse it."""

    def test_full_workers(self) -> None:
        """Guards against starts at workers with less room than they list."""
        run_with_clock(partial(self._start_beside, OrderOutcome.NO_ROOM))

    def test_unhealthy_workers(self) -> None:
        """Guards against starts at unhealthy workers while others have room."""
        run_with_clock(partial(self._start_beside, OrderOutcome.BUSY))

    async def _start_beside(self, refusal: OrderOutcome) -> None:
        names = [f'w{number}' for number in range(_REFUSING_COUNT)]
        async with open_cluster(()) as (cluster, nursery):
            client = RefusingWorkerClient(cluster.workers)
            cluster.worker_client = client
            for name in (*names, 'x'):
                await cluster.add_worker(name)
            client.refusals = dict.fromkeys(map(WorkerId, names), refusal)
            cluster.spawn(nursery, 'e1')
            await trio.sleep(_SETTLED_S)
            await cluster.submit(job_request('aa', step(3)))
            await cluster.wait_until(
                lambda: cluster.starts().total() == 3, limit_s=_START_LIMIT_S
            )
