"""State of a job as callers see it."""

from __future__ import annotations

import enum


@enum.unique
class PublicJobState(enum.Enum):
    """State of a job as callers see it; the values are sent between entries."""

    QUEUED = 'queued'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
