"""Connects the components that serve latency-critical requests."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from marjoramwharf.contracts.claims import ClaimStore
from marjoramwharf.contracts.configuration import Configuration
from marjoramwharf.contracts.lending import CapacityManager
from marjoramwharf.contracts.note_registry import ActiveConfiguration
from marjoramwharf.contracts.permits import Permit
from marjoramwharf.contracts.release_note import Routing
from marjoramwharf.errors import Reason
from marjoramwharf.ids import CallId, DataCentreId, ServiceId, TeamId, WorkerId
from marjoramwharf.machines.agent_pool import AgentPool
from marjoramwharf.machines.calls import WorkerRefusal
from marjoramwharf.machines.health import WorkerHealth
from marjoramwharf.machines.worker_table import WorkerTable
from marjoramwharf.service.admission import Admission
from marjoramwharf.service.admission_queue import AdmissionQueue
from marjoramwharf.service.dispatch import Dispatcher
from marjoramwharf.service.dispatch_dependencies import DispatchDependencies
from marjoramwharf.service.latency import LatencyEstimator
from marjoramwharf.service.request import NotRun, Outcome, ServiceRequest
from marjoramwharf.service.retry import RetryBudget, RetryPolicy
from marjoramwharf.service.router import Router
from marjoramwharf.service.settlement import Settlement, look_up_outcome
from marjoramwharf.settings import ServiceSettings
from marjoramwharf.zones.topology import Topology

_LOOKUP_TIMEOUT_S = 2
# Permits are also freed at peers and by expiry, without any notification.
_QUEUE_POLL_S = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicePathDependencies:
    """The components that the service path connects."""

    settings: ServiceSettings
    topology: Topology
    home: DataCentreId
    worker_table: WorkerTable
    capacity_manager: CapacityManager
    agents: AgentPool
    claims: ClaimStore
    rng: random.Random
    clock: Callable[[], float]


class ServicePath:
    """Queues, router and dispatcher of one entry."""

    def __init__(self, deps: ServicePathDependencies) -> None:
        """Connect the components; nothing runs yet."""
        self._deps = deps
        self.services: frozenset[str] = frozenset()
        self._queues: dict[ServiceId, Admission] = {}
        self._latencies = LatencyEstimator()
        self._router = Router(
            permits=deps.capacity_manager.permit_pool,
            latencies=self._latencies,
            round_trip_ms=self._round_trip_ms,
            rng=deps.rng,
        )
        self.health = WorkerHealth(
            max_ejected_share=deps.settings.max_ejected_share,
        )
        self.settlement = Settlement(
            deps.agents.get_agent,
            self._release,
            deps.rng,
        )
        self._policy = RetryPolicy(
            RetryBudget(deps.settings.retry_budget_share, deps.clock()),
        )
        self._dispatcher = Dispatcher(self._dispatch_dependencies())
        deps.capacity_manager.on_refilled = self._on_refilled

    async def run(self) -> None:
        """Settle calls in doubt and serve the queues until cancelled.

        A call is in doubt while its outcome at the worker is unknown.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.settlement.run)
            nursery.start_soon(self._deps.claims.run)
            nursery.start_soon(self._poll_queues)

    async def serve(self, request: ServiceRequest) -> Outcome:
        """Dispatch a request to a worker and return its outcome."""
        return await self._dispatcher.serve(request)

    async def look_up(self, team: TeamId, key: str) -> Outcome:
        """Return the outcome of a non-idempotent request by its key."""
        outcome = await look_up_outcome(
            team,
            key,
            claims=self._deps.claims,
            get_agent=self._deps.agents.get_agent,
            rng=self._deps.rng,
            timeout_s=_LOOKUP_TIMEOUT_S,
        )
        if outcome is None:
            return NotRun(Reason.UNKNOWN_KEY, f'no request with key {key!r}')
        return outcome

    def apply_configuration(self, active: ActiveConfiguration) -> None:
        """Apply the services and the routing policy of a configuration."""
        configuration: Configuration = active.configuration
        self.services = frozenset(
            service.name for service in configuration.services
        )
        self._router.routing = configuration.policy.routing
        self._policy.is_hedging_enabled = (
            self._router.routing is Routing.PREDICTED
        )

    def on_workers_changed(self) -> None:
        """Limit the health records to the live workers of the table."""
        live = self._deps.worker_table.live()
        self.health.set_workers(
            frozenset(worker.worker_id for worker in live),
        )

    def queues(self) -> tuple[Admission, ...]:
        """Return the queues of the services, for metrics."""
        return tuple(self._queues.values())

    def waiting_count(self) -> int:
        """Return the number of requests that wait for a permit."""
        return sum(queue.waiting_count for queue in self._queues.values())

    async def _poll_queues(self) -> None:
        while True:
            await trio.sleep(_QUEUE_POLL_S)
            for queue in tuple(self._queues.values()):
                queue.serve()

    def _dispatch_dependencies(self) -> DispatchDependencies:
        return DispatchDependencies(
            acquire=self._acquire,
            acquire_idle=self._acquire_idle,
            release=self._release,
            refused=self._on_refused,
            observe=self._latencies.observe,
            observe_lower_bound=self._latencies.observe_lower_bound,
            enqueue_settle=self._enqueue_settle,
            enqueue_cancel=self._enqueue_cancel,
            get_agent=self._deps.agents.get_agent,
            claims=self._deps.claims,
            policy=self._policy,
            health=self.health,
            clock=self._deps.clock,
            rng=self._deps.rng,
        )

    async def _acquire(
        self,
        request: ServiceRequest,
        excluded: frozenset[WorkerId],
    ) -> Permit | NotRun:
        return await self._get_queue(request.service).acquire(request, excluded)

    def _acquire_idle(
        self,
        request: ServiceRequest,
        excluded: frozenset[WorkerId],
    ) -> Permit | None:
        return self._get_queue(request.service).acquire_idle(request, excluded)

    def _get_queue(self, service: ServiceId) -> Admission:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._build_queue()
            self._queues[service] = queue
        return queue

    def _build_queue(self) -> Admission:
        settings = self._deps.settings
        return Admission(
            queue=AdmissionQueue(
                limit=settings.queue_limit,
                team_share=settings.team_share,
            ),
            choose=self._choose,
            put_back=self._release,
            service_time_s=self._service_time_s,
            clock=self._deps.clock,
        )

    def _choose(
        self,
        service: ServiceId,
        excluded: frozenset[WorkerId],
        now_s: float,
    ) -> Permit | None:
        permit = self._router.choose(service, excluded, now_s)
        capacity_manager = self._deps.capacity_manager
        if permit is None and capacity_manager.refill(service, excluded, now_s):
            permit = self._router.choose(service, excluded, now_s)
        if permit is not None:
            capacity_manager.borrow_ahead(service, now_s)
        return permit

    def _on_refilled(self, service: ServiceId) -> None:
        queue = self._queues.get(service)
        if queue is not None:
            queue.serve()

    def _release(self, permit: Permit) -> None:
        self._deps.capacity_manager.permit_pool.put_back(
            permit, self._deps.clock()
        )
        self._on_call_ended(permit)

    def _on_refused(self, permit: Permit, refusal: WorkerRefusal) -> None:
        if refusal is WorkerRefusal.LEAVING:
            self._deps.worker_table.mark_leaving(permit.worker_id)
        self._deps.capacity_manager.refused(permit, refusal)
        self._on_call_ended(permit)

    def _enqueue_settle(self, permit: Permit, call_id: CallId) -> None:
        self._deps.capacity_manager.permit_pool.mark_in_doubt(permit)
        self.settlement.enqueue_settle(permit, call_id)

    def _enqueue_cancel(self, permit: Permit, call_id: CallId) -> None:
        self._deps.capacity_manager.permit_pool.mark_in_doubt(permit)
        self.settlement.enqueue_cancel(permit, call_id)

    def _on_call_ended(self, permit: Permit) -> None:
        self._router.record_call_end(permit)
        for queue in self._queues.values():
            queue.on_permit_released()

    def _service_time_s(self, service: ServiceId) -> float:
        return self._latencies.mean_ms(service) / 1_000

    def _round_trip_ms(self, worker_id: WorkerId) -> float:
        worker = self._deps.worker_table.find(worker_id)
        if worker is None:
            return 0
        one_way_ms = self._deps.topology.delay_ms(
            self._deps.home,
            worker.data_centre,
        )
        return 2 * one_way_ms
