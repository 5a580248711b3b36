"""Runs at workers that are gone, when the owner changes after that."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from marjoramwharf.cells.records import lapsing_key, owner_key
from marjoramwharf.ids import TaskId, WorkerId
from marjoramwharf.links.store import Write
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    CELL,
    HOLD_MS,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)

_GONE = (WorkerId('w1'), WorkerId('w2'))
_SPARE = ('w4', 'w5')
_MS_PER_S = 1_000
_POLLED_S = 2

# The owner has lost a worker, and has told it, this long after it vanished.
_TOLD_S = 4

# A lasting task is to be at work this long after its owner was lost.
_AWAY_LIMIT_S = 6

# A lease of the former owner and the time until it noticed that it lost the path.
_LEASE_S = HOLD_MS / _MS_PER_S + 4

# Owners that follow each other before their own leases could be waited for.
_SHORT_TENURE_S = 1.5
_OWNERS_COUNT = 4

_LONG_S = 60


class VanishedWorkersTests(unittest.TestCase):
    """Guards against tasks that are held by leases which have long ended."""

    def test_owner_is_lost_after_workers_vanished(self) -> None:
        """Guards against a new owner that waits from its own start."""
        run_with_clock(self._owner_is_lost)

    def test_owners_follow_each_other(self) -> None:
        """Guards against a wait that begins again with each owner."""
        run_with_clock(self._owners_follow_each_other)

    def test_vanished_worker_runs_on(self) -> None:
        """Guards against a second run beside one that is only out of reach."""
        run_with_clock(self._runs_on)

    def test_worker_was_reached_again_for_a_while(self) -> None:
        """Guards against a mark that counts though leases were extended."""
        run_with_clock(self._reached_again_for_a_while)

    def test_mark_can_not_be_removed(self) -> None:
        """Guards against leases at a worker whose mark may still be stored."""
        run_with_clock(self._mark_can_not_be_removed)

    def test_late_write_of_a_mark(self) -> None:
        """Guards against a mark that a late write brings back."""
        run_with_clock(self._late_write_of_a_mark)

    def test_owner_that_knows_no_marks_in_between(self) -> None:
        """Guards against marks that an owner in between did not respect."""
        run_with_clock(self._unknowing_owner_in_between)

    def test_former_owner_goes_on(self) -> None:
        """Guards against a mark while a former owner still extends leases."""
        run_with_clock(self._former_owner_goes_on)

    async def _owner_is_lost(self) -> None:
        async with _open_scene() as scene:
            scene.cluster.spawn(scene.nursery, 'e2')
            _vanish(scene.cluster)
            await trio.sleep(_TOLD_S)
            scene.owner.scope.cancel()
            await scene.wait_at_work(limit_s=_AWAY_LIMIT_S)

    async def _owners_follow_each_other(self) -> None:
        async with _open_scene() as scene:
            owner = scene.owner
            names = [f'e{number}' for number in range(2, _OWNERS_COUNT + 1)]
            for name in names:
                scene.cluster.spawn(scene.nursery, name)
            _vanish(scene.cluster)
            await trio.sleep(_TOLD_S)
            for _ in names:
                _kill(scene.cluster, owner)
                owner = await _next_owner(scene.cluster)
                await trio.sleep(_SHORT_TENURE_S)
            await scene.wait_at_work(limit_s=_AWAY_LIMIT_S)

    async def _runs_on(self) -> None:
        async with _open_scene() as scene:
            scene.cluster.spawn(scene.nursery, 'e2')
            scene.cut()
            await trio.sleep(_TOLD_S)
            scene.owner.scope.cancel()
            await scene.check_single()

    async def _reached_again_for_a_while(self) -> None:
        async with _open_scene() as scene:
            scene.cluster.spawn(scene.nursery, 'e2')
            scene.cut()
            await trio.sleep(_TOLD_S)
            scene.join()
            await trio.sleep(_POLLED_S)
            scene.cut()
            scene.owner.scope.cancel()
            await scene.check_single()

    async def _mark_can_not_be_removed(self) -> None:
        async with _open_scene() as scene:
            scene.cluster.spawn(scene.nursery, 'e2')
            scene.cut()
            await trio.sleep(_TOLD_S)
            scene.cluster.store.is_down = True
            scene.join()
            await trio.sleep(1)
            scene.cut()
            scene.owner.scope.cancel()
            scene.cluster.store.is_down = False
            await scene.check_single()

    async def _late_write_of_a_mark(self) -> None:
        async with _open_scene() as scene:
            scene.cluster.spawn(scene.nursery, 'e2')
            store = scene.cluster.store
            store.commits_to_delay = 1
            scene.cut()
            while not store.delayed_commits:
                await trio.sleep(0.01)
            scene.join()
            await trio.sleep(_POLLED_S)
            for apply in store.delayed_commits:
                apply()
            await trio.sleep(_TOLD_S)
            scene.cut()
            scene.owner.scope.cancel()
            await scene.check_single()

    async def _unknowing_owner_in_between(self) -> None:
        """The record is as if the owner in between had left it alone."""
        async with _open_scene() as scene:
            cluster = scene.cluster
            cluster.spawn(scene.nursery, 'e2')
            third = _spawn_reserve(scene)
            scene.cut()
            await trio.sleep(_TOLD_S)
            former = cluster.store.state.stored[lapsing_key(CELL)].body
            seen_s = dict(third.view.lapsing._seen_s)
            _kill(cluster, scene.owner)
            second = await _next_owner(cluster)
            scene.join()
            await trio.sleep(_POLLED_S)
            await cluster.restore_record(lapsing_key(CELL), former)
            await trio.sleep(_POLLED_S)
            third.view.lapsing._seen_s.update(seen_s)
            scene.cut()
            _replace(cluster, second, third)
            await scene.check_single()

    async def _former_owner_goes_on(self) -> None:
        """The store loses the record of an owner that it doesn't answer."""
        async with _open_scene() as scene:
            cluster, owner = scene.cluster, scene.owner
            second = cluster.spawn(scene.nursery, 'e2')
            second.unreachable.update(cluster.workers)
            second.is_isolated = True
            third = _spawn_reserve(scene)
            third.unreachable.update(_GONE)
            third.unconnected.extend((owner, second))
            await trio.sleep(_POLLED_S)
            owner.store_gate.freeze(_LONG_S)
            owner.unreachable.update(cluster.workers.keys() - set(_GONE))
            owner.is_isolated = True
            cluster.store.state.apply([Write(owner_key(CELL), None)])
            await _next_owner(cluster, besides=owner)
            await trio.sleep(1)
            _replace(cluster, second, third)
            await trio.sleep(_POLLED_S)
            owner.scope.cancel()
            await scene.check_single()


@dataclass
class _Scene:
    """An owner, and lasting tasks at workers that it may lose."""

    cluster: Cluster
    nursery: trio.Nursery
    owner: Candidate
    tasks: frozenset[TaskId]

    def cut(self) -> None:
        """Cut the paths to workers, which run on."""
        self.cluster.worker_client.unreachable.update(_GONE)

    def join(self) -> None:
        """Open the paths to all workers."""
        self.cluster.worker_client.unreachable.clear()
        for candidate in self.cluster.candidates:
            candidate.unreachable.clear()

    async def wait_at_work(self, *, limit_s: float) -> None:
        """Wait until all tasks are at work, each at one worker."""
        await self.cluster.wait_until(
            lambda: _at_work(self.cluster).issuperset(self.tasks),
            limit_s=limit_s,
        )

    async def check_single(self) -> None:
        """Check until leases have lapsed; then all are at work, at one worker."""
        end_s = trio.current_time() + 2 * _LEASE_S
        await self.cluster.wait_until(
            lambda: trio.current_time() >= end_s, limit_s=3 * _LEASE_S
        )
        self.join()
        await self.wait_at_work(limit_s=_LEASE_S)


@asynccontextmanager
async def _open_scene() -> AsyncIterator[_Scene]:
    async with open_cluster() as (cluster, nursery):
        owner = cluster.spawn(nursery, 'e1')
        tasks = await _start_lasting(cluster)
        yield _Scene(cluster, nursery, owner, tasks)


async def _start_lasting(cluster: Cluster) -> frozenset[TaskId]:
    """Start a lasting task on each worker; return their names.

    Then add workers that could run the tasks of others.
    """
    lasting = step(3, cpu_millicores=4_000, is_lasting=True, per_worker_limit=1)
    await cluster.submit(job_request('aa', lasting, payload='serve'))
    await cluster.wait_until(lambda: len(_at_work(cluster)) == lasting.count)
    for name in _SPARE:
        await cluster.add_worker(name)
    await trio.sleep(_POLLED_S)
    return _at_work(cluster)


def _vanish(cluster: Cluster) -> None:
    """Let workers lose power and leave the list."""
    for worker_id in _GONE:
        cluster.workers.pop(worker_id)
        cluster.listings.pop(worker_id)
        cluster.unlist(worker_id)


def _spawn_reserve(scene: _Scene) -> Candidate:
    """Spawn an entry that doesn't campaign yet."""
    candidate = scene.cluster.spawn(scene.nursery, 'e3')
    if candidate.campaign is not None:
        candidate.campaign.has_resigned = True
    return candidate


def _replace(cluster: Cluster, owner: Candidate, reserve: Candidate) -> None:
    """Kill the owner, so that the reserve is the next one."""
    if reserve.campaign is not None:
        reserve.campaign.has_resigned = False
    _kill(cluster, owner)


def _kill(cluster: Cluster, owner: Candidate) -> None:
    """Kill the owner; the store takes its record away at once."""
    owner.scope.cancel()
    cluster.store.state.apply([Write(owner_key(CELL), None)])


async def _next_owner(
    cluster: Cluster, *, besides: Candidate | None = None
) -> Candidate:
    """Wait for another owner, and return it once it has loaded the cell."""

    def find() -> Candidate | None:
        for candidate in cluster.candidates:
            cell = candidate.cell
            is_lost = candidate is besides or candidate.scope.cancel_called
            if not is_lost and cell is not None and cell.is_loaded:
                return candidate
        return None

    await cluster.wait_until(lambda: find() is not None)
    found = find()
    if found is None:
        raise AssertionError('the owner was lost at once')
    return found


def _at_work(cluster: Cluster) -> frozenset[TaskId]:
    return frozenset(
        task for worker in cluster.workers.values() for task in worker.running
    )
