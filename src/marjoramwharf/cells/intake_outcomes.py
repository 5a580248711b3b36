"""What becomes of a submission."""

from __future__ import annotations

import enum


@enum.unique
class Submission(enum.Enum):
    """The outcome of a submission.

    ``REFUSED`` is a proof that the job was not stored and never will be by
    this request. After ``UNKNOWN`` it may be stored. ``UNSERVABLE`` jobs ask
    for more than any worker has.
    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    UNSERVABLE = 'unservable'
