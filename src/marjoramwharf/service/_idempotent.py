"""Dispatches idempotent requests with retries and hedged calls."""

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
from marjoramwharf.service._call_runner import CallRunner, build_done
from marjoramwharf.service.dispatch_dependencies import DispatchDependencies
from marjoramwharf.service.request import (
    NotRun,
    Outcome,
    ServiceRequest,
    Unknown,
)
from marjoramwharf.service.retry import backoff_s, is_successful

# Interval of the polls for an idle slot once a hedged call is due.
_IDLE_POLL_S = 0.05


@dataclass(slots=True)
class _Race:
    """The concurrent calls of one attempt: the first and the hedged one."""

    nursery: trio.Nursery
    running_count: int = 0
    outcomes: list[CallOutcome] = field(default_factory=list)

    def record_end(self, outcome: CallOutcome) -> None:
        """Add an outcome; end the race on success or when no call is left.

        This cancels the other call, or the wait to start the hedged one.
        """
        self.outcomes.append(outcome)
        self.running_count -= 1
        if is_successful(outcome) or not self.running_count:
            self.nursery.cancel_scope.cancel()


class IdempotentDispatch:
    """Serves requests that may run more than once."""

    def __init__(self, deps: DispatchDependencies, runner: CallRunner) -> None:
        """Use the collaborators and the call runner of the dispatcher."""
        self._deps = deps
        self._runner = runner

    async def serve(self, request: ServiceRequest) -> Outcome:
        """Return the first successful answer, else the best other outcome."""
        outcomes: list[CallOutcome] = []
        excluded: frozenset[WorkerId] = frozenset()
        attempts_count = 0
        while True:
            permit = await self._runner.acquire(request, excluded)
            if isinstance(permit, NotRun):
                return _combine_outcomes(outcomes, permit)
            outcomes.extend(await self._race(request, permit))
            attempts_count += 1
            if not self._may_retry(request, outcomes, attempts_count):
                refused = NotRun(Reason.WORKER_REFUSED, 'workers refused it', 1)
                return _combine_outcomes(outcomes, refused)
            excluded = frozenset((permit.worker_id,))
            await trio.sleep(backoff_s(attempts_count, self._deps.rng))

    def _may_retry(
        self,
        request: ServiceRequest,
        outcomes: Sequence[CallOutcome],
        attempts_count: int,
    ) -> bool:
        now_s = self._deps.clock()
        if now_s >= request.deadline_s or any(map(is_successful, outcomes)):
            return False
        return self._deps.policy.may_retry(
            outcomes[-1],
            is_idempotent=True,
            attempts_count=attempts_count,
            now_s=now_s,
        )

    async def _race(
        self,
        request: ServiceRequest,
        permit: Permit,
    ) -> Sequence[CallOutcome]:
        """Run a call, and a second (hedged) one if it takes too long."""
        async with trio.open_nursery() as nursery:
            race = _Race(nursery)
            race.running_count += 1
            nursery.start_soon(self._run, request, permit, race)
            delay_s = self._deps.policy.hedge_delay_s(
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
        first_worker_id: WorkerId,
        race: _Race,
    ) -> None:
        """Run a second call if a slot is idle and the budget allows it.

        A hedged call must not queue for a slot: under load it would take the
        slot of a request that has none yet. The poll for an idle slot goes on
        until the first call ends, which cancels this task.
        """
        excluded = frozenset((first_worker_id,))
        permit = self._runner.acquire_idle(request, excluded)
        while permit is None:
            await trio.sleep(_IDLE_POLL_S)
            permit = self._runner.acquire_idle(request, excluded)
        if self._deps.policy.budget.try_spend(self._deps.clock()):
            race.running_count += 1
            await self._run(request, permit, race)
        else:
            self._runner.release_unused(permit)

    async def _run(
        self,
        request: ServiceRequest,
        permit: Permit,
        race: _Race,
    ) -> None:
        call_id = CallId(random_id())
        race.record_end(await self._runner.run(request, permit, call_id))


def _combine_outcomes(
    outcomes: Sequence[CallOutcome], not_run: NotRun
) -> Outcome:
    """Return the best answer; ``not_run`` only if every call was refused."""
    answers = [answer for answer in outcomes if isinstance(answer, CallAnswer)]
    if answers:
        return build_done(max(answers, key=is_successful))
    for outcome in outcomes:
        if isinstance(outcome, CallInDoubt):
            return Unknown(outcome.reason, 'no whole answer arrived', None)
    return not_run
