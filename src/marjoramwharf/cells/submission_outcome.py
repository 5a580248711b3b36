"""Outcomes of job submissions."""

from __future__ import annotations

import enum


@enum.unique
class SubmissionOutcome(enum.Enum):
    """Outcome of one submission.

    ``REFUSED`` proves that this request has not stored the job and never
    will. After ``UNKNOWN`` the job may be stored, then or later.
    ``UNSERVABLE`` jobs need more resources than any worker has.
    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    UNSERVABLE = 'unservable'
