"""Dispatches non-idempotent requests, each of which runs at most once."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from marjoramwharf.contracts.claim_values import (
    Claim,
    ClaimExists,
    ClaimHeld,
    ClaimOutcome,
    ClaimWithdrawn,
)
from marjoramwharf.contracts.claims import request_digest
from marjoramwharf.contracts.permits import Permit
from marjoramwharf.errors import Failure, Reason
from marjoramwharf.ids import CallId, Incarnation, WorkerId, random_id
from marjoramwharf.machines.calls import CallAnswer, CallRefused
from marjoramwharf.service._call_runner import CallRunner, build_done
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

_REFUSED_BY_WORKERS = NotRun(Reason.WORKER_REFUSED, 'workers refused it', 1)
_CLAIM_NOT_WRITTEN = NotRun(
    Reason.DEADLINE, 'the claim was not written in time', 1
)
# The look-up before a refusal may happen after the request's deadline.
_LOOK_UP_TIMEOUT_S = 1
_CLAIM_NOT_READ = NotRun(Reason.DEADLINE, 'the claim was not read in time', 1)


@dataclass(frozen=True, slots=True)
class _ClaimedCall:
    """The call that a claim shall name, its worker and the incarnation."""

    worker_id: WorkerId
    call_id: CallId
    incarnation: Incarnation


class ClaimedDispatch:
    """Serves requests with an idempotency key.

    A claim, stored under the key, names the only call that may run a request.
    An ``unused_claim`` names a call that provably never ran. Another entry may
    use the same claim, so the request runs only after a take-over of the claim,
    and ``NotRun`` is answered only after its withdrawal.
    """

    def __init__(self, deps: DispatchDependencies, runner: CallRunner) -> None:
        """Use the collaborators and the call runner of the dispatcher."""
        self._deps = deps
        self._runner = runner

    async def serve(self, request: ServiceRequest, key: str) -> Outcome:
        """Run a request once, or return the outcome of its earlier run."""
        unused_claim: Claim | None = None
        excluded: frozenset[WorkerId] = frozenset()
        for attempts_count in range(1, MAX_ATTEMPTS_COUNT + 1):
            permit = await self._runner.acquire(request, excluded)
            if isinstance(permit, NotRun):
                return await self._answer_refused(
                    request, key, unused_claim, permit
                )
            outcome = await self._claim_and_run(
                request,
                key,
                permit,
                unused_claim,
            )
            if isinstance(outcome, NeverRan):
                unused_claim = outcome.claim
            elif outcome is not None:
                return outcome
            excluded = frozenset((permit.worker_id,))
            await trio.sleep(backoff_s(attempts_count, self._deps.rng))
        return await self._answer_refused(
            request, key, unused_claim, _REFUSED_BY_WORKERS
        )

    async def _claim_and_run(
        self,
        request: ServiceRequest,
        key: str,
        permit: Permit,
        unused_claim: Claim | None,
    ) -> Outcome | NeverRan | None:
        """Run a call under a claim; ``None`` if its worker is unreachable."""
        # The claim names the incarnation, so it is fetched before the claim.
        timeout_s = self._remaining_s(request) / 2
        incarnation = await self._runner.incarnation_of(permit, timeout_s)
        if incarnation is None:
            return None
        target = _ClaimedCall(
            permit.worker_id, CallId(random_id()), incarnation
        )
        try:
            claimed = await self._claim(request, key, target, unused_claim)
        except BaseException:
            self._runner.release_unused(permit)
            raise
        if isinstance(claimed, ClaimHeld):
            return await self._run(request, key, permit, claimed.claim)
        self._runner.release_unused(permit)
        if isinstance(claimed, ClaimExists):
            return await self._resolve(request, key, claimed.claim)
        if isinstance(claimed, ClaimWithdrawn):
            return NotRun(Reason.WORKER_REFUSED, 'the claim was withdrawn', 1)
        if unused_claim is None:
            return _answer_without_claim(request, key, claimed)
        return await self._withdraw_unused(key, unused_claim, claimed)

    async def _claim(
        self,
        request: ServiceRequest,
        key: str,
        target: _ClaimedCall,
        unused_claim: Claim | None,
    ) -> ClaimOutcome | NotRun:
        """Create the claim, or take over ``unused_claim``, by the deadline."""
        claims = self._deps.claims
        with trio.move_on_after(self._remaining_s(request)):
            try:
                if unused_claim is None:
                    return await claims.create(
                        request.team,
                        key,
                        digest=_compute_digest(request),
                        worker_id=target.worker_id,
                        call_id=target.call_id,
                        incarnation=target.incarnation,
                    )
                return await claims.take_over(
                    unused_claim,
                    worker_id=target.worker_id,
                    call_id=target.call_id,
                    incarnation=target.incarnation,
                )
            except Failure as failure:
                return NotRun(failure.reason, failure.message, 1)
        return _CLAIM_NOT_WRITTEN

    async def _run(
        self,
        request: ServiceRequest,
        key: str,
        permit: Permit,
        claim: Claim,
    ) -> Outcome | NeverRan:
        """Run the call of a claim; queue its answer for storage."""
        outcome = await self._runner.run(
            request,
            permit,
            claim.record.call_id,
            claim.record.incarnation,
        )
        if isinstance(outcome, CallAnswer):
            self._deps.claims.complete(claim, outcome)
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
        """Return the outcome of the call that a claim names."""
        if claim.record.digest != _compute_digest(request):
            return NotRun(
                Reason.KEY_REUSED,
                'the idempotency key belongs to another request',
            )
        return await resolve_claim(
            claim,
            key,
            claims=self._deps.claims,
            get_agent=self._deps.get_agent,
            rng=self._deps.rng,
            timeout_s=self._remaining_s(request),
        )

    async def _answer_refused(
        self,
        request: ServiceRequest,
        key: str,
        unused_claim: Claim | None,
        not_run: NotRun,
    ) -> Outcome:
        """Answer a request that got no permit or was refused by every worker.

        An earlier dispatch, possibly at another entry, may have run it, so its
        claim is read before ``not_run`` is answered.
        """
        if unused_claim is not None:
            return await self._withdraw_unused(key, unused_claim, not_run)
        found: Claim | NotRun | None = _CLAIM_NOT_READ
        with trio.move_on_after(_LOOK_UP_TIMEOUT_S):
            try:
                found = await self._deps.claims.look_up(request.team, key)
            except Failure as failure:
                found = NotRun(failure.reason, failure.message, 1)
        if isinstance(found, NotRun):
            is_first = request.is_first_attempt
            return _answer_without_claim(
                request, key, not_run if is_first else found
            )
        if found is None:
            return not_run
        outcome = await self._resolve(request, key, found)
        if isinstance(outcome, NeverRan):
            return await self._withdraw_unused(key, outcome.claim, not_run)
        return outcome

    async def _withdraw_unused(
        self,
        key: str,
        unused_claim: Claim | None,
        not_run: NotRun,
    ) -> Outcome:
        """Answer ``not_run`` if no unused claim exists or it was withdrawn."""
        if unused_claim is None:
            return not_run
        return await withdraw_claim(
            unused_claim,
            self._deps.claims,
            not_run,
            key,
        )

    def _remaining_s(self, request: ServiceRequest) -> float:
        return max(request.deadline_s - self._deps.clock(), 0)


def _answer_without_claim(
    request: ServiceRequest,
    key: str,
    not_run: NotRun,
) -> NotRun | Unknown:
    """Answer a request whose claim could not be read or written.

    An earlier dispatch, possibly by another entry, may have run the request.
    Only the caller's declaration of a first attempt rules this out.
    """
    if request.is_first_attempt:
        return not_run
    return Unknown(not_run.reason, not_run.message, key)


def _compute_digest(request: ServiceRequest) -> str:
    return request_digest(request.service, request.content_type, request.body)
