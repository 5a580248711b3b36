"""From a caller's request to its outcome.

Idempotent requests are retried and hedged. Others are claimed in the store
before the first dispatch and run at most once.
"""

from __future__ import annotations

from opentelemetry.trace import Span

from marjoramwharf.errors import Reason
from marjoramwharf.service._attempts import Attempts
from marjoramwharf.service._claimed import ClaimedDispatch
from marjoramwharf.service._idempotent import IdempotentDispatch
from marjoramwharf.service.dispatch_parts import DispatchParts
from marjoramwharf.service.request import (
    NotRun,
    Outcome,
    ServiceRequest,
    Unknown,
)
from marjoramwharf.tracing import start_span


class Dispatcher:
    """Serves requests with the parts that it is given."""

    def __init__(self, parts: DispatchParts) -> None:
        """Build the two ways of dispatch on the same parts."""
        attempts = Attempts(parts)
        self._parts = parts
        self._idempotent = IdempotentDispatch(parts, attempts)
        self._claimed = ClaimedDispatch(parts, attempts)

    async def serve(self, request: ServiceRequest) -> Outcome:
        """Return the answer, the proof that nothing ran, or "unknown"."""
        self._parts.policy.budget.request_arrived(self._parts.clock())
        with start_span('dispatch') as span:
            span.set_attribute('service', request.service)
            span.set_attribute('request_id', request.request_id)
            outcome = await self._serve(request)
            _describe(span, outcome)
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


def _describe(span: Span, outcome: Outcome) -> None:
    span.set_attribute('outcome', type(outcome).__name__)
    if isinstance(outcome, NotRun | Unknown):
        span.set_attribute('reason', outcome.reason.value)
