"""Starts of tasks whose job changed meanwhile."""

from __future__ import annotations

import unittest

import trio
from trio.testing import MockClock

from marjoramwharf.batch.failing_workers import FailingWorkers
from marjoramwharf.batch.job import Task
from marjoramwharf.batch.outcomes import Outcomes
from marjoramwharf.batch.pauses import Pauses
from marjoramwharf.batch.starts import Starts
from marjoramwharf.ids import JobId, TaskId
from tests.batch.fakes import World


class StartsTests(unittest.TestCase):
    """Guards against an entry that ends because of one task."""

    def test_start_of_a_reverted_submission_is_dropped(self) -> None:
        """Guards against a job whose write the store refused meanwhile."""
        world = World()
        failing = FailingWorkers()
        starts = Starts(
            world.capacity,
            world.get_agent,
            Outcomes({}, world.capacity, failing),
            Pauses(1),
            failing,
            lambda size: size.demand,
        )

        async def start() -> None:
            shard = await world.take()
            await starts.start(shard, Task(TaskId('0-a.0'), JobId('0-a'), 0))

        trio.run(start, clock=MockClock(autojump_threshold=0))
        self.assertEqual(world.capacity.next_id, 0)
