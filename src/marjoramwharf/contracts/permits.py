"""Grants of worker slots and the permits that are taken from them.

An owner lends slots of its workers in grants. A borrower takes one permit
from a grant for each call to the worker. Times are monotonic seconds of the
process that holds the value.
"""

from __future__ import annotations

from dataclasses import dataclass

from marjoramwharf.ids import Epoch, GrantId, WorkerId


@dataclass(frozen=True, slots=True)
class Grant:
    """Slots of one worker that an owner lent to one borrower.

    ``expires_at_s`` counts from the moment when the borrower sent its
    request, so that it is never later than the owner's own expiry.
    """

    grant_id: GrantId
    worker_id: WorkerId
    epoch: Epoch
    slots_count: int
    connections_count: int
    expires_at_s: float


@dataclass(frozen=True, slots=True)
class GrantShare:
    """Slots of a grant that are given back to the owner."""

    grant_id: GrantId
    worker_id: WorkerId
    slots_count: int


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to run one call on one worker.

    ``serial`` identifies the permit within its grant.
    """

    grant_id: GrantId
    worker_id: WorkerId
    epoch: Epoch
    serial: int
    expires_at_s: float
