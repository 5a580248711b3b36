"""Dispatch of idempotent requests, with retries and hedged calls."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from marjoramwharf.contracts.permits import Permit
from marjoramwharf.errors import Reason
from marjoramwharf.ids import CallId, WorkerId, random_id
from marjoramwharf.machines.calls import (
    CallAnswer,
    CallInDoubt,
    CallOutcome,
)
from marjoramwharf.service._attempts import AttemptRunner, build_done
from marjoramwharf.service.dispatch_dependencies import DispatchDependencies
from marjoramwharf.service.request import (
    NotRun,
    Outcome,
    ServiceRequest,
    Unknown,
)
from marjoramwharf.service.retry import backoff_s, is_successful


# How often an idle slot is looked for once a hedged call is due.
_IDLE_POLL_S = 0.05


@dataclass(slots=True)
class _Race:
    """Calls of one request that run at the same time."""

    nursery: trio.Nursery
    running_count: int = 0
    outcomes: list[CallOutcome] = field(default_factory=list)

    def ended(self, outcome: CallOutcome) -> None:
        """Stop the others after a good answer, or if none runs any more."""
        self.outcomes.append(outcome)
        self.running_count -= 1
        if is_successful(outcome) or not self.running_count:
            self.nursery.cancel_scope.cancel()


class IdempotentDispatch:
    """Serves requests that may run more than once."""

    def __init__(
        self, parts: DispatchDependencies, attempts: AttemptRunner
    ) -> None:
        """Keep the parts."""
        self._parts = parts
        self._attempts = attempts

    async def serve(self, request: ServiceRequest) -> Outcome:
        """Return the first good answer, or what the failures prove."""
        seen: list[CallOutcome] = []
        avoided: frozenset[WorkerId] = frozenset()
        attempts_count = 0
        while True:
            permit = await self._attempts.acquire(request, avoided)
            if isinstance(permit, NotRun):
                return _concluded(seen, permit)
            seen.extend(await self._race(request, permit))
            attempts_count += 1
            if not self._may_retry(request, seen, attempts_count):
                refused = NotRun(Reason.WORKER_REFUSED, 'workers refused it', 1)
                return _concluded(seen, refused)
            avoided = frozenset((permit.worker_id,))
            await trio.sleep(backoff_s(attempts_count, self._parts.rng))

    def _may_retry(
        self,
        request: ServiceRequest,
        seen: Sequence[CallOutcome],
        attempts_count: int,
    ) -> bool:
        now_s = self._parts.clock()
        if now_s >= request.deadline_s or any(map(is_successful, seen)):
            return False
        return self._parts.policy.may_retry(
            seen[-1],
            is_idempotent=True,
            attempts_count=attempts_count,
            now_s=now_s,
        )

    async def _race(
        self,
        request: ServiceRequest,
        permit: Permit,
    ) -> Sequence[CallOutcome]:
        """Run a call, and a second one if the first takes long."""
        async with trio.open_nursery() as nursery:
            race = _Race(nursery)
            race.running_count += 1
            nursery.start_soon(self._run, request, permit, race)
            delay_s = self._parts.policy.hedge_delay_s(
                request.service,
                is_idempotent=True,
            )
            if delay_s is not None:
                await trio.sleep(delay_s)
                await self._hedge(request, permit.worker_id, race)
        return race.outcomes

    async def _hedge(
        self,
        request: ServiceRequest,
        first: WorkerId,
        race: _Race,
    ) -> None:
        """Run a second call if a slot is idle and the budget allows it.

        A hedged call must not wait for a slot: under load it would take the
        place of a request that has none yet. It is tried until the first
        call has ended, which cancels this task.
        """
        avoided = frozenset((first,))
        permit = self._attempts.acquire_idle(request, avoided)
        while permit is None:
            await trio.sleep(_IDLE_POLL_S)
            permit = self._attempts.acquire_idle(request, avoided)
        if self._parts.policy.budget.try_spend(self._parts.clock()):
            race.running_count += 1
            await self._run(request, permit, race)
        else:
            self._attempts.release_unused(permit)

    async def _run(
        self,
        request: ServiceRequest,
        permit: Permit,
        race: _Race,
    ) -> None:
        call_id = CallId(random_id())
        race.ended(await self._attempts.run(request, permit, call_id))


def _concluded(seen: Sequence[CallOutcome], not_run: NotRun) -> Outcome:
    """Return the best outcome; "not run" only if no call may have run."""
    answers = [found for found in seen if isinstance(found, CallAnswer)]
    if answers:
        return build_done(max(answers, key=is_successful))
    for outcome in seen:
        if isinstance(outcome, CallInDoubt):
            return Unknown(outcome.reason, 'no whole answer arrived', None)
    return not_run
