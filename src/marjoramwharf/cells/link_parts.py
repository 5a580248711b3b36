"""What the links of a cell share, and what they tell its owner."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.worker_messages import WorkerCalls
from marjoramwharf.ids import TaskId, WorkerId
from marjoramwharf.scheduling.job_state import Job, Run, RunEnd


class LinkOwner(Protocol):
    """What a link tells the owner of its cell."""

    def run_started(self, run: Run) -> None:
        """A worker has begun a run."""

    def run_ended(self, run: Run, how: RunEnd, saved: str) -> Job:
        """A run has ended; returns the job whose progress tells of it."""

    def find_run(self, task: TaskId, number: int) -> Run | None:
        """Return a live run."""

    def superseded(self) -> None:
        """A worker has seen the fence of another owner."""

    def looked(self, worker_id: WorkerId) -> None:
        """A look at the worker was taken in."""

    def may_hold(self) -> bool:
        """Whether this entry may still extend leases."""


@dataclass(frozen=True, slots=True)
class LinkTerms:
    """What all links of a cell share.

    ``hold_ms`` is the length of a lease, and ``stop_ms`` bounds a stop.
    """

    calls: WorkerCalls
    fence: int
    hold_ms: int
    stop_ms: int
    counters: CellCounters = field(default_factory=CellCounters)
