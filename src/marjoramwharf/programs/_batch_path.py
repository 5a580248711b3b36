"""Builds the path of batch jobs."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import trio
from quart import Blueprint

from marjoramwharf.batch.http_api import jobs_blueprint
from marjoramwharf.batch.job import TaskSpec
from marjoramwharf.batch.ordering import ShardPolicy
from marjoramwharf.batch.runner import JobRunner
from marjoramwharf.contracts.lending import CapacityManager
from marjoramwharf.contracts.note_registry import ActiveConfiguration
from marjoramwharf.contracts.ownership import (
    OwnerRecord,
    Ownership,
    shard_of,
)
from marjoramwharf.contracts.reservations import AttemptKey
from marjoramwharf.errors import Failure, WorkerUnreachable
from marjoramwharf.ids import EntryId, ShardId, TeamId, WorkerId
from marjoramwharf.links.members import MemberView
from marjoramwharf.links.peer_client import PeerClient
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.peer_server import Handler
from marjoramwharf.links.store import Store
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.logs import part_logger
from marjoramwharf.machines.agent import HttpWorkerAgent
from marjoramwharf.machines.agent_pool import AgentPool
from marjoramwharf.machines.calls import Demand, LeaseReply, TaskPhase
from marjoramwharf.machines.worker import Worker
from marjoramwharf.machines.worker_table import WorkerTable
from marjoramwharf.programs._class_usage import ClassUsageFollower
from marjoramwharf.programs._job_routing import JobRouting, now_ms
from marjoramwharf.programs._job_shards import JobShards
from marjoramwharf.programs._task_placement import (
    EntryCapacity,
    IndexedChoice,
)
from marjoramwharf.programs._task_reports import TaskReports
from marjoramwharf.service.drain import DrainGate
from marjoramwharf.settings import EntrySettings

# A quota of this service bounds a team's batch tasks; its slots are
# processors. Teams without one are not bounded.
_QUOTA_SERVICE = 'batch'
_NO_QUOTA_MILLICORES = 1_000_000_000
_MILLICORES = 1_000
_MS_PER_S = 1_000

_FORGET_S = 60.0
_CHECK_S = 1.0
# Longer than a commit and a call to the worker, so that a start that is
# merely slow is not refused.
_UNSEEN_S = 10.0

_log = part_logger('jobs')


@dataclass(frozen=True, slots=True, kw_only=True)
class BatchPathParts:
    """What the path is built from."""

    settings: EntrySettings
    store: Store
    ownership: Ownership
    capacity_ownership: Ownership
    view: MemberView
    worker_table: WorkerTable
    capacity_manager: CapacityManager
    agents: AgentPool
    peers: Callable[[], Mapping[EntryId, PeerClient]]
    gate: DrainGate
    rng: random.Random
    clock: Callable[[], float]


class BatchPath:
    """Job shards, their runner and the reservations of one entry."""

    def __init__(self, parts: BatchPathParts) -> None:
        """Wire the parts; nothing runs yet."""
        self._parts = parts
        self._shard_count = parts.settings.batch.shard_count
        self._quotas: dict[TeamId, int] = {}
        self._reserved: dict[str, int] = {}
        self._sizes: frozenset[Demand] = frozenset()
        # Instances that the list lost, and when that is believed.
        self._gone_at_s: dict[WorkerId, float] = {}
        self._must_reconsider = False
        self._choice = IndexedChoice(
            self._reserved_of,
            seed=parts.rng.getrandbits(32),
        )
        allocator = parts.capacity_manager.allocator
        allocator.choose = self._choice.choose
        allocator.on_released = self._choice.released
        self.capacity = EntryCapacity(
            parts.settings.identity,
            allocator,
            peers=parts.peers,
            owner_of=self._owner_of_worker,
            sizes=lambda: self._sizes,
            rng=parts.rng,
            now=parts.clock,
        )
        self._usage = ClassUsageFollower(
            allocator,
            get_agent=self._get_agent,
            clock=parts.clock,
        )
        self.runner = JobRunner(
            self.capacity,
            self._get_agent,
            size_of=self._size_of,
        )
        self.reports = TaskReports(
            self.runner,
            parts.settings.identity,
            records=self._records,
            peers=parts.peers,
            on_seen=self._seen,
        )
        self.shards = JobShards(
            parts.ownership,
            self.runner,
            parts.store,
            settings=parts.settings.batch,
            policy=ShardPolicy(quota_millicores=self._quota_of),
            view=parts.view,
            entry_lease_s=parts.settings.capacity.entry_lease_s,
        )
        self.routing = JobRouting(
            self.runner,
            owner_of=parts.ownership.owner_of,
            peers=parts.peers,
            gate=parts.gate,
        )
        parts.capacity_manager.heartbeats.on_lease = self._on_lease

    async def run(self) -> None:
        """Serve the job shards until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.reports.run)
            nursery.start_soon(self.runner.run)
            nursery.start_soon(self.shards.run)
            nursery.start_soon(self._usage.run)
            nursery.start_soon(self._forget)
            nursery.start_soon(self._check)

    def blueprint(self) -> Blueprint:
        """Return the routes of the job calls."""
        return jobs_blueprint(
            self.routing.route,
            shard_count=self._shard_count,
            max_body_bytes=self._parts.settings.batch.max_job_bytes,
        )

    def add_handlers(self, handlers: dict[type, Handler]) -> None:
        """Add the messages of jobs to the table of the peer server."""
        on_summary = handlers[ttypes.Summary]

        async def take_summary(sender: PeerIdentity, news: Message) -> Message:
            self.capacity.summary_received(sender.entry_id, news)
            return await on_summary(sender, news)

        handlers[ttypes.Summary] = take_summary
        handlers[ttypes.JobCall] = self.routing.on_job_call
        handlers[ttypes.TaskReports] = self.reports.on_peer_reports

    def put_in_force(self, in_force: ActiveConfiguration) -> None:
        """Follow a change of the configuration."""
        quotas: dict[TeamId, int] = {}
        for quota in in_force.configuration.quotas:
            until_ms = quota.valid_until_ms
            is_valid = until_ms is None or now_ms() < until_ms
            if quota.service == _QUOTA_SERVICE and is_valid:
                quotas[TeamId(quota.team)] = quota.slots_count * _MILLICORES
        self._quotas = quotas
        self._reserved = {
            service.name: service.reserved_processors_count * _MILLICORES
            for service in in_force.configuration.services
        }
        self._measure_workers()

    def workers_changed(self) -> None:
        """Follow a change of the roster."""
        former = self._sizes
        self._measure_workers()
        if self._sizes - former:
            self._must_reconsider = True
        for worker_id in tuple(self._gone_at_s):
            if self._parts.worker_table.find(worker_id) is not None:
                self._gone_at_s.pop(worker_id)

    def instance_gone(self, worker_id: WorkerId) -> None:
        """Note that the list lost an instance.

        The list can be wrong or late. The worker's tasks end by themselves
        one lease after its last heartbeat, so it counts as gone after that.
        """
        lease_s = self._parts.settings.capacity.worker_lease_ms / _MS_PER_S
        due_at_s = self._parts.clock() + lease_s
        self._gone_at_s.setdefault(worker_id, due_at_s)

    def _check_held(self) -> None:
        """Compare the workers of the placed tasks with the list.

        A shard that was just taken may have tasks on instances that the list
        lost before.
        """
        for worker_id in self.runner.held_workers():
            if self._parts.worker_table.find(worker_id) is None:
                self.instance_gone(worker_id)

    def _seen(self, worker_id: WorkerId) -> None:
        if self._gone_at_s.pop(worker_id, None) is not None:
            self.instance_gone(worker_id)

    def _on_lease(self, worker_id: WorkerId, reply: LeaseReply) -> None:
        ledger = self._parts.capacity_manager.allocator.ledgers.get(worker_id)
        if ledger is not None:
            self._choice.follow(ledger)
        self.reports.on_lease(worker_id, reply)

    def _owner_of_worker(self, worker_id: WorkerId) -> EntryId | None:
        count = self._parts.settings.capacity.shard_count
        shard = shard_of(worker_id, count)
        if shard in self._parts.capacity_ownership.owned:
            return self._parts.settings.identity
        record = self._parts.capacity_ownership.owner_of(shard)
        return None if record is None else record.owner

    def _records(self) -> Mapping[ShardId, OwnerRecord]:
        return self._parts.ownership.records()

    def _get_agent(self, worker_id: WorkerId) -> HttpWorkerAgent | None:
        try:
            return self._parts.agents.get_agent(worker_id)
        except WorkerUnreachable:
            return None

    def _quota_of(self, team: TeamId) -> int:
        quota = self._quotas.get(team)
        if quota is None:
            return _NO_QUOTA_MILLICORES
        return quota // self._shard_count

    def _size_of(self, size: TaskSpec) -> Demand:
        corrected = self._usage.correct(size.task_class, size.demand)
        # A wrong estimate must not make a job impossible.
        return corrected if self.capacity.can_hold(corrected) else size.demand

    def _reserved_of(self, worker: Worker) -> Demand:
        reserved = sum(
            self._reserved.get(service, 0) for service in worker.services
        )
        return Demand(reserved, 0)

    def _measure_workers(self) -> None:
        self._sizes = frozenset(
            _batch_size(worker, self._reserved_of(worker))
            for worker in self._parts.worker_table.known()
        )

    async def _forget(self) -> None:
        while True:
            await trio.sleep(_FORGET_S)
            self._parts.capacity_manager.allocator.forget_ended()
            for owned in self.runner.shards():
                try:
                    await owned.forget_expired_jobs(now_ms())
                except Failure as failure:
                    _log.info('not forgotten', reason=failure.reason.value)

    async def _check(self) -> None:
        while True:
            self.capacity.count_own()
            self._check_held()
            now_s = self._parts.clock()
            for worker_id, due_at_s in tuple(self._gone_at_s.items()):
                if due_at_s <= now_s:
                    self._gone_at_s.pop(worker_id)
                    self.runner.on_worker_gone(worker_id)
            if self._must_reconsider:
                self._must_reconsider = not await self._reconsider()
            await self._confirm_unseen(now_s)
            await trio.sleep(_CHECK_S)

    async def _reconsider(self) -> bool:
        for owned in self.runner.shards():
            try:
                await owned.reconsider()
            except Failure as failure:
                _log.info('not reconsidered', reason=failure.reason.value)
                return False
        return True

    async def _confirm_unseen(self, now_s: float) -> None:
        async with trio.open_nursery() as nursery:
            for (
                worker_id,
                ledger,
            ) in self._parts.capacity_manager.allocator.ledgers.items():
                if not ledger.accepts_work(now_s):
                    continue
                for attempt in ledger.reservations.never_reported(
                    now_s, _UNSEEN_S
                ):
                    nursery.start_soon(self._confirm, worker_id, attempt)

    async def _confirm(
        self,
        worker_id: WorkerId,
        attempt: AttemptKey,
    ) -> None:
        """Free a reservation after the worker has refused its attempt."""
        agent = self._get_agent(worker_id)
        if agent is None:
            return
        try:
            report = await agent.stop_task(*attempt, with_checkpoint=True)
        except WorkerUnreachable:
            return
        if report.phase is TaskPhase.UNKNOWN:
            self._parts.capacity_manager.allocator.release_attempt(
                worker_id, attempt
            )


def _batch_size(worker: Worker, reserved: Demand) -> Demand:
    capacity = worker.capacity
    return Demand(
        capacity.cpu_millicores - reserved.cpu_millicores,
        capacity.memory_mb - reserved.memory_mb,
        capacity.accelerators_count - reserved.accelerators_count,
    )
