"""Dispatches a caller's request to workers and returns its outcome.

Idempotent requests are retried and hedged. Other requests are claimed in the
store before the first dispatch and run at most once.
"""

from __future__ import annotations

from opentelemetry.trace import Span

from marjoramwharf.errors import Reason
from marjoramwharf.service._call_runner import CallRunner
from marjoramwharf.service._claimed import ClaimedDispatch
from marjoramwharf.service._idempotent import IdempotentDispatch
from marjoramwharf.service.dispatch_dependencies import DispatchDependencies
from marjoramwharf.service.request import (
    NotRun,
    Outcome,
    ServiceRequest,
    Unknown,
)
from marjoramwharf.tracing import start_span


class Dispatcher:
    """Runs requests on workers and returns their outcomes."""

    def __init__(self, deps: DispatchDependencies) -> None:
        """Create a dispatcher for idempotent and one for claimed requests."""
        runner = CallRunner(deps)
        self._deps = deps
        self._idempotent = IdempotentDispatch(deps, runner)
        self._claimed = ClaimedDispatch(deps, runner)

    async def serve(self, request: ServiceRequest) -> Outcome:
        """Run a request and return its outcome: done, not run or unknown."""
        self._deps.policy.budget.record_request(self._deps.clock())
        with start_span('dispatch') as span:
            span.set_attribute('service', request.service)
            span.set_attribute('request_id', request.request_id)
            outcome = await self._serve(request)
            _record_outcome(span, outcome)
        return outcome

    async def _serve(self, request: ServiceRequest) -> Outcome:
        if request.is_idempotent:
            return await self._idempotent.serve(request)
        if not request.idempotency_key:
            return NotRun(
                Reason.BAD_REQUEST,
                'a request that is not idempotent needs an Idempotency-Key',
            )
        return await self._claimed.serve(request, request.idempotency_key)


def _record_outcome(span: Span, outcome: Outcome) -> None:
    span.set_attribute('outcome', type(outcome).__name__)
    if isinstance(outcome, NotRun | Unknown):
        span.set_attribute('reason', outcome.reason.value)
