"""Messages and interface of a worker's agent.

A call to a worker has one of three outcomes: an answer; a refusal, which
proves that the call did not run; or doubt, which the caller settles by
querying the worker again. A call needs a permit for a slot of the worker. The
epoch grows with every change of the entry that owns the worker; to fence an
epoch means that the worker refuses it from then on.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from marjoramwharf.contracts.permits import Permit
from marjoramwharf.errors import Reason
from marjoramwharf.ids import (
    CallId,
    EntryId,
    Epoch,
    GrantId,
    Incarnation,
    ServiceId,
    TaskId,
)


@enum.unique
class WorkerRefusal(enum.Enum):
    """Why a worker did not run a call or start a task.

    ``SETTLED``: the call was received before, or a settle or cancel request
    came first. ``FULL``: the worker lacks capacity, or the client had no free
    connection in time. ``NOT_CONNECTED`` is never sent by a worker: the client
    could not connect, so the call was not sent at all.
    """

    STALE_EPOCH = 'stale_epoch'
    REVOKED_GRANT = 'revoked_grant'
    SETTLED = 'settled'
    FULL = 'full'
    LEAVING = 'leaving'
    UNKNOWN_SERVICE = 'unknown_service'
    STALE_FENCE = 'stale_fence'
    OTHER_INCARNATION = 'other_incarnation'
    NOT_CONNECTED = 'not_connected'


@dataclass(frozen=True, slots=True)
class Call:
    """One request to one worker under a permit.

    A worker whose incarnation differs from ``incarnation`` refuses the call.
    """

    call_id: CallId
    service: ServiceId
    body: bytes
    content_type: str
    timeout_ms: int
    permit: Permit
    idempotency_key: str | None = None
    request_id: str | None = None
    incarnation: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The complete answer of a worker, with verified length and digest."""

    call_id: CallId
    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class CallRefused:
    """The call was refused and provably did not run."""

    call_id: CallId
    refusal: WorkerRefusal


@dataclass(frozen=True, slots=True)
class CallInDoubt:
    """The call may have run and may still be running."""

    call_id: CallId
    reason: Reason


CallOutcome: TypeAlias = CallAnswer | CallRefused | CallInDoubt


@enum.unique
class CallState(enum.Enum):
    """State of a call in the reply to a settle or cancel request.

    ``NEVER`` proves that the call did not run and never will, because the
    worker refuses its id from then on. This holds only for the incarnation
    that the call was sent to: a restarted worker knows no earlier calls.
    """

    FINISHED = 'finished'
    RUNNING = 'running'
    CANCELLED = 'cancelled'
    NEVER = 'never'


@dataclass(frozen=True, slots=True)
class SettleReply:
    """Reply to a settle or cancel request.

    ``answer`` may be set if the call finished. ``incarnation`` is that of the
    worker process that replied.
    """

    state: CallState
    answer: CallAnswer | None = None
    incarnation: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class RunningCall:
    """A call that a worker still runs."""

    call_id: CallId
    grant_id: GrantId


@enum.unique
class TaskPhase(enum.Enum):
    """State of a task attempt; ``UNKNOWN``: it never ran and never will."""

    RUNNING = 'running'
    THROTTLED = 'throttled'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Demand:
    """Processors, memory and accelerators that a task requests."""

    cpu_millicores: int
    memory_mb: int
    accelerators_count: int = 0


@dataclass(frozen=True, slots=True)
class TaskStart:
    """Request to start one attempt of a batch task.

    ``fence`` is the pair of job shard epoch and attempt; the worker refuses a
    lower pair for the same task or exclusive key. ``run_ms`` is the amount of
    work and ``checkpoint`` the progress, in ms, to resume from.
    """

    task_id: TaskId
    fence: tuple[int, int]
    epoch: Epoch
    exclusive_key: str | None
    demand: Demand
    task_class: str
    run_ms: int
    checkpoint: int


@dataclass(frozen=True, slots=True)
class TaskReport:
    """A worker's report on one attempt; ``checkpoint`` is in ms of work."""

    task_id: TaskId
    fence: tuple[int, int]
    phase: TaskPhase
    checkpoint: int
    demand: Demand


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Reply to a heartbeat: highest epoch, runs, connections by entry."""

    epoch: Epoch
    leaving: bool
    running: tuple[RunningCall, ...]
    tasks: tuple[TaskReport, ...]
    connections: tuple[tuple[EntryId, int], ...]


@dataclass(frozen=True, slots=True)
class ClassUsage:
    """Latency of a service class or usage of a task class on a worker."""

    class_name: str
    latency_p99_ms: float | None
    cpu_millicores: float
    memory_mb: float


@dataclass(frozen=True, slots=True)
class UsageReport:
    """A delayed report of a worker's usage; ``age_ms`` is its age."""

    age_ms: int
    classes: tuple[ClassUsage, ...]


class WorkerAgent(Protocol):
    """Interface to the agent of one worker.

    ``run`` does not raise if the connection fails: it returns ``CallInDoubt``.
    The other methods raise ``WorkerUnreachable``.
    """

    @property
    def incarnation(self) -> Incarnation | None:
        """The incarnation that the worker's last reply stated, if any did."""

    async def fetch_incarnation(self) -> Incarnation:
        """Return the incarnation; query the worker if it is not known yet."""

    async def run(self, call: Call) -> CallOutcome:
        """Run a call and return its outcome.

        If the calling trio task is cancelled, the call is in doubt and the
        caller must settle it. A call that gets no free connection before its
        timeout is refused as ``FULL``.
        """

    async def settle(self, call_id: CallId) -> SettleReply:
        """Return the state of a call; if it arrives later, it is refused."""

    async def cancel(self, call_id: CallId) -> SettleReply:
        """Stop a call; if it arrives later, it is refused."""

    async def lease(
        self,
        epoch: Epoch,
        *,
        revoked: tuple[GrantId, ...],
        lease_ms: int,
    ) -> LeaseReply:
        """Fence lower epochs and revoked grants and extend the lease."""

    async def start_task(self, start: TaskStart) -> TaskReport | WorkerRefusal:
        """Start an attempt unless it was; return its state or the refusal."""

    async def stop_task(
        self,
        task_id: TaskId,
        fence: tuple[int, int],
        *,
        with_checkpoint: bool,
    ) -> TaskReport:
        """Stop an attempt; phase ``UNKNOWN`` proves that it never ran."""

    async def throttle_task(
        self,
        task_id: TaskId,
        *,
        cpu_share: float,
    ) -> TaskReport:
        """Limit a task to a share, 0 to 1, of its processors."""

    async def usage(self) -> UsageReport:
        """Return the worker's latest usage report, which is some time old."""
