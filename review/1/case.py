"""A worker is cut off while it answers a start order, and runs on."""

from __future__ import annotations

import asyncio
import pathlib
import sys

from review.lib.checks import parallel_runs
from review.lib.deployment import QUEUE_PREFIX, Deployment, route, run_case
from review.lib.proxy import LinkProxy
from review.lib.record import Record
from review.lib.worker import Behaviour

# How long workers are cut off: the figure of the site's troubles.
CUT_S = 5.5

# One of them is cut off, which is a share of 0.17.
WORKERS = 6

JOB_ID = 'b0b0000000000001'
CALM_JOBS = 12
CALM_JOB = {'TaskSpec': 'check', 'Steps': [{'Count': 4, 'Cpu': 500, 'MemMb': 256, 'EstimateMs': 300}]}
JOB = {'TaskSpec': 'publish', 'Steps': [{'Count': 1, 'Cpu': 500, 'MemMb': 256, 'EstimateMs': 3_000}]}


def behave(task: str, _run: int) -> Behaviour:
    """The job takes three seconds, those of the calm part 0.3 s."""
    return Behaviour(3_000 if task.startswith(JOB_ID) else 300, cpu=500)


async def play(record: Record, has_trouble: bool) -> bool:
    """Return whether no task ran twice at the same time."""
    deployment = Deployment(record, behave, workers_count=WORKERS)
    try:
        await deployment.open_platform(route('queue-a', QUEUE_PREFIX), with_proxies=True)
        await deployment.open_entries()
        await send_calm_jobs(deployment)
        if has_trouble:
            cut_at_start(deployment, record)
        entry = deployment.entries[0]
        if await deployment.send(entry, 'POST', JOB_ID, body=JOB) != 200:
            raise RuntimeError('the job was not accepted')
        is_done = await deployment.wait_state(entry, JOB_ID, 'completed', timeout_s=25)
        await asyncio.sleep(CUT_S)
        pairs = parallel_runs(record, JOB_ID)
        record.add('result', is_done=is_done, parallel_runs=len(pairs))
        if not has_trouble and not is_done:
            raise RuntimeError('the calm run did not serve the job')
        return not pairs
    finally:
        deployment.close()


async def send_calm_jobs(deployment: Deployment) -> None:
    """Serve some jobs before anything happens."""
    for number in range(CALM_JOBS):
        entry = deployment.entries[number % len(deployment.entries)]
        if await deployment.send(entry, 'POST', f'{number:016x}', body=CALM_JOB) != 200:
            raise RuntimeError('a job of the calm part was not accepted')
    for number in range(CALM_JOBS):
        entry = deployment.entries[number % len(deployment.entries)]
        if not await deployment.wait_state(entry, f'{number:016x}', 'completed'):
            raise RuntimeError('a job of the calm part was not done')


def cut_at_start(deployment: Deployment, record: Record) -> None:
    """Cut the link to the worker that gets the order to start the job."""

    def is_order(chunk: bytes) -> bool:
        is_found = b'/run-start' in chunk and JOB_ID.encode() in chunk
        if is_found:
            for proxy in deployment.proxies.values():
                proxy.cut_before_answer = None
        return is_found

    async def restore(proxy: LinkProxy) -> None:
        await asyncio.sleep(CUT_S)
        await proxy.restore()
        record.add('link', port=proxy.port, state='restored')

    def watch(proxy: LinkProxy, worker_id: str) -> None:
        def on_cut() -> None:
            record.add('link', worker=worker_id, port=proxy.port, state='cut')
            deployment.background(restore(proxy))

        proxy.cut_before_answer = is_order
        proxy.on_cut = on_cut

    for worker_id, proxy in deployment.proxies.items():
        watch(proxy, worker_id)


if __name__ == '__main__':
    sys.exit(run_case(pathlib.Path(__file__).parent, play))
