"""Messages of the worker agent's contract.

A call to a worker ends in one of three ways: an answer, a refusal, which
proves that the work did not run, or doubt, which the caller settles by asking
the worker again.
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

    ``NOT_CONNECTED`` is never sent by a worker: the agent's client returns it
    when no connection was made, so that the call was not sent at all.
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
    """One request to one worker, made under a permit.

    A worker with another incarnation than the given one refuses the call.
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
    """The whole answer of a worker; its length and digest were checked."""

    call_id: CallId
    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class CallRefused:
    """The worker proved that the call did not run."""

    call_id: CallId
    refusal: WorkerRefusal


@dataclass(frozen=True, slots=True)
class CallInDoubt:
    """It is not known whether the call ran or still runs."""

    call_id: CallId
    reason: Reason


CallOutcome: TypeAlias = CallAnswer | CallRefused | CallInDoubt


@enum.unique
class CallState(enum.Enum):
    """State of a call that was settled or cancelled.

    ``NEVER`` proves that the call did not run and never will: the worker
    refuses its id from then on. It proves this only for the incarnation that
    the call was sent to, since a restarted worker knows no earlier calls.
    """

    FINISHED = 'finished'
    RUNNING = 'running'
    CANCELLED = 'cancelled'
    NEVER = 'never'


@dataclass(frozen=True, slots=True)
class SettleReply:
    """Reply to a settlement; ``answer`` is set when the call finished.

    ``incarnation`` is that of the process which replied.
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
    """State of a task attempt at its worker."""

    RUNNING = 'running'
    THROTTLED = 'throttled'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Demand:
    """Processors, memory and accelerators that a task asks for."""

    cpu_millicores: int
    memory_mb: int
    accelerators_count: int = 0


@dataclass(frozen=True, slots=True)
class TaskStart:
    """The start of one attempt of a batch task.

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
    """What a worker says of one attempt; ``checkpoint`` is in ms of work."""

    task_id: TaskId
    fence: tuple[int, int]
    phase: TaskPhase
    checkpoint: int
    demand: Demand


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Reply to a heartbeat that fences and extends a worker's lease."""

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
    """A lagging report of a worker's usage; ``age_ms`` is its lag."""

    age_ms: int
    classes: tuple[ClassUsage, ...]


class WorkerAgent(Protocol):
    """The HTTP contract of one worker.

    ``run`` never raises for a failure of the link: it returns ``CallInDoubt``.
    The other methods raise ``WorkerUnreachable``.
    """

    @property
    def incarnation(self) -> Incarnation | None:
        """The worker's incarnation in its last answer, if there was one."""

    async def fetch_incarnation(self) -> Incarnation:
        """Return the incarnation; asks the worker if it is not known yet."""

    async def run(self, call: Call) -> CallOutcome:
        """Run a call and return its whole answer."""

    async def settle(self, call_id: CallId) -> SettleReply:
        """Find out what became of a call, and refuse it if never seen."""

    async def cancel(self, call_id: CallId) -> SettleReply:
        """Stop a call; it is refused from then on if it was never seen."""

    async def lease(
        self,
        epoch: Epoch,
        *,
        revoked: tuple[GrantId, ...],
        lease_ms: int,
    ) -> LeaseReply:
        """Fence lower epochs and revoked grants and extend the lease."""

    async def start_task(self, start: TaskStart) -> TaskReport | WorkerRefusal:
        """Start an attempt, or return the state of the same attempt."""

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
        """Limit a task to a share, 0 to 1, of the processors it asked for."""

    async def usage(self) -> UsageReport:
        """Return the worker's latest, lagging usage report."""
