"""Commits the ends of attempts and then releases their reservations.

What fails because the store or a peer is out of reach is tried again, since
the worker may report an end only once.
"""

from __future__ import annotations

from collections.abc import Mapping

import trio

from marjoramwharf.batch.capacity import CapacityClient
from marjoramwharf.batch.worker_failures import WorkerFailureTracker
from marjoramwharf.batch.job import Placement, parse_shard_id
from marjoramwharf.batch.shard import JobShard
from marjoramwharf.errors import Failure
from marjoramwharf.ids import JobId, ShardId, WorkerId
from marjoramwharf.logs import part_logger
from marjoramwharf.machines.calls import TaskPhase, TaskReport

_LOG = part_logger('jobs')


class OutcomeCommitter:
    """Ends of attempts that are not durable or not released yet."""

    def __init__(
        self,
        shards: Mapping[ShardId, JobShard],
        capacity: CapacityClient,
        failing: WorkerFailureTracker,
    ) -> None:
        """Work on the owned shards, which change over time."""
        self._shards = shards
        self._capacity = capacity
        self._failing = failing
        self._uncommitted: dict[TaskReport, None] = {}
        self._unreleased: dict[str, None] = {}
        self._gone: dict[WorkerId, None] = {}

    async def finish(self, report: TaskReport) -> None:
        """Commit the end of an attempt, now or by ``retry``."""
        shard_id = parse_shard_id(report.task_id)
        shard = None if shard_id is None else self._shards.get(shard_id)
        if shard is None:
            # The new owner learns the end from the worker.
            self._uncommitted.pop(report, None)
            return
        self._uncommitted[report] = None
        try:
            placement = await shard.record(report)
        except Failure as failure:
            _LOG.warning('end not committed', reason=failure.reason.value)
            return
        self._uncommitted.pop(report, None)
        if placement is not None:
            self._judge(placement.worker_id, report)
            await self.release(placement.reservation_id)

    async def release(self, reservation_id: str) -> None:
        """Release a reservation, now or by ``retry``."""
        self._unreleased[reservation_id] = None
        try:
            await self._capacity.release(reservation_id)
        except Failure as failure:
            _LOG.warning('room not released', reason=failure.reason.value)
            return
        self._unreleased.pop(reservation_id, None)

    def instance_gone(self, worker_id: WorkerId) -> None:
        """Note that the platform's list lost an instance."""
        self._gone[worker_id] = None

    def instance_seen(self, worker_id: WorkerId) -> None:
        """Note that an instance answered after all."""
        self._gone.pop(worker_id, None)

    async def run(self, pause_s: float) -> None:
        """Call ``retry`` again and again."""
        while True:
            await trio.sleep(pause_s)
            await self.retry()

    async def retry(self) -> None:
        """Try everything again that has failed so far."""
        async with trio.open_nursery() as nursery:
            for report in tuple(self._uncommitted):
                nursery.start_soon(self.finish, report)
            for reservation_id in tuple(self._unreleased):
                nursery.start_soon(self.release, reservation_id)
            for worker_id in tuple(self._gone):
                nursery.start_soon(self._lose, worker_id)

    async def _lose(self, worker_id: WorkerId) -> None:
        freed: list[Placement] = []
        try:
            for shard in tuple(self._shards.values()):
                freed.extend(await shard.instance_gone(worker_id))
        except Failure as failure:
            _LOG.warning('loss not committed', reason=failure.reason.value)
        else:
            self._gone.pop(worker_id, None)
        for placement in freed:
            await self.release(placement.reservation_id)

    def _judge(self, worker_id: WorkerId, report: TaskReport) -> None:
        if report.phase is TaskPhase.FINISHED:
            self._failing.succeeded(worker_id)
        if report.phase is TaskPhase.FAILED:
            job_id = JobId(report.task_id.rpartition('.')[0])
            pause = self._failing.failed(
                worker_id,
                job_id,
                trio.current_time(),
            )
            if pause is not None:
                _LOG.warning(
                    'worker set aside',
                    worker=worker_id,
                    reason=pause.reason.value,
                )
