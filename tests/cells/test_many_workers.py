"""An owner of many workers, whose processor time is simulated as well."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from unittest.mock import patch

import trio
from trio.testing import MockClock

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.poll_admission import PollAdmission
from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    HoldReport,
    WorkerAddress,
)
from marjoramwharf.ids import WorkerId
from marjoramwharf.scheduling.job_state import Run
from marjoramwharf.scheduling.job_table import JobTable
from standins.simulated_worker_client import MemoryWorkerClient
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    TTL_MS,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)

_MS_PER_S = 1_000
_WORKERS_COUNT = 400

# Processor time of a poll on a new connection and on a kept one. Contacting all
# workers takes twice the lease of an owner.
_NEW_CONNECTION_WORK_S = 2 * TTL_MS / _MS_PER_S / _WORKERS_COUNT
_KEPT_CONNECTION_WORK_S = _NEW_CONNECTION_WORK_S / 20
_ANSWER_S = 0.01
_CONTACT_LIMIT_S = 12
_URGENT_CONTACT_LIMIT_S = 1.5

# Workers that are contacted before the runs of all are known.
_EARLY_COUNT = 32
_TASK_MS = 60_000

_live_runs = JobTable.live_runs


@dataclass
class _BusyWorkerClient(MemoryWorkerClient):
    """Polls workers; the process stands still while it works on a call.

    ``contacted`` are the workers in the order of their first polls.
    """

    contacted: list[WorkerId] = field(default_factory=list)

    async def hold(
        self,
        worker: WorkerAddress,
        order: HoldOrder,
        *,
        timeout_s: float,
    ) -> HoldReport:
        """Extend leases; report after the whole wait."""
        is_new = worker.born_ms is None
        if is_new:
            self.contacted.append(worker.worker_id)
        _work(_NEW_CONNECTION_WORK_S if is_new else _KEPT_CONNECTION_WORK_S)
        await trio.sleep(_ANSWER_S + order.wait_ms / _MS_PER_S)
        return self._hold(worker.worker_id, order)


def _work(work_s: float) -> None:
    """Let time pass without the event loop."""
    clock = trio.lowlevel.current_clock()
    assert isinstance(clock, MockClock)
    clock.jump(work_s)


def _live_runs_slowly(table: JobTable) -> Iterator[Run]:
    _work(_NEW_CONNECTION_WORK_S)
    return _live_runs(table)


def _cell_of(candidate: Candidate) -> Cell:
    assert candidate.cell is not None
    return candidate.cell


def _reached_count(candidate: Candidate) -> int:
    cell = candidate.cell
    if cell is None:
        return 0
    workers = cell.worker_registry.fleet.workers.values()
    return sum(worker.is_reachable for worker in workers)


async def _wait_until_reached(candidate: Candidate) -> None:
    with trio.fail_after(_CONTACT_LIMIT_S):
        while _reached_count(candidate) < _WORKERS_COUNT:
            await trio.sleep(0.02)


@asynccontextmanager
async def _many_workers() -> AsyncIterator[tuple[Cluster, trio.Nursery]]:
    names = [f'w{number}' for number in range(_WORKERS_COUNT)]
    async with open_cluster(names) as (cluster, nursery):
        cluster.worker_client = _BusyWorkerClient(cluster.workers)
        yield cluster, nursery


async def _spawn_owner(
    cluster: Cluster, nursery: trio.Nursery, name: str
) -> Candidate:
    """Start an entry, and return once it has loaded the cell."""
    candidate = cluster.spawn(nursery, name)
    with trio.fail_after(_CONTACT_LIMIT_S):
        while candidate.cell is None or not candidate.cell.is_loaded:
            await trio.sleep(0.02)
    return candidate


class ManyWorkersTests(unittest.TestCase):
    """Guards against work of an owner that keeps it from its own lease."""

    def test_new_owner_keeps_its_lease(self) -> None:
        """Guards against owners that all lapse while they contact workers."""
        run_with_clock(self._new_owner_keeps_its_lease)

    def test_workers_with_runs_are_contacted_first(self) -> None:
        """Guards against leases of runs that lapse behind idle workers."""
        run_with_clock(self._workers_with_runs_are_contacted_first)

    def test_runs_of_many_workers(self) -> None:
        """Guards against a search of all runs for each worker."""
        run_with_clock(self._runs_of_many_workers)

    def test_turns_of_one_round(self) -> None:
        """Guards against polls that all begin in one round."""
        run_with_clock(self._turns_of_one_round)

    async def _new_owner_keeps_its_lease(self) -> None:
        async with _many_workers() as (cluster, nursery):
            owner = await _spawn_owner(cluster, nursery, 'e1')
            await _wait_until_reached(owner)
            self.assertEqual(1, owner.tenures_count)
            nursery.cancel_scope.cancel()

    async def _workers_with_runs_are_contacted_first(self) -> None:
        async with _many_workers() as (cluster, nursery):
            former = await _spawn_owner(cluster, nursery, 'e1')
            await _wait_until_reached(former)
            steps = step(count=8, estimate_ms=_TASK_MS)
            request = job_request('a', steps, payload=f'ms={_TASK_MS}')
            await cluster.submit(request)
            await cluster.wait_until(lambda: len(cluster.starts()) == 8)
            busy = {
                run.worker_id for run in _cell_of(former).job_table.live_runs()
            }
            former.scope.cancel()
            client = _client_of(cluster)
            client.contacted.clear()
            owner = await _spawn_owner(cluster, nursery, 'e2')
            await trio.sleep(_URGENT_CONTACT_LIMIT_S)
            first = client.contacted[: len(busy) + _EARLY_COUNT]
            self.assertLessEqual(busy, set(first))
            await _wait_until_reached(owner)
            await trio.sleep(_CONTACT_LIMIT_S)
            self.assertEqual(1, owner.tenures_count)
            self.assertEqual({1}, set(cluster.starts().values()))
            nursery.cancel_scope.cancel()

    async def _runs_of_many_workers(self) -> None:
        """Going through all runs takes as long as contacting a worker."""
        async with _many_workers() as (cluster, nursery):
            with patch.object(JobTable, 'live_runs', _live_runs_slowly):
                owner = await _spawn_owner(cluster, nursery, 'e1')
                await _wait_until_reached(owner)
            self.assertEqual(1, owner.tenures_count)
            nursery.cancel_scope.cancel()

    async def _turns_of_one_round(self) -> None:
        admission = PollAdmission()
        admitted: list[bool] = []

        async def poll(has_runs: bool) -> None:
            await admission.wait_turn(has_runs=has_runs)
            admitted.append(has_runs)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(admission.run)
            for number in range(_WORKERS_COUNT):
                nursery.start_soon(poll, number % 2 == 1)
            most_count = 0
            while len(admitted) < _WORKERS_COUNT:
                before_count = len(admitted)
                await trio.lowlevel.checkpoint()
                most_count = max(most_count, len(admitted) - before_count)
            self.assertLess(most_count, _WORKERS_COUNT / 10)
            # The first turns are taken before the others have asked, and the
            # last of these are mixed with those of the next round.
            first = admitted[most_count : _WORKERS_COUNT // 2 - most_count]
            self.assertTrue(all(first))
            nursery.cancel_scope.cancel()


def _client_of(cluster: Cluster) -> _BusyWorkerClient:
    assert isinstance(cluster.worker_client, _BusyWorkerClient)
    return cluster.worker_client
