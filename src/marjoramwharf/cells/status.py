"""What callers are told of a job."""

from __future__ import annotations

import enum


@enum.unique
class ShownState(enum.Enum):
    """State of a job; the values travel between entries."""

    QUEUED = 'queued'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
