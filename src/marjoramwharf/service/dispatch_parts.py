"""The parts that the dispatcher is built from."""

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
from marjoramwharf.service.settlement import AgentOf


@dataclass(frozen=True, slots=True)
class DispatchParts:
    """What the dispatcher works with.

    ``acquire`` waits for a permit within the request's deadline and avoids
    the given workers; it returns "not run" at once if it knows no others, and
    keeps no permit if it is cancelled. ``acquire_idle`` returns a permit that
    no other request waits for, or ``None``. ``doubt`` and
    ``abandon`` take over a permit whose call may still run; ``abandon`` also
    stops the call. ``agent_of`` raises ``WorkerUnreachable`` for an unknown
    worker. ``refused`` takes the permit of a refused call. ``observe`` learns
    the latency, in ms, of a good answer, and ``observe_at_least`` the time of a
    call that was stopped. ``clock`` returns monotonic seconds.
    """

    acquire: Callable[
        [ServiceRequest, frozenset[WorkerId]],
        Awaitable[Permit | NotRun],
    ]
    acquire_idle: Callable[
        [ServiceRequest, frozenset[WorkerId]],
        Permit | None,
    ]
    release: Callable[[Permit], None]
    refused: Callable[[Permit, WorkerRefusal], None]
    observe: Callable[[ServiceId, WorkerId, float, float], None]
    observe_at_least: Callable[[ServiceId, WorkerId, float, float], None]
    doubt: Callable[[Permit, CallId], None]
    abandon: Callable[[Permit, CallId], None]
    agent_of: AgentOf
    claims: ClaimStore
    policy: RetryPolicy
    health: WorkerHealth
    clock: Callable[[], float]
    rng: random.Random
