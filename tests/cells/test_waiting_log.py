"""What the owner logs about tasks that wait long."""

from __future__ import annotations

import unittest
from collections.abc import MutableMapping
from typing import Any
from unittest.mock import patch

import structlog
import trio
from structlog.testing import capture_logs

from marjoramwharf.cells import waiting_log
from marjoramwharf.scheduling.unplaceable_steps import UnplaceableSteps
from tests.cells.cluster import (
    job_request,
    open_cluster,
    run_with_clock,
    step,
)

_Line = MutableMapping[str, Any]

# Longer than a wait that is logged, and the period of the log.
_LONG_S = 8.0
_EVENT = 'tasks wait'


class WaitingLogTests(unittest.TestCase):
    """Guards against tasks that wait for a cause that no line tells."""

    def setUp(self) -> None:
        """Capture the lines also if other tests have raised the log level."""
        self._captured: list[_Line] = self.enterContext(capture_logs())
        logger = structlog.wrap_logger(
            None,
            processors=structlog.get_config()['processors'],
            wrapper_class=structlog.make_filtering_bound_logger(0),
        )
        self.enterContext(patch.object(waiting_log, '_LOG', logger))

    def test_unreachable_workers(self) -> None:
        """Guards against living workers out of reach that look like dead."""
        run_with_clock(self._unreachable_workers)

    def test_unanswered_start(self) -> None:
        """Guards against a task that nobody sees held by an unsent start."""
        run_with_clock(self._unanswered_start)

    def test_step_passed_over(self) -> None:
        """Guards against a task passed over though workers have room."""
        run_with_clock(self._step_passed_over)

    def test_nothing_waits(self) -> None:
        """Guards against lines while all jobs run or are not due."""
        run_with_clock(self._nothing_waits)

    async def _unreachable_workers(self) -> None:
        async with open_cluster(('w1', 'w2')) as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            await trio.sleep(5)
            cluster.worker_client.unreachable.update(cluster.workers)
            await trio.sleep(5)
            requests = [job_request(f'a{number}') for number in range(5)]
            for request in requests:
                await cluster.submit(request)
            for _ in range(int(_LONG_S)):
                await trio.sleep(1)
                await cluster.add_worker('w1')
        self.assertIn(len(self._lines()), (1, 2, 3))
        line = self._lines()[-1]
        self.assertEqual(5, line['ready_count'])
        reasons = {'unreachable_alive': 1, 'unreachable_silent': 1}
        self.assertEqual(reasons, line['workers'])
        self.assertEqual(3, len(line['tasks']))
        for waiting in line['tasks']:
            self.assertEqual(reasons, waiting['workers'])
            self.assertGreater(waiting['waits_s'], 3)

    async def _unanswered_start(self) -> None:
        """The worker is lost while the start order is under way."""
        async with open_cluster(('w1',)) as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            await trio.sleep(5)
            cluster.worker_client.unreachable.update(cluster.workers)
            request = job_request('aa')
            await cluster.submit(request)
            await trio.sleep(_LONG_S)
        waiting = self._only_task()
        self.assertEqual('w1', waiting['worker'])
        self.assertTrue(waiting['is_unconfirmed'])
        self.assertEqual('unreachable_silent', waiting['worker_reason'])

    async def _step_passed_over(self) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            await trio.sleep(5)
            with patch.object(UnplaceableSteps, 'rules_out', return_value=True):
                await cluster.submit(job_request('aa'))
                await trio.sleep(_LONG_S)
        waiting = self._only_task()
        self.assertEqual('ruled_out', waiting['outcome'])
        self.assertEqual({'ruled_out': 1}, self._lines()[-1]['outcomes'])
        self.assertEqual({'has_room': 3}, waiting['workers'])

    async def _nothing_waits(self) -> None:
        async with open_cluster() as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            running = job_request('aa', payload='ms=60000')
            later = job_request(
                'bb', step(2), repeat_count=2, interval_ms=60_000
            )
            await cluster.submit(running)
            await cluster.submit(later)
            await trio.sleep(30)
            self.assertEqual(3, cluster.starts().total())
        self.assertFalse(self._lines())

    def _lines(self) -> list[_Line]:
        return [line for line in self._captured if line['event'] == _EVENT]

    def _only_task(self) -> dict[str, Any]:
        tasks = self._lines()[-1]['tasks']
        self.assertEqual(1, len(tasks))
        return dict(tasks[0])
