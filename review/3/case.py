"""One job that no worker may run comes to a queue with advice."""

from __future__ import annotations

import asyncio
import pathlib
import sys
from collections.abc import Callable

from review.lib.advice import Advice
from review.lib.deployment import (
    PLATFORM_HOST,
    QUEUE_PREFIX,
    Deployment,
    route,
    run_case,
)
from review.lib.record import Record
from review.lib.worker import Behaviour

HOPELESS_JOB_ID = 'dead000000000001'
JOBS = 20

# Share 0.05 of the jobs is hopeless: one of 20, the fifth.
HOPELESS_NUMBER = 4
PAUSE_S = 0.15

# The bound finish_s, and the time for which a job may have nothing running.
FINISH_S = 14
IDLE_S = 3

JOB = {'TaskSpec': 'check', 'Steps': [{'Count': 2, 'Cpu': 500, 'MemMb': 256, 'EstimateMs': 300}]}
ADVICE = {'DecisionMs': 20, 'PeriodMs': 1, 'ValidMs': 3_000}


def is_good(step: str, _worker_id: str) -> bool:
    """All workers may run all steps, but none a step of the hopeless job."""
    return not step.startswith(HOPELESS_JOB_ID)


async def play(record: Record, has_trouble: bool) -> bool:
    """Return whether all jobs that can be done have run."""
    advice = Advice(PLATFORM_HOST, record, is_good, 20, 1, 3_000)
    await advice.server.open()
    deployment = Deployment(
        record,
        lambda _task, _run: Behaviour(300, cpu=500),
        advice_address=advice.server.address,
    )
    try:
        await deployment.open_platform(
            route('queue-a', QUEUE_PREFIX, Advice=ADVICE)
        )
        for worker in deployment.workers:
            worker.needs_ticket = make_ticket_check(advice, worker.worker_id)
        await deployment.open_entries()
        job_ids = await send_jobs(deployment, has_trouble)
        await asyncio.sleep(FINISH_S)
        states = await watch_idle(deployment, job_ids)
        unserved = [job_id for job_id, state in states.items() if state != 'completed']
        record.add('result', accepted=len(states), unserved=unserved)
        return not unserved
    finally:
        deployment.close()


def make_ticket_check(advice: Advice, worker_id: str) -> Callable[[str, str], bool]:
    """Return the check that a worker makes of the tickets of starts."""
    return lambda task, ticket: advice.is_refused(worker_id, task, ticket)


async def send_jobs(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Send the jobs; return the ids of those that can be done."""
    job_ids = []
    for number in range(JOBS):
        entry = deployment.entries[number % len(deployment.entries)]
        is_hopeless = has_trouble and number == HOPELESS_NUMBER
        job_id = HOPELESS_JOB_ID if is_hopeless else f'{number + 1:016x}'
        status = await deployment.send(entry, 'POST', job_id, body=JOB)
        if status != 200:
            raise RuntimeError(f'job {job_id} was not accepted: {status}')
        if not is_hopeless:
            job_ids.append(job_id)
        await asyncio.sleep(PAUSE_S)
    return job_ids


async def watch_idle(deployment: Deployment, job_ids: list[str]) -> dict[str, str]:
    """Ask for all jobs before and after a span in which nothing may be running.

    A job counts as served if it was completed, or if any worker has run
    anything in that span: then it may be waiting for its turn.
    """
    before = len(deployment.record.of('started'))
    was_empty = not any(worker.running for worker in deployment.workers)
    await asyncio.sleep(IDLE_S)
    is_idle = was_empty and len(deployment.record.of('started')) == before
    states = {}
    for number, job_id in enumerate(job_ids):
        entry = deployment.entries[number % len(deployment.entries)]
        state = await deployment.state_of(entry, job_id)
        states[job_id] = state if is_idle else 'completed'
    return states


if __name__ == '__main__':
    sys.exit(run_case(pathlib.Path(__file__).parent, play))
