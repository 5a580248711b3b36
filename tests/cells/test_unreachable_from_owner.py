"""Workers to which the owner has no path while other entries have one."""

from __future__ import annotations

import unittest
from collections.abc import Iterable

import trio

from marjoramwharf.ids import TaskId, WorkerId
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)

_HALVES = (('w1', 'w2'), ('w3', 'w4'))
_WHOLE_WORKER_MILLICORES = 8_000

# Time for a new owner to poll all workers.
_POLLED_S = 2
_DONE_LIMIT_S = 10

# How long a lasting task may be away, and how long that is watched.
_AWAY_LIMIT_S = 6
_WATCH_S = 30
_WATCH_INTERVAL_S = 0.02

# The path is cut and open in turn for these times.
_CUT_AND_OPEN_S = (1, 1, 2, 1, 1, 2, 2, 2, 1, 1, 2, 1)


class UnreachableFromOwnerTests(unittest.TestCase):
    """Guards against accepted work that waits while an entry could order it."""

    def test_owner_reaches_no_worker(self) -> None:
        """Guards against a job that waits for paths of the owner's own."""
        run_with_clock(self._owner_reaches_no_worker)

    def test_new_owner_never_reached_a_worker(self) -> None:
        """Guards against an owner that has had no path from the start."""
        run_with_clock(self._new_owner_never_reached_a_worker)

    def test_each_entry_reaches_half_of_the_workers(self) -> None:
        """Guards against work that only the paths of one entry can carry."""
        run_with_clock(self._each_entry_reaches_half)

    def test_lasting_tasks_of_lost_workers(self) -> None:
        """Guards against lasting tasks that stay away with the path."""
        run_with_clock(self._lasting_tasks_of_lost_workers)

    def test_lasting_tasks_without_room_at_the_workers_left(self) -> None:
        """Guards against lasting tasks that wait for the few workers left."""
        run_with_clock(self._lasting_tasks_without_room)

    def test_path_comes_and_goes(self) -> None:
        """Guards against tasks that are started again at each cut."""
        run_with_clock(self._path_comes_and_goes)

    async def _owner_reaches_no_worker(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            cluster.spawn(nursery, 'e2')
            await trio.sleep(_POLLED_S)
            owner.unreachable.update(cluster.workers)
            await trio.sleep(_POLLED_S)
            request = job_request('aa', step(4))
            await cluster.submit(request)
            await cluster.wait_until_done(request, limit_s=_DONE_LIMIT_S)

    async def _new_owner_never_reached_a_worker(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner = cluster.spawn(nursery, 'e1')
            owner.unreachable.update(cluster.workers)
            await cluster.wait_until(lambda: owner.cell is not None)
            cluster.spawn(nursery, 'e2')
            request = job_request('aa', step(4))
            await cluster.submit(request)
            await cluster.wait_until_done(request, limit_s=_DONE_LIMIT_S)

    async def _each_entry_reaches_half(self) -> None:
        """The tasks start together, and each takes a whole worker."""
        names = [name for half in _HALVES for name in half]
        async with open_cluster(names) as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            for name, unreachable in zip(('e2', 'e3'), _HALVES, strict=True):
                other = cluster.spawn(nursery, name)
                other.unreachable.update(map(WorkerId, unreachable))
            await trio.sleep(_POLLED_S)
            owner.unreachable.update(cluster.workers)
            await trio.sleep(_POLLED_S)
            whole = step(
                len(names),
                cpu_millicores=_WHOLE_WORKER_MILLICORES,
                is_gang=True,
            )
            request = job_request('aa', whole)
            await cluster.submit(request)
            await cluster.wait_until_done(request, limit_s=_DONE_LIMIT_S)

    async def _lasting_tasks_of_lost_workers(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            cluster.spawn(nursery, 'e2')
            tasks = await _start_lasting(cluster, cpu_millicores=1_000)
            owner.unreachable.update(cluster.workers)
            await _check_at_work(cluster, tasks)

    async def _lasting_tasks_without_room(self) -> None:
        """The tasks fill all workers, and the owner keeps the path to one."""
        async with open_cluster() as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            cluster.spawn(nursery, 'e2')
            tasks = await _start_lasting(cluster, cpu_millicores=4_000)
            owner.unreachable.update(map(WorkerId, ('w1', 'w2')))
            await _check_at_work(cluster, tasks)

    async def _path_comes_and_goes(self) -> None:
        async with open_cluster() as (cluster, nursery):
            owner = await _elect(cluster, nursery)
            cluster.spawn(nursery, 'e2')
            await trio.sleep(_POLLED_S)
            request = job_request('aa', step(8), payload='ms=9000')
            await cluster.submit(request)
            await cluster.wait_until(
                lambda: cluster.starts().total() == 8, limit_s=_DONE_LIMIT_S
            )
            late = job_request('bb', step(8), payload='ms=3000')
            await cluster.submit(late)
            nursery.start_soon(_cut_in_turn, owner, tuple(cluster.workers))
            await cluster.wait_until_done(
                request, late, limit_s=sum(_CUT_AND_OPEN_S) + _DONE_LIMIT_S
            )
            self.assertEqual({1}, set(cluster.starts().values()))


async def _elect(cluster: Cluster, nursery: trio.Nursery) -> Candidate:
    """Spawn an entry and wait until it is the owner."""
    candidate = cluster.spawn(nursery, 'e1')
    await cluster.wait_until(lambda: candidate.cell is not None)
    return candidate


async def _start_lasting(
    cluster: Cluster, *, cpu_millicores: int
) -> frozenset[TaskId]:
    """Start six lasting tasks of one step; return their names."""
    lasting = step(6, cpu_millicores=cpu_millicores, is_lasting=True)
    await cluster.submit(job_request('aa', lasting, payload='serve'))
    await cluster.wait_until(lambda: len(_at_work(cluster)) == lasting.count)
    await trio.sleep(_POLLED_S)
    return _at_work(cluster)


async def _check_at_work(cluster: Cluster, tasks: Iterable[TaskId]) -> None:
    """Fail if a task runs twice at a time, or isn't at work for too long."""
    seen_s = dict.fromkeys(tasks, trio.current_time())
    end_s = trio.current_time() + _WATCH_S
    while trio.current_time() < end_s:
        await trio.sleep(_WATCH_INTERVAL_S)
        cluster.check_single_runs()
        now_s = trio.current_time()
        seen_s.update(dict.fromkeys(_at_work(cluster), now_s))
        away = {
            task
            for task, last_s in seen_s.items()
            if now_s - last_s > _AWAY_LIMIT_S
        }
        if away:
            raise AssertionError(f'not at work for {_AWAY_LIMIT_S} s: {away}')


async def _cut_in_turn(owner: Candidate, names: Iterable[WorkerId]) -> None:
    """Cut the owner's paths to workers and open them again, several times."""
    for number, duration_s in enumerate(_CUT_AND_OPEN_S):
        if number % 2:
            owner.unreachable.clear()
        else:
            owner.unreachable.update(names)
        await trio.sleep(duration_s)
    owner.unreachable.clear()


def _at_work(cluster: Cluster) -> frozenset[TaskId]:
    return frozenset(
        task for worker in cluster.workers.values() for task in worker.running
    )
