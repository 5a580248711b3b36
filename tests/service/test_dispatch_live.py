"""The dispatcher over HTTP with stand-in workers on loopback."""

from __future__ import annotations

import random
import time
import unittest
from collections import Counter

import trio

from marjoramwharf.contracts.claims import ClaimStore
from marjoramwharf.contracts.permits import Permit
from marjoramwharf.errors import Reason
from marjoramwharf.ids import EntryId, Epoch, GrantId, ServiceId, WorkerId
from marjoramwharf.machines.agent import HttpWorkerAgent
from marjoramwharf.machines.health import WorkerHealth
from marjoramwharf.service.dispatch import Dispatcher
from marjoramwharf.service.dispatch_dependencies import DispatchDependencies
from marjoramwharf.service.request import (
    Done,
    NotRun,
    Outcome,
    ServiceRequest,
)
from marjoramwharf.service.retry import RetryBudget, RetryPolicy
from marjoramwharf.service.settlement import Settlement
from standins.memory_store import MemoryStore
from standins.worker import WorkerServer, serve_worker
from standins.worker_state import Faults, WorkerConfig
from tests.service.fakes import TEAM

_REQUESTS_COUNT = 120
_FAULTS = Faults(cut_answers_share=0.2, cross_answers_share=0.2)


class _LoopbackWorkers:
    """Stand-in workers with four permits each."""

    def __init__(self) -> None:
        self.servers: dict[WorkerId, WorkerServer] = {}
        self.agents: dict[WorkerId, HttpWorkerAgent] = {}
        self.free: list[Permit] = []
        self.rng = random.Random(2)

    async def start(self, nursery: trio.Nursery, name: str) -> None:
        worker_id = WorkerId(name)
        url, server = await nursery.start(
            serve_worker,
            WorkerConfig(name, service_ms=1, slots_count=4, loss_share=0.05),
        )
        self.servers[worker_id] = server
        self.agents[worker_id] = HttpWorkerAgent(
            url,
            EntryId('e1'),
            connections_count=5,
        )
        self.free.extend(
            Permit(GrantId('1-1'), worker_id, Epoch(1), serial, 1e9)
            for serial in range(4)
        )

    async def acquire(
        self,
        request: ServiceRequest,
        excluded: frozenset[WorkerId],
    ) -> Permit | NotRun:
        while time.monotonic() < request.deadline_s:
            permit = self.acquire_idle(request, excluded)
            if permit is not None:
                return permit
            await trio.sleep(0.001)
        return NotRun(Reason.DEADLINE, 'no permit in time')

    def acquire_idle(
        self,
        _request: ServiceRequest,
        excluded: frozenset[WorkerId],
    ) -> Permit | None:
        for permit in self.free:
            if permit.worker_id not in excluded:
                self.free.remove(permit)
                return permit
        return None

    async def wait_until_settled(self) -> None:
        """Wait until every permit is free again."""
        while len(self.free) < 4 * len(self.agents):
            await trio.sleep(0.01)
        for agent in self.agents.values():
            await agent.aclose()

    def dispatcher(self, nursery: trio.Nursery) -> Dispatcher:
        claims = ClaimStore(
            MemoryStore(),
            ttl_s=600,
            body_limit_bytes=1_000,
            clock=time.monotonic,
        )
        health = WorkerHealth(max_ejected_share=0.4)
        health.set_workers(frozenset(self.agents))
        settlement = Settlement(
            self.agents.__getitem__,
            self.free.append,
            self.rng,
        )
        nursery.start_soon(claims.run)
        nursery.start_soon(settlement.run)
        return Dispatcher(
            DispatchDependencies(
                self.acquire,
                self.acquire_idle,
                self.free.append,
                lambda permit, _refusal: self.free.append(permit),
                lambda _service, _worker_id, _latency_ms, _now_s: None,
                lambda _service, _worker_id, _latency_ms, _now_s: None,
                settlement.enqueue_settle,
                settlement.enqueue_cancel,
                self.agents.__getitem__,
                claims,
                RetryPolicy(RetryBudget(1, time.monotonic())),
                health,
                time.monotonic,
                self.rng,
            ),
        )


class LiveDispatchTests(unittest.TestCase):
    """Guards against faults that occur only on a real transport."""

    def test_faulty_connections(self) -> None:
        """Guards against wrong answers, second runs and lost permits.

        Three workers truncate, swap and lose answers; one of them fails every
        call.
        """
        workers = _LoopbackWorkers()
        outcomes: dict[str, Outcome] = {}

        async def serve(dispatcher: Dispatcher, number: int) -> None:
            now_s = time.monotonic()
            name = f'r{number}'
            is_idempotent = bool(number % 2)
            outcomes[name] = await dispatcher.serve(
                ServiceRequest(
                    name,
                    ServiceId('notice'),
                    TEAM,
                    name.encode(),
                    'text/plain',
                    now_s,
                    now_s + 20,
                    is_idempotent=is_idempotent,
                    idempotency_key=None if is_idempotent else name,
                ),
            )

        async def serve_all(dispatcher: Dispatcher) -> None:
            async with trio.open_nursery() as callers:
                for number in range(_REQUESTS_COUNT):
                    callers.start_soon(serve, dispatcher, number)

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                for name in ('w1', 'w2', 'w3'):
                    await workers.start(nursery, name)
                    workers.servers[WorkerId(name)].apply_faults(_FAULTS)
                workers.servers[WorkerId('w3')].apply_faults(
                    Faults(black_hole=True),
                )
                with trio.fail_after(60):
                    await serve_all(workers.dispatcher(nursery))
                    await workers.wait_until_settled()
                nursery.cancel_scope.cancel()

        trio.run(main)
        self._assert_consistent(workers, outcomes)

    def _assert_consistent(
        self, workers: _LoopbackWorkers, outcomes: dict[str, Outcome]
    ) -> None:
        self.assertEqual(len(outcomes), _REQUESTS_COUNT)
        runs: Counter[str] = Counter()
        for server in workers.servers.values():
            history = server.state.history
            self.assertLessEqual(history.peak_slots_count, 4)
            self.assertLessEqual(history.peak_connections_count, 5)
            self.assertEqual(history.refused_calls_count, 0)
            runs.update(
                call.idempotency_key
                for call in history.calls
                if call.idempotency_key
            )
        self.assertLessEqual(set(runs.values()), {1})
        for name, outcome in outcomes.items():
            if isinstance(outcome, Done) and outcome.status == 200:
                self.assertEqual(outcome.body, name.encode())
            if isinstance(outcome, NotRun):
                self.assertEqual(runs[name], 0)
