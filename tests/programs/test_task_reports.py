"""Forwarding of task reports to the owners of job shards."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
from msgspec import structs
from trio.testing import MockClock

from marjoramwharf.batch.runner import JobRunner
from marjoramwharf.contracts.ownership import OwnerRecord
from marjoramwharf.ids import (
    EntryId,
    Epoch,
    Incarnation,
    ShardId,
    TaskId,
    WorkerId,
)
from marjoramwharf.links.peer_messages import Message
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.machines.calls import (
    Demand,
    LeaseReply,
    TaskPhase,
    TaskReport,
)
from marjoramwharf.programs._task_reports import TaskReportRelay
from tests.batch.fakes import Cluster

_WORKER = WorkerId('w-0')
_OWNER = EntryId('owner')
_SHARD = ShardId(0)
_NEVER_RAN = TaskReport(
    TaskId('0-a.0'), (1, 4), TaskPhase.UNKNOWN, 0, Demand(0, 0)
)
_NO_TASKS = LeaseReply(
    Epoch(1), leaving=False, running=(), tasks=(), connections=()
)


@dataclass
class _Peer:
    """The owner of the job shard; it keeps the reports that it gets."""

    reports: list[Message] = field(default_factory=list)

    async def call(self, message: Message, *, timeout_s: float) -> Message:
        """Acknowledge a message."""
        await trio.lowlevel.checkpoint()
        for worker in message.workers:
            self.reports.extend(worker.reports)
        return ttypes.Ack()


class TaskReportTests(unittest.TestCase):
    """Guards against a task that waits for a proof that another entry has."""

    def setUp(self) -> None:
        """Set up the entry that owns the capacity of the worker."""
        cluster = Cluster()
        self.peer = _Peer()
        record = OwnerRecord(_OWNER, Incarnation('i'), Epoch(1), 'nonce')
        self.records = {_SHARD: record}
        self.relay = TaskReportRelay(
            JobRunner(cluster.capacity, cluster.get_agent),
            EntryId('e1'),
            records=lambda: self.records,
            peers=lambda: {_OWNER: self.peer},
            on_worker_seen=lambda worker_id: None,
        )

    def test_attempt_never_ran(self) -> None:
        """Guards against a proof that only the owner of the worker gets."""

        async def script() -> None:
            self.relay.on_lease(_WORKER, _NO_TASKS)
            self.relay.on_never_ran(_WORKER, _NEVER_RAN)
            await self._renew_leases()
            self.assertEqual(['unknown'], self._reported_phases())

        self._run(script)

    def test_job_shard_changes_its_owner(self) -> None:
        """Guards against a proof that the next owner doesn't get."""

        async def script() -> None:
            self.relay.on_never_ran(_WORKER, _NEVER_RAN)
            await self._renew_leases()
            self.records[_SHARD] = structs.replace(
                self.records[_SHARD], epoch=Epoch(2)
            )
            await self._renew_leases()
            self.assertEqual(['unknown', 'unknown'], self._reported_phases())

        self._run(script)

    async def _renew_leases(self) -> None:
        for _ in range(5):
            self.relay.on_lease(_WORKER, _NO_TASKS)
            await trio.sleep(1)

    def _reported_phases(self) -> list[str]:
        return [report.phase for report in self.peer.reports]

    def _run(self, script: Callable[[], Awaitable[None]]) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.relay.run)
                await script()
                nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))
