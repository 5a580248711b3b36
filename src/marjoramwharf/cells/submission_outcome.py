"""Outcomes of job submissions."""

from __future__ import annotations

import enum


@enum.unique
class SubmissionOutcome(enum.Enum):
    """Outcome of one submission.

    ``REFUSED`` proves that this request has not stored the job and never
    will. After ``UNKNOWN`` the job may be stored, then or later.
    ``UNSERVABLE`` jobs need more resources than any worker has. A ``CANCELLED``
    one was cancelled before it was stored, and no write of this request can
    store it any more.
    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    UNSERVABLE = 'unservable'
    CANCELLED = 'cancelled'
