"""The store goes down while it answers the write of a submission."""

from __future__ import annotations

import asyncio
import pathlib
import sys
from typing import Any

from review.lib.deployment import QUEUE_PREFIX, Deployment, route, run_case
from review.lib.http11 import ResetConnection
from review.lib.record import Record
from review.lib.worker import Behaviour

# How long the store is down: the largest figure of the site's troubles.
DOWN_S = 4.5

# A client of the site sends a job once and repeats it up to four times.
RETRIES = 4

# The Retry-After that the system sends.
RETRY_PAUSE_S = 1.0

JOB_ID = 'a11ce00000000001'
JOB = {'TaskSpec': 'notice', 'Steps': [{'Count': 2, 'Cpu': 500, 'MemMb': 256, 'EstimateMs': 300}]}
CALM_JOBS = 12


async def play(record: Record, has_trouble: bool) -> bool:
    """Return whether no task started of a job whose sends were all rejected."""
    deployment = Deployment(record, lambda _task, _run: Behaviour(300, cpu=500))
    try:
        await deployment.open_platform(route('queue-a', QUEUE_PREFIX))
        await deployment.open_entries()
        await send_calm_jobs(deployment)
        if has_trouble:
            take_down_at_write(deployment, record)
        statuses = await hand_in(deployment)
        await asyncio.sleep(DOWN_S + 6)
        started = [
            event for event in record.of('started')
            if str(event.fields['task']).startswith(JOB_ID)
        ]
        was_rejected = bool(statuses) and all(status in {429, 503} for status in statuses)
        record.add('result', statuses=statuses, starts=len(started))
        if not has_trouble and (statuses != [200] or not started):
            raise RuntimeError('the calm run did not serve the job')
        return not (was_rejected and started)
    finally:
        deployment.close()


async def send_calm_jobs(deployment: Deployment) -> None:
    """Serve some jobs by each entry before anything happens."""
    for number in range(CALM_JOBS):
        entry = deployment.entries[number % len(deployment.entries)]
        job_id = f'{number:016x}'
        if await deployment.send(entry, 'POST', job_id, body=JOB) != 200:
            raise RuntimeError('a job of the calm part was not accepted')
    for number in range(CALM_JOBS):
        entry = deployment.entries[number % len(deployment.entries)]
        if not await deployment.wait_state(entry, f'{number:016x}', 'completed'):
            raise RuntimeError('a job of the calm part was not done')


def take_down_at_write(deployment: Deployment, record: Record) -> None:
    """Let the store go down once it has carried out the write of the job."""
    store = deployment.store

    async def bring_back() -> None:
        await asyncio.sleep(DOWN_S)
        await store.server.open()
        record.add('store', state='up')

    def go_down(body: dict[str, Any]) -> None:
        if any(JOB_ID in put['Key'] for put in body.get('Puts', ())):
            store.after_txn = None
            record.add('store', state='down', carried_out='the write of the job')
            store.server.crash()
            deployment.background(bring_back())
            raise ResetConnection

    store.after_txn = go_down


async def hand_in(deployment: Deployment) -> list[int | None]:
    """Send the job as a client does: again after a rejection, at another entry."""
    statuses: list[int | None] = []
    for attempt in range(1 + RETRIES):
        entry = deployment.entries[attempt % len(deployment.entries)]
        statuses.append(await deployment.send(entry, 'POST', JOB_ID, body=JOB))
        if statuses[-1] == 200:
            break
        await asyncio.sleep(RETRY_PAUSE_S)
    return statuses


if __name__ == '__main__':
    sys.exit(run_case(pathlib.Path(__file__).parent, play))
