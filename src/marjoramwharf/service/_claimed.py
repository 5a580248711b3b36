"""Dispatch of non-idempotent requests, each run at most once."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from marjoramwharf.contracts.claim_values import (
    Claim,
    ClaimOutcome,
    Found,
    Gone,
    Held,
)
from marjoramwharf.contracts.claims import request_digest
from marjoramwharf.contracts.permits import Permit
from marjoramwharf.errors import Failure, Reason
from marjoramwharf.ids import CallId, Incarnation, WorkerId, random_id
from marjoramwharf.machines.calls import CallAnswer, CallRefused
from marjoramwharf.service._attempts import AttemptRunner, build_done
from marjoramwharf.service.dispatch_dependencies import DispatchDependencies
from marjoramwharf.service.request import (
    Done,
    NotRun,
    Outcome,
    ServiceRequest,
    Unknown,
)
from marjoramwharf.service.retry import MAX_ATTEMPTS_COUNT, backoff_s
from marjoramwharf.service.settlement import (
    NeverRan,
    resolve_claim,
    withdraw_claim,
)

_REFUSED = NotRun(Reason.WORKER_REFUSED, 'workers refused it', 1)
_NO_CLAIM = NotRun(Reason.DEADLINE, 'the claim was not written in time', 1)
# The look-up that precedes a refusal may come after the request's deadline.
_LOOK_UP_TIMEOUT_S = 1
_NOT_READ = NotRun(Reason.DEADLINE, 'the claim was not read in time', 1)


@dataclass(frozen=True, slots=True)
class _Target:
    """What a new claim names."""

    worker_id: WorkerId
    call_id: CallId
    incarnation: Incarnation


class ClaimedDispatch:
    """Serves requests with an idempotency key.

    ``open_claim`` in the methods below is a claim whose call proved never to
    run. It must be taken over to run the request, and withdrawn before the
    caller is told "not run", since another entry may hold it too.
    """

    def __init__(
        self, parts: DispatchDependencies, attempts: AttemptRunner
    ) -> None:
        """Keep the parts."""
        self._parts = parts
        self._attempts = attempts

    async def serve(self, request: ServiceRequest, key: str) -> Outcome:
        """Run a request once, or return what became of its earlier run."""
        open_claim: Claim | None = None
        avoided: frozenset[WorkerId] = frozenset()
        for attempts_count in range(1, MAX_ATTEMPTS_COUNT + 1):
            permit = await self._attempts.acquire(request, avoided)
            if isinstance(permit, NotRun):
                return await self._refused(request, key, open_claim, permit)
            outcome = await self._claim_and_run(
                request,
                key,
                permit,
                open_claim,
            )
            if isinstance(outcome, NeverRan):
                open_claim = outcome.claim
            elif outcome is not None:
                return outcome
            avoided = frozenset((permit.worker_id,))
            await trio.sleep(backoff_s(attempts_count, self._parts.rng))
        return await self._refused(request, key, open_claim, _REFUSED)

    async def _claim_and_run(
        self,
        request: ServiceRequest,
        key: str,
        permit: Permit,
        open_claim: Claim | None,
    ) -> Outcome | NeverRan | None:
        """Run a call under a claim; ``None`` if the worker is not reached."""
        # The claim names the incarnation, so it must be known beforehand.
        timeout_s = self._left_s(request) / 2
        incarnation = await self._attempts.incarnation_of(permit, timeout_s)
        if incarnation is None:
            return None
        target = _Target(permit.worker_id, CallId(random_id()), incarnation)
        try:
            claimed = await self._claim(request, key, target, open_claim)
        except BaseException:
            self._attempts.release_unused(permit)
            raise
        if isinstance(claimed, Held):
            return await self._run(request, key, permit, claimed.claim)
        self._attempts.release_unused(permit)
        if isinstance(claimed, Found):
            return await self._resolve(request, key, claimed.claim)
        if isinstance(claimed, Gone):
            return NotRun(Reason.WORKER_REFUSED, 'the claim was withdrawn', 1)
        if open_claim is None:
            return _unclaimed(request, key, claimed)
        return await self._not_run(key, open_claim, claimed)

    async def _claim(
        self,
        request: ServiceRequest,
        key: str,
        target: _Target,
        open_claim: Claim | None,
    ) -> ClaimOutcome | NotRun:
        """Write the claim within the deadline."""
        claims = self._parts.claims
        with trio.move_on_after(self._left_s(request)):
            try:
                if open_claim is None:
                    return await claims.create(
                        request.team,
                        key,
                        digest=_digest(request),
                        worker_id=target.worker_id,
                        call_id=target.call_id,
                        incarnation=target.incarnation,
                    )
                return await claims.take_over(
                    open_claim,
                    worker_id=target.worker_id,
                    call_id=target.call_id,
                    incarnation=target.incarnation,
                )
            except Failure as failure:
                return NotRun(failure.reason, failure.message, 1)
        return _NO_CLAIM

    async def _run(
        self,
        request: ServiceRequest,
        key: str,
        permit: Permit,
        claim: Claim,
    ) -> Outcome | NeverRan:
        outcome = await self._attempts.run(
            request,
            permit,
            claim.record.call_id,
            claim.record.incarnation,
        )
        if isinstance(outcome, CallAnswer):
            self._parts.claims.complete(claim, outcome)
            return build_done(outcome)
        if isinstance(outcome, CallRefused):
            return NeverRan(claim)
        return await self._resolve(request, key, claim)

    async def _resolve(
        self,
        request: ServiceRequest,
        key: str,
        claim: Claim,
    ) -> Done | NotRun | Unknown | NeverRan:
        """Return what became of the call that a claim names."""
        if claim.record.digest != _digest(request):
            return NotRun(
                Reason.KEY_REUSED,
                'the idempotency key belongs to another request',
            )
        return await resolve_claim(
            claim,
            key,
            claims=self._parts.claims,
            get_agent=self._parts.get_agent,
            rng=self._parts.rng,
            timeout_s=self._left_s(request),
        )

    async def _refused(
        self,
        request: ServiceRequest,
        key: str,
        open_claim: Claim | None,
        not_run: NotRun,
    ) -> Outcome:
        """Answer without a permit; an earlier dispatch may have run it."""
        if open_claim is not None:
            return await self._not_run(key, open_claim, not_run)
        claim: Claim | NotRun | None = _NOT_READ
        with trio.move_on_after(_LOOK_UP_TIMEOUT_S):
            try:
                claim = await self._parts.claims.look_up(request.team, key)
            except Failure as failure:
                claim = NotRun(failure.reason, failure.message, 1)
        if isinstance(claim, NotRun):
            is_first = request.is_first_attempt
            return _unclaimed(request, key, not_run if is_first else claim)
        if claim is None:
            return not_run
        outcome = await self._resolve(request, key, claim)
        if isinstance(outcome, NeverRan):
            return await self._not_run(key, outcome.claim, not_run)
        return outcome

    async def _not_run(
        self,
        key: str,
        open_claim: Claim | None,
        not_run: NotRun,
    ) -> Outcome:
        if open_claim is None:
            return not_run
        return await withdraw_claim(
            open_claim,
            self._parts.claims,
            not_run,
            key,
        )

    def _left_s(self, request: ServiceRequest) -> float:
        return max(request.deadline_s - self._parts.clock(), 0)


def _unclaimed(
    request: ServiceRequest,
    key: str,
    not_run: NotRun,
) -> NotRun | Unknown:
    """Answer without knowledge of the claims with this key.

    Only the caller's declaration proves that no earlier dispatch of the
    request exists, which another entry may have made.
    """
    if request.is_first_attempt:
        return not_run
    return Unknown(not_run.reason, not_run.message, key)


def _digest(request: ServiceRequest) -> str:
    return request_digest(request.service, request.content_type, request.body)
