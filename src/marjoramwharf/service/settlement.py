"""Settlement of calls in doubt, and the outcome of a claimed request.

A permit in doubt stays used until the worker has said that its call ended or
never started. A claimed request is resolved by asking the claim's worker.
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
from marjoramwharf.contracts.claims import Claims
from marjoramwharf.contracts.permits import Permit
from marjoramwharf.errors import Failure, Reason, WorkerUnreachable
from marjoramwharf.ids import CallId, TeamId, WorkerId
from marjoramwharf.machines.calls import CallState, SettleReply, WorkerAgent
from marjoramwharf.service.request import Done, NotRun, Outcome, Unknown

AgentLookup: TypeAlias = Callable[[WorkerId], WorkerAgent]

_FIRST_PAUSE_S = 0.02
_MAX_PAUSE_S = 2.0
_LOOKUP_TRIES_COUNT = 3
_WITHDRAW_TIMEOUT_S = 1


@dataclass(frozen=True, slots=True)
class _Doubt:
    permit: Permit
    call_id: CallId
    is_abandoned: bool


class Settlement:
    """Background task that frees permits in doubt.

    Pass ``enqueue_settle`` for calls whose outcome matters and ``enqueue_cancel`` for calls
    that the worker is to stop.
    """

    def __init__(
        self,
        get_agent: AgentLookup,
        release: Callable[[Permit], None],
        rng: random.Random,
    ) -> None:
        """Ask workers through ``get_agent`` and free with ``release``.

        ``get_agent`` raises ``WorkerUnreachable`` for an unknown worker.
        """
        self.in_doubt_count = 0
        self._get_agent = get_agent
        self._release = release
        self._rng = rng
        self._scopes: dict[WorkerId, set[trio.CancelScope]] = {}
        self._waiting: deque[_Doubt] = deque()
        self._added = trio.Event()

    def enqueue_settle(self, permit: Permit, call_id: CallId) -> None:
        """Free a permit when its call has ended; the call goes on."""
        self._add(_Doubt(permit, call_id, is_abandoned=False))

    def enqueue_cancel(self, permit: Permit, call_id: CallId) -> None:
        """Stop a call at the worker, then free its permit."""
        self._add(_Doubt(permit, call_id, is_abandoned=True))

    def forget(self, worker_id: WorkerId) -> None:
        """Drop the permits of a worker that the platform's list lost."""
        for scope in self._scopes.get(worker_id, ()):
            scope.cancel()

    async def run(self) -> None:
        """Settle what is in doubt, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                while self._waiting:
                    nursery.start_soon(self._settle, self._waiting.popleft())
                await self._added.wait()
                self._added = trio.Event()

    def _add(self, doubt: _Doubt) -> None:
        self.in_doubt_count += 1
        self._waiting.append(doubt)
        self._added.set()

    async def _settle(self, doubt: _Doubt) -> None:
        scopes = self._scopes.setdefault(doubt.permit.worker_id, set())
        scope = trio.CancelScope()
        scopes.add(scope)
        with scope:
            await poll_until_settled(
                self._get_agent,
                doubt.permit.worker_id,
                doubt.call_id,
                rng=self._rng,
                is_cancelling=doubt.is_abandoned,
            )
            self._release(doubt.permit)
        scopes.discard(scope)
        self.in_doubt_count -= 1


@dataclass(frozen=True, slots=True)
class NeverRan:
    """The claim's call proved never to run; the claim may be taken over."""

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
    """Ask a worker until its call has ended or proved never to run.

    A worker that restarted since runs none of the calls sent before: its
    "never" means that the call has ended, not that it did not run.

    Returns the last state after ``timeout_s``: running, or ``None`` if the
    worker was not reached. The worker is asked at least once, unless the
    time is over before it answers.
    """
    last: SettleReply | None = None
    pause_s = _FIRST_PAUSE_S
    with trio.move_on_after(max(timeout_s, 0)):
        while True:
            with suppress(WorkerUnreachable):
                agent = get_agent(worker_id)
                last = await (
                    agent.cancel(call_id)
                    if is_cancelling
                    else agent.settle(call_id)
                )
            if last is not None and last.state is not CallState.RUNNING:
                return last
            await trio.sleep(rng.uniform(pause_s / 2, pause_s))
            pause_s = min(pause_s * 2, _MAX_PAUSE_S)
    return last


async def resolve_claim(
    claim: Claim,
    outcome_key: str,
    *,
    claims: Claims,
    get_agent: AgentLookup,
    rng: random.Random,
    timeout_s: float,
) -> Done | Unknown | NeverRan:
    """Return the outcome of a claimed request; waits while it runs."""
    record = claim.record
    if record.status is not None and record.body is not None:
        return Done(record.status, record.content_type, record.body)
    settled = await poll_until_settled(
        get_agent,
        record.worker_id,
        record.call_id,
        rng=rng,
        timeout_s=timeout_s,
    )
    if settled is None:
        return Unknown(
            Reason.WORKER_UNREACHABLE if timeout_s else Reason.DEADLINE,
            f'worker {record.worker_id} was not asked in time',
            outcome_key,
        )
    if settled.answer is not None and _is_kept(record, settled.answer.body):
        if record.status is None:
            claims.complete(claim, settled.answer)
        answer = settled.answer
        return Done(answer.status, answer.content_type, answer.body)
    if record.status is not None or settled.state is CallState.FINISHED:
        return Unknown(
            Reason.BODY_TOO_LARGE,
            'the request ran; its answer was not kept',
            outcome_key,
        )
    if settled.state is CallState.NEVER:
        return _never_seen(claim, settled, outcome_key)
    return _unfinished(settled.state, outcome_key)


async def look_up_outcome(
    team: TeamId,
    key: str,
    *,
    claims: Claims,
    get_agent: AgentLookup,
    rng: random.Random,
    timeout_s: float,
) -> Outcome | None:
    """Return the outcome of a non-idempotent request by its key.

    ``None`` means that no claim with this key exists. "Not run" is returned
    only after the claim was withdrawn, so that no entry runs it any more.
    """
    for _ in range(_LOOKUP_TRIES_COUNT):
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
    claims: Claims,
    not_run: NotRun,
    outcome_key: str,
) -> NotRun | Unknown:
    """Return ``not_run`` if no entry can take the claim over any more."""
    with trio.move_on_after(_WITHDRAW_TIMEOUT_S):
        try:
            is_withdrawn = await claims.withdraw(claim)
        except Failure as failure:
            return Unknown(failure.reason, failure.message, outcome_key)
        if is_withdrawn:
            return not_run
        return Unknown(
            Reason.WORKER_REFUSED,
            'the request was taken over by a repeat',
            outcome_key,
        )
    return Unknown(Reason.DEADLINE, 'the store is slow', outcome_key)


def _is_kept(record: ClaimRecord, body: bytes) -> bool:
    """Tell whether a body is the recorded answer, if one was recorded."""
    if record.status is None:
        return True
    return hashlib.sha256(body).hexdigest() == record.body_sha256


def _never_seen(
    claim: Claim,
    settled: SettleReply,
    outcome_key: str,
) -> NeverRan | Unknown:
    """Judge a "never": it proves nothing about a former process."""
    record = claim.record
    if record.incarnation and settled.incarnation == record.incarnation:
        return NeverRan(claim)
    return Unknown(
        Reason.WORKER_RESTARTED,
        f'worker {record.worker_id} restarted and lost its calls',
        outcome_key,
    )


def _unfinished(state: CallState, outcome_key: str) -> Unknown:
    if state is CallState.CANCELLED:
        return Unknown(
            Reason.CANCELLED,
            'the call was stopped while it ran',
            outcome_key,
        )
    return Unknown(Reason.DEADLINE, 'the call still runs', outcome_key)
