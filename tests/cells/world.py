"""A cell with stand-in store and workers, for the tests of this package."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial

import trio
from trio.testing import MockClock

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.cell_terms import CellParts, Mandate
from marjoramwharf.cells.clocks import boot_s, replaced_clocks
from marjoramwharf.cells.ownership import Campaign, OwnerView, Tenure
from marjoramwharf.cells.place import Bounds
from marjoramwharf.cells.records import (
    OWNERS_PREFIX,
    CellId,
    EntryRecord,
    cancel_key,
    encode,
    request_key,
)
from marjoramwharf.cells.status import ShownState
from marjoramwharf.errors import BadListing
from marjoramwharf.ids import DataCentreId, JobId, TaskId, WorkerId
from marjoramwharf.links.follower import Follower
from marjoramwharf.links.store import Guard, Write
from marjoramwharf.scheduling.fleet import Room, WorkerListing, WorkerState
from marjoramwharf.scheduling.policy import Configuration, QueuePolicy
from marjoramwharf.scheduling.workload import JobRequest, StepRequest
from standins.polling_store import PollingMemoryStore
from standins.simulated_worker import SimulatedWorker
from standins.simulated_worker_client import MemoryWorkerClient

CELL = CellId(0)
SERVICE = 'presses'
QUEUE = 'recipes'
TTL_MS = 2_000
HOLD_MS = 6_500


def run_with_clock(check: Callable[[], Awaitable[None]]) -> None:
    """Run a test on a clock that jumps over idle time."""

    async def with_clocks() -> None:
        with replaced_clocks(trio.current_time):
            await check()

    trio.run(with_clocks, clock=MockClock(autojump_threshold=0))


def job_request(
    name: str,
    *steps: StepRequest,
    payload: str = 'ms=200',
    **fields: int,
) -> JobRequest:
    """Return a request; ``name`` is padded to a job id."""
    return JobRequest(
        job_id=JobId(name.ljust(16, '0')),
        queue=QUEUE,
        service=SERVICE,
        payload=payload,
        steps=steps or (step(),),
        accepted_at_ms=0,
        **fields,
    )


def step(count: int = 1, **fields: object) -> StepRequest:
    """Return a step of tasks that need one core."""
    fields.setdefault('cpu_millicores', 1_000)
    fields.setdefault('estimate_ms', 200)
    return StepRequest(count, **fields)  # type: ignore[arg-type]


@dataclass
class Owner:
    """One process that may own the cell; killed by cancelling its scope."""

    view: OwnerView = field(default_factory=OwnerView)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    cell: Cell | None = None
    campaign: Campaign | None = None


@dataclass
class World:
    """Store, workers and the entries that compete for the cell.

    ``retired`` are former incarnations of workers.
    """

    store: PollingMemoryStore = field(default_factory=PollingMemoryStore)
    workers: dict[WorkerId, SimulatedWorker] = field(default_factory=dict)
    listings: dict[WorkerId, WorkerListing] = field(default_factory=dict)
    owners: list[Owner] = field(default_factory=list)
    retired: list[SimulatedWorker] = field(default_factory=list)
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
    )
    calls: MemoryWorkerClient = field(init=False)

    def __post_init__(self) -> None:
        """Share the workers with the calls."""
        self.calls = MemoryWorkerClient(self.workers)

    async def add_worker(
        self,
        name: str,
        *,
        state: WorkerState = WorkerState.READY,
        remaining_ms: int | None = None,
    ) -> SimulatedWorker:
        """List a worker, new or with another state."""
        worker_id = WorkerId(name)
        worker = self.workers.setdefault(
            worker_id,
            SimulatedWorker(born_s=trio.current_time()),
        )
        self.listings[worker_id] = WorkerListing(
            worker_id=worker_id,
            service=SERVICE,
            host=name,
            port=1,
            data_centre=DataCentreId('plovdiv'),
            state=state,
            capacity=Room(8_000, 8_000, 0),
            labels=('a', 'r1'),
            remaining_ms=remaining_ms,
        )
        await self._write(f'servers/{name}', name.encode())
        return worker

    async def submit(self, request: JobRequest) -> None:
        """Store a request as an entry does."""
        await self._write(request_key(CELL, request.job_id), encode(request))

    async def cancel(self, job_id: JobId) -> None:
        """Store a cancellation as an entry does."""
        await self._write(cancel_key(CELL, job_id), b'1')

    def spawn(self, nursery: trio.Nursery, name: str) -> Owner:
        """Start an entry that competes for the cell."""
        owner = Owner()
        owner.campaign = Campaign(
            store=self.store,
            view=owner.view,
            cell=CELL,
            record=EntryRecord(name, name, 1, f'secret of {name}'),
            ttl_ms=TTL_MS,
            cpu_share=1,
            run_cell=partial(self._run_cell, owner),
        )
        self.owners.append(owner)
        nursery.start_soon(self._run_owner, owner)
        return owner

    async def until(
        self,
        condition: Callable[[], bool],
        *,
        limit_s: float = 60,
    ) -> None:
        """Wait for a condition; fails when it does not come true."""
        with trio.fail_after(limit_s):
            while not condition():
                await trio.sleep(0.02)
                self.check_runs()

    def state(self, request: JobRequest) -> ShownState | None:
        """Return what the present owner shows of a job."""
        for owner in self.owners:
            cell = owner.cell
            if cell is not None and cell.is_loaded:
                return cell.status(request.job_id)
        return None

    def check_runs(self) -> None:
        """Fail if a task runs at two workers at a time."""
        counts: Counter[TaskId] = Counter()
        for worker in self.workers.values():
            worker.advance(trio.current_time())
            counts.update(tuple(worker.running))
        doubled = [task for task, count in counts.items() if count > 1]
        if doubled:
            raise AssertionError(f'{doubled} run twice')

    def starts(self) -> Counter[TaskId]:
        """Return how often each task was started."""
        return Counter(
            task
            for worker in self.workers.values()
            for task, _, _ in worker.starts
        )

    async def _write(self, key: str, body: bytes) -> None:
        known = self.store.state.stored.get(key)
        revision = 0 if known is None else known.mod_revision
        await self.store.commit([Guard(key, revision)], [Write(key, body)])

    async def _run_owner(self, owner: Owner) -> None:
        with owner.scope:
            async with trio.open_nursery() as nursery:
                follower = Follower(
                    self.store,
                    OWNERS_PREFIX,
                    owner.view.apply,
                )
                nursery.start_soon(follower.run)
                if owner.campaign is not None:
                    nursery.start_soon(owner.campaign.run)

    async def _run_cell(self, owner: Owner, tenure: Tenure) -> None:
        owner.cell = Cell(
            mandate=Mandate(
                cell=CELL,
                guard=tenure.guard,
                is_current=lambda: tenure.is_current(boot_s()),
                may_extend=lambda: tenure.is_current(boot_s() - 1.2),
                give_up=tenure.scope.cancel,
            ),
            parts=CellParts(
                store=self.store,
                calls=self.calls,
                configuration=lambda: self.configuration,
                workers_prefix='servers/',
                decode_listing=self._decode,
                bounds=Bounds(),
                hold_ms=HOLD_MS,
            ),
        )
        try:
            await owner.cell.run()
        finally:
            owner.cell = None

    def _decode(self, key: str, _body: bytes) -> WorkerListing:
        try:
            return self.listings[WorkerId(key.removeprefix('servers/'))]
        except KeyError as failure:
            raise BadListing(message=key) from failure


@asynccontextmanager
async def open_world(
    workers: Iterable[str] = ('w1', 'w2', 'w3'),
) -> AsyncIterator[tuple[World, trio.Nursery]]:
    """Open a world with workers; everything ends with the block."""
    world = World()
    async with trio.open_nursery() as nursery:
        for name in workers:
            await world.add_worker(name)
        yield world, nursery
        nursery.cancel_scope.cancel()
