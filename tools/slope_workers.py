"""Slopes of the heartbeat replies of workers and of the directory list."""

from __future__ import annotations

import itertools
import statistics
import time

import httpx
import msgspec
import trio

from marjoramwharf.contracts.ledger import WorkerLedger
from marjoramwharf.ids import (
    CallId,
    DataCentreId,
    EntryId,
    Epoch,
    GrantId,
    RackId,
    ServiceId,
    TaskId,
    WorkerId,
)
from marjoramwharf.links.directory import (
    DirectoryClient,
    Listing,
    read_listing,
)
from marjoramwharf.machines.agent import HttpWorkerAgent
from marjoramwharf.machines.calls import (
    Demand,
    LeaseReply,
    RunningCall,
    TaskPhase,
    TaskReport,
)
from marjoramwharf.machines.worker import Capacity, Worker
from marjoramwharf.machines.worker_table import WorkerTable
from tools.slope_measuring import Case, Figures, resident_bytes, time_us
from tools.slope_server import serve_body

SERVICE = ServiceId('notice')
WORKER_CAPACITY = Capacity(8, 64, 32_000, 125_000)
_CALLS_COUNT = 200


def make_worker(number: int, capacity: Capacity = WORKER_CAPACITY) -> Worker:
    """Return one worker of a fleet of the target's size."""
    return Worker(
        worker_id=WorkerId(f'worker-{number:05}'),
        url=f'http://10.{number // 250}.{number % 250}.7:9400',
        data_centre=DataCentreId(f'dc-{number % 6}'),
        rack=RackId(f'rack-{number // 8:04}'),
        capacity=capacity,
        services=frozenset((SERVICE,)),
    )


def measure_heartbeat(tasks_count: int) -> Figures:
    """Measure a heartbeat reply with two calls and this many tasks."""
    running = tuple(
        RunningCall(CallId(f'{number:032x}'), GrantId('1-1@worker-00001'))
        for number in range(2)
    )
    tasks = tuple(
        TaskReport(
            task_id=TaskId(f'3-0123456789abcdef01.{number}'),
            fence=(4, 1_000 + number),
            phase=TaskPhase.RUNNING,
            checkpoint=60_000 + number,
            demand=Demand(500, 2_000),
        )
        for number in range(tasks_count)
    )
    connections = tuple((EntryId(f'entry-{one:02}'), 5) for one in range(4))
    reply = LeaseReply(
        epoch=Epoch(1),
        leaving=False,
        running=running,
        tasks=tasks,
        connections=connections,
    )
    body = msgspec.json.encode(reply)
    ledger = WorkerLedger(
        make_worker(1),
        Epoch(1),
        grant_ttl_s=3,
        connections_per_session=5,
    )
    ledger.record_fence(reply, 0)
    return {
        'wire_bytes': len(body),
        'decode_us': time_us(
            lambda: msgspec.json.decode(body, type=LeaseReply),
            count=50,
        ),
        'take_in_us': time_us(lambda: ledger.record_report(reply, 0), count=50),
        'call_us': trio.run(_measure_call_us, body),
    }


async def _measure_call_us(body: bytes) -> float:
    """Return the median time of a heartbeat over HTTP, in us of this thread."""
    agent = HttpWorkerAgent(
        serve_body(body),
        EntryId('entry-00'),
        connections_count=5,
    )
    times_us = []
    for _ in range(_CALLS_COUNT):
        started_s = time.thread_time()
        await agent.lease(Epoch(1), revoked=(), lease_ms=10_000)
        times_us.append((time.thread_time() - started_s) * 1e6)
    await agent.aclose()
    return statistics.median(times_us)


def measure_worker_table(workers_count: int) -> Figures:
    """Measure the directory list and the worker table that it is applied to.

    ``repeat_us`` is the time of a poll that returns an unchanged list, without
    its transfer.
    """
    listing = Listing(1, tuple(map(make_worker, range(workers_count))))
    body = msgspec.json.encode(listing)
    before = resident_bytes()
    worker_table = WorkerTable()
    worker_table.apply(read_listing(body))
    held_bytes = resident_bytes() - before
    revisions = itertools.count(2)
    # Successive answers hold the same bytes in different buffers, as over HTTP.
    bodies = itertools.cycle((bytes(bytearray(body)), body))
    client = DirectoryClient(
        httpx.AsyncClient(
            transport=httpx.MockTransport(
                lambda request: httpx.Response(200, content=next(bodies)),
            ),
            base_url='http://127.0.0.1',
        ),
    )

    async def poll() -> None:
        worker_table.apply(await client.fetch())

    trio.run(poll)

    def apply() -> None:
        worker_table.apply(Listing(next(revisions), listing.instances))

    return {
        'wire_bytes': len(body),
        'resident_bytes': held_bytes,
        'parse_us': time_us(lambda: read_listing(body)),
        'apply_us': time_us(apply),
        'repeat_us': time_us(lambda: trio.run(poll)),
    }


CASES = {
    'heartbeat': Case(measure_heartbeat, 'task', (1, 23, 100, 400), (25,)),
    'roster': Case(
        measure_worker_table, 'worker', (33, 330, 1_300, 5_200), (5_200,)
    ),
}
