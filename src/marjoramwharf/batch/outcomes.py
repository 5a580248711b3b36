"""Commits the ends of attempts and then releases their reservations.

Steps that fail because the store or a peer is unreachable are retried, since a
worker may report an end only once.
"""

from __future__ import annotations

from collections.abc import Mapping

import trio

from marjoramwharf.batch.capacity import CapacityClient
from marjoramwharf.batch.failing_workers import WorkerFailureTracker
from marjoramwharf.batch.job import Placement, parse_shard_id
from marjoramwharf.batch.shard import JobShard
from marjoramwharf.errors import Failure
from marjoramwharf.ids import JobId, ShardId, WorkerId
from marjoramwharf.logs import part_logger
from marjoramwharf.machines.calls import TaskPhase, TaskReport

_LOG = part_logger('jobs')


class OutcomeCommitter:
    """Commits ends and releases reservations, and retries until both work."""

    def __init__(
        self,
        shards: Mapping[ShardId, JobShard],
        capacity: CapacityClient,
        worker_failures: WorkerFailureTracker,
    ) -> None:
        """Start with nothing to retry; ``shards`` are those owned now."""
        self._shards = shards
        self._capacity = capacity
        self._worker_failures = worker_failures
        self._uncommitted: dict[TaskReport, None] = {}
        self._unreleased: dict[str, None] = {}
        self._gone_workers: dict[WorkerId, None] = {}

    async def commit_end(self, report: TaskReport) -> None:
        """Commit the end of an attempt, now or in a later ``retry``."""
        shard_id = parse_shard_id(report.task_id)
        shard = None if shard_id is None else self._shards.get(shard_id)
        if shard is None:
            # The shard's new owner learns of the end from the worker.
            self._uncommitted.pop(report, None)
            return
        self._uncommitted[report] = None
        try:
            placement = await shard.record_end(report)
        except Failure as failure:
            _LOG.warning(
                'end of attempt not committed',
                reason=failure.reason.value,
            )
            return
        self._uncommitted.pop(report, None)
        if placement is not None:
            self._track_worker(placement.worker_id, report)
            await self.release(placement.reservation_id)

    async def release(self, reservation_id: str) -> None:
        """Release a reservation, now or in a later ``retry``."""
        self._unreleased[reservation_id] = None
        try:
            await self._capacity.release(reservation_id)
        except Failure as failure:
            _LOG.warning(
                'reservation not released',
                reason=failure.reason.value,
            )
            return
        self._unreleased.pop(reservation_id, None)

    def mark_worker_gone(self, worker_id: WorkerId) -> None:
        """Record that a worker left the platform's list; its attempts end."""
        self._gone_workers[worker_id] = None

    def mark_worker_seen(self, worker_id: WorkerId) -> None:
        """Record that a worker has answered, so it is not gone."""
        self._gone_workers.pop(worker_id, None)

    async def run(self, pause_s: float) -> None:
        """Call ``retry`` periodically until cancelled."""
        while True:
            await trio.sleep(pause_s)
            await self.retry()

    async def retry(self) -> None:
        """Retry all commits and releases that have failed so far."""
        async with trio.open_nursery() as nursery:
            for report in tuple(self._uncommitted):
                nursery.start_soon(self.commit_end, report)
            for reservation_id in tuple(self._unreleased):
                nursery.start_soon(self.release, reservation_id)
            for worker_id in tuple(self._gone_workers):
                nursery.start_soon(self._end_attempts_on, worker_id)

    async def _end_attempts_on(self, worker_id: WorkerId) -> None:
        freed: list[Placement] = []
        try:
            for shard in tuple(self._shards.values()):
                freed.extend(await shard.end_attempts_on(worker_id))
        except Failure as failure:
            _LOG.warning(
                'end of attempts on lost worker not committed',
                reason=failure.reason.value,
            )
        else:
            self._gone_workers.pop(worker_id, None)
        for placement in freed:
            await self.release(placement.reservation_id)

    def _track_worker(self, worker_id: WorkerId, report: TaskReport) -> None:
        if report.phase is TaskPhase.FINISHED:
            self._worker_failures.record_success(worker_id)
        if report.phase is TaskPhase.FAILED:
            job_id = JobId(report.task_id.rpartition('.')[0])
            exclusion = self._worker_failures.record_failure(
                worker_id,
                job_id,
                trio.current_time(),
            )
            if exclusion is not None:
                _LOG.warning(
                    'worker excluded after failures',
                    worker=worker_id,
                    reason=exclusion.reason.value,
                )
