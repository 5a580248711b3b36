"""Starts of tasks whose job was removed in the meantime."""

from __future__ import annotations

import unittest

import trio
from trio.testing import MockClock

from marjoramwharf.batch.failing_workers import WorkerFailureTracker
from marjoramwharf.batch.job import Task
from marjoramwharf.batch.outcomes import OutcomeCommitter
from marjoramwharf.batch.retry_pauses import RetryPauses
from marjoramwharf.batch.task_starter import TaskStarter
from marjoramwharf.ids import JobId, TaskId
from tests.batch.fakes import Cluster


class TaskStarterTests(unittest.TestCase):
    """Guards against an entry that ends because of one task."""

    def test_start_of_a_reverted_submission_is_dropped(self) -> None:
        """Guards against an exception after the job's write was refused."""
        cluster = Cluster()
        worker_failures = WorkerFailureTracker()
        starter = TaskStarter(
            cluster.capacity,
            cluster.get_agent,
            OutcomeCommitter({}, cluster.capacity, worker_failures),
            RetryPauses(1),
            worker_failures,
            lambda size: size.demand,
        )

        async def start() -> None:
            shard = await cluster.take_over()
            await starter.start(shard, Task(TaskId('0-a.0'), JobId('0-a'), 0))

        trio.run(start, clock=MockClock(autojump_threshold=0))
        self.assertEqual(cluster.capacity.next_id, 0)
