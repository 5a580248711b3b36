"""Choice of the rack for a step whose tasks should run in one rack."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from marjoramwharf.scheduling.candidates import Candidate
from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.job_state import Step


class _RackRoom(NamedTuple):
    """How many tasks of a step fit in a rack now, and its free CPU.

    The rack with more room is the greater one.
    """

    fitting_count: int = 0
    free_millicores: int = 0


def workers_of_one_rack(
    step: Step, candidates: Sequence[Candidate]
) -> list[Candidate]:
    """Return the candidates of the rack that a step runs in already.

    Before its first start, that is the rack in which most of its tasks fit now.
    Of several such racks, it is the one with the most free CPU on workers that
    could run its tasks.
    """
    chosen = ''
    racks: dict[str, _RackRoom] = {}
    for candidate in candidates:
        worker = candidate.worker
        if not worker.could_ever_run(step.request):
            continue
        rack = worker.listing.rack
        racks[rack] = _add_worker(racks.get(rack, _RackRoom()), worker, step)
        if worker.runs_count_of(step):
            chosen = chosen or rack
    chosen = chosen or max(racks, key=racks.__getitem__, default='')
    return [
        candidate
        for candidate in candidates
        if candidate.worker.listing.rack == chosen
    ]


def _add_worker(room: _RackRoom, worker: Worker, step: Step) -> _RackRoom:
    """Return the room of a rack with one more worker."""
    fitting_count = room.fitting_count + worker.fitting_count(step.request)
    free = worker.capacity.cpu_millicores - worker.reserved_millicores
    return _RackRoom(
        min(step.request.count, fitting_count),
        room.free_millicores + free,
    )
