"""Steps that tests of restarted workers share."""

from __future__ import annotations

import trio

from marjoramwharf.ids import WorkerId
from standins.simulated_worker import SimulatedWorker
from tests.cells.candidate import Candidate
from tests.cells.cluster import Cluster, job_request, step

RESTARTED = WorkerId('w1')
LONG = job_request('long', payload='ms=60000')

FORMER_LIFE_S = 30

# The poll that was under way at a restart times out soon after this.
ALMOST_NOTICED_S = 2.5

# A listing is read within this time, and a poll under way waits for longer.
LISTED_S = 0.6

CLOCK_LEAD_MS = 3_000


async def elect(cluster: Cluster, nursery: trio.Nursery) -> Candidate:
    """Spawn an entry; return it once the worker's clock is far from 0."""
    owner = cluster.spawn(nursery, 'e1')
    await cluster.wait_until(lambda: owner.cell is not None)
    await trio.sleep(FORMER_LIFE_S)
    return owner


async def finish_early_job(cluster: Cluster) -> None:
    """Run a job of some tasks; return just after the owner's next poll."""
    early = job_request('early', step(5), payload='ms=50')
    await cluster.submit(early)
    await cluster.wait_until_done(early)
    await trio.sleep(0.1)


async def finish_job_once(cluster: Cluster) -> None:
    """Run a job of one task, which must start once at the present workers."""
    late = job_request('late', payload='ms=50')
    await cluster.submit(late)
    await cluster.wait_until_done(late)
    starts = list(cluster.starts().values())
    if starts != [1]:
        raise AssertionError(f'numbers of starts of each task: {starts}')


async def restart_in_the_dark(
    cluster: Cluster, *, clock_origin_ms: int = 0
) -> SimulatedWorker:
    """Restart the worker while a poll, just sent, waits there."""
    await finish_early_job(cluster)
    return cluster.restart_worker(
        RESTARTED, is_dark=True, clock_origin_ms=clock_origin_ms
    )


async def start_long_task(cluster: Cluster, worker: SimulatedWorker) -> None:
    """Start a long task at the only worker there is."""
    await cluster.submit(LONG)
    await cluster.wait_until(lambda: bool(worker.running))
