"""Workers that start again with another id and are missing from the list."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import trio

from marjoramwharf.ids import TaskId, WorkerId
from marjoramwharf.scheduling.policy import ServicePolicy
from standins.simulated_worker import SimulatedWorker
from tests.cells.candidate import Candidate
from tests.cells.cluster import (
    SERVICE,
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)

_OLD = 'w1'
_NEW = 'w9'

# Two tasks of this size don't fit on one worker, nor one on a smaller worker.
_LARGE_MILLICORES = 6_000
_POLLED_S = 2
_BACK_LIMIT_S = 8
_LONG_S = 30


class ReplacedWorkersTests(unittest.TestCase):
    """Guards against capacity that is lost until the list is up to date."""

    def test_replacement_is_never_listed(self) -> None:
        """Guards against tasks that wait though a worker has room."""
        run_with_clock(self._never_listed)

    def test_replacement_is_replaced(self) -> None:
        """Guards against a worker that is lost when it starts again twice."""
        run_with_clock(self._replaced_twice)

    def test_owner_is_lost_before_replacement(self) -> None:
        """Guards against a new owner that knows only what is listed."""
        run_with_clock(self._owner_lost_before)

    def test_owner_is_lost_after_replacement(self) -> None:
        """Guards against a new owner that forgets who has answered."""
        run_with_clock(self._owner_lost_after)

    def test_label_of_the_former_worker(self) -> None:
        """Guards against a task at a worker that may be of another kind."""
        run_with_clock(self._label_of_former)

    def test_worker_does_not_refuse_what_is_too_much(self) -> None:
        """Guards against too much work where the capacity isn't known."""
        run_with_clock(self._no_refusals)

    def test_former_worker_was_draining(self) -> None:
        """Guards against use of an address that its worker has left."""
        run_with_clock(self._former_was_draining)

    def test_replacement_is_listed_later(self) -> None:
        """Guards against a capacity that the worker's own listing denies."""
        run_with_clock(self._listed_later)

    async def _never_listed(self) -> None:
        async with _lasting_tasks() as cluster:
            new = _replace_unlisted(cluster)
            await cluster.wait_until(
                lambda: len(new.running) == 1, limit_s=_BACK_LIMIT_S
            )

    async def _replaced_twice(self) -> None:
        async with _lasting_tasks() as cluster:
            _replace_unlisted(cluster)
            await trio.sleep(1)
            cluster.workers.pop(WorkerId(_NEW))
            newest = SimulatedWorker(trio.current_time())
            cluster.workers[WorkerId('w10')] = newest
            cluster.worker_client.listeners[_OLD] = WorkerId('w10')
            await cluster.wait_until(
                lambda: len(newest.running) == 1, limit_s=_BACK_LIMIT_S
            )

    async def _owner_lost_before(self) -> None:
        async with _lasting_tasks() as cluster:
            owner = _owner(cluster)
            owner.scope.cancel()
            new = _replace_unlisted(cluster)
            cluster.spawn(cluster.nursery, 'second')
            await cluster.wait_until(
                lambda: len(new.running) == 1, limit_s=_LONG_S
            )

    async def _owner_lost_after(self) -> None:
        async with _lasting_tasks() as cluster:
            new = _replace_unlisted(cluster)
            await trio.sleep(_BACK_LIMIT_S)
            _owner(cluster).scope.cancel()
            cluster.spawn(cluster.nursery, 'second')
            await trio.sleep(_LONG_S)
            self.assertEqual(1, len(new.running))
            cluster.check_single_runs()

    async def _label_of_former(self) -> None:
        async with _lasting_tasks(required_label='a') as cluster:
            new = _replace_unlisted(cluster)
            await trio.sleep(_LONG_S)
            self.assertEqual([], new.starts)

    async def _no_refusals(self) -> None:
        async with _lasting_tasks() as cluster:
            cluster.configuration = replace(
                cluster.configuration,
                services={SERVICE: ServicePolicy(SERVICE)},
            )
            new = _replace_unlisted(cluster)
            await trio.sleep(_LONG_S)
            self.assertEqual([], new.starts)

    async def _former_was_draining(self) -> None:
        async with _lasting_tasks() as cluster:
            await cluster.drain_worker(_OLD)
            await trio.sleep(1)
            new = _replace_unlisted(cluster)
            await trio.sleep(_LONG_S)
            self.assertEqual([], new.starts)

    async def _listed_later(self) -> None:
        async with _lasting_tasks() as cluster:
            new = _replace_unlisted(cluster)
            await trio.sleep(1)
            await cluster.list_replacement(_OLD, _NEW)
            await trio.sleep(_LONG_S)
            self.assertEqual([], new.starts)


@asynccontextmanager
async def _lasting_tasks(required_label: str = '') -> AsyncIterator[Cluster]:
    """Yield a cluster that is full: one large lasting task on each worker."""
    async with open_cluster((_OLD, 'w2')) as (cluster, nursery):
        cluster.spawn(nursery, 'first')
        tasks = step(
            2,
            cpu_millicores=_LARGE_MILLICORES,
            is_lasting=True,
            required_label=required_label,
        )
        await cluster.submit(job_request('aa', tasks, payload='serve'))
        await cluster.wait_until(lambda: len(_running(cluster)) == 2)
        await trio.sleep(_POLLED_S)
        yield cluster


def _replace_unlisted(cluster: Cluster) -> SimulatedWorker:
    new = cluster.replace_worker(_OLD, _NEW)
    cluster.unlist(_OLD)
    return new


def _owner(cluster: Cluster) -> Candidate:
    return next(each for each in cluster.candidates if each.cell is not None)


def _running(cluster: Cluster) -> list[TaskId]:
    return [
        task for worker in cluster.workers.values() for task in worker.running
    ]
