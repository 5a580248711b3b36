"""A start that comes too late by the owner's fault, and where data is after it."""

from __future__ import annotations

import unittest
from dataclasses import replace
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

_NEAR, _FAR = WorkerId('w1'), WorkerId('w2')
_SETTLED_S = 5.0
_REFUSED_S = 0.5
_LATER_S = 5.0
_FAR_RACK = 'r2'


class RefusedForTheOwnerTests(unittest.TestCase):
    """Guards against tasks far from their data for what an owner did."""

    def test_order_was_late(self) -> None:
        """Guards against a lease that ended before the order arrived."""
        run_with_clock(partial(self._start_near_data, OrderOutcome.TOO_LATE))

    def test_order_was_not_sent(self) -> None:
        """Guards against an order that the owner had no right to send."""
        run_with_clock(partial(self._start_near_data, OrderOutcome.NOT_SENT))

    def test_ticket_had_ended(self) -> None:
        """Guards against a ticket that was too old."""
        run_with_clock(partial(self._start_near_data, OrderOutcome.BAD_TICKET))

    async def _start_near_data(self, refusal: OrderOutcome) -> None:
        async with open_cluster(()) as (cluster, nursery):
            client = RefusingWorkerClient(cluster.workers)
            cluster.worker_client = client
            await cluster.add_worker(_NEAR)
            await cluster.add_worker(_FAR)
            far = cluster.listings[_FAR]
            cluster.listings[_FAR] = replace(far, labels=('a', _FAR_RACK))
            cluster.spawn(nursery, 'e1')
            await trio.sleep(_SETTLED_S)
            client.refusals = {_NEAR: refusal}
            near_data = step(data_rack='r1')
            await cluster.submit(job_request('aa', near_data))
            await trio.sleep(_REFUSED_S)
            client.refusals = {}
            await trio.sleep(_LATER_S)
            later = job_request('bb', near_data)
            await cluster.submit(later)
            await cluster.wait_until_done(later)
            started = [task for task, _, _ in cluster.workers[_NEAR].starts]
            self.assertIn(f'{later.job_id}.0.0.0', started)
