"""Deliberate faults in how cancellations of unstored jobs are kept."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from marjoramwharf.cells import cancellation_cleanup, job_cleanup
from marjoramwharf.cells.cancellations import Cancellations
from marjoramwharf.cells.inbox import Inbox
from marjoramwharf.cells.job_canceller import JobCanceller
from marjoramwharf.cells.job_submitter import JobSubmitter
from marjoramwharf.cells.records import CellId
from marjoramwharf.ids import JobId
from marjoramwharf.links.store import Guard
from marjoramwharf.scheduling.job_state import Job

_observe = Cancellations.observe


def _key_of_nothing(_cell: CellId, _job_id: JobId) -> str:
    return 'mw/nothing'


async def _do_nothing(_self: JobCanceller, _job_id: JobId) -> None:
    """Leave the precaution out."""


def _guard_owner_only(
    _cell: CellId, ownership_guard: Guard, _jobs: Sequence[Job]
) -> list[Guard]:
    return [ownership_guard]


def _keep_former(_self: Inbox, _job_id: JobId, _revision: int) -> None:
    """Leave the precaution out."""


def _is_known(self: Cancellations, job_id: JobId, **_named: int) -> bool:
    return job_id in self._by_job


def _observe_first(
    self: Cancellations, job_id: JobId, revision: int, *, now_s: float
) -> None:
    if job_id not in self._by_job:
        _observe(self, job_id, revision, now_s=now_s)


CANCELLATION_MUTANTS: Mapping[
    str, Callable[[], AbstractContextManager[Any]]
] = {
    'a job is stored only if its id was not cancelled': lambda: patch(
        f'{JobSubmitter.__module__}.cancel_key', _key_of_nothing
    ),
    'the cancellation of an unknown job is stored': lambda: patch.object(
        JobCanceller, '_bar', _do_nothing
    ),
    'a cancellation concerns only requests before it': lambda: patch.object(
        Cancellations, 'applies', _is_known
    ),
    'a repeated cancellation is kept anew': lambda: patch.object(
        Cancellations, 'observe', _observe_first
    ),
    'a removal concerns only the job that it is for': lambda: patch(
        f'{job_cleanup.__name__}._guards', _guard_owner_only
    ),
    'a later request of an id is that of a new job': lambda: patch.object(
        Inbox, '_forget_former', _keep_former
    ),
    'a cancellation stays while its request is stored': lambda: patch(
        f'{cancellation_cleanup.__name__}.request_key', _key_of_nothing
    ),
}
