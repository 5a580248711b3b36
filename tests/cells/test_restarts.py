"""What a new process uses of what was there before it."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.config_cache import ConfigCache
from marjoramwharf.links.store import (
    StoredValue,
    StoreEvent,
    WatchBatch,
    Write,
)
from marjoramwharf.scheduling.policy import Configuration, QueuePolicy
from tests.cells.cluster import job_request, open_cluster, run_with_clock, step

_CONFIG_KEY = 'op/config'


class RestartTests(unittest.TestCase):
    """Guards against a worker or queue that is used after it was withdrawn."""

    def test_worker_has_left(self) -> None:
        """Guards against orders to a worker that left between two owners."""
        run_with_clock(self._worker_has_left)

    def test_queue_is_withdrawn(self) -> None:
        """Guards against a configuration that gives way to an older one."""
        cache = ConfigCache(_CONFIG_KEY, _decode)
        self.assertIsNone(cache.current)
        trio.run(cache.apply, _config_batch(b'5', revision=9))
        for late in (b'4', b'5', b'damaged'):
            trio.run(cache.apply, _config_batch(late, revision=12))
        self.assertIsNotNone(cache.current)
        if cache.current is not None:
            self.assertEqual(5, cache.current.version)
            self.assertFalse(cache.current.queues)

    async def _worker_has_left(self) -> None:
        async with open_cluster(('w1', 'w2')) as (cluster, nursery):
            first = cluster.spawn(nursery, 'e1')
            early = job_request('a', step(12))
            await cluster.submit(early)
            await cluster.wait_until_done(early)
            first.scope.cancel()
            left = next(iter(cluster.workers))
            started_count = len(cluster.workers[left].starts)
            self.assertTrue(started_count)
            await cluster.store.commit([], [Write(f'servers/{left}', None)])
            later = [job_request(name, step(12)) for name in 'bc']
            for request in later:
                await cluster.submit(request)
            cluster.spawn(nursery, 'e2')
            await cluster.wait_until_done(*later)
            self.assertEqual(started_count, len(cluster.workers[left].starts))


def _decode(body: bytes) -> Configuration:
    """Return a configuration whose versions before 5 have a queue."""
    version = int(body)
    queue = QueuePolicy('q', 'a.example', '/q/', 'presses')
    return Configuration(version, {} if version > 4 else {'q': queue})


def _config_batch(body: bytes, *, revision: int) -> WatchBatch:
    stored = StoredValue(_CONFIG_KEY, body, revision, revision)
    event = StoreEvent(_CONFIG_KEY, stored)
    return WatchBatch(revision, (event,), restarted=True)
