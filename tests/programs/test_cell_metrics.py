"""What the metrics of an entry tell of workers and waiting tasks."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import TypeVar
from unittest.mock import patch

import trio

from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.ids import WorkerId
from marjoramwharf.links.http_client import HttpClient
from marjoramwharf.links.http_server import HttpRequest
from marjoramwharf.programs._cell_metrics import CellMetrics
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    job_request,
    open_cluster,
    run_with_clock,
)

_Made = TypeVar('_Made')


async def _run_inline(call: Callable[[], _Made]) -> _Made:
    """Run a call without a thread, during which a simulated clock would jump."""
    await trio.lowlevel.checkpoint()
    return call()


async def _scrape(candidate: Candidate) -> dict[str, float]:
    """Return the values of the metrics page by metric, without its prefix."""
    metrics = CellMetrics(
        CellCounters(),
        HttpClient(connect_timeout_s=1),
        None,
        lambda: candidate.cell,
        int,
    )
    request = HttpRequest(
        method='GET', target='/metrics', headers={}, body=b'', arrived_s=0
    )
    page = (await metrics.handle(request)).body.decode()
    lines = [line for line in page.splitlines() if not line.startswith('#')]
    rows = (line.rpartition(' ') for line in lines if line)
    return {
        name.removeprefix('marjoramwharf_'): float(number)
        for name, _, number in rows
    }


class CellMetricsTests(unittest.TestCase):
    """Guards against metrics that hide why tasks wait."""

    def test_unreachable_workers(self) -> None:
        """Guards against a lost worker with an unanswered start unseen."""
        with patch('trio.to_thread.run_sync', _run_inline):
            run_with_clock(self._unreachable_workers)

    def test_unlisted_workers(self) -> None:
        """Guards against workers that leave the list without a sign."""
        run_with_clock(self._unlisted_workers)

    async def _unlisted_workers(self) -> None:
        async with open_cluster(('w1', 'w2', 'w3')) as (cluster, nursery):
            owner = cluster.spawn(nursery, 'e1')
            await trio.sleep(5)
            cluster.worker_client.unreachable.add(WorkerId('w3'))
            cluster.unlist('w2')
            cluster.unlist('w3')
            await trio.sleep(5)
            values = await _scrape(owner)
        self.assertEqual(1, values['unlisted_workers{kind="reachable"}'])
        self.assertEqual(1, values['unlisted_workers{kind="unreachable"}'])
        self.assertEqual(2, values['workers_by_reason{kind="usable"}'])
        self.assertEqual(1, values['workers_by_reason{kind="gone"}'])

    async def _unreachable_workers(self) -> None:
        async with open_cluster(('w1', 'w2')) as (cluster, nursery):
            owner = cluster.spawn(nursery, 'e1')
            await trio.sleep(5)
            before = await _scrape(owner)
            cluster.worker_client.unreachable.update(cluster.workers)
            await cluster.submit(job_request('aa'))
            await trio.sleep(5)
            await cluster.submit(job_request('bb'))
            await trio.sleep(3)
            await cluster.add_worker('w1')
            await trio.sleep(1)
            after = await _scrape(owner)
        for reason, first, then in (
            ('usable', 2, 0),
            ('unreachable_alive', 0, 1),
            ('unreachable_silent', 0, 1),
        ):
            key = f'workers_by_reason{{kind="{reason}"}}'
            self.assertEqual((first, then), (before[key], after[key]))
        self.assertEqual(0, before['oldest_ready_task_seconds'])
        self.assertEqual(1, after['unconfirmed_starts'])
        self.assertEqual(1_000, after['unconfirmed_start_millicores'])
        self.assertGreater(after['oldest_ready_task_seconds'], 2)
