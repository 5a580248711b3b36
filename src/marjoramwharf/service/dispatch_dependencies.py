"""What the dispatcher needs of the rest of the entry."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from marjoramwharf.contracts.claims import ClaimStore
from marjoramwharf.contracts.permits import Permit
from marjoramwharf.ids import CallId, ServiceId, WorkerId
from marjoramwharf.machines.calls import WorkerRefusal
from marjoramwharf.machines.health import WorkerHealth
from marjoramwharf.service.request import NotRun, ServiceRequest
from marjoramwharf.service.retry import RetryPolicy
from marjoramwharf.service.settlement import AgentLookup


@dataclass(frozen=True, slots=True)
class DispatchDependencies:
    """The collaborators and callbacks of the dispatcher."""

    # Waits for a permit until the request's deadline, excluding the given
    # workers. Returns ``NotRun`` at once if there are no others, and holds no
    # permit after a cancellation.
    acquire: Callable[
        [ServiceRequest, frozenset[WorkerId]],
        Awaitable[Permit | NotRun],
    ]
    # Returns a permit that no other request waits for, or ``None``.
    acquire_idle: Callable[
        [ServiceRequest, frozenset[WorkerId]],
        Permit | None,
    ]
    release: Callable[[Permit], None]
    # Takes back the permit of a call that the worker refused.
    refused: Callable[[Permit, WorkerRefusal], None]
    # Records the latency, in ms, of a successful answer, and the time.
    observe: Callable[[ServiceId, WorkerId, float, float], None]
    # The same for a cancelled call, with the ms that it had taken so far.
    observe_lower_bound: Callable[[ServiceId, WorkerId, float, float], None]
    # Both take over a permit whose call may still run; the second one also
    # stops the call.
    enqueue_settle: Callable[[Permit, CallId], None]
    enqueue_cancel: Callable[[Permit, CallId], None]
    # Raises ``WorkerUnreachable`` for an unknown worker.
    get_agent: AgentLookup
    claims: ClaimStore
    policy: RetryPolicy
    health: WorkerHealth
    # Returns monotonic seconds.
    clock: Callable[[], float]
    rng: random.Random
