"""Runs single calls under a permit and records how they end."""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import dataclass, replace

import trio

from marjoramwharf.contracts.permits import Permit
from marjoramwharf.errors import Reason, WorkerUnreachable
from marjoramwharf.ids import CallId, Incarnation, WorkerId
from marjoramwharf.machines.calls import (
    Call,
    CallAnswer,
    CallOutcome,
    CallRefused,
    WorkerRefusal,
)
from marjoramwharf.machines.health import HealthSignal
from marjoramwharf.service.dispatch_dependencies import DispatchDependencies
from marjoramwharf.service.request import Done, NotRun, ServiceRequest
from marjoramwharf.service.retry import is_successful
from marjoramwharf.tracing import start_span

_MS_PER_S = 1_000
_MAX_ACQUIRE_TRIES_COUNT = 3


@dataclass(slots=True)
class _CallRecord:
    """A call under way; ``outcome`` stays ``None`` if it is cancelled."""

    permit: Permit
    call_id: CallId
    start_s: float
    outcome: CallOutcome | None = None


class CallRunner:
    """Acquires permits, runs calls, and releases or settles the permits."""

    def __init__(self, deps: DispatchDependencies) -> None:
        """Use the collaborators of the dispatcher."""
        self._deps = deps

    async def acquire(
        self,
        request: ServiceRequest,
        excluded: frozenset[WorkerId],
    ) -> Permit | NotRun:
        """Wait for a permit of a healthy worker or of one due for a probe.

        Only idempotent requests are used as probes of ejected workers.
        """
        health = self._deps.health
        for _ in range(_MAX_ACQUIRE_TRIES_COUNT):
            ejected = health.list_ejected(
                self._deps.clock(),
                allow_probes=request.is_idempotent,
            )
            permit = await self._deps.acquire(request, excluded | ejected)
            if isinstance(permit, NotRun):
                return permit
            if health.try_begin_call(permit.worker_id, self._deps.clock()):
                return permit
            self._deps.release(permit)
        return NotRun(Reason.NO_CAPACITY, 'no healthy worker', 1)

    def acquire_idle(
        self,
        request: ServiceRequest,
        excluded: frozenset[WorkerId],
    ) -> Permit | None:
        """Return a permit of a healthy worker, or ``None`` if none is idle."""
        now_s = self._deps.clock()
        ejected = self._deps.health.list_ejected(now_s, allow_probes=False)
        permit = self._deps.acquire_idle(request, excluded | ejected)
        if permit is None:
            return None
        if self._deps.health.try_begin_call(permit.worker_id, now_s):
            return permit
        self._deps.release(permit)
        return None

    async def incarnation_of(
        self,
        permit: Permit,
        timeout_s: float,
    ) -> Incarnation | None:
        """Return the incarnation of a permit's worker.

        If the worker is unreachable or silent for ``timeout_s``, the permit is
        released and ``None`` returned.
        """
        signal = HealthSignal.NONE
        try:
            with trio.move_on_after(timeout_s):
                agent = self._deps.get_agent(permit.worker_id)
                return await agent.fetch_incarnation()
        except WorkerUnreachable:
            signal = HealthSignal.FAILED
        except BaseException:
            self.release_unused(permit)
            raise
        self.release_unused(permit, signal)
        return None

    def release_unused(
        self,
        permit: Permit,
        signal: HealthSignal = HealthSignal.NONE,
    ) -> None:
        """Release a permit without a call; record ``signal`` of its worker."""
        self._deps.release(permit)
        now_s = self._deps.clock()
        self._deps.health.record_call_end(
            permit.worker_id,
            signal,
            now_s,
            start_s=now_s,
        )

    async def run(
        self,
        request: ServiceRequest,
        permit: Permit,
        call_id: CallId,
        incarnation: Incarnation | None = None,
    ) -> CallOutcome:
        """Run one call; the permit is released or settled in any case.

        Without ``incarnation`` the call expects that of the last reply.
        """
        start_s = self._deps.clock()
        timeout_ms = int((request.deadline_s - start_s) * _MS_PER_S)
        if timeout_ms <= 0:
            self.release_unused(permit)
            return CallRefused(call_id, WorkerRefusal.NOT_CONNECTED)
        record = _CallRecord(permit, call_id, start_s)
        call = _build_call(request, permit, call_id, timeout_ms)
        if incarnation is not None:
            call = replace(call, incarnation=incarnation)
        with start_span('dispatch.attempt') as span, ExitStack() as stack:
            span.set_attribute('worker', permit.worker_id)
            span.set_attribute('request_id', request.request_id)
            stack.callback(self._record_end, request, record)
            outcome = await self._send(call)
            record.outcome = outcome
        return outcome

    async def _send(self, call: Call) -> CallOutcome:
        try:
            agent = self._deps.get_agent(call.permit.worker_id)
        except WorkerUnreachable:
            return CallRefused(call.call_id, WorkerRefusal.NOT_CONNECTED)
        if call.incarnation is None:
            call = replace(call, incarnation=agent.incarnation)
        return await agent.run(call)

    def _record_end(self, request: ServiceRequest, record: _CallRecord) -> None:
        """Give up the permit of an ended call; record health and latency."""
        now_s = self._deps.clock()
        outcome = record.outcome
        worker_id = record.permit.worker_id
        self._deps.health.record_call_end(
            worker_id,
            _classify_outcome(outcome),
            now_s,
            start_s=record.start_s,
        )
        if isinstance(outcome, CallRefused):
            self._deps.refused(record.permit, outcome.refusal)
        elif isinstance(outcome, CallAnswer):
            self._deps.release(record.permit)
        elif request.is_idempotent:
            self._deps.enqueue_cancel(record.permit, record.call_id)
        else:
            self._deps.enqueue_settle(record.permit, record.call_id)
        latency_s = now_s - record.start_s
        if outcome is None:
            self._deps.observe_lower_bound(
                request.service,
                worker_id,
                latency_s * _MS_PER_S,
                now_s,
            )
        elif is_successful(outcome):
            self._deps.policy.observe(request.service, latency_s)
            self._deps.observe(
                request.service,
                worker_id,
                latency_s * _MS_PER_S,
                now_s,
            )


def build_done(answer: CallAnswer) -> Done:
    """Return the outcome of a request that a call answered."""
    return Done(answer.status, answer.content_type, answer.body)


def _classify_outcome(outcome: CallOutcome | None) -> HealthSignal:
    """Return what an outcome shows about the health of its worker.

    Cancelled calls (``None``) and refusals show nothing; only the refusal of
    a call that found no connection counts as a failure.
    """
    if outcome is None:
        return HealthSignal.NONE
    if is_successful(outcome):
        return HealthSignal.GOOD
    if isinstance(outcome, CallRefused):
        if outcome.refusal is not WorkerRefusal.NOT_CONNECTED:
            return HealthSignal.NONE
    return HealthSignal.FAILED


def _build_call(
    request: ServiceRequest,
    permit: Permit,
    call_id: CallId,
    timeout_ms: int,
) -> Call:
    return Call(
        call_id,
        request.service,
        request.body,
        request.content_type,
        timeout_ms,
        permit,
        request.idempotency_key,
        request.request_id,
    )
