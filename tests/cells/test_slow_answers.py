"""Answers of workers that take long, because the owner or its link is busy."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import trio

from marjoramwharf.links.http_client import (
    HttpClient,
    NewConnection,
    NotConnected,
)
from tests.cells.cluster import job_request, open_cluster, run_with_clock

# Longer than a probe waits at first, for longer than a lease lasts.
_ANSWER_S = 1.6
_SLOW_ANSWERS_COUNT = 30

_OPEN_STREAM = 'marjoramwharf.links.http_client.open_stream'
_USUAL_CONNECT_S = 0.3
_CONNECT_S = 0.5


async def _connect_slowly(_host: str, _port: int) -> trio.SocketStream:
    await trio.sleep(_CONNECT_S)
    raise ConnectionRefusedError


class SlowAnswerTests(unittest.TestCase):
    """Guards against a worker that counts as silent since nobody waits."""

    def test_end_is_heard(self) -> None:
        """Guards against a done run that is started again."""
        run_with_clock(self._end_is_heard)

    def test_connection_is_waited_for(self) -> None:
        """Guards against a probe that waits longer for an answer only."""
        run_with_clock(self._connection_is_waited_for)

    async def _end_is_heard(self) -> None:
        async with open_cluster(('w1', 'w2')) as (cluster, nursery):
            cluster.spawn(nursery, 'e1')
            request = job_request('aa', payload='ms=2500')
            await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.starts().total() == 1)
            cluster.worker_client.hold_answer_delays_s.extend(
                _ANSWER_S for _ in range(_SLOW_ANSWERS_COUNT)
            )
            await cluster.wait_until_done(request)
            self.assertEqual([1], list(cluster.starts().values()))

    async def _connection_is_waited_for(self) -> None:
        client = HttpClient(connect_timeout_s=_USUAL_CONNECT_S)
        with patch(_OPEN_STREAM, _connect_slowly):
            with self.assertRaises(NotConnected) as raised:
                await client.request(
                    'GET',
                    'http://10.0.0.7:8169/',
                    timeout_s=2,
                    choice=NewConnection(lambda _answer: None, 0.6),
                )
        cause = raised.exception.__cause__
        self.assertIsInstance(cause, ConnectionRefusedError)
