"""How many connections an owner needs to one worker."""

from __future__ import annotations

import unittest
from unittest.mock import Mock, patch

import trio
from trio.testing import MockClock

from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.link_context import LinkContext
from marjoramwharf.cells.worker_clock import WorkerClock
from marjoramwharf.cells.worker_orders import WorkerOrders
from marjoramwharf.ids import TaskId, WorkerId
from marjoramwharf.links.http_client import HttpClient
from marjoramwharf.scheduling.job_table import JobTable
from standins.simulated_worker_client import MemoryWorkerClient
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    HOLD_MS,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)
from tests.links.raw_server import raw_server
from tests.scheduling.fixtures import (
    add_job,
    first_task,
    make_step,
    make_worker,
    start_run,
)

# Connections that a worker takes, and owners that may lose power one after the
# other while it keeps theirs. A poll needs a connection beside the orders.
_WORKER_CONNECTIONS = 64
_LOST_OWNERS = 8
_MAX_ORDERS = _WORKER_CONNECTIONS // _LOST_OWNERS - 1

_TASKS_COUNT = 60
_IDLE_S = 9
_PLANNED_S = 0.2
_GIVE_UP_S = 2.5


class ConnectionUseTests(unittest.TestCase):
    """Guards against connections that use up those that a worker takes.

    A worker keeps the connections of an owner that lost power, and refuses
    those of its successors once they are too many.
    """

    def test_many_orders(self) -> None:
        """Guards against a connection for each of many orders at a time."""
        run_with_clock(self._many_orders)

    def test_worker_does_not_answer(self) -> None:
        """Guards against tasks that wait behind orders without an answer."""
        run_with_clock(self._worker_does_not_answer)

    def test_right_ends_before_the_turn(self) -> None:
        """Guards against an order that waited and leaves without a right."""
        run_with_clock(self._right_ends_before_the_turn)

    def test_idle_connections(self) -> None:
        """Guards against connections that stay open and are never used."""
        trio.run(self._idle_connections, clock=_fast_clock())

    def test_idle_connections_without_requests(self) -> None:
        """Guards against connections that a former owner never closes."""
        trio.run(self._idle_without_requests, clock=_fast_clock())

    async def _many_orders(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            small = step(_TASKS_COUNT, cpu_millicores=10, is_lasting=True)
            request = job_request('aa', small, payload='ms=60000')
            await cluster.submit(request)
            await cluster.wait_until(
                lambda: cluster.starts().total() == _TASKS_COUNT
            )
            await cluster.cancel(request.job_id)
            await cluster.wait_until(
                lambda: (
                    not any(
                        worker.running for worker in cluster.workers.values()
                    )
                )
            )
            self.assertLessEqual(
                cluster.worker_client.most_orders_in_flight,
                _MAX_ORDERS,
            )

    async def _worker_does_not_answer(self) -> None:
        async with open_cluster(('w1',)) as (cluster, nursery):
            candidate = cluster.spawn(nursery, 'e1')
            await cluster.wait_until(lambda: _is_reached(candidate))
            cluster.worker_client.unreachable.add(WorkerId('w1'))
            small = step(_TASKS_COUNT, cpu_millicores=10)
            request = job_request('aa', small)
            await cluster.submit(request)
            await trio.sleep(_PLANNED_S)
            await cluster.add_worker('w2')
            # The orders on their way take two seconds, the others give up.
            await trio.sleep(_GIVE_UP_S)
            started_count = len(cluster.workers[WorkerId('w2')].starts)
            self.assertGreaterEqual(started_count, _TASKS_COUNT - 6)

    async def _right_ends_before_the_turn(self) -> None:
        async with open_cluster(('w1',)) as (cluster, _):
            client = cluster.worker_client
            client.unreachable.add(WorkerId('w1'))
            owner = Mock()
            orders = WorkerOrders(
                make_worker('w1'),
                owner,
                _context(client),
                WorkerClock(),
                on_replaced=Mock(),
            )
            job = add_job(JobTable(), 'a', make_step())
            paced = start_run(JobTable(), first_task(job), orders.worker)
            with patch.object(client, 'pace') as sent:
                async with trio.open_nursery() as nursery:
                    _send_stops(nursery, orders)
                    await trio.sleep(0.1)
                    nursery.start_soon(orders.pace, paced, 40)
                    await trio.sleep(0.1)
                    owner.may_extend_leases.return_value = False
            sent.assert_not_called()

    async def _idle_connections(self) -> None:
        client = HttpClient()

        async def ask(url: str) -> None:
            await client.request('GET', url, timeout_s=60)

        async with raw_server() as server:
            async with trio.open_nursery() as nursery:
                for _ in range(10):
                    nursery.start_soon(ask, server.url)
            self.assertEqual(10, server.open_count)
            for _ in range(3):
                await trio.sleep(_IDLE_S / 2)
                await ask(server.url)
            await trio.sleep(_IDLE_S / 2)
            self.assertEqual(1, server.open_count)

    async def _idle_without_requests(self) -> None:
        client = HttpClient()
        async with raw_server() as server, trio.open_nursery() as nursery:
            nursery.start_soon(client.run_reaper)
            await client.request('GET', server.url, timeout_s=60)
            await trio.sleep(_IDLE_S / 2)
            self.assertEqual(1, server.open_count)
            await trio.sleep(_IDLE_S)
            self.assertEqual(0, server.open_count)
            nursery.cancel_scope.cancel()


def _context(client: MemoryWorkerClient) -> LinkContext:
    return LinkContext(
        worker_client=client,
        fence=1,
        hold_ms=HOLD_MS,
        max_hold_ms=HOLD_MS,
        stop_ms=HOLD_MS,
        counters=CellCounters(),
    )


def _send_stops(nursery: trio.Nursery, orders: WorkerOrders) -> None:
    for number in range(_MAX_ORDERS):
        nursery.start_soon(orders.stop_unknown, TaskId('b.0.0.0'), number)


def _is_reached(candidate: Candidate) -> bool:
    """Whether the owner has reached some worker."""
    cell = candidate.cell
    return cell is not None and any(
        worker.is_reachable
        for worker in cell.worker_registry.fleet.workers.values()
    )


def _fast_clock() -> trio.abc.Clock:
    """Return a clock on which waiting takes little real time."""
    return MockClock(rate=20)
