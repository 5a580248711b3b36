"""A cell with a stand-in store and stand-in workers, for these tests."""

from __future__ import annotations

from collections import Counter
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
)
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import trio
from trio.testing import MockClock

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.cell_context import CellContext, CellOwnership
from marjoramwharf.cells.clocks import boot_s, replaced_clocks
from marjoramwharf.cells.instance_settings import Bounds
from marjoramwharf.cells.job_status import PublicJobState
from marjoramwharf.cells.ownership import Campaign, Tenure
from marjoramwharf.cells.records import (
    OWNERS_PREFIX,
    CellId,
    EntryRecord,
    cancel_key,
    encode,
    request_key,
)
from marjoramwharf.ids import JobId, TaskId, WorkerId
from marjoramwharf.links.prefix_watcher import PrefixWatcher
from marjoramwharf.links.store import Write
from marjoramwharf.platform.evacuation_requests import (
    EVACUATIONS_PREFIX,
)
from marjoramwharf.scheduling.fleet import WorkerListing
from marjoramwharf.scheduling.policy import (
    Configuration,
    QueuePolicy,
    ServicePolicy,
)
from marjoramwharf.scheduling.workload import JobRequest, StepRequest
from standins.frozen_process import (
    FreezableStore,
)
from standins.polling_store import PollingMemoryStore
from standins.simulated_worker import SimulatedWorker
from standins.simulated_worker_client import MemoryWorkerClient
from tests.cells.candidate import Candidate
from tests.cells.changing_workers import WORKERS_SERVICE, ChangingWorkers
from tests.cells.entry_clients import (
    HOLD_AFTER_EXPIRY_S,
    former_owner_of,
    routed_client_of,
)
from tests.plain_logs import use_plain_tracebacks

use_plain_tracebacks()

CELL = CellId(0)
SERVICE = WORKERS_SERVICE
QUEUE = 'recipes'
TTL_MS = 2_000
HOLD_MS = 6_500


def run_with_clock(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test on a simulated clock that skips idle time."""

    async def with_clocks() -> None:
        with replaced_clocks(trio.current_time):
            await test()

    trio.run(with_clocks, clock=MockClock(autojump_threshold=0))


def job_request(
    name: str,
    *steps: StepRequest,
    payload: str = 'ms=200',
    **fields: Any,
) -> JobRequest:
    """Return a request; ``name`` is padded to a job id."""
    return JobRequest(
        job_id=JobId(name.ljust(16, '0')),
        queue=QUEUE,
        service=SERVICE,
        payload=payload,
        steps=steps or (step(),),
        **{'accepted_at_ms': 0, **fields},
    )


def step(count: int = 1, **fields: object) -> StepRequest:
    """Return a step of tasks that need one core."""
    fields.setdefault('cpu_millicores', 1_000)
    fields.setdefault('estimate_ms', 200)
    return StepRequest(count, **fields)  # type: ignore[arg-type]


@dataclass
class Cluster(ChangingWorkers):
    """Store, workers and the entries that compete for the cell.

    ``former_workers`` are earlier incarnations of restarted workers.
    """

    nursery: trio.Nursery
    store: PollingMemoryStore = field(default_factory=PollingMemoryStore)
    workers: dict[WorkerId, SimulatedWorker] = field(default_factory=dict)
    listings: dict[WorkerId, WorkerListing] = field(default_factory=dict)
    candidates: list[Candidate] = field(default_factory=list)
    former_workers: list[SimulatedWorker] = field(default_factory=list)
    configuration: Configuration = Configuration(
        1,
        {
            QUEUE: QueuePolicy(
                QUEUE,
                'a.example',
                '/recipes/',
                SERVICE,
                max_attempts=3,
                stretch=2,
            ),
        },
        {SERVICE: ServicePolicy(SERVICE, enforces_capacity=True)},
    )
    worker_client: MemoryWorkerClient = field(init=False)

    def __post_init__(self) -> None:
        """Create the client, which shares the table of workers."""
        self.worker_client = MemoryWorkerClient(self.workers)

    async def submit(self, request: JobRequest) -> None:
        """Store a job request as an entry does."""
        await self._store(request_key(CELL, request.job_id), encode(request))

    async def cancel(self, job_id: JobId) -> None:
        """Store a cancellation as an entry does."""
        await self._store(cancel_key(CELL, job_id), b'1')

    async def restore_record(self, key: str, body: bytes) -> None:
        """Store a value again that a key had before."""
        await self._store(key, body)

    async def evacuate(self, data_centre: str) -> None:
        """Store an operator's request to evacuate a data centre."""
        await self._store(f'{EVACUATIONS_PREFIX}{data_centre}', b'{}')

    async def take_back(self, data_centre: str) -> None:
        """Remove the request to evacuate a data centre."""
        self.store.state.apply(
            [Write(f'{EVACUATIONS_PREFIX}{data_centre}', None)]
        )

    def spawn(self, nursery: trio.Nursery, name: str) -> Candidate:
        """Start the process of an entry that competes for the cell."""
        candidate = Candidate()
        secret = f'{len(self.candidates)} of {name}'
        candidate.campaign = Campaign(
            store=self._store_of(candidate),
            view=candidate.view,
            cell=CELL,
            record=EntryRecord(name, name, 1, secret),
            ttl_ms=TTL_MS,
            cpu_share=1,
            run_cell=partial(self._run_cell, candidate),
        )
        self.candidates.append(candidate)
        nursery.start_soon(self._run_candidate, candidate)
        return candidate

    async def wait_until(
        self,
        condition: Callable[[], bool],
        *,
        limit_s: float = 60,
    ) -> None:
        """Wait for a condition; fail if it doesn't hold within ``limit_s``."""
        with trio.fail_after(limit_s):
            while not condition():
                await trio.sleep(0.02)
                self.check_single_runs()

    async def wait_until_done(
        self, *requests: JobRequest, limit_s: float = 60
    ) -> None:
        """Wait until the owner shows all these jobs as done."""
        await self.wait_until(
            lambda: all(
                self.state(request) is PublicJobState.DONE
                for request in requests
            ),
            limit_s=limit_s,
        )

    def state(self, request: JobRequest) -> PublicJobState | None:
        """Return the state of a job that the current owner shows."""
        for candidate in self.candidates:
            cell = candidate.cell
            if cell is not None and cell.is_loaded:
                return cell.status(request.job_id)
        return None

    def check_single_runs(self) -> None:
        """Fail if a task is running at two workers at the same time."""
        counts: Counter[TaskId] = Counter()
        for worker in self.workers.values():
            worker.advance(trio.current_time())
            counts.update(tuple(worker.running))
        duplicated = [task for task, count in counts.items() if count > 1]
        if duplicated:
            raise AssertionError(f'{duplicated} run at two workers at a time')

    def starts(self) -> Counter[TaskId]:
        """Return the number of starts of each task."""
        return Counter(
            task
            for worker in self.workers.values()
            for task, _, _ in worker.starts
        )

    def starts_with_fences(self) -> list[tuple[TaskId, int, int]]:
        """Return the task, run and fence of each start, over all workers."""
        return [
            start for worker in self.workers.values() for start in worker.starts
        ]

    def _store_of(self, candidate: Candidate) -> FreezableStore:
        """Return the store as an entry reaches it."""
        present = FreezableStore(self.store, candidate.gate)
        return FreezableStore(present, candidate.store_gate)

    async def _run_candidate(self, candidate: Candidate) -> None:
        with candidate.scope:
            async with trio.open_nursery() as nursery:
                follower = PrefixWatcher(
                    self._store_of(candidate),
                    OWNERS_PREFIX,
                    candidate.view.apply,
                )
                nursery.start_soon(follower.run)
                operators = PrefixWatcher(
                    self._store_of(candidate),
                    EVACUATIONS_PREFIX,
                    candidate.evacuations.apply,
                )
                nursery.start_soon(operators.run)
                if candidate.campaign is not None:
                    nursery.start_soon(candidate.campaign.run)

    async def _run_cell(self, candidate: Candidate, tenure: Tenure) -> None:
        candidate.tenures_count += 1
        former_owner = former_owner_of(
            candidate,
            self.candidates,
            tenure,
            TTL_MS / 1_000 + HOLD_AFTER_EXPIRY_S,
        )
        candidate.cell = Cell(
            ownership=CellOwnership(
                cell=CELL,
                guard=tenure.guard,
                is_current=lambda: tenure.is_current(boot_s()),
                may_extend_leases=lambda: tenure.is_current(
                    boot_s() - HOLD_AFTER_EXPIRY_S
                ),
                former_owner_until_s=former_owner.may_extend_until_s,
                give_up=tenure.scope.cancel,
                give_way=candidate.give_way,
                former_fence=candidate.view.fence_before(CELL, tenure.revision),
            ),
            context=CellContext(
                store=self._store_of(candidate),
                worker_client=routed_client_of(
                    candidate,
                    self.candidates,
                    self.worker_client,
                    self.nursery,
                ),
                configuration=lambda: self.configuration,
                workers_prefix='servers/',
                decode_listing=self.decode_listing,
                bounds=Bounds(),
                hold_ms=HOLD_MS,
                evacuated=candidate.evacuations.data_centres,
                has_other_entries=lambda: len(self.candidates) > 1,
                is_isolated=lambda: candidate.is_isolated,
                given_way_count=lambda: candidate.view.given_way_count(
                    CELL, now_s=boot_s()
                ),
                lapsing_view=candidate.view.lapsing,
            ),
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(former_owner.run)
                await candidate.cell.run()
                nursery.cancel_scope.cancel()
        finally:
            candidate.cell = None


@asynccontextmanager
async def open_cluster(
    workers: Iterable[str] = ('w1', 'w2', 'w3'),
) -> AsyncIterator[tuple[Cluster, trio.Nursery]]:
    """Yield a cluster with workers; its tasks end with the ``with`` block."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery)
        for name in workers:
            await cluster.add_worker(name)
        yield cluster, nursery
        nursery.cancel_scope.cancel()
