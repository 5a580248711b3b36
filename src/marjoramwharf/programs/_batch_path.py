"""Connects the components that serve batch jobs on an entry."""

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
from marjoramwharf.programs._class_usage import ClassUsagePoller
from marjoramwharf.programs._job_router import JobRouter, now_ms
from marjoramwharf.programs._job_shards import JobShards
from marjoramwharf.programs._task_placement import (
    EntryCapacity,
    IndexedWorkerSelector,
)
from marjoramwharf.programs._task_reports import TaskReportRelay
from marjoramwharf.service.drain import DrainGate
from marjoramwharf.settings import EntrySettings

# The quota for this service name limits a team's batch tasks; each of its
# slots is one processor. Teams without such a quota are not limited.
_QUOTA_SERVICE = 'batch'
_UNLIMITED_MILLICORES = 1_000_000_000
_MILLICORES = 1_000
_MS_PER_S = 1_000

_CLEANUP_INTERVAL_S = 60.0
_CHECK_INTERVAL_S = 1.0
# Longer than a commit and a call to the worker take together, so that a start
# that is merely slow is not stopped.
_UNREPORTED_S = 10.0

_log = part_logger('jobs')


@dataclass(frozen=True, slots=True, kw_only=True)
class BatchPathDependencies:
    """The components that the batch path connects."""

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
    """The job shards of one entry, their runner and their reservations."""

    def __init__(self, deps: BatchPathDependencies) -> None:
        """Connect the components; nothing runs yet."""
        self._deps = deps
        self._shard_count = deps.settings.batch.shard_count
        self._quotas: dict[TeamId, int] = {}
        self._reserved_millicores: dict[str, int] = {}
        self._worker_sizes: frozenset[Demand] = frozenset()
        # Instances that are missing from the list, and when they count as
        # removed.
        self._removal_due_at_s: dict[WorkerId, float] = {}
        self._must_reconsider = False
        self._selector = IndexedWorkerSelector(
            self._get_reserved_demand,
            seed=deps.rng.getrandbits(32),
        )
        allocator = deps.capacity_manager.allocator
        allocator.choose = self._selector.choose
        allocator.on_released = self._selector.on_released
        self.capacity = EntryCapacity(
            deps.settings.identity,
            allocator,
            peers=deps.peers,
            owner_of=self._get_worker_owner,
            sizes=lambda: self._worker_sizes,
            rng=deps.rng,
            now=deps.clock,
        )
        self._usage_poller = ClassUsagePoller(
            allocator,
            get_agent=self._get_agent,
            clock=deps.clock,
        )
        self.runner = JobRunner(
            self.capacity,
            self._get_agent,
            size_of=self._get_reservation_size,
        )
        self.report_relay = TaskReportRelay(
            self.runner,
            deps.settings.identity,
            records=self._get_records,
            peers=deps.peers,
            on_worker_seen=self._on_worker_seen,
        )
        self.shards = JobShards(
            deps.ownership,
            self.runner,
            deps.store,
            settings=deps.settings.batch,
            policy=ShardPolicy(quota_millicores=self._get_quota),
            view=deps.view,
            entry_lease_s=deps.settings.capacity.entry_lease_s,
        )
        self.router = JobRouter(
            self.runner,
            owner_of=deps.ownership.owner_of,
            peers=deps.peers,
            gate=deps.gate,
        )
        deps.capacity_manager.heartbeats.on_lease = self._on_lease

    async def run(self) -> None:
        """Serve the job shards until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.report_relay.run)
            nursery.start_soon(self.runner.run)
            nursery.start_soon(self.shards.run)
            nursery.start_soon(self._usage_poller.run)
            nursery.start_soon(self._run_cleanup)
            nursery.start_soon(self._run_checks)

    def blueprint(self) -> Blueprint:
        """Return the routes of the job calls."""
        return jobs_blueprint(
            self.router.route,
            shard_count=self._shard_count,
            max_body_bytes=self._deps.settings.batch.max_job_bytes,
        )

    def add_handlers(self, handlers: dict[type, Handler]) -> None:
        """Add the handlers of job messages to those of the peer server."""
        base_handler = handlers[ttypes.Summary]

        async def handle_summary(
            sender: PeerIdentity, summary: Message
        ) -> Message:
            self.capacity.on_peer_summary(sender.entry_id, summary)
            return await base_handler(sender, summary)

        handlers[ttypes.Summary] = handle_summary
        handlers[ttypes.JobCall] = self.router.on_job_call
        handlers[ttypes.TaskReports] = self.report_relay.on_peer_reports

    def apply_configuration(self, active: ActiveConfiguration) -> None:
        """Apply the quotas and reserved processors of a configuration."""
        quotas: dict[TeamId, int] = {}
        for quota in active.configuration.quotas:
            until_ms = quota.valid_until_ms
            is_valid = until_ms is None or now_ms() < until_ms
            if quota.service == _QUOTA_SERVICE and is_valid:
                quotas[TeamId(quota.team)] = quota.slots_count * _MILLICORES
        self._quotas = quotas
        self._reserved_millicores = {
            service.name: service.reserved_processors_count * _MILLICORES
            for service in active.configuration.services
        }
        self._update_worker_sizes()

    def on_workers_changed(self) -> None:
        """Update the worker sizes and the pending removals."""
        former = self._worker_sizes
        self._update_worker_sizes()
        if self._worker_sizes - former:
            self._must_reconsider = True
        for worker_id in tuple(self._removal_due_at_s):
            if self._deps.worker_table.find(worker_id) is not None:
                self._removal_due_at_s.pop(worker_id)

    def on_instance_removed(self, worker_id: WorkerId) -> None:
        """Schedule the removal of an instance that left the list.

        The list can be wrong or late. The worker's tasks end by themselves
        one lease after its last heartbeat, so the instance counts as removed
        only after that time.
        """
        lease_s = self._deps.settings.capacity.worker_lease_ms / _MS_PER_S
        due_at_s = self._deps.clock() + lease_s
        self._removal_due_at_s.setdefault(worker_id, due_at_s)

    def _check_held_workers(self) -> None:
        """Schedule the removal of workers that have tasks but are unlisted.

        A job shard that was just taken over may have tasks on instances that
        left the list before.
        """
        for worker_id in self.runner.held_workers():
            if self._deps.worker_table.find(worker_id) is None:
                self.on_instance_removed(worker_id)

    def _on_worker_seen(self, worker_id: WorkerId) -> None:
        if self._removal_due_at_s.pop(worker_id, None) is not None:
            self.on_instance_removed(worker_id)

    def _on_lease(self, worker_id: WorkerId, reply: LeaseReply) -> None:
        ledger = self._deps.capacity_manager.allocator.ledgers.get(worker_id)
        if ledger is not None:
            self._selector.update_index(ledger)
        self.report_relay.on_lease(worker_id, reply)

    def _get_worker_owner(self, worker_id: WorkerId) -> EntryId | None:
        count = self._deps.settings.capacity.shard_count
        shard = shard_of(worker_id, count)
        if shard in self._deps.capacity_ownership.owned:
            return self._deps.settings.identity
        record = self._deps.capacity_ownership.owner_of(shard)
        return None if record is None else record.owner

    def _get_records(self) -> Mapping[ShardId, OwnerRecord]:
        return self._deps.ownership.records()

    def _get_agent(self, worker_id: WorkerId) -> HttpWorkerAgent | None:
        try:
            return self._deps.agents.get_agent(worker_id)
        except WorkerUnreachable:
            return None

    def _get_quota(self, team: TeamId) -> int:
        quota = self._quotas.get(team)
        if quota is None:
            return _UNLIMITED_MILLICORES
        return quota // self._shard_count

    def _get_reservation_size(self, size: TaskSpec) -> Demand:
        corrected = self._usage_poller.correct(size.task_class, size.demand)
        # A wrong estimate must not make a job impossible.
        return corrected if self.capacity.can_hold(corrected) else size.demand

    def _get_reserved_demand(self, worker: Worker) -> Demand:
        reserved = sum(
            self._reserved_millicores.get(service, 0)
            for service in worker.services
        )
        return Demand(reserved, 0)

    def _update_worker_sizes(self) -> None:
        self._worker_sizes = frozenset(
            _get_batch_size(worker, self._get_reserved_demand(worker))
            for worker in self._deps.worker_table.known()
        )

    async def _run_cleanup(self) -> None:
        while True:
            await trio.sleep(_CLEANUP_INTERVAL_S)
            self._deps.capacity_manager.allocator.forget_ended()
            for shard in self.runner.shards():
                try:
                    await shard.forget_expired_jobs(now_ms())
                except Failure as failure:
                    _log.info(
                        'expired jobs not removed', reason=failure.reason.value
                    )

    async def _run_checks(self) -> None:
        while True:
            self.capacity.update_own_capacity()
            self._check_held_workers()
            now_s = self._deps.clock()
            for worker_id, due_at_s in tuple(self._removal_due_at_s.items()):
                if due_at_s <= now_s:
                    self._removal_due_at_s.pop(worker_id)
                    self.runner.on_worker_gone(worker_id)
            if self._must_reconsider:
                self._must_reconsider = not await self._reconsider_jobs()
            await self._stop_unreported(now_s)
            await trio.sleep(_CHECK_INTERVAL_S)

    async def _reconsider_jobs(self) -> bool:
        for shard in self.runner.shards():
            try:
                await shard.reconsider()
            except Failure as failure:
                _log.info(
                    'impossible jobs not reconsidered',
                    reason=failure.reason.value,
                )
                return False
        return True

    async def _stop_unreported(self, now_s: float) -> None:
        async with trio.open_nursery() as nursery:
            for (
                worker_id,
                ledger,
            ) in self._deps.capacity_manager.allocator.ledgers.items():
                if not ledger.accepts_work(now_s):
                    continue
                for attempt in ledger.reservations.never_reported(
                    now_s, _UNREPORTED_S
                ):
                    nursery.start_soon(
                        self._stop_and_release, worker_id, attempt
                    )

    async def _stop_and_release(
        self,
        worker_id: WorkerId,
        attempt: AttemptKey,
    ) -> None:
        """Release a reservation if stopping its attempt proves it never ran."""
        agent = self._get_agent(worker_id)
        if agent is None:
            return
        try:
            report = await agent.stop_task(*attempt, with_checkpoint=True)
        except WorkerUnreachable:
            return
        if report.phase is TaskPhase.UNKNOWN:
            self._deps.capacity_manager.allocator.release_attempt(
                worker_id, attempt
            )
            self.report_relay.on_never_ran(worker_id, report)


def _get_batch_size(worker: Worker, reserved: Demand) -> Demand:
    capacity = worker.capacity
    return Demand(
        capacity.cpu_millicores - reserved.cpu_millicores,
        capacity.memory_mb - reserved.memory_mb,
        capacity.accelerators_count - reserved.accelerators_count,
    )
