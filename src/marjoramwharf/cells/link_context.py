"""Shared settings of worker links, and the callbacks to their cell."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from marjoramwharf.cells.counters import CellCounters
from marjoramwharf.cells.end_acknowledgements import EndAcknowledgements
from marjoramwharf.cells.idle_polls import IdlePolls
from marjoramwharf.cells.late_starts import LateStarts
from marjoramwharf.cells.poll_admission import PollAdmission
from marjoramwharf.cells.worker_messages import WorkerClient
from marjoramwharf.ids import TaskId, WorkerId
from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.job_state import Job, Run, RunEnd


class LinkOwner(Protocol):
    """What a worker link calls of the cell that owns it."""

    def on_run_started(self, run: Run, *, started_s: float) -> None:
        """Record that a worker has started a run, at about ``started_s``."""

    def end_run(self, run: Run, how: RunEnd, checkpoint: str) -> Job:
        """Record the end of a run; returns the job that has to be stored."""

    def find_run(self, task: TaskId, number: int) -> Run | None:
        """Return a run that has not ended, by its task and number."""

    def on_superseded(self) -> None:
        """Give up the cell, since a worker has seen a higher fence."""

    def on_polled(self, worker_id: WorkerId) -> None:
        """React to a poll whose report has been processed."""

    def on_replaced(self, former: Worker, worker_id: WorkerId) -> bool:
        """Tell of a worker in the place of a former one; return if it is known."""

    def may_start_runs(self, worker: Worker) -> bool:
        """Whether this entry may send orders to start runs at a worker."""

    def may_extend_leases(self) -> bool:
        """Whether this entry may still extend the leases of runs."""

    async def allow_extending(self, worker_id: WorkerId) -> bool:
        """Allow leases at a worker that answers again; return whether they are.

        ``True`` holds until the next checkpoint of the caller.
        """


@dataclass(frozen=True, slots=True)
class LinkContext:
    """Client, fence and limits that all worker links of a cell share.

    ``hold_ms`` is the length of the leases of runs, which is the same at all
    entries, and ``max_hold_ms`` the longest one that a worker grants.
    ``stop_ms`` is the longest time that a worker takes to stop a run. The
    ``waiting_acknowledgements`` are those that wait for the store. Polls on new
    connections wait for ``admission``, and those of workers without runs are
    spread by ``idle_polls``. The ``late_starts`` outlive a link, since its worker
    may come back.
    """

    worker_client: WorkerClient
    fence: int
    hold_ms: int
    max_hold_ms: int
    stop_ms: int
    counters: CellCounters = field(default_factory=CellCounters)
    waiting_acknowledgements: set[EndAcknowledgements] = field(
        default_factory=set, repr=False
    )
    admission: PollAdmission = field(default_factory=PollAdmission)
    late_starts: LateStarts = field(default_factory=LateStarts)
    idle_polls: IdlePolls = field(default_factory=IdlePolls)
