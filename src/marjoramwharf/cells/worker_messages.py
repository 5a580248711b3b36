"""Orders to workers and their answers, independent of the wire format."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from marjoramwharf.ids import TaskId, WorkerId
from marjoramwharf.scheduling.job_state import RunEnd


@enum.unique
class OrderOutcome(enum.Enum):
    """Outcome of an order to a worker.

    ``ACCEPTED`` also means that the run was there already. ``FENCED``: the
    worker has seen a higher fence. ``RUN_TOO_OLD``: this run or a later one of
    its task ended or was stopped there. ``TOO_LATE``: the lease in the order
    had ended on arrival. ``NO_ROOM``: the worker has too few free resources.
    ``BUSY``: the worker was unhealthy and did nothing.
    ``OTHER_WORKER``: the address belongs to another incarnation. ``UNKNOWN``:
    there was no answer; the order may be carried out, even seconds later.
    ``NOT_SENT``: the order was not sent. ``NOT_CONNECTED``: nor was it, since
    no connection to the incarnation is kept; for a hold, the connection may
    have ended before the answer.
    """

    ACCEPTED = 'accepted'
    FENCED = 'fenced'
    RUN_TOO_OLD = 'run_too_old'
    TOO_LATE = 'too_late'
    NO_ROOM = 'no_room'
    BAD_TICKET = 'bad_ticket'
    BAD_ORDER = 'bad_order'
    BUSY = 'busy'
    OTHER_WORKER = 'other_worker'
    UNKNOWN = 'unknown'
    NOT_SENT = 'not_sent'
    NOT_CONNECTED = 'not_connected'


# Outcomes of a start that tell of the worker, or of the path to it.
WORKER_REFUSALS = frozenset(
    (
        OrderOutcome.NO_ROOM,
        OrderOutcome.BUSY,
        OrderOutcome.NOT_SENT,
        OrderOutcome.NOT_CONNECTED,
    )
)


@dataclass(frozen=True, slots=True)
class WorkerAddress:
    """Id of a worker, the address at which it listens, and its incarnation.

    A call to an incarnation, told by ``born_ms``, is sent only on a connection
    on which that one has answered, so no other carries it out. A hold to any
    (``None``) opens a connection and learns from the answer whose it is.
    """

    worker_id: WorkerId
    host: str
    port: int
    born_ms: int | None = None


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts a run; ``expires_ms`` is a time of the worker's own clock."""

    task: TaskId
    run: int
    payload: str
    expires_ms: int
    fence: int
    checkpoint: str = ''
    ticket: str = ''


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stops a run; the worker refuses to start it from then on."""

    task: TaskId
    run: int
    fence: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Limits a run to a share of its full speed, 0 to 100 percent."""

    task: TaskId
    run: int
    percent: int
    fence: int


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """Extends the leases of all runs at a worker and polls for ended runs.

    ``acknowledged_end`` is the number of the last end that the worker may
    forget. The worker answers after ``wait_ms`` or when a run ends.
    ``expires_ms`` is a time of the worker's own clock; ``None`` extends no
    lease.
    """

    fence: int
    acknowledged_end: int
    expires_ms: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Outcome of an order, and the time of the worker's own clock.

    The answer doesn't tell which incarnation of the worker gave it.
    """

    outcome: OrderOutcome
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class RunReport:
    """Report on a running run.

    ``reading`` is the tail latency of a serving task in ms, and the CPU in use
    by any other in millicores.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    reading: int


@dataclass(frozen=True, slots=True)
class EndReport:
    """Report on an ended run; ``number`` counts the ends of an incarnation."""

    number: int
    task: TaskId
    run: int
    how: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class HoldReport:
    """All runs of a worker, and the ends that are not acknowledged yet.

    ``clock_ms`` is set if the hold was accepted. ``born_ms`` is 0 if the worker
    did not say which incarnation it is. A worker that ``has_all_ends`` listed
    has no further end to report. ``other_worker_id`` is the id of another
    worker that refused the hold at this address, if it told.
    """

    outcome: OrderOutcome
    clock_ms: int = 0
    born_ms: int = 0
    has_all_ends: bool = True
    running: Sequence[RunReport] = ()
    ended: Sequence[EndReport] = ()
    other_worker_id: WorkerId | None = None


class WorkerClient(Protocol):
    """Client of workers; each call returns an outcome and raises nothing."""

    async def start(
        self,
        worker: WorkerAddress,
        order: StartOrder,
        *,
        timeout_s: float,
    ) -> OrderAnswer:
        """Start a run."""

    async def stop(
        self,
        worker: WorkerAddress,
        order: StopOrder,
        *,
        timeout_s: float,
    ) -> OrderAnswer:
        """Stop a run."""

    async def pace(
        self,
        worker: WorkerAddress,
        order: PaceOrder,
        *,
        timeout_s: float,
    ) -> OrderAnswer:
        """Change the speed of a run."""

    async def hold(
        self,
        worker: WorkerAddress,
        order: HoldOrder,
        *,
        timeout_s: float,
    ) -> HoldReport:
        """Extend the leases of all runs, and return the report on them."""
