"""The cache of start tickets, with a scripted advice service."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.advice import Advice, TicketCache
from marjoramwharf.errors import AdviceUnavailable
from marjoramwharf.ids import WorkerId
from marjoramwharf.scheduling.fleet import Fleet
from marjoramwharf.scheduling.job_state import Job
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.policy import (
    AdvicePolicy,
    Configuration,
    QueuePolicy,
)
from tests.cells.cluster import run_with_clock
from tests.scheduling.fixtures import (
    add_job,
    first_task,
    make_fleet,
    make_step,
    make_worker,
)

_VALID_MS = 2_000
_CALL_S = 0.02
_WAIT_S = 2


@dataclass
class _AdviceService:
    """Gives a ticket for each worker, but none for the steps of some jobs."""

    hopeless: set[str] = field(default_factory=set)
    failing: set[str] = field(default_factory=set)
    asked: list[tuple[str, int]] = field(default_factory=list)
    valid_ms: int = _VALID_MS

    async def advise(
        self,
        step: str,
        workers: Sequence[WorkerId],
        *,
        timeout_s: float,
    ) -> Advice:
        """Answer one call."""
        await trio.sleep(_CALL_S)
        job_id = step.partition('.')[0]
        self.asked.append((job_id, len(workers)))
        if job_id in self.failing:
            raise AdviceUnavailable(message='no answer')
        tickets = {} if job_id in self.hopeless else dict.fromkeys(workers, 't')
        return Advice(tickets, self.valid_ms)


@dataclass
class _Setup:
    service: _AdviceService
    cache: TicketCache
    job_table: JobTable
    fleet: Fleet

    def add_job(self, name: str, *, label: str = '') -> Job:
        """Add a job of one step, which may need a label."""
        return add_job(self.job_table, name, make_step(required_label=label))

    def has_tickets(self, job: Job) -> bool:
        """Whether the job's step has tickets now."""
        return bool(self.cache.tickets(first_task(job).step))


@asynccontextmanager
async def _running_cache(workers_count: int = 2) -> AsyncIterator[_Setup]:
    job_table = JobTable()
    fleet = make_fleet(
        *(make_worker(f'w{number}') for number in range(workers_count))
    )
    sample = add_job(JobTable(), 'sample', make_step()).request
    queue = QueuePolicy(
        sample.queue,
        'a.example',
        '/',
        sample.service,
        advice=AdvicePolicy(10, 1, _VALID_MS),
    )
    service = _AdviceService()
    cache = TicketCache(
        service,
        job_table,
        fleet,
        lambda: Configuration(1, {queue.name: queue}),
        on_change=lambda: None,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cache.run)
        yield _Setup(service, cache, job_table, fleet)
        nursery.cancel_scope.cancel()


class AdviceTests(unittest.TestCase):
    """Guards against a step that keeps all others from their tickets."""

    def test_no_worker_is_good(self) -> None:
        """Guards against later jobs that wait behind a hopeless one."""
        run_with_clock(self._no_worker_is_good)

    def test_service_fails_for_one_step(self) -> None:
        """Guards against later jobs that wait behind failing requests."""
        run_with_clock(self._service_fails_for_one_step)

    def test_no_usable_worker(self) -> None:
        """Guards against later jobs that wait for a label nobody has."""
        run_with_clock(self._no_usable_worker)

    def test_tickets_end_at_once(self) -> None:
        """Guards against later jobs that wait for one with expired tickets."""
        run_with_clock(self._tickets_end_at_once)

    def test_refusals_are_kept(self) -> None:
        """Guards against asking for the same workers again and again."""
        run_with_clock(self._refusals_are_kept)

    def test_worker_joins(self) -> None:
        """Guards against a refused step that never learns of a new worker."""
        run_with_clock(self._worker_joins)

    def test_worker_restarts_while_asked_about(self) -> None:
        """Guards against a refusal that counts for the next incarnation."""
        run_with_clock(self._worker_restarts_while_asked_about)

    def test_ticket_of_a_former_incarnation(self) -> None:
        """Guards against a start with a ticket that is no longer valid."""
        run_with_clock(self._ticket_of_a_former_incarnation)

    async def _worker_restarts_while_asked_about(self) -> None:
        async with _running_cache(workers_count=1) as setup:
            job = setup.add_job('bad')
            setup.service.hopeless.add(job.job_id)
            await trio.sleep(_CALL_S / 2)
            _restart(setup.fleet)
            await trio.sleep(_CALL_S)
            setup.service.hopeless.clear()
            await trio.sleep(_WAIT_S)
            self.assertTrue(setup.has_tickets(job))

    async def _ticket_of_a_former_incarnation(self) -> None:
        async with _running_cache(workers_count=1) as setup:
            job = setup.add_job('a')
            await trio.sleep(2 * _CALL_S)
            self.assertTrue(setup.has_tickets(job))
            _restart(setup.fleet)
            self.assertFalse(setup.has_tickets(job))
            await trio.sleep(2 * _CALL_S)
            self.assertTrue(setup.has_tickets(job))

    async def _no_worker_is_good(self) -> None:
        async with _running_cache() as setup:
            setup.service.hopeless.add(setup.add_job('bad').job_id)
            await self._check_later_jobs(setup)

    async def _service_fails_for_one_step(self) -> None:
        async with _running_cache() as setup:
            setup.service.failing.add(setup.add_job('bad').job_id)
            await self._check_later_jobs(setup)

    async def _no_usable_worker(self) -> None:
        async with _running_cache() as setup:
            setup.add_job('bad', label='nobody')
            await self._check_later_jobs(setup)

    async def _check_later_jobs(self, setup: _Setup) -> None:
        """All later jobs get tickets, and get them again when they expire."""
        await trio.sleep(_WAIT_S)
        later = [setup.add_job(name) for name in ('b', 'c', 'd')]
        for _ in range(3):
            await trio.sleep(_WAIT_S)
            for job in later:
                setup.cache.tickets(first_task(job).step)
            await trio.sleep(5 * _CALL_S)
            self.assertTrue(all(map(setup.has_tickets, later)))

    async def _tickets_end_at_once(self) -> None:
        async with _running_cache() as setup:
            setup.service.valid_ms = 0
            jobs = [setup.add_job(name) for name in ('a', 'b', 'c')]
            await trio.sleep(_WAIT_S)
            asked = Counter(job_id for job_id, _ in setup.service.asked)
            self.assertLessEqual(
                max(asked.values()) - min(asked[job.job_id] for job in jobs), 1
            )

    async def _refusals_are_kept(self) -> None:
        async with _running_cache(workers_count=50) as setup:
            job = setup.add_job('bad')
            setup.service.hopeless.add(job.job_id)
            await trio.sleep(10 * _WAIT_S)
            asked = [count for _, count in setup.service.asked]
            self.assertEqual([30, 20], asked)

    async def _worker_joins(self) -> None:
        async with _running_cache() as setup:
            job = setup.add_job('bad')
            setup.service.hopeless.add(job.job_id)
            await trio.sleep(_WAIT_S)
            setup.service.hopeless.clear()
            joined = make_worker('w9')
            setup.fleet.workers[joined.worker_id] = joined
            await trio.sleep(_WAIT_S / 2)
            self.assertTrue(setup.has_tickets(job))


def _restart(fleet: Fleet) -> None:
    """Let another incarnation of each worker answer."""
    for worker in fleet.workers.values():
        worker.born_ms += 1
