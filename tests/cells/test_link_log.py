"""What the log and the counters tell of a worker's incarnations and leases."""

from __future__ import annotations

import unittest
from collections.abc import MutableMapping
from typing import Any
from unittest.mock import patch

import structlog
import trio
from structlog.testing import capture_logs

from marjoramwharf.cells import link_log
from marjoramwharf.cells.worker_clock import is_other_clock
from marjoramwharf.cells.worker_messages import OrderAnswer
from marjoramwharf.ids import WorkerId
from standins.simulated_worker import SimulatedWorker
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    HOLD_MS,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
)

_NAME = WorkerId('w1')
_MS_PER_S = 1_000

_Line = MutableMapping[str, Any]
_Lines = list[_Line]


async def _elect(cluster: Cluster, nursery: trio.Nursery) -> Candidate:
    """Spawn an entry and wait until it has polled the worker for a while."""
    candidate = cluster.spawn(nursery, 'e1')
    await cluster.wait_until(lambda: candidate.cell is not None)
    await trio.sleep(30)
    return candidate


def _other_clock_answers_count(candidate: Candidate) -> int:
    if candidate.cell is None:
        raise AssertionError('the entry lost the cell')
    return candidate.cell.context.counters.other_clock_answers_count


class LinkLogTests(unittest.TestCase):
    """Guards against causes of doubled work that leave no trace."""

    def setUp(self) -> None:
        """Capture the lines also if other tests have raised the log level."""
        self.lines: _Lines = self.enterContext(capture_logs())
        logger = structlog.wrap_logger(
            None,
            processors=structlog.get_config()['processors'],
            wrapper_class=structlog.make_filtering_bound_logger(0),
        )
        self.enterContext(patch.object(link_log, '_LOG', logger))

    def test_start_with_a_lease_of_another_clock(self) -> None:
        """Guards against a lease of another clock that nobody sees."""
        run_with_clock(self._start_with_a_lease_of_another_clock)

    def test_start_that_leaves_late(self) -> None:
        """Guards against late answers that are taken for another clock's."""
        run_with_clock(self._start_that_leaves_late)

    def test_end_of_dropped_run(self) -> None:
        """Guards against lapsed leases and late ends without a line each."""
        run_with_clock(self._end_of_dropped_run)

    def test_restart(self) -> None:
        """Guards against a restart whose clocks can't be told apart."""
        run_with_clock(self._restart)

    def test_bounds_of_a_clock(self) -> None:
        """Guards against an answer of another clock that isn't noticed."""
        for clock_ms, is_other in (
            (3_900, True),
            (4_100, False),
            (8_900, False),
            (9_100, True),
        ):
            with self.subTest(clock_ms=clock_ms):
                self.assertIs(
                    is_other,
                    is_other_clock(clock_ms, expected_ms=5_000, waited_s=3),
                )

    def _lines_of(self, event: str) -> _Lines:
        return [line for line in self.lines if line['event'] == event]

    def _line_of(self, event: str) -> _Line:
        """Return the line of an event that must have been logged once."""
        lines = self._lines_of(event)
        self.assertEqual(1, len(lines))
        return lines[0]

    async def _start_with_a_lease_of_another_clock(self) -> None:
        """The clock goes back while a poll waits for its answer."""
        async with open_cluster((_NAME,)) as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            worker = cluster.workers[_NAME]
            cluster.worker_client.hold_answer_delays_s.append(0.9)
            worker.clock_origin_ms = -round(trio.current_time() * _MS_PER_S)
            await cluster.submit(job_request('aa', payload='ms=60000'))
            await cluster.wait_until(lambda: bool(worker.starts))
            await trio.sleep(0.1)
            self.assertEqual(1, _other_clock_answers_count(owner))
        line = self._line_of('answer of another clock')
        self.assertEqual('accepted', line['outcome'])
        self.assertLess(line['clock_ms'], 2 * _MS_PER_S)
        self.assertGreater(line['expected_ms'], 29 * _MS_PER_S)
        self.assertEqual(HOLD_MS, line['expires_ms'] - line['expected_ms'])

    async def _start_that_leaves_late(self) -> None:
        """The owner stands still between the lease and the order."""
        async with open_cluster((_NAME,)) as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            start = cluster.worker_client.start

            async def start_late(*args: Any, timeout_s: float) -> OrderAnswer:
                await trio.sleep(2)
                return await start(*args, timeout_s=timeout_s)

            request = job_request('aa', payload='ms=3000')
            with patch.object(cluster.worker_client, 'start', start_late):
                await cluster.submit(request)
                await cluster.wait_until_done(request)
            self.assertEqual([1], list(cluster.starts().values()))
            self.assertEqual(0, _other_clock_answers_count(owner))
        self.assertFalse(self._lines_of('answer of another clock'))

    async def _end_of_dropped_run(self) -> None:
        """The run is done while its worker can't be reached."""
        async with open_cluster((_NAME,)) as (cluster, nursery):
            await _elect(cluster, nursery)
            request = job_request('aa', payload='ms=3000')
            await cluster.submit(request)
            await cluster.wait_until(
                lambda: bool(cluster.workers[_NAME].starts)
            )
            cluster.worker_client.unreachable.add(_NAME)
            await trio.sleep(15)
            cluster.worker_client.unreachable.clear()
            await cluster.wait_until_done(request)
            await trio.sleep(5)
        lapsed = self._line_of('leases lapsed')
        self.assertEqual('lapsed', lapsed['reason'])
        self.assertEqual(1, lapsed['runs_count'])
        self.assertGreater(
            lapsed['clock_lower_bound_ms'], lapsed['lease_end_ms']
        )
        self.assertGreater(lapsed['silent_s'], HOLD_MS / _MS_PER_S - 1)
        ended = self._line_of('end of unknown run')
        self.assertEqual((1, 'done'), (ended['run'], ended['how']))

    async def _restart(self) -> None:
        async with open_cluster((_NAME,)) as (cluster, nursery):
            await _elect(cluster, nursery)
            await cluster.submit(job_request('aa', payload='ms=60000'))
            await trio.sleep(5)
            cluster.workers[_NAME] = SimulatedWorker(trio.current_time())
            await trio.sleep(5)
        first = self._line_of('worker first polled')
        restarted = self._line_of('worker restarted')
        self.assertEqual(first['born_ms'], restarted['previous_born_ms'])
        self.assertGreater(restarted['born_ms'], restarted['previous_born_ms'])
        self.assertGreater(
            restarted['former_lease_end_ms'], restarted['clock_ms'] + HOLD_MS
        )
        self.assertEqual(1, restarted['former_runs_count'])
