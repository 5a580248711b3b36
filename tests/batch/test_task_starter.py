"""Starts of tasks whose job changed meanwhile."""

from __future__ import annotations

import unittest

import trio
from trio.testing import MockClock

from marjoramwharf.batch.worker_failures import WorkerFailureTracker
from marjoramwharf.batch.job import Task
from marjoramwharf.batch.outcomes import OutcomeCommitter
from marjoramwharf.batch.retry_pauses import RetryPauses
from marjoramwharf.batch.task_starter import TaskStarter
from marjoramwharf.ids import JobId, TaskId
from tests.batch.fakes import World


class StartsTests(unittest.TestCase):
    """Guards against an entry that ends because of one task."""

    def test_start_of_a_reverted_submission_is_dropped(self) -> None:
        """Guards against a job whose write the store refused meanwhile."""
        world = World()
        failing = WorkerFailureTracker()
        starts = TaskStarter(
            world.capacity,
            world.agent_of,
            OutcomeCommitter({}, world.capacity, failing),
            RetryPauses(1),
            failing,
            lambda size: size.demand,
        )

        async def start() -> None:
            shard = await world.take()
            await starts.start(shard, Task(TaskId('0-a.0'), JobId('0-a'), 0))

        trio.run(start, clock=MockClock(autojump_threshold=0))
        self.assertEqual(world.capacity.next_id, 0)
