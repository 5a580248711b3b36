"""Orders to a worker and what it answers, in the project's own terms."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from marjoramwharf.ids import TaskId, WorkerId
from marjoramwharf.scheduling.job_state import RunEnd


@enum.unique
class OrderOutcome(enum.Enum):
    """What became of an order.

    ``ACCEPTED`` also means that the run was there already. ``FENCED``: a
    higher fence was seen. ``RUN_TOO_OLD``: this run or a later one ended or
    was stopped there. ``TOO_LATE``: its lease had ended on arrival.
    ``BUSY``: the worker was unhealthy and did nothing. ``OTHER_WORKER``: the
    address belongs to another incarnation. ``UNKNOWN``: no answer; the order
    may be carried out, even seconds later. ``NOT_SENT``: it never left.
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


@dataclass(frozen=True, slots=True)
class WorkerAddress:
    """One incarnation of a worker, where it listens."""

    worker_id: WorkerId
    host: str
    port: int


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
    """Stops a run and refuses it from then on."""

    task: TaskId
    run: int
    fence: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Lets a run work at a share of its speed, 0 to 100 percent."""

    task: TaskId
    run: int
    percent: int
    fence: int


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """Extends the lease of all runs and asks for what ended.

    ``noted_end`` is the last end that may be forgotten. The worker answers
    after ``wait_ms`` or when a run ends.
    """

    fence: int
    noted_end: int
    expires_ms: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """The outcome of an order; ``clock_ms`` is the worker's own clock."""

    outcome: OrderOutcome
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True)
class RunReport:
    """A run that is at work.

    ``reading`` is the tail latency in ms of a task that serves, and the
    processors in use (millicores) of any other.
    """

    task: TaskId
    run: int
    saved: str
    percent: int
    reading: int


@dataclass(frozen=True, slots=True)
class EndReport:
    """A run that ended; ``number`` counts the ends of one incarnation."""

    number: int
    task: TaskId
    run: int
    how: RunEnd
    saved: str


@dataclass(frozen=True, slots=True)
class HoldReport:
    """All runs of a worker, and the ends that were not noted yet."""

    outcome: OrderOutcome
    clock_ms: int | None = None
    born_ms: int = 0
    running: Sequence[RunReport] = ()
    ended: Sequence[EndReport] = ()


class WorkerCalls(Protocol):
    """Calls to workers; each returns an outcome and raises nothing."""

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
        """Extend the leases and look."""
