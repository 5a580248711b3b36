"""Start orders that a restarted worker carries out after their runs' ends."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.late_starts import LateStarts
from marjoramwharf.ids import TaskId, WorkerId
from tests.cells.cluster import (
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)
from tests.cells.restarts import (
    ALMOST_NOTICED_S,
    LISTED_S,
    LONG,
    RESTARTED,
    elect,
)

_SHORT = job_request('short', payload='ms=50')
_LATE_S = 3
_ORDER_TIMEOUT_S = 0.5


class LateStartTests(unittest.TestCase):
    """Guards against a run that starts again at a worker's next life."""

    def test_run_is_done_before_the_restart(self) -> None:
        """Guards against forgetting an unanswered order with its run."""
        run_with_clock(self._done_before_the_restart)

    def test_run_ends_before_its_order_times_out(self) -> None:
        """Guards against an order that counts as answered by a report."""
        run_with_clock(self._ends_before_its_order_times_out)

    def test_job_is_cancelled(self) -> None:
        """Guards against a stopped run of a cancelled job that starts."""
        run_with_clock(self._job_is_cancelled)

    def test_worker_restarts_twice(self) -> None:
        """Guards against an order that only the first new life refuses."""
        run_with_clock(self._restarts_twice)

    def test_stop_gets_no_answer(self) -> None:
        """Guards against a precaution that is taken once and lost."""
        run_with_clock(self._stop_gets_no_answer)

    def test_answer_to_a_repeated_order(self) -> None:
        """Guards against an answer that counts for all orders of its run."""
        worker_id, run = WorkerId('w'), (TaskId('t'), 1)
        late_starts = LateStarts()
        late_starts.record_sent(worker_id, run, now_s=1)
        former_s = late_starts.record_sent(worker_id, run, now_s=2)
        late_starts.record_answered(worker_id, run, former_s=former_s)
        self.assertEqual([run], late_starts.runs_at(worker_id, now_s=13))
        self.assertFalse(late_starts.runs_at(worker_id, now_s=15))

    async def _done_before_the_restart(self) -> None:
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            await self._finish_after_an_unanswered_order(cluster)
            cluster.restart_worker(RESTARTED)
            await self._check_late_order(cluster)

    async def _ends_before_its_order_times_out(self) -> None:
        """The order is carried out at once, and again after the restart."""
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            client = cluster.worker_client
            client.starts_to_delay = 1
            await cluster.submit(_SHORT)
            await cluster.wait_until(lambda: bool(client.delayed_orders))
            client.delayed_orders[0]()
            await cluster.wait_until_done(_SHORT, limit_s=_ORDER_TIMEOUT_S)
            cluster.restart_worker(RESTARTED)
            await self._check_late_order(cluster)

    async def _job_is_cancelled(self) -> None:
        """None of the orders is answered, so the run is stopped."""
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            client = cluster.worker_client
            client.starts_to_delay = 4
            await cluster.submit(LONG)
            await cluster.wait_until(lambda: not client.starts_to_delay)
            await cluster.cancel(LONG.job_id)
            await trio.sleep(_LATE_S)
            cluster.restart_worker(RESTARTED)
            await self._check_late_order(cluster)

    async def _restarts_twice(self) -> None:
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            await self._finish_after_an_unanswered_order(cluster)
            for _ in range(2):
                await trio.sleep(LISTED_S)
                cluster.restart_worker(RESTARTED)
                await trio.sleep(ALMOST_NOTICED_S)
            await self._check_late_order(cluster)

    async def _stop_gets_no_answer(self) -> None:
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            await self._finish_after_an_unanswered_order(cluster)
            cluster.worker_client.stops_to_drop = 2
            cluster.restart_worker(RESTARTED)
            await self._check_late_order(cluster)
            self.assertFalse(cluster.worker_client.stops_to_drop)

    async def _finish_after_an_unanswered_order(self, cluster: Cluster) -> None:
        """Run a job whose first start order is lost and sent again."""
        cluster.worker_client.starts_to_delay = 1
        await cluster.submit(_SHORT)
        await cluster.wait_until_done(_SHORT)
        self.assertEqual(1, len(cluster.worker_client.delayed_orders))

    async def _check_late_order(self, cluster: Cluster) -> None:
        """Carry an order out late; the new incarnation must refuse it.

        It takes another task after that.
        """
        await trio.sleep(_LATE_S)
        worker = cluster.workers[RESTARTED]
        cluster.worker_client.delayed_orders[0]()
        self.assertFalse(worker.starts)
        await cluster.submit(job_request('next', step(40), payload='ms=50'))
        await cluster.wait_until(lambda: bool(worker.starts))
