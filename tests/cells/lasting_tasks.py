"""A scene for tests: lasting tasks at workers that their owner may lose."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from marjoramwharf.cells.records import owner_key
from marjoramwharf.ids import TaskId, WorkerId
from marjoramwharf.links.store import Write
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    CELL,
    HOLD_MS,
    Cluster,
    job_request,
    open_cluster,
    step,
)

GONE = (WorkerId('w1'), WorkerId('w2'))
_SPARE = ('w4', 'w5')
_MS_PER_S = 1_000
POLLED_S = 2

# A lease of the former owner and the time until it noticed that it lost the path.
_LEASE_S = HOLD_MS / _MS_PER_S + 4


@dataclass
class Scene:
    """An owner, and lasting tasks at workers that it may lose."""

    cluster: Cluster
    nursery: trio.Nursery
    owner: Candidate
    tasks: frozenset[TaskId]

    def cut(self) -> None:
        """Cut the paths to workers, which run on."""
        self.cluster.worker_client.unreachable.update(GONE)

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
async def open_scene() -> AsyncIterator[Scene]:
    """Yield a scene in which all tasks are at work."""
    async with open_cluster() as (cluster, nursery):
        owner = cluster.spawn(nursery, 'e1')
        tasks = await _start_lasting(cluster)
        yield Scene(cluster, nursery, owner, tasks)


async def _start_lasting(cluster: Cluster) -> frozenset[TaskId]:
    """Start a lasting task on each worker; return their names.

    Then add workers that could run the tasks of others.
    """
    lasting = step(3, cpu_millicores=4_000, is_lasting=True, per_worker_limit=1)
    await cluster.submit(job_request('aa', lasting, payload='serve'))
    await cluster.wait_until(lambda: len(_at_work(cluster)) == lasting.count)
    for name in _SPARE:
        await cluster.add_worker(name)
    await trio.sleep(POLLED_S)
    return _at_work(cluster)


def vanish(cluster: Cluster) -> None:
    """Let workers lose power and leave the list."""
    for worker_id in GONE:
        cluster.workers.pop(worker_id)
        cluster.listings.pop(worker_id)
        cluster.unlist(worker_id)


def spawn_reserve(scene: Scene, name: str = 'e3') -> Candidate:
    """Spawn an entry that doesn't campaign yet."""
    candidate = scene.cluster.spawn(scene.nursery, name)
    if candidate.campaign is not None:
        candidate.campaign.has_resigned = True
    return candidate


def replace_owner(
    cluster: Cluster, owner: Candidate, reserve: Candidate
) -> None:
    """Kill the owner, so that the reserve is the next one."""
    if reserve.campaign is not None:
        reserve.campaign.has_resigned = False
    kill(cluster, owner)


def kill(cluster: Cluster, owner: Candidate) -> None:
    """Kill the owner; the store takes its record away at once."""
    owner.scope.cancel()
    cluster.store.state.apply([Write(owner_key(CELL), None)])


async def next_owner(
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
