"""State of a job as callers see it."""

from __future__ import annotations

import enum
from dataclasses import dataclass


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


@dataclass(frozen=True, slots=True)
class StatusAnswer:
    """The state of a job as an owner knows it.

    It ``may_be_outdated`` if another entry may have become the owner meanwhile
    and may have brought the job further. Final states never are.
    """

    state: PublicJobState
    may_be_outdated: bool
