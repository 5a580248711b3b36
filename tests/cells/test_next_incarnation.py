"""State of a former incarnation of a worker that the next one may be given."""

from __future__ import annotations

import unittest

import trio

from tests.cells.cluster import job_request, open_cluster, run_with_clock, step
from tests.cells.restarts import (
    ALMOST_NOTICED_S,
    CLOCK_LEAD_MS,
    FORMER_LIFE_S,
    LISTED_S,
    RESTARTED,
    elect,
    finish_early_job,
    finish_job_once,
    restart_in_the_dark,
    start_long_task,
)


class NextIncarnationTests(unittest.TestCase):
    """Guards against state of a former incarnation used with the next one."""

    def test_restarted_worker_is_of_another_kind(self) -> None:
        """Guards against a start by the labels of a former incarnation."""
        run_with_clock(self._restarted_as_another_kind)

    def test_restarted_worker_is_listed_again(self) -> None:
        """Guards against a restarted worker that gets no runs any more."""
        run_with_clock(self._listed_again)

    def test_listing_tells_a_restart(self) -> None:
        """Guards against lost tasks that wait for a poll to time out."""
        run_with_clock(self._listing_tells_a_restart)

    def test_worker_restarts_after_a_checkpoint(self) -> None:
        """Guards against work that is done again though it was saved."""
        run_with_clock(self._restarts_after_a_checkpoint)

    def test_ends_of_an_incarnation_with_its_clock_ahead(self) -> None:
        """Guards against ends that are taken for those of a former one."""
        run_with_clock(self._ends_with_the_clock_ahead)

    async def _restarted_as_another_kind(self) -> None:
        async with open_cluster(()) as (cluster, nursery):
            await cluster.add_worker(RESTARTED, kind='a', tells_start=True)
            await elect(cluster, nursery)
            worker = cluster.restart_worker(RESTARTED)
            await trio.sleep(ALMOST_NOTICED_S)
            request = job_request('aa', step(required_label='a'))
            await cluster.submit(request)
            await trio.sleep(ALMOST_NOTICED_S)
            await cluster.add_worker(RESTARTED, kind='b', tells_start=True)
            await cluster.add_worker('w2', kind='a')
            await cluster.wait_until_done(request)
            self.assertFalse(worker.starts)

    async def _listed_again(self) -> None:
        async with open_cluster(()) as (cluster, nursery):
            await cluster.add_worker(RESTARTED, tells_start=True)
            await elect(cluster, nursery)
            cluster.restart_worker(RESTARTED)
            await trio.sleep(ALMOST_NOTICED_S)
            await cluster.add_worker(RESTARTED, tells_start=True)
            await finish_early_job(cluster)

    async def _listing_tells_a_restart(self) -> None:
        async with open_cluster(()) as (cluster, nursery):
            former = await cluster.add_worker(RESTARTED, tells_start=True)
            await elect(cluster, nursery)
            await start_long_task(cluster, former)
            worker = await restart_in_the_dark(cluster)
            began_s = trio.current_time()
            await cluster.add_worker(RESTARTED, tells_start=True)
            await cluster.wait_until(lambda: bool(worker.running))
            self.assertLess(trio.current_time() - began_s, LISTED_S)

    async def _restarts_after_a_checkpoint(self) -> None:
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            saving = job_request('saving', payload='ms=10000 save')
            await cluster.submit(saving)
            await trio.sleep(FORMER_LIFE_S / 5)
            worker = cluster.restart_worker(RESTARTED)
            await cluster.wait_until(lambda: bool(worker.running))
            percent = int(worker.start_checkpoints[-1] or 0)
            self.assertGreaterEqual(percent, 40)

    async def _ends_with_the_clock_ahead(self) -> None:
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            await finish_early_job(cluster)
            former = cluster.workers[RESTARTED]
            origin_ms = former.clock_ms(trio.current_time()) + CLOCK_LEAD_MS
            cluster.restart_worker(RESTARTED, clock_origin_ms=origin_ms)
            await trio.sleep(ALMOST_NOTICED_S)
            await finish_job_once(cluster)
