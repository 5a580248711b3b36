"""Deliberate faults in how an owner finds its workers."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

import trio

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.idle_polls import IdlePolls
from marjoramwharf.cells.list_position import ListPosition
from marjoramwharf.cells.poll_admission import PollAdmission
from marjoramwharf.cells.records import roster_key
from marjoramwharf.cells.unlisted_checks import ListingHistory, UnlistedChecks
from marjoramwharf.cells.worker_link import WorkerLink
from marjoramwharf.cells.worker_registry import WorkerRegistry
from marjoramwharf.cells.worker_roster import WorkerRoster
from marjoramwharf.ids import WorkerId
from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.job_state import Run

_commit_roster = WorkerRoster._commit
_wait_turn = PollAdmission.wait_turn


def _always(*_args: object, **_named: object) -> bool:
    return True


def _never(*_args: object, **_named: object) -> bool:
    return False


def _no_pause(*_args: object, **_named: object) -> float:
    return 0


def _do_nothing(*_args: object, **_named: object) -> None:
    """Leave the precaution out."""


async def _wait_turn_in_order(self: PollAdmission, *, has_runs: bool) -> None:
    await _wait_turn(self, has_runs=False)


def _search_runs(self: WorkerRegistry, worker_id: WorkerId) -> list[Run]:
    return [
        run for run in self.job_table.live_runs() if run.worker_id == worker_id
    ]


async def _ask_nobody(*_args: object, **_named: object) -> ListingHistory:
    await trio.lowlevel.checkpoint()
    return ListingHistory(is_listed=False, latest=None)


async def _store_no_position(*_args: object, **_named: object) -> None:
    await trio.sleep_forever()


def _listed_labels(worker: Worker) -> tuple[str, ...]:
    return worker.listing.labels


async def _commit_whatever_is_stored(
    self: WorkerRoster, bodies: dict[int, bytes]
) -> bool:
    for part in bodies:
        stored = await self.store.read(roster_key(self.cell, part))
        self._revisions[part] = 0 if stored is None else stored.mod_revision
    return await _commit_roster(self, bodies)


WORKER_LIST_MUTANTS: Mapping[str, Callable[[], AbstractContextManager[Any]]] = {
    'a worker that started again may be of another kind': lambda: patch.object(
        Worker, 'certain_labels', property(_listed_labels)
    ),
    'a worker of unknown capacity refuses what is too much': lambda: patch(
        f'{Cell.__module__}.may_use_replacement', _always
    ),
    'a listing that can not be read names no worker': lambda: patch.object(
        WorkerRegistry, '_mark_unreadable', _do_nothing
    ),
    'a worker that never answers again is forgotten': lambda: patch(
        f'{WorkerRegistry.__module__}.may_be_forgotten', _never
    ),
    'a late write of the roster is refused': lambda: patch.object(
        WorkerRoster, '_commit', _commit_whatever_is_stored
    ),
    'the store is asked about a worker that is not listed': lambda: (
        patch.object(UnlistedChecks, '_ask', _ask_nobody)
    ),
    'the next owner learns how far the list was followed': lambda: patch.object(
        ListPosition, 'run', _store_no_position
    ),
    'few polls begin in one round of the event loop': lambda: patch(
        f'{PollAdmission.__module__}._POLLS_PER_ROUND_COUNT', math.inf
    ),
    'workers with runs are contacted first': lambda: patch.object(
        PollAdmission, 'wait_turn', _wait_turn_in_order
    ),
    'few polls go to workers without runs': lambda: patch.object(
        IdlePolls, 'pause_s', _no_pause
    ),
    'a run ends the pause between polls': lambda: patch.object(
        WorkerLink, 'wake', _do_nothing
    ),
    'the runs of a new owner are gone through once': lambda: patch.object(
        WorkerRegistry, '_runs_placed_at', _search_runs
    ),
}
