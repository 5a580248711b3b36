"""Fake workers and entries for the tests of the dispatcher."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TypeAlias, cast

import trio
from trio.testing import MockClock

from marjoramwharf.contracts.claims import ClaimStore
from marjoramwharf.contracts.permits import Permit
from marjoramwharf.errors import Reason, WorkerUnreachable
from marjoramwharf.ids import (
    CallId,
    Epoch,
    GrantId,
    Incarnation,
    ServiceId,
    TeamId,
    WorkerId,
)
from marjoramwharf.machines.calls import (
    Call,
    CallAnswer,
    CallInDoubt,
    CallOutcome,
    CallRefused,
    CallState,
    SettleReply,
    WorkerAgent,
    WorkerRefusal,
)
from marjoramwharf.machines.health import WorkerHealth
from marjoramwharf.service.dispatch import Dispatcher
from marjoramwharf.service.dispatch_dependencies import DispatchDependencies
from marjoramwharf.service.request import NotRun, ServiceRequest
from marjoramwharf.service.retry import RetryBudget, RetryPolicy
from marjoramwharf.service.settlement import Settlement
from standins.memory_store import MemoryStore

TEAM = TeamId('notices')


class FakeAgent:
    """A worker in memory that records calls, with faults set by tests.

    ``truncates_answers`` leaves each call in doubt after its run, ``status`` is
    the status of the answers, ``refusal`` refuses every call, ``run_s`` is the
    duration of a run, ``delays_s`` delays the arrival of the next calls and
    ``settle_delays_s`` the replies to the next settle requests. ``restart``
    replaces the process by one without any recorded calls.
    """

    def __init__(self) -> None:
        """Start healthy."""
        self.truncates_answers = False
        self.is_unreachable = False
        self.is_down = False
        self.status = 200
        self.refusal: WorkerRefusal | None = None
        self.run_s: float = 0.01
        self.delays_s: list[float] = []
        self.settle_delays_s: list[float] = []
        self.ran: list[Call] = []
        self.cancelled: list[CallId] = []
        self.incarnation = Incarnation('i1')
        self._states: dict[CallId, SettleReply] = {}

    def restart(self) -> None:
        """Remove all recorded calls and change the incarnation."""
        self.incarnation = Incarnation(f'{self.incarnation}+')
        self._states.clear()

    async def fetch_incarnation(self) -> Incarnation:
        """Return the incarnation."""
        await trio.lowlevel.checkpoint()
        if self.is_down:
            raise WorkerUnreachable(message='down')
        return self.incarnation

    async def run(self, call: Call) -> CallOutcome:
        """Run a call; it keeps running if its caller is cancelled."""
        await trio.sleep(self.delays_s.pop() if self.delays_s else 0)
        if self.refusal is not None:
            return CallRefused(call.call_id, self.refusal)
        if call.incarnation != self.incarnation:
            refusal = WorkerRefusal.OTHER_INCARNATION
            return CallRefused(call.call_id, refusal)
        if call.call_id in self._states:
            return CallRefused(call.call_id, WorkerRefusal.SETTLED)
        self.ran.append(call)
        self._states[call.call_id] = SettleReply(CallState.RUNNING)
        with trio.move_on_after(call.timeout_ms / 1_000):
            await trio.sleep(self.run_s)
            return self.finish(call)
        return CallInDoubt(call.call_id, Reason.DEADLINE)

    async def settle(self, call_id: CallId) -> SettleReply:
        """Return the state of a call and refuse an unseen call from now on."""
        await trio.lowlevel.checkpoint()
        if self.is_unreachable:
            raise WorkerUnreachable(message='unreachable')
        never = SettleReply(CallState.NEVER)
        settled = self._states.setdefault(call_id, never)
        await trio.sleep(
            self.settle_delays_s.pop() if self.settle_delays_s else 0,
        )
        return replace(settled, incarnation=self.incarnation)

    async def cancel(self, call_id: CallId) -> SettleReply:
        """Stop a running call."""
        settled = await self.settle(call_id)
        if settled.state is CallState.RUNNING:
            self._states[call_id] = SettleReply(CallState.CANCELLED)
        self.cancelled.append(call_id)
        return self._states[call_id]

    def finish(self, call: Call) -> CallOutcome:
        """End a call, possibly one whose caller was cancelled."""
        if call.incarnation != self.incarnation:
            return CallInDoubt(call.call_id, Reason.WORKER_UNREACHABLE)
        answer = CallAnswer(
            call.call_id,
            self.status,
            call.content_type,
            b' '.join((b'answer to', call.body)),
        )
        self._states[call.call_id] = SettleReply(CallState.FINISHED, answer)
        if self.truncates_answers:
            return CallInDoubt(call.call_id, Reason.ANSWER_CUT)
        return answer


class Fleet:
    """Fake workers with permits, shared by the dispatchers of a test."""

    def __init__(self, *worker_ids: str) -> None:
        """Start the workers and an empty store."""
        self.agents = {WorkerId(name): FakeAgent() for name in worker_ids}
        self.store = MemoryStore()
        self.permits_in_use: set[Permit] = set()
        self.acquired: list[WorkerId] = []
        self.has_capacity = True
        self.rng = random.Random(1)
        self._serial = 0

    async def acquire(
        self,
        request: ServiceRequest,
        excluded: frozenset[WorkerId],
    ) -> Permit | NotRun:
        """Return a permit of the first worker that is not excluded."""
        await trio.lowlevel.checkpoint()
        permit = self.acquire_idle(request, excluded)
        return permit or NotRun(Reason.NO_CAPACITY, 'no permit')

    def acquire_idle(
        self,
        request: ServiceRequest,
        excluded: frozenset[WorkerId],
    ) -> Permit | None:
        """Return a permit without waiting."""
        left = [name for name in self.agents if name not in excluded]
        is_late = trio.current_time() >= request.deadline_s
        if not left or is_late or not self.has_capacity:
            return None
        self._serial += 1
        permit = Permit(GrantId('1-1'), left[0], Epoch(1), self._serial, 1e9)
        self.permits_in_use.add(permit)
        self.acquired.append(left[0])
        return permit

    def get_agent(self, worker_id: WorkerId) -> WorkerAgent:
        """Return a fake agent, which has no methods for tasks."""
        return cast(WorkerAgent, self.agents[worker_id])

    def ran(self) -> list[Call]:
        """Return the calls that ran on all workers."""
        return [call for agent in self.agents.values() for call in agent.ran]


class Entry:
    """One dispatcher with its own claims and settlement."""

    def __init__(self, fleet: Fleet, nursery: trio.Nursery) -> None:
        """Start the background tasks in ``nursery``."""
        self.claims = ClaimStore(
            fleet.store,
            ttl_s=600,
            body_limit_bytes=1_000,
            clock=trio.current_time,
        )
        self.health = WorkerHealth(max_ejected_share=0.5)
        self.health.set_workers(frozenset(fleet.agents))
        self.policy = RetryPolicy(RetryBudget(0.1, trio.current_time()))
        self.settlement = Settlement(
            fleet.get_agent,
            fleet.permits_in_use.remove,
            fleet.rng,
        )
        self.dispatcher = Dispatcher(
            DispatchDependencies(
                fleet.acquire,
                fleet.acquire_idle,
                fleet.permits_in_use.remove,
                lambda permit, _refusal: fleet.permits_in_use.remove(permit),
                lambda _service, _worker_id, _latency_ms, _now_s: None,
                lambda _service, _worker_id, _latency_ms, _now_s: None,
                self.settlement.enqueue_settle,
                self.settlement.enqueue_cancel,
                fleet.get_agent,
                self.claims,
                self.policy,
                self.health,
                trio.current_time,
                fleet.rng,
            ),
        )
        nursery.start_soon(self.claims.run)
        nursery.start_soon(self.settlement.run)


Scenario: TypeAlias = Callable[[Entry, Entry], Awaitable[None]]


def make_request(
    body: bytes = b'notice',
    *,
    key: str | None = None,
    timeout_s: float = 1,
    is_first_attempt: bool = False,
) -> ServiceRequest:
    """Return a request; with a key it is not idempotent."""
    now_s = trio.current_time()
    return ServiceRequest(
        'r1',
        ServiceId('notice'),
        TEAM,
        body,
        'text/plain',
        now_s,
        now_s + timeout_s,
        is_idempotent=key is None,
        idempotency_key=key,
        is_first_attempt=is_first_attempt,
    )


def run_with_entries(
    fleet: Fleet,
    scenario: Scenario,
) -> None:
    """Run a scenario with two entries, in virtual time."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            with trio.fail_after(10_000):
                await scenario(Entry(fleet, nursery), Entry(fleet, nursery))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
