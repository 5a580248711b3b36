"""Settles calls in doubt and resolves the outcome of claimed requests.

A call is in doubt if neither its whole answer nor a refusal arrived. Its permit
stays in use until the worker confirms that the call ended or never started.
The claim of a request is a stored record of its call and worker; the outcome
of a claimed request is resolved by asking that worker.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import TypeAlias

import trio

from marjoramwharf.contracts.claim_values import Claim, ClaimRecord
from marjoramwharf.contracts.claims import ClaimStore
from marjoramwharf.contracts.permits import Permit
from marjoramwharf.errors import Failure, Reason, WorkerUnreachable
from marjoramwharf.ids import CallId, TeamId, WorkerId
from marjoramwharf.machines.calls import CallState, SettleReply, WorkerAgent
from marjoramwharf.service.request import Done, NotRun, Outcome, Unknown

AgentLookup: TypeAlias = Callable[[WorkerId], WorkerAgent]

_FIRST_POLL_INTERVAL_S = 0.02
_MAX_POLL_INTERVAL_S = 2.0
_MAX_LOOKUP_TRIES_COUNT = 3
_WITHDRAW_TIMEOUT_S = 1


@dataclass(frozen=True, slots=True)
class _PendingCall:
    """A call in doubt; with ``is_cancelling`` its worker must stop it."""

    permit: Permit
    call_id: CallId
    is_cancelling: bool


class Settlement:
    """Background task that releases the permits of calls in doubt.

    Use ``enqueue_settle`` for a call whose outcome matters, and
    ``enqueue_cancel`` for a call that the worker must stop.
    """

    def __init__(
        self,
        get_agent: AgentLookup,
        release: Callable[[Permit], None],
        rng: random.Random,
    ) -> None:
        """Query workers through ``get_agent``; free permits with ``release``.

        ``get_agent`` raises ``WorkerUnreachable`` for an unknown worker.
        """
        self.in_doubt_count = 0
        self._get_agent = get_agent
        self._release = release
        self._rng = rng
        self._scopes: dict[WorkerId, set[trio.CancelScope]] = {}
        self._pending: deque[_PendingCall] = deque()
        self._added = trio.Event()

    def enqueue_settle(self, permit: Permit, call_id: CallId) -> None:
        """Release a permit when its call has ended; do not stop the call."""
        self._add(_PendingCall(permit, call_id, is_cancelling=False))

    def enqueue_cancel(self, permit: Permit, call_id: CallId) -> None:
        """Stop a call at its worker, then release its permit."""
        self._add(_PendingCall(permit, call_id, is_cancelling=True))

    def forget(self, worker_id: WorkerId) -> None:
        """Stop settling the calls of a worker that was removed.

        Their permits are not released.
        """
        for scope in self._scopes.get(worker_id, ()):
            scope.cancel()

    async def run(self) -> None:
        """Settle the calls in doubt, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                while self._pending:
                    nursery.start_soon(self._settle, self._pending.popleft())
                await self._added.wait()
                self._added = trio.Event()

    def _add(self, pending: _PendingCall) -> None:
        self.in_doubt_count += 1
        self._pending.append(pending)
        self._added.set()

    async def _settle(self, pending: _PendingCall) -> None:
        scopes = self._scopes.setdefault(pending.permit.worker_id, set())
        scope = trio.CancelScope()
        scopes.add(scope)
        with scope:
            await poll_until_settled(
                self._get_agent,
                pending.permit.worker_id,
                pending.call_id,
                rng=self._rng,
                is_cancelling=pending.is_cancelling,
            )
            self._release(pending.permit)
        scopes.discard(scope)
        self.in_doubt_count -= 1


@dataclass(frozen=True, slots=True)
class NeverRan:
    """The call of the claim provably never ran; it may be taken over."""

    claim: Claim


async def poll_until_settled(
    get_agent: AgentLookup,
    worker_id: WorkerId,
    call_id: CallId,
    *,
    rng: random.Random,
    timeout_s: float = math.inf,
    is_cancelling: bool = False,
) -> SettleReply | None:
    """Poll a worker until a call has ended or provably never runs.

    A restarted worker runs none of the calls that were sent before. Its reply
    "never" then means that the call has ended, not that it did not run.

    Returns the last reply after ``timeout_s``: state "running", or ``None`` if
    the worker was not reached. The worker is polled at least once, unless the
    timeout passes before it replies.
    """
    last_reply: SettleReply | None = None
    interval_s = _FIRST_POLL_INTERVAL_S
    with trio.move_on_after(max(timeout_s, 0)):
        while True:
            with suppress(WorkerUnreachable):
                agent = get_agent(worker_id)
                last_reply = await (
                    agent.cancel(call_id)
                    if is_cancelling
                    else agent.settle(call_id)
                )
            if (
                last_reply is not None
                and last_reply.state is not CallState.RUNNING
            ):
                return last_reply
            await trio.sleep(rng.uniform(interval_s / 2, interval_s))
            interval_s = min(interval_s * 2, _MAX_POLL_INTERVAL_S)
    return last_reply


async def resolve_claim(
    claim: Claim,
    outcome_key: str,
    *,
    claims: ClaimStore,
    get_agent: AgentLookup,
    rng: random.Random,
    timeout_s: float,
) -> Done | Unknown | NeverRan:
    """Return the outcome of a claimed request; wait while its call runs."""
    record = claim.record
    if record.status is not None and record.body is not None:
        return Done(record.status, record.content_type, record.body)
    reply = await poll_until_settled(
        get_agent,
        record.worker_id,
        record.call_id,
        rng=rng,
        timeout_s=timeout_s,
    )
    if reply is None:
        return Unknown(
            Reason.WORKER_UNREACHABLE if timeout_s else Reason.DEADLINE,
            f'worker {record.worker_id} was not asked in time',
            outcome_key,
        )
    if reply.answer is not None and _matches_record(record, reply.answer.body):
        if record.status is None:
            claims.complete(claim, reply.answer)
        answer = reply.answer
        return Done(answer.status, answer.content_type, answer.body)
    if record.status is not None or reply.state is CallState.FINISHED:
        return Unknown(
            Reason.BODY_TOO_LARGE,
            'the request ran; its answer was not kept',
            outcome_key,
        )
    if reply.state is CallState.NEVER:
        return _resolve_never(claim, reply, outcome_key)
    return _describe_unfinished(reply.state, outcome_key)


async def look_up_outcome(
    team: TeamId,
    key: str,
    *,
    claims: ClaimStore,
    get_agent: AgentLookup,
    rng: random.Random,
    timeout_s: float,
) -> Outcome | None:
    """Return the outcome of a non-idempotent request by its key.

    ``None`` means that no claim with this key exists. ``NotRun`` is returned
    only after the claim was withdrawn, so that no entry can run it later; three
    failed withdrawals make the outcome unknown.
    """
    for _ in range(_MAX_LOOKUP_TRIES_COUNT):
        try:
            claim = await claims.look_up(team, key)
        except Failure as failure:
            return Unknown(failure.reason, failure.message, key)
        if claim is None:
            return None
        outcome = await resolve_claim(
            claim,
            key,
            claims=claims,
            get_agent=get_agent,
            rng=rng,
            timeout_s=timeout_s,
        )
        if not isinstance(outcome, NeverRan):
            return outcome
        not_run = NotRun(Reason.WORKER_REFUSED, 'the call never started')
        withdrawn = await withdraw_claim(outcome.claim, claims, not_run, key)
        if isinstance(withdrawn, NotRun):
            return withdrawn
    return Unknown(Reason.STORE_UNAVAILABLE, 'the claim changes', key)


async def withdraw_claim(
    claim: Claim,
    claims: ClaimStore,
    answer_if_withdrawn: NotRun,
    outcome_key: str,
) -> NotRun | Unknown:
    """Withdraw a claim; return ``answer_if_withdrawn`` once it is deleted.

    Else the result is ``Unknown``, since another entry may run the request.
    """
    with trio.move_on_after(_WITHDRAW_TIMEOUT_S):
        try:
            is_withdrawn = await claims.withdraw(claim)
        except Failure as failure:
            return Unknown(failure.reason, failure.message, outcome_key)
        if is_withdrawn:
            return answer_if_withdrawn
        return Unknown(
            Reason.WORKER_REFUSED,
            'the request was taken over by a repeat',
            outcome_key,
        )
    return Unknown(Reason.DEADLINE, 'the store is slow', outcome_key)


def _matches_record(record: ClaimRecord, body: bytes) -> bool:
    """Tell whether a body matches the recorded digest, if there is one."""
    if record.status is None:
        return True
    return hashlib.sha256(body).hexdigest() == record.body_sha256


def _resolve_never(
    claim: Claim,
    reply: SettleReply,
    outcome_key: str,
) -> NeverRan | Unknown:
    """Resolve the reply "never", a proof only from the same incarnation."""
    record = claim.record
    if record.incarnation and reply.incarnation == record.incarnation:
        return NeverRan(claim)
    return Unknown(
        Reason.WORKER_RESTARTED,
        f'worker {record.worker_id} restarted and lost its calls',
        outcome_key,
    )


def _describe_unfinished(state: CallState, outcome_key: str) -> Unknown:
    if state is CallState.CANCELLED:
        return Unknown(
            Reason.CANCELLED,
            'the call was stopped while it ran',
            outcome_key,
        )
    return Unknown(Reason.DEADLINE, 'the call still runs', outcome_key)
