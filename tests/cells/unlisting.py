"""Steps that tests of workers missing from the platform's list share."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any

import trio

from marjoramwharf.cells.records import owner_key
from marjoramwharf.ids import TaskId, WorkerId
from marjoramwharf.links.store import Write
from marjoramwharf.scheduling.workload import JobRequest
from standins.simulated_worker import SimulatedWorker
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    CELL,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)

UNLISTED = WorkerId('w1')

# The owner has polled the workers, and has stored what it knows of them, this
# long after it was elected.
SETTLED_S = 5.0

# A change of the list is read within this time.
LISTED_S = 0.6

# A worker that starts again is silent for this long.
DARK_S = 1.5

# A task that waits for room is to be at work this long after its worker answers.
AT_WORK_LIMIT_S = 6.0

# For this long, no task is to start at a worker that must not be used.
UNUSED_S = 12.0

PLAIN = job_request('plain', payload='ms=50')


@dataclass
class Scene:
    """An owner of a cell, and a worker that is to leave the list.

    Each listing has the start time of its worker, as on the platform.
    """

    cluster: Cluster
    nursery: trio.Nursery
    owner: Candidate

    @property
    def worker(self) -> SimulatedWorker:
        """The present incarnation of the worker that is to leave the list."""
        return self.cluster.workers[UNLISTED]

    async def unlist(self) -> None:
        """Remove the worker from the list; return once that has been read."""
        self.cluster.unlist(UNLISTED)
        await trio.sleep(LISTED_S)

    async def list_again(self, **changes: Any) -> None:
        """List the present incarnation, with changes of the listing."""
        self.cluster.listings[UNLISTED] = replace(
            self.cluster.listings[UNLISTED],
            born_ms=self.worker.born_ms,
            **changes,
        )
        await self._store_listing()

    async def spoil_listing(self) -> None:
        """Let another writer replace the listing by one that can't be read."""
        self.cluster.listings.pop(UNLISTED)
        await self._store_listing()
        await trio.sleep(LISTED_S)

    async def restart_in_the_dark(self) -> SimulatedWorker:
        """Restart the worker, which nobody reaches meanwhile."""
        unreachable = self.cluster.worker_client.unreachable
        unreachable.add(UNLISTED)
        worker = self.cluster.restart_worker(UNLISTED)
        await trio.sleep(DARK_S)
        unreachable.discard(UNLISTED)
        return worker

    def kill_owner(self) -> None:
        """Kill the owner; the store takes its record away at once."""
        self.owner.scope.cancel()
        self.cluster.store.state.apply([Write(owner_key(CELL), None)])

    async def replace_owner(self) -> None:
        """Kill the owner; return once another entry has loaded the cell."""
        self.kill_owner()
        await self.spawn_owner()

    async def spawn_owner(self) -> None:
        """Spawn an entry; return once it owns the cell and has loaded it."""
        number = len(self.cluster.candidates) + 1
        self.owner = self.cluster.spawn(self.nursery, f'e{number}')
        await self.cluster.wait_until(self._is_owned)

    async def start_lasting(self, name: str, count: int) -> frozenset[TaskId]:
        """Start lasting tasks that fill half a worker each; return their names."""
        lasting = step(count, cpu_millicores=4_000, is_lasting=True)
        before = at_work(self.cluster)
        await self.cluster.submit(job_request(name, lasting, payload='serve'))
        await self.cluster.wait_until(
            lambda: len(at_work(self.cluster) - before) == count,
            limit_s=AT_WORK_LIMIT_S,
        )
        return at_work(self.cluster) - before

    async def wait_at_work(
        self, tasks: Iterable[TaskId], *, limit_s: float = AT_WORK_LIMIT_S
    ) -> None:
        """Wait until all these tasks are at work, each at one worker."""
        wanted = frozenset(tasks)
        await self.cluster.wait_until(
            lambda: at_work(self.cluster) >= wanted, limit_s=limit_s
        )

    async def finish(
        self, request: JobRequest, *, limit_s: float = AT_WORK_LIMIT_S
    ) -> None:
        """Submit a job, which must be done in time."""
        await self.cluster.submit(request)
        await self.cluster.wait_until_done(request, limit_s=limit_s)

    async def check_unused(self, request: JobRequest = PLAIN) -> None:
        """Submit a job, which must not start at the worker until it is done.

        It waits, and is done once there is another worker for it.
        """
        await self.cluster.submit(request)
        await self.check_for(UNUSED_S)
        self._fail_if_used(request)
        await self.cluster.add_worker('spare', kind='b', tells_start=True)
        await self.cluster.wait_until_done(request, limit_s=AT_WORK_LIMIT_S)
        self._fail_if_used(request)

    async def check_for(self, duration_s: float) -> None:
        """Check for a while that nothing runs twice."""
        end_s = trio.current_time() + duration_s
        await self.cluster.wait_until(
            lambda: trio.current_time() >= end_s, limit_s=duration_s + 1
        )

    async def _store_listing(self) -> None:
        body = str(trio.current_time()).encode()
        await self.cluster.restore_record(f'servers/{UNLISTED}', body)

    def _is_owned(self) -> bool:
        cell = self.owner.cell
        return cell is not None and cell.is_loaded

    def _fail_if_used(self, request: JobRequest) -> None:
        used = [
            task
            for task, _, _ in self.worker.starts
            if task.startswith(request.job_id)
        ]
        if used:
            raise AssertionError(f'{used} started at {UNLISTED}')


@asynccontextmanager
async def open_scene(*others: str) -> AsyncIterator[Scene]:
    """Yield an owner that has settled, the worker and ``others``."""
    async with open_cluster(()) as (cluster, nursery):
        for name in (UNLISTED, *others):
            kind = 'b' if name == UNLISTED else 'a'
            await cluster.add_worker(name, kind=kind, tells_start=True)
        owner = cluster.spawn(nursery, 'e1')
        scene = Scene(cluster, nursery, owner)
        await cluster.wait_until(scene._is_owned)
        await trio.sleep(SETTLED_S)
        yield scene


def play(test: Callable[[Scene], Awaitable[None]], *others: str) -> None:
    """Run a test in a scene, on a simulated clock."""

    async def play_scene() -> None:
        async with open_scene(*others) as scene:
            await test(scene)

    run_with_clock(play_scene)


def at_work(cluster: Cluster) -> frozenset[TaskId]:
    """Return the tasks that run at any worker."""
    for worker in cluster.workers.values():
        worker.advance(trio.current_time())
    return frozenset(
        task for worker in cluster.workers.values() for task in worker.running
    )
