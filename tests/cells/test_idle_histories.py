"""Random histories of disturbances, after which no task may stay idle.

Some workers refuse starts to the end. The others answer at last and have room
for everything, so each task has to get there.
"""

from __future__ import annotations

import random
import unittest
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from functools import partial

import trio

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.worker_messages import OrderOutcome
from marjoramwharf.ids import TaskId, WorkerId
from marjoramwharf.scheduling.fleet import Fleet
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_state import RunPhase, Task
from marjoramwharf.scheduling.placement import PlacementContext
from marjoramwharf.scheduling.waiting_reasons import (
    WorkerReason,
    count_workers_for,
)
from marjoramwharf.scheduling.waiting_tasks import find_long_waits
from marjoramwharf.scheduling.workload import JobRequest, StepRequest
from tests.cells.cluster import (
    SERVICE,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)
from tests.cells.refusals import RefusingWorkerClient

_SEEDS = (1, 4, 6)
_FAULTS_COUNT = 14
_PAUSES_S = (0, 0.1, 0.5, 1.5)
_SETTLED_S = 3.0

# The workers that may refuse to the end come first: the planner prefers them
# among equals.
_REFUSING = ('w1', 'w2', 'w3', 'w4')
_SOUND = ('x1', 'x2', 'x3')
_DRAINABLE = 'w4'
_REFUSALS = (OrderOutcome.BUSY, OrderOutcome.NO_ROOM)

# From so long after the last disturbance, a task that could start does so
# within ``_IDLE_LIMIT_S``.
_QUIET_S = 4.0
_IDLE_LIMIT_S = 3.0

# Runs of lost workers and of former owners are given up within this time.
_END_LIMIT_S = 14.0
_PERIOD_S = 0.1


_LASTING = job_request(
    'lasting', step(3, cpu_millicores=2_000, is_lasting=True), payload='serve'
)
_WIDE = job_request('wide', step(8, cpu_millicores=6_000), payload='ms=400')
_LATER = job_request(
    'later', step(2, cpu_millicores=4_000, is_lasting=True), payload='serve'
)

# Filling tasks prefer workers without other work, so those that refuse it.
_FILLING = job_request('filling', step(4, fills=True, image='fill'))


@dataclass
class _History:
    """A cell, and the disturbances that a seed draws for it."""

    cluster: Cluster
    client: RefusingWorkerClient
    nursery: trio.Nursery
    draw: random.Random
    requests: list[JobRequest] = field(default_factory=list)

    def any_worker(self) -> str:
        """Draw a worker."""
        return self.draw.choice((*_REFUSING, *_SOUND))

    async def submit(self, request: JobRequest) -> None:
        """Hand in a job."""
        self.requests.append(request)
        await self.cluster.submit(request)

    def cells(self) -> Iterator[Cell]:
        """Return the cells of the present owners."""
        for candidate in self.cluster.candidates:
            cell = candidate.cell
            is_alive = not candidate.scope.cancel_called
            if is_alive and cell is not None and cell.is_loaded:
                yield cell

    def only_cell(self) -> Cell:
        """Return the cell of the present owner; fail unless there is one."""
        cells = tuple(self.cells())
        if len(cells) != 1:
            raise AssertionError(f'{len(cells)} owners')
        return cells[0]

    def ensure_candidates(self) -> None:
        """Start an entry in the place of each that was killed."""
        alive_count = sum(
            not candidate.scope.cancel_called
            for candidate in self.cluster.candidates
        )
        for number in range(alive_count, 2):
            name = f'e{len(self.cluster.candidates)}.{number}'
            self.cluster.spawn(self.nursery, name)

    async def end_disturbances(self) -> None:
        """Let some refuse to the end; what arrives late arrives now."""
        refusal = self.draw.choice(_REFUSALS)
        self.client.refusals = dict.fromkeys(map(WorkerId, _REFUSING), refusal)
        self.cluster.store.is_down = False
        self.client.unreachable.clear()
        self.client.starts_to_delay = 0
        self.client.stops_to_drop = 0
        self.client.start_answers_to_lose = 0
        self.client.hold_answers_to_lose = 0
        self.ensure_candidates()
        for order in self.client.delayed_orders:
            order()
        for name in _SOUND:
            await self.cluster.add_worker(name, tells_start=True)


async def _refuse(history: _History) -> None:
    worker_id = WorkerId(history.draw.choice(_REFUSING))
    history.client.refusals[worker_id] = history.draw.choice(_REFUSALS)


async def _accept(history: _History) -> None:
    history.client.refusals.pop(WorkerId(history.draw.choice(_REFUSING)), None)


async def _cut(history: _History) -> None:
    history.client.unreachable.add(WorkerId(history.any_worker()))


async def _join(history: _History) -> None:
    history.client.unreachable.clear()


async def _restart(history: _History) -> None:
    name = history.any_worker()
    history.cluster.restart_worker(name, is_dark=history.draw.random() < 0.5)
    if not history.cluster.store.is_down:
        await history.cluster.add_worker(name, tells_start=True)


async def _drain(history: _History) -> None:
    if not history.cluster.store.is_down:
        await history.cluster.drain_worker(_DRAINABLE)


async def _unlist(history: _History) -> None:
    history.cluster.unlist(history.any_worker())


async def _list(history: _History) -> None:
    if not history.cluster.store.is_down:
        await history.cluster.add_worker(history.any_worker(), tells_start=True)


async def _kill_owner(history: _History) -> None:
    for candidate in history.cluster.candidates:
        if candidate.cell is not None:
            candidate.scope.cancel()


async def _stop_store(history: _History) -> None:
    history.cluster.store.is_down = True


async def _start_store(history: _History) -> None:
    history.cluster.store.is_down = False


async def _delay_starts(history: _History) -> None:
    history.client.starts_to_delay += history.draw.randint(1, 6)


async def _lose_answers(history: _History) -> None:
    history.client.start_answers_to_lose += history.draw.randint(1, 6)
    history.client.hold_answers_to_lose += history.draw.randint(0, 3)


async def _drop_stops(history: _History) -> None:
    history.client.stops_to_drop += history.draw.randint(1, 4)


async def _fail_runs(history: _History) -> None:
    await _submit_more(
        history, step(6, cpu_millicores=500), payload='ms=50 fail'
    )


async def _add_small(history: _History) -> None:
    await _submit_more(history, step(4), payload='ms=300')


async def _submit_more(
    history: _History, request: StepRequest, *, payload: str
) -> None:
    if history.cluster.store.is_down:
        return
    name = f'j{len(history.requests)}'
    await history.submit(job_request(name, request, payload=payload))


_FAULTS: tuple[Callable[[_History], Awaitable[None]], ...] = (
    _refuse,
    _refuse,
    _refuse,
    _accept,
    _cut,
    _cut,
    _join,
    _restart,
    _drain,
    _unlist,
    _list,
    _kill_owner,
    _stop_store,
    _start_store,
    _delay_starts,
    _lose_answers,
    _drop_stops,
    _fail_runs,
    _add_small,
)


async def _disturb(history: _History) -> None:
    """Play the disturbances, and end them."""
    for _ in range(_FAULTS_COUNT):
        await history.draw.choice(_FAULTS)(history)
        history.ensure_candidates()
        await trio.sleep(history.draw.choice(_PAUSES_S))
    await history.end_disturbances()


class IdleHistoryTests(unittest.TestCase):
    """Guards against tasks that stay idle while a worker would take them."""

    def test_nothing_stays_idle(self) -> None:
        """Guards against a wait that outlives what it was caused by."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                run_with_clock(partial(self.play, seed))

    async def play(self, seed: int) -> None:
        """Play the history of a seed, and check what becomes of its tasks."""
        async with open_cluster(()) as (cluster, nursery):
            client = RefusingWorkerClient(cluster.workers)
            cluster.worker_client = client
            history = _History(cluster, client, nursery, random.Random(seed))
            for name in (*_REFUSING, *_SOUND):
                await cluster.add_worker(name, tells_start=True)
            history.ensure_candidates()
            await trio.sleep(_SETTLED_S)
            await history.submit(_LASTING)
            await history.submit(_WIDE)
            await _disturb(history)
            await trio.sleep(_QUIET_S)
            await history.submit(_LATER)
            await history.submit(_FILLING)
            await self._check_quiet(history)

    async def _check_quiet(self, history: _History) -> None:
        """Fail if a task stays idle, or if not all work is done at last."""
        idle_since_s: dict[TaskId, float] = {}
        end_s = trio.current_time() + _END_LIMIT_S
        while trio.current_time() < end_s:
            idle = {
                name for cell in history.cells() for name in _idle_tasks(cell)
            }
            now_s = trio.current_time()
            idle_since_s = {
                name: idle_since_s.get(name, now_s) for name in idle
            }
            longest_s = now_s - min(idle_since_s.values(), default=now_s)
            self.assertLessEqual(longest_s, _IDLE_LIMIT_S, idle_since_s)
            await trio.sleep(_PERIOD_S)
            history.cluster.check_single_runs()
        cell = history.only_cell()
        waits = find_long_waits(cell.job_table, boot_s())
        self.assertFalse(waits.longest)
        self.assertFalse(waits.idle_jobs)
        for request in (_LASTING, _LATER):
            self.assertEqual(
                request.tasks_count, _at_work_count(history, request)
            )


def _at_work_count(history: _History, request: JobRequest) -> int:
    return sum(
        task.startswith(request.job_id)
        for worker in history.cluster.workers.values()
        for task in worker.running
    )


def _idle_tasks(cell: Cell) -> Iterator[TaskId]:
    """Return the tasks that have no run, or one that isn't known to begin.

    One that no sound worker would take counts as waiting for room.
    """
    for task in cell.job_table.ready.values():
        if _may_start(cell, task):
            yield task.name
    for run in cell.job_table.live_runs():
        is_unstarted = run.phase in {RunPhase.PLANNED, RunPhase.ORDERED}
        if is_unstarted and _may_start(cell, run.task):
            yield run.task.name


def _may_start(cell: Cell, task: Task) -> bool:
    context = PlacementContext(InterferenceModel(), boot_s())
    fleet = cell.worker_registry.fleet
    sound = Fleet(
        {
            worker_id: worker
            for worker_id, worker in fleet.workers.items()
            if worker_id in _SOUND
        }
    )
    reasons = count_workers_for(task, sound, SERVICE, context, None)
    return bool(reasons[WorkerReason.HAS_ROOM])
