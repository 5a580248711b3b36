"""Decides on workers that answer, or may answer, and that the list lacks.

A worker that is cut off from the store can't renew its listing. It may be at
work all the same, and when it starts again, a worker with another id answers at
its address, which no list shows.
"""

from __future__ import annotations

from dataclasses import replace

from marjoramwharf.ids import WorkerId
from marjoramwharf.scheduling.fleet import Worker, WorkerListing, WorkerState
from marjoramwharf.scheduling.policy import Configuration

# A worker that the list lacks is asked for this long after its last sign.
_RETENTION_S = 60.0

# The same where another worker answers that hasn't told its id.
_REPLACED_RETENTION_S = 20.0

# The next owner isn't told of one that has given no sign for this long, or each
# owner would ask it for the whole time again.
_HANDED_OVER_S = 20.0

# A worker that reaches the store is listed within this time of its start.
LISTING_WAIT_S = 2.0


def enforces_capacity(
    service: str, configuration: Configuration | None
) -> bool:
    """Whether the workers of a service refuse what they can't hold."""
    if configuration is None:
        return False
    policy = configuration.services.get(service)
    return policy is not None and policy.enforces_capacity


def may_use_replacement(
    former: Worker, configuration: Configuration | None
) -> bool:
    """Whether the worker in the place of a former one may be used.

    Its capacity is that of the former one if it is on the same machine, which
    nothing tells. So it has to refuse what it can't hold. An address whose
    worker was draining is free for any other one.
    """
    is_ready = former.listing.state is WorkerState.READY
    return is_ready and enforces_capacity(former.listing.service, configuration)


def replacement_listing(
    former: WorkerListing, worker_id: WorkerId
) -> WorkerListing:
    """Return what is assumed of a worker in the place of a former one.

    It may be of another kind, so of the labels only the rack is kept.
    """
    return replace(
        former, worker_id=worker_id, labels=former.labels[-1:], born_ms=0
    )


def may_be_forgotten(worker: Worker, *, now_s: float) -> bool:
    """Whether a worker is gone, by the list and by what it answers."""
    if worker.is_present or worker.runs:
        return False
    has_left = worker.listing.state is not WorkerState.READY
    if has_left or worker.is_replacement_known:
        return True
    retention_s = _REPLACED_RETENTION_S if worker.is_replaced else _RETENTION_S
    return now_s - _latest_sign_s(worker) > retention_s


def is_worth_handing_over(worker: Worker, *, now_s: float) -> bool:
    """Whether the next owner should ask a worker that the list lacks."""
    if worker.is_present:
        return True
    return now_s - _latest_sign_s(worker) <= _HANDED_OVER_S


def _latest_sign_s(worker: Worker) -> float:
    return max(worker.unlisted_at_s, worker.reported_at_s)
