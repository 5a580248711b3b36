"""The collaborators and callbacks of the dispatcher."""

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
    """The collaborators and callbacks of the dispatcher.

    ``acquire`` waits for a permit until the request's deadline, excluding the
    given workers; it returns ``NotRun`` at once if there are no others, and
    holds no permit after a cancellation. ``acquire_idle`` returns a permit
    that no other request waits for, or ``None``. ``enqueue_settle`` and
    ``enqueue_cancel`` take over a permit whose call may still run;
    ``enqueue_cancel`` also stops the call. ``get_agent`` raises
    ``WorkerUnreachable`` for an unknown worker. ``refused`` takes back the
    permit of a refused call. ``observe`` records the latency, in ms, of a
    successful answer, ``observe_lower_bound`` the time in ms that a cancelled
    call had taken so far. ``clock`` returns monotonic seconds.
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
    observe_lower_bound: Callable[[ServiceId, WorkerId, float, float], None]
    enqueue_settle: Callable[[Permit, CallId], None]
    enqueue_cancel: Callable[[Permit, CallId], None]
    get_agent: AgentLookup
    claims: ClaimStore
    policy: RetryPolicy
    health: WorkerHealth
    clock: Callable[[], float]
    rng: random.Random
