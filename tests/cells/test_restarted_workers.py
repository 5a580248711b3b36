"""Workers that restart under their id before the owner notices it.

A call names only the id, so the new incarnation carries out what was meant for
the former one. The clocks of both show different times, and both number their
ends from 1.
"""

from __future__ import annotations

import unittest
from unittest.mock import patch

import trio

from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    HoldReport,
    OrderOutcome,
    WorkerAddress,
)
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    CELL,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)
from tests.cells.restarts import (
    ALMOST_NOTICED_S,
    CLOCK_LEAD_MS,
    LISTED_S,
    LONG,
    RESTARTED,
    elect,
    finish_early_job,
    finish_job_once,
    restart_in_the_dark,
    start_long_task,
)

_LATE_ORDER_DELAY_S = 2
_LISTING_DELAY_S = 0.8
_LATE_ANSWER_DELAY_S = 0.9

# How long a worker has lived when it restarts, and the time after which the
# leases in all orders to it have ended.
_YOUNG_S = 2
_LEASES_ENDED_S = 10
_LATE_ORIGIN_MS = 17_000


async def _replace_owner(
    cluster: Cluster, owner: Candidate, successor: Candidate
) -> None:
    """Kill the owner; return once the successor has taken the cell over."""
    owner.scope.cancel()
    successor.view.mark_owner_ended(successor.view.owners[CELL])
    await cluster.wait_until(lambda: successor.cell is not None)


async def _delay_order(cluster: Cluster) -> None:
    """Order a long task; return after an order that gets no answer.

    The worker may carry the order out late.
    """
    client = cluster.worker_client
    client.starts_to_delay = 4
    client.stops_to_drop = 100
    await cluster.submit(LONG)
    await cluster.wait_until(lambda: len(client.delayed_orders) > 1)


async def _check_start_elsewhere(cluster: Cluster) -> None:
    """Cut the worker off; its task must start elsewhere, but not too early."""
    cluster.worker_client.unreachable.add(RESTARTED)
    second = await cluster.add_worker('w2')
    await cluster.wait_until(lambda: bool(second.running))


class RestartedWorkerTests(unittest.TestCase):
    """Guards against tasks started twice at a worker's new incarnation."""

    def test_worker_is_cut_off_before_restart_is_noticed(self) -> None:
        """Guards against a lease that ends at a time of a former clock."""
        run_with_clock(self._cut_off_before_restart_is_noticed)

    def test_worker_is_cut_off_after_restart_is_noticed(self) -> None:
        """Guards against forgetting that lease with the former clock."""
        run_with_clock(self._cut_off_after_restart_is_noticed)

    def test_clock_of_new_incarnation_is_ahead(self) -> None:
        """Guards against a lease that counts as lapsed by a clock ahead."""
        run_with_clock(self._clock_is_ahead)

    def test_owner_dies_and_next_one_polls_once(self) -> None:
        """Guards against a next owner's guess of a former owner's lease."""
        run_with_clock(self._next_owner_polls_once)

    def test_owner_dies_and_next_one_never_polls(self) -> None:
        """Guards against a run that outlives the longest lease assumed."""
        run_with_clock(self._next_owner_never_polls)

    def test_end_is_acknowledged_for_former_incarnation(self) -> None:
        """Guards against an end forgotten by an acknowledgement of before."""
        run_with_clock(self._end_is_acknowledged_by_number_of_before)

    def test_order_finds_no_connection(self) -> None:
        """Guards against an order that is given up for a lost connection."""
        run_with_clock(self._order_finds_no_connection)

    def test_order_finds_another_incarnation(self) -> None:
        """Guards against a restart that is noticed only by a timeout."""
        run_with_clock(self._order_finds_another_incarnation)

    def test_young_worker_restarts_and_is_lost(self) -> None:
        """Guards against a task that waits for leases longer than any sent."""
        run_with_clock(self._young_worker_restarts_and_is_lost)

    def test_order_outlives_two_restarts(self) -> None:
        """Guards against forgetting the lease in an order of long before."""
        run_with_clock(self._order_outlives_two_restarts)

    def test_order_under_way_outlives_two_restarts(self) -> None:
        """Guards against an order forgotten when its run is stopped."""
        run_with_clock(self._order_under_way_outlives_two_restarts)

    def test_listing_changes_while_a_poll_waits(self) -> None:
        """Guards against an answer judged by an address it didn't come from."""
        run_with_clock(self._listing_changes_while_a_poll_waits)

    async def _order_finds_no_connection(self) -> None:
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            await finish_early_job(cluster)
            cluster.worker_client.connections_to_lose = 1
            await start_long_task(cluster, cluster.workers[RESTARTED])
            self.assertEqual(1, cluster.workers[RESTARTED].starts[-1][1])

    async def _order_finds_another_incarnation(self) -> None:
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            worker = await restart_in_the_dark(cluster)
            began_s = trio.current_time()
            await start_long_task(cluster, worker)
            self.assertLess(trio.current_time() - began_s, ALMOST_NOTICED_S)

    async def _young_worker_restarts_and_is_lost(self) -> None:
        """The order is carried out late, until the lease in it has ended."""
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            owner = cluster.spawn(nursery, 'e1')
            await cluster.wait_until(lambda: owner.cell is not None)
            await trio.sleep(_YOUNG_S)
            client = cluster.worker_client
            await _delay_order(cluster)
            worker = cluster.restart_worker(RESTARTED)
            await trio.sleep(ALMOST_NOTICED_S)
            client.unreachable.add(RESTARTED)
            second = await cluster.add_worker('w2')
            await trio.sleep(_YOUNG_S)
            client.delayed_orders[-1]()
            self.assertTrue(worker.running)
            await cluster.wait_until(
                lambda: bool(second.running), limit_s=_LEASES_ENDED_S
            )

    async def _order_outlives_two_restarts(self) -> None:
        """The second incarnation is young, so its own leases end early."""
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            client = cluster.worker_client
            await _delay_order(cluster)
            for origin_ms in (0, _LATE_ORIGIN_MS):
                worker = cluster.restart_worker(
                    RESTARTED, clock_origin_ms=origin_ms
                )
                await trio.sleep(ALMOST_NOTICED_S)
            client.unreachable.add(RESTARTED)
            second = await cluster.add_worker('w2')
            self.assertFalse(worker.starts)
            client.delayed_orders[0]()
            self.assertTrue(worker.running)
            await cluster.wait_until(lambda: bool(second.running))

    async def _order_under_way_outlives_two_restarts(self) -> None:
        """Only the second worker suits the task when it is started again."""
        async with open_cluster(()) as (cluster, nursery):
            await cluster.add_worker(RESTARTED, kind='b')
            await elect(cluster, nursery)
            client = cluster.worker_client
            client.starts_to_delay = 1
            client.stops_to_drop = 100
            suited = step(required_label='b')
            await cluster.submit(job_request('aa', suited, payload='ms=60000'))
            await cluster.wait_until(lambda: bool(client.delayed_orders))
            await cluster.add_worker(RESTARTED, kind='a')
            for _ in range(2):
                cluster.restart_worker(RESTARTED)
                await trio.sleep(ALMOST_NOTICED_S)
            second = await cluster.add_worker('w2', kind='b')
            await trio.sleep(LISTED_S)
            client.delayed_orders[0]()
            cluster.check_single_runs()
            client.stops_to_drop = 0
            await cluster.wait_until(lambda: bool(second.running))

    async def _listing_changes_while_a_poll_waits(self) -> None:
        """The poll's connection is reset, and a probe finds another worker."""
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            await start_long_task(cluster, cluster.workers[RESTARTED])
            second = await cluster.add_worker('w2')
            client = cluster.worker_client
            client.foreign_hosts.add('elsewhere')
            send_hold = client.hold

            async def reset_hold(
                worker: WorkerAddress, order: HoldOrder, *, timeout_s: float
            ) -> HoldReport:
                if worker.worker_id != RESTARTED or worker.born_ms is None:
                    return await send_hold(worker, order, timeout_s=timeout_s)
                await cluster.move_listing(RESTARTED, 'elsewhere')
                await trio.sleep(_LISTING_DELAY_S)
                return HoldReport(OrderOutcome.NOT_CONNECTED)

            with patch.object(client, 'hold', reset_hold):
                await cluster.wait_until(lambda: bool(second.running))

    async def _cut_off_before_restart_is_noticed(self) -> None:
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            worker = await restart_in_the_dark(cluster)
            await start_long_task(cluster, worker)
            await _check_start_elsewhere(cluster)

    async def _cut_off_after_restart_is_noticed(self) -> None:
        """The new incarnation answers a poll before it is cut off."""
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            worker = await restart_in_the_dark(cluster)
            await trio.sleep(ALMOST_NOTICED_S)
            await start_long_task(cluster, worker)
            client = cluster.worker_client
            polls = client.holds_count
            await cluster.wait_until(lambda: client.holds_count > polls)
            await _check_start_elsewhere(cluster)

    async def _clock_is_ahead(self) -> None:
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            former = cluster.workers[RESTARTED]
            origin_ms = former.clock_ms(trio.current_time()) + CLOCK_LEAD_MS
            worker = await restart_in_the_dark(
                cluster, clock_origin_ms=origin_ms
            )
            await start_long_task(cluster, worker)
            await _check_start_elsewhere(cluster)

    async def _next_owner_polls_once(self) -> None:
        """The next owner reads the new clock, but not the run's lease."""
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            owner = await elect(cluster, nursery)
            successor = cluster.spawn(nursery, 'e2')
            worker = await restart_in_the_dark(cluster)
            await start_long_task(cluster, worker)
            fence = worker.fence
            await _replace_owner(cluster, owner, successor)
            await cluster.wait_until(lambda: worker.fence > fence)
            await _check_start_elsewhere(cluster)

    async def _next_owner_never_polls(self) -> None:
        """The former owner's order is carried out late, as by a slow network.

        The lease in the order ends long after the latest one that the new
        incarnation grants.
        """
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            owner = await elect(cluster, nursery)
            successor = cluster.spawn(nursery, 'e2')
            worker = await restart_in_the_dark(cluster)
            client = cluster.worker_client
            client.starts_to_delay = 1
            await cluster.submit(LONG)
            await cluster.wait_until(lambda: bool(client.delayed_orders))
            client.unreachable.add(RESTARTED)
            await _replace_owner(cluster, owner, successor)
            await trio.sleep(_LATE_ORDER_DELAY_S)
            client.delayed_orders[0]()
            self.assertTrue(worker.running)
            await _check_start_elsewhere(cluster)

    async def _end_is_acknowledged_by_number_of_before(self) -> None:
        """The former incarnation's last answer arrives after the restart.

        The poll after it acknowledges the ends of before to the new one, where
        a run has ended meanwhile.
        """
        async with open_cluster((RESTARTED,)) as (cluster, nursery):
            await elect(cluster, nursery)
            await finish_early_job(cluster)
            delays_s = cluster.worker_client.hold_answer_delays_s
            delays_s.append(_LATE_ANSWER_DELAY_S)
            await cluster.wait_until(lambda: not delays_s)
            cluster.restart_worker(RESTARTED)
            await finish_job_once(cluster)
