"""Journal: group commit, lost answers, snapshots and former owners."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from marjoramwharf.batch.shard import JobShard
from marjoramwharf.errors import (
    JournalDamaged,
    NotOwner,
    StoreAnswerLost,
    StoreUnavailable,
)
from marjoramwharf.links.store import Write
from tests.batch.fakes import Cluster, job_spec


class JournalTests(unittest.TestCase):
    """Guards against accepted jobs that are missing in the store."""

    def setUp(self) -> None:
        """Start with an empty store."""
        self.cluster = Cluster()
        self.store = self.cluster.store

    def test_events_share_a_write(self) -> None:
        """Guards against one store write per job."""

        async def script(shard: JobShard) -> None:
            self.store.delay_s = 1
            async with trio.open_nursery() as nursery:
                for number in range(50):
                    spec = job_spec(str(number))
                    nursery.start_soon(shard.submit, spec, 0)

        self._serve(script)
        self.assertEqual(len(self._keys('/log/')), 1)
        self.assertEqual(len(self._recovered().state.jobs), 50)

    def test_lost_answer_is_settled(self) -> None:
        """Guards against a job that is accepted twice or not at all."""

        async def script(shard: JobShard) -> None:
            self.store.answers_to_lose = 1
            await shard.submit(job_spec('a'), 0)

        self._serve(script)
        self.assertEqual(len(self._keys('/log/')), 1)

    def test_outage_is_not_run(self) -> None:
        """Guards against a rejected job that stays in memory."""

        async def script(shard: JobShard) -> None:
            self.store.is_down = True
            with self.assertRaises(StoreUnavailable) as caught:
                await shard.submit(job_spec('a'), 0)
            self.assertIsNotNone(caught.exception.retry_after_s)
            self.assertFalse(shard.state.jobs)
            self.store.is_down = False
            await shard.submit(job_spec('b'), 0)

        self._serve(script)
        self.assertEqual(len(self._recovered().state.jobs), 1)

    def test_unsettled_write_is_unknown(self) -> None:
        """Guards against "not run" for a write that the store may have."""

        async def script(shard: JobShard) -> None:
            self.store.answers_to_lose = 1
            self.store.delay_s = 1
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._expect_unknown, shard)
                await trio.sleep(1.5)
                self.store.is_down = True
                # A read must not wait for the end of the outage either.
                with self.assertRaises(StoreUnavailable):
                    await shard.list_jobs()

        self._serve(script)

    def test_former_owner_is_refused(self) -> None:
        """Guards against two owners that both accept jobs."""

        async def script(shard: JobShard) -> None:
            await shard.submit(job_spec('a'), 0)
            successor = await self.cluster.take_over()
            await successor.journal.snapshot()
            with self.assertRaises(NotOwner):
                await shard.submit(job_spec('b'), 0)
            with self.assertRaises(NotOwner):
                await shard.status(next(iter(shard.state.jobs)))

        self._serve(script)
        self.assertEqual(len(self._recovered().state.jobs), 1)

    def test_former_owner_after_compaction_is_refused(self) -> None:
        """Guards against a former owner that writes a deleted log key again."""

        async def script(shard: JobShard) -> None:
            await shard.submit(job_spec('a'), 0)
            successor = await self.cluster.take_over()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(successor.journal.run)
                await successor.submit(job_spec('c'), 0)
                await successor.journal.snapshot()
                nursery.cancel_scope.cancel()
            with self.assertRaises(NotOwner):
                await shard.submit(job_spec('b'), 0)

        self._serve(script)

    def test_incomplete_snapshot_loses_nothing(self) -> None:
        """Guards against lost jobs after a crash between two writes."""
        for writes_count in range(8):
            with self.subTest(writes_count=writes_count):
                self.setUp()
                self._crash_in_snapshot(writes_count)
                self.assertEqual(len(self._recovered().state.jobs), 30)

    def test_parts_are_bounded_and_log_is_compacted(self) -> None:
        """Guards against values above the limit and a log that only grows."""

        async def script(shard: JobShard) -> None:
            for number in range(30):
                await shard.submit(job_spec(str(number)), 0)
            await shard.journal.snapshot()

        self._serve(script)
        self.assertFalse(self._keys('/log/'))
        parts = self._keys('/snap/')
        self.assertGreater(len(parts), 1)
        for key in parts:
            self.assertLessEqual(len(self.store.state.stored[key].body), 1024)
        self.assertEqual(len(self._recovered().state.jobs), 30)

    def test_missing_entry_is_reported(self) -> None:
        """Guards against a silent gap in the log."""

        async def script(shard: JobShard) -> None:
            await shard.submit(job_spec('a'), 0)
            await shard.submit(job_spec('b'), 0)

        self._serve(script)
        self.store.state.apply([Write(self._keys('/log/')[0], None)])
        with self.assertRaises(JournalDamaged):
            self._recovered()

    async def _expect_unknown(self, shard: JobShard) -> None:
        with self.assertRaises(StoreAnswerLost):
            await shard.submit(job_spec('a'), 0)

    def _crash_in_snapshot(self, writes_count: int) -> None:
        async def script(shard: JobShard) -> None:
            for number in range(30):
                await shard.submit(job_spec(str(number)), 0)
            self.store.delay_s = 1
            with trio.move_on_after(writes_count + 0.5):
                await shard.journal.snapshot()

        self._serve(script)

    def _keys(self, part: str) -> list[str]:
        return [key for key in self.store.state.stored if part in key]

    def _recovered(self) -> JobShard:
        self.store.delay_s = 0
        self.store.is_down = False
        return trio.run(self.cluster.take_over)

    def _serve(self, script: Callable[[JobShard], Awaitable[None]]) -> None:
        trio.run(
            self._run_journal,
            script,
            clock=MockClock(autojump_threshold=0),
        )

    async def _run_journal(
        self,
        script: Callable[[JobShard], Awaitable[None]],
    ) -> None:
        shard = await self.cluster.take_over(snapshot_part_bytes=1024)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(shard.journal.run)
            await script(shard)
            nursery.cancel_scope.cancel()
