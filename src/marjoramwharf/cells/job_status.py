"""State of a job as callers see it."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marjoramwharf.scheduling.job_state import Job, JobPhase


@enum.unique
class PublicJobState(enum.Enum):
    """State of a job as callers see it; the values are sent between entries."""

    QUEUED = 'queued'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


FINAL_STATES = frozenset(
    (PublicJobState.DONE, PublicJobState.FAILED, PublicJobState.CANCELLED)
)

_STORED_ENDS = {
    JobPhase.DONE: PublicJobState.DONE,
    JobPhase.FAILED: PublicJobState.FAILED,
}


@dataclass(frozen=True, slots=True)
class StatusAnswer:
    """The state of a job as an owner knows it.

    It ``may_be_outdated`` if another entry may have become the owner meanwhile
    and may have brought the job further. Final states never are.
    """

    state: PublicJobState
    may_be_outdated: bool


def public_state(job: Job) -> PublicJobState:
    """Return the state of a job to show to callers.

    It counts as done or failed only once that is stored.
    """
    end = _STORED_ENDS.get(job.stored_phase)
    if end is not None:
        return end
    if job.phase is JobPhase.CANCELLED:
        return PublicJobState.CANCELLED
    return PublicJobState.RUNNING if job.has_begun else PublicJobState.QUEUED
