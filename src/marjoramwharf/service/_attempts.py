"""Single calls under a permit, with the accounting of their ends."""

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
from marjoramwharf.machines.health import Verdict
from marjoramwharf.service.dispatch_parts import DispatchParts
from marjoramwharf.service.request import Done, NotRun, ServiceRequest
from marjoramwharf.service.retry import is_good
from marjoramwharf.tracing import start_span

_MS_PER_S = 1_000
_ADMIT_TRIES_COUNT = 3


@dataclass(slots=True)
class _Attempt:
    permit: Permit
    call_id: CallId
    start_s: float
    outcome: CallOutcome | None = None


class Attempts:
    """Acquires permits and runs calls; every permit is accounted for."""

    def __init__(self, parts: DispatchParts) -> None:
        """Keep the parts."""
        self._parts = parts

    async def acquire(
        self,
        request: ServiceRequest,
        avoided: frozenset[WorkerId],
    ) -> Permit | NotRun:
        """Return a permit of a worker that may get a request now.

        Probes of ejected workers are made with idempotent requests only.
        """
        health = self._parts.health
        for _ in range(_ADMIT_TRIES_COUNT):
            ejected = health.avoided(
                self._parts.clock(),
                with_probes=request.is_idempotent,
            )
            permit = await self._parts.acquire(request, avoided | ejected)
            if isinstance(permit, NotRun):
                return permit
            if health.admit(permit.worker_id, self._parts.clock()):
                return permit
            self._parts.release(permit)
        return NotRun(Reason.NO_CAPACITY, 'no healthy worker', 1)

    def acquire_idle(
        self,
        request: ServiceRequest,
        avoided: frozenset[WorkerId],
    ) -> Permit | None:
        """Return a permit of a healthy worker if one is idle now."""
        now_s = self._parts.clock()
        ejected = self._parts.health.avoided(now_s, with_probes=False)
        permit = self._parts.acquire_idle(request, avoided | ejected)
        if permit is None:
            return None
        if self._parts.health.admit(permit.worker_id, now_s):
            return permit
        self._parts.release(permit)
        return None

    async def incarnation_of(
        self,
        permit: Permit,
        timeout_s: float,
    ) -> Incarnation | None:
        """Return the worker's incarnation, or ``None`` if it is not reached.

        The permit is put back in the latter case.
        """
        verdict = Verdict.NONE
        try:
            with trio.move_on_after(timeout_s):
                agent = self._parts.agent_of(permit.worker_id)
                return await agent.learn_incarnation()
        except WorkerUnreachable:
            verdict = Verdict.FAILED
        except BaseException:
            self.give_up(permit)
            raise
        self.give_up(permit, verdict)
        return None

    def give_up(
        self,
        permit: Permit,
        verdict: Verdict = Verdict.NONE,
    ) -> None:
        """Put back a permit that was not used."""
        self._parts.release(permit)
        now_s = self._parts.clock()
        self._parts.health.ended(
            permit.worker_id,
            verdict,
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
        """Run one call; the permit is released or handed over in any case.

        Without an ``incarnation`` the call is for the one last seen.
        """
        start_s = self._parts.clock()
        timeout_ms = int((request.deadline_s - start_s) * _MS_PER_S)
        if timeout_ms <= 0:
            self.give_up(permit)
            return CallRefused(call_id, WorkerRefusal.NOT_CONNECTED)
        attempt = _Attempt(permit, call_id, start_s)
        call = _call(request, permit, call_id, timeout_ms)
        if incarnation is not None:
            call = replace(call, incarnation=incarnation)
        with start_span('dispatch.attempt') as span, ExitStack() as stack:
            span.set_attribute('worker', permit.worker_id)
            span.set_attribute('request_id', request.request_id)
            stack.callback(self._account, request, attempt)
            outcome = await self._send(call)
            attempt.outcome = outcome
        return outcome

    async def _send(self, call: Call) -> CallOutcome:
        try:
            agent = self._parts.agent_of(call.permit.worker_id)
        except WorkerUnreachable:
            return CallRefused(call.call_id, WorkerRefusal.NOT_CONNECTED)
        if call.incarnation is None:
            call = replace(call, incarnation=agent.incarnation)
        return await agent.run(call)

    def _account(self, request: ServiceRequest, attempt: _Attempt) -> None:
        now_s = self._parts.clock()
        outcome = attempt.outcome
        worker_id = attempt.permit.worker_id
        self._parts.health.ended(
            worker_id,
            _verdict(outcome),
            now_s,
            start_s=attempt.start_s,
        )
        if isinstance(outcome, CallRefused):
            self._parts.refused(attempt.permit, outcome.refusal)
        elif isinstance(outcome, CallAnswer):
            self._parts.release(attempt.permit)
        elif request.is_idempotent:
            self._parts.abandon(attempt.permit, attempt.call_id)
        else:
            self._parts.doubt(attempt.permit, attempt.call_id)
        latency_s = now_s - attempt.start_s
        if outcome is None:
            self._parts.observe_at_least(
                request.service,
                worker_id,
                latency_s * _MS_PER_S,
                now_s,
            )
        elif is_good(outcome):
            self._parts.policy.observe(request.service, latency_s)
            self._parts.observe(
                request.service,
                worker_id,
                latency_s * _MS_PER_S,
                now_s,
            )


def done(answer: CallAnswer) -> Done:
    """Return an answer as the outcome of a request."""
    return Done(answer.status, answer.content_type, answer.body)


def _verdict(outcome: CallOutcome | None) -> Verdict:
    """Judge a worker; refusals and cancelled calls say nothing of it."""
    if outcome is None:
        return Verdict.NONE
    if is_good(outcome):
        return Verdict.GOOD
    if isinstance(outcome, CallRefused):
        if outcome.refusal is not WorkerRefusal.NOT_CONNECTED:
            return Verdict.NONE
    return Verdict.FAILED


def _call(
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
