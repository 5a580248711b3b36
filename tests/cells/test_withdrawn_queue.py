"""Jobs whose queue an operator withdraws while they run."""

from __future__ import annotations

import unittest
from dataclasses import replace
from functools import partial

from msgspec import msgpack

from marjoramwharf.cells.job_status import PublicJobState
from marjoramwharf.cells.records import decode, encode
from marjoramwharf.ids import JobId
from marjoramwharf.platform.job_bodies import decode_job
from marjoramwharf.scheduling.accepted_policy import withdrawn_queue
from marjoramwharf.scheduling.policy import (
    AdvicePolicy,
    Configuration,
    QueuePolicy,
)
from marjoramwharf.scheduling.workload import JobRequest
from tests.cells.cluster import (
    QUEUE,
    SERVICE,
    Cluster,
    open_cluster,
    run_with_clock,
)

_JOB_ID = JobId('5c0e7a21d94b36f8')
_BODY = b'{"TaskSpec":"fail ms=300","Steps":[{"Count":1,"Cpu":500}]}'
_POLICY = QueuePolicy(
    QUEUE,
    'a.example',
    '/',
    SERVICE,
    priority=2,
    max_attempts=4,
    stretch=1.5,
    target_latency_ms=250,
    advice=AdvicePolicy(decision_ms=10, per_worker_ms=2, valid_ms=900),
)


def _accept(queue: QueuePolicy) -> JobRequest:
    """Return a job as the front accepts it on a queue."""
    return decode_job(_BODY, job_id=_JOB_ID, queue=queue, now_ms=0)


class WithdrawnQueueTests(unittest.TestCase):
    """Guards against a job that is judged by a policy it never had."""

    def test_attempts(self) -> None:
        """Guards against a job that fails before or after its last attempt.

        Its queue is withdrawn while the first attempt runs.
        """
        for max_attempts in (1, 2, 5):
            with self.subTest(max_attempts=max_attempts):
                run_with_clock(partial(self._attempts, max_attempts))

    def test_returned_queue(self) -> None:
        """Guards against a policy that outlives the operators' next one.

        The queue returns with more attempts before the last one has failed.
        """
        run_with_clock(self._returned_queue)

    def test_policy_is_stored(self) -> None:
        """Guards against a policy that a new owner can't restore."""
        stored = decode(encode(_accept(_POLICY)), JobRequest, key='x')
        restored = withdrawn_queue(QUEUE, SERVICE, stored.policy)
        self.assertEqual(replace(_POLICY, host='', prefix=''), restored)

    def test_job_without_policy(self) -> None:
        """Guards against jobs that can't be read after an update."""
        older = JobRequest(_JOB_ID, QUEUE, SERVICE, '', (), 0)
        fields: list[object] = msgpack.decode(encode(older))
        shorter = msgpack.encode(fields[:-1])
        self.assertEqual(older, decode(shorter, JobRequest, key='x'))

    async def _returned_queue(self) -> None:
        queue = replace(_POLICY, max_attempts=3, advice=None)
        async with open_cluster() as (cluster, nursery):
            cluster.configuration = Configuration(1, {QUEUE: queue})
            cluster.spawn(nursery, 'e1')
            request = _accept(queue)
            await cluster.submit(request)
            await cluster.wait_until(lambda: bool(cluster.starts()))
            cluster.configuration = Configuration(2, {})
            await cluster.wait_until(lambda: cluster.starts().total() > 1)
            more = replace(queue, max_attempts=5)
            cluster.configuration = Configuration(3, {QUEUE: more})
            await cluster.wait_until(lambda: _has_failed(cluster, request))
            self.assertEqual(5, cluster.starts().total())

    async def _attempts(self, max_attempts: int) -> None:
        queue = replace(_POLICY, max_attempts=max_attempts, advice=None)
        async with open_cluster() as (cluster, nursery):
            cluster.configuration = Configuration(1, {QUEUE: queue})
            first = cluster.spawn(nursery, 'e1')
            request = _accept(queue)
            await cluster.submit(request)
            await cluster.wait_until(lambda: bool(cluster.starts()))
            cluster.configuration = Configuration(2, {})
            if max_attempts > 2:
                await cluster.wait_until(lambda: cluster.starts().total() > 1)
                first.scope.cancel()
                cluster.spawn(nursery, 'e2')
            await cluster.wait_until(lambda: _has_failed(cluster, request))
            self.assertEqual(max_attempts, cluster.starts().total())


def _has_failed(cluster: Cluster, request: JobRequest) -> bool:
    return cluster.state(request) is PublicJobState.FAILED
