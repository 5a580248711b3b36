"""Client of workers that calls them directly or through other entries."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    HoldReport,
    OrderAnswer,
    OrderOutcome,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerAddress,
    WorkerClient,
)
from marjoramwharf.cells.worker_relay import WorkerRelay
from marjoramwharf.cells.worker_routes import DIRECT, Route, WorkerRoutes
from marjoramwharf.ids import WorkerId
from marjoramwharf.logs import part_logger

_LOG = part_logger('worker')

# A probe waits this long for a better route before it tries the next one, too.
_HEAD_START_S = 0.05

# Limits how long a poll waits for a probe of the direct path.
_DIRECT_PROBE_TIMEOUT_S = 0.3

# Outcomes that tell nothing of the path to a worker, or that it is broken.
_UNANSWERED_OUTCOMES = frozenset(
    (OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT, OrderOutcome.NOT_CONNECTED)
)


@dataclass(slots=True, eq=False)
class RoutedWorkerClient:
    """Implements ``WorkerClient``; each worker is called by its route.

    Polls decide on the route of a worker: after one without an answer, the next
    probe tries several routes. Orders follow. A probe, a hold to any
    incarnation, grants nothing, so it may be sent by several routes at a time.
    """

    direct: WorkerClient
    relay: WorkerRelay
    routes: WorkerRoutes = field(default_factory=WorkerRoutes)

    async def start(
        self, worker: WorkerAddress, order: StartOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Start a run."""
        client = self._client_to(worker)
        if client is None:
            return await _not_sent()
        return await client.start(worker, order, timeout_s=timeout_s)

    async def stop(
        self, worker: WorkerAddress, order: StopOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Stop a run."""
        client = self._client_to(worker)
        if client is None:
            return await _not_sent()
        return await client.stop(worker, order, timeout_s=timeout_s)

    async def pace(
        self, worker: WorkerAddress, order: PaceOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Change the speed of a run."""
        client = self._client_to(worker)
        if client is None:
            return await _not_sent()
        return await client.pace(worker, order, timeout_s=timeout_s)

    async def hold(
        self, worker: WorkerAddress, order: HoldOrder, *, timeout_s: float
    ) -> HoldReport:
        """Extend the leases of all runs, and return the report on them."""
        if worker.born_ms is None:
            return await self._probe(worker, order, timeout_s)
        worker_id = worker.worker_id
        if self.routes.is_direct_due(worker_id, now_s=boot_s()):
            await self._probe_direct(worker, order.fence)
        route = self.routes.route_of(worker_id)
        return await self._hold_by(route, worker, order, timeout_s)

    async def _probe_direct(self, worker: WorkerAddress, fence: int) -> None:
        """Take the direct path back if a probe on it is answered."""
        probe = HoldOrder(fence, 0, None, 0)
        anyone = WorkerAddress(worker.worker_id, worker.host, worker.port)
        await self._hold_by(DIRECT, anyone, probe, _DIRECT_PROBE_TIMEOUT_S)

    async def _probe(
        self, worker: WorkerAddress, order: HoldOrder, timeout_s: float
    ) -> HoldReport:
        """Poll by the routes that come into question; the first answer wins."""
        entries = self.relay.entries()
        routes = self.routes.routes_to_probe(
            worker.worker_id,
            {entry_id: entry.cpu_share for entry_id, entry in entries.items()},
            now_s=boot_s(),
        )
        if len(routes) == 1:
            return await self._hold_by(routes[0], worker, order, timeout_s)
        reports: list[HoldReport] = []

        async def probe_by(route: Route, delay_s: float) -> None:
            await trio.sleep(delay_s)
            report = await self._hold_by(route, worker, order, timeout_s)
            reports.append(report)
            if _is_answered(report):
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for position, route in enumerate(routes):
                nursery.start_soon(probe_by, route, position * _HEAD_START_S)
        return next(filter(_is_answered, reports), reports[-1])

    async def _hold_by(
        self,
        route: Route,
        worker: WorkerAddress,
        order: HoldOrder,
        timeout_s: float,
    ) -> HoldReport:
        """Poll a worker by a route, and record whether that answers."""
        client = self._client_of(route)
        if client is None:
            report = HoldReport((await _not_sent()).outcome)
        else:
            report = await client.hold(worker, order, timeout_s=timeout_s)
        if report.outcome is not OrderOutcome.NOT_CONNECTED:
            self._record(worker.worker_id, route, report)
        return report

    def _record(
        self, worker_id: WorkerId, route: Route, report: HoldReport
    ) -> None:
        now_s = boot_s()
        if not _is_answered(report):
            self.routes.record_failure(worker_id, route, now_s=now_s)
            return
        former = self.routes.route_of(worker_id)
        self.routes.record_answer(worker_id, route, now_s=now_s)
        if former != route:
            _LOG.info(
                'route changed',
                worker=worker_id,
                through=route or 'direct',
                previously=former or 'direct',
            )

    def _client_to(self, worker: WorkerAddress) -> WorkerClient | None:
        return self._client_of(self.routes.route_of(worker.worker_id))

    def _client_of(self, route: Route) -> WorkerClient | None:
        """Return the client of a route, ``None`` if its entry is not there."""
        if route is None:
            return self.direct
        entry = self.relay.entries().get(route)
        return None if entry is None else entry.client


def _is_answered(report: HoldReport) -> bool:
    """Whether a report shows that the path to its worker holds."""
    return report.outcome not in _UNANSWERED_OUTCOMES


async def _not_sent() -> OrderAnswer:
    await trio.lowlevel.checkpoint()
    return OrderAnswer(OrderOutcome.NOT_SENT)
