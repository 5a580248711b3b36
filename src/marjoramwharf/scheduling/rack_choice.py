"""Choice of the rack for a step whose tasks should run in one rack."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from marjoramwharf.scheduling.candidates import Candidate, CandidatePool
from marjoramwharf.scheduling.fleet import Worker
from marjoramwharf.scheduling.job_state import Step, Task

# A task that waited this long for a rack may run apart from others of its step.
_MAX_RACK_WAIT_S = 2.0


class _RackRoom(NamedTuple):
    """How many tasks of a step fit in a rack now, and its free CPU.

    The rack with more room is the greater one.
    """

    fitting_count: int = 0
    free_millicores: int = 0


def may_span_racks(first: Task, service: str, pool: CandidatePool) -> bool:
    """Whether the tasks of a step may run in several racks by now.

    ``first`` is the task of the step that waits for the longest time. Work that
    ends takes longer in several racks. A gang goes there only while its service
    is idle: no rack may be large enough. Of another step that ends, any rack
    with room takes a part.
    """
    request = first.step.request
    waited_s = pool.now_s - first.ready_since_s
    if not request.needs_one_rack or waited_s <= _MAX_RACK_WAIT_S:
        return False
    return request.is_lasting or (request.is_gang and pool.is_idle(service))


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
