"""A queue is withdrawn for some seconds while a job of it is at work."""

from __future__ import annotations

import asyncio
import pathlib
import sys

from review.lib.deployment import (
    QUEUE_PREFIX,
    Deployment,
    configuration,
    route,
    run_case,
)
from review.lib.record import Record
from review.lib.worker import Behaviour

JOB_ID = 'cafe000000000001'
OTHER_PREFIX = '/queue-b/'
MAX_ATTEMPTS = 4

# The first attempts fail, the last allowed one is done.
RUN_MS = 1_000
JOB = {'TaskSpec': 'check', 'Steps': [{'Count': 1, 'Cpu': 500, 'MemMb': 256, 'EstimateMs': 1_000}]}

# The queue is away for this long, longer than three attempts take.
AWAY_S = 6.0
CONFIG_APPLY_S = 2.0


def behave(_task: str, run: int) -> Behaviour:
    """Fail in all attempts but the last one that is allowed."""
    return Behaviour(RUN_MS, 'done' if run >= MAX_ATTEMPTS else 'failed', cpu=500)


async def play(record: Record, has_trouble: bool) -> bool:
    """Return whether the job is not shown as failed without cause."""
    deployment = Deployment(record, behave)
    kept = route('queue-b', OTHER_PREFIX)
    withdrawn = route('queue-a', QUEUE_PREFIX, MaxAttempts=MAX_ATTEMPTS)
    try:
        await deployment.open_platform(kept, withdrawn)
        await deployment.open_entries()
        entry = deployment.entries[0]
        if await deployment.send(entry, 'POST', JOB_ID, body=JOB) != 200:
            raise RuntimeError('the job was not accepted')
        await asyncio.sleep(RUN_MS / 2_000)
        if has_trouble:
            configure(deployment, record, configuration(3, kept))
        await asyncio.sleep(AWAY_S)
        if has_trouble:
            configure(deployment, record, configuration(5, kept, withdrawn))
            await asyncio.sleep(CONFIG_APPLY_S)
        states = [await deployment.state_of(other, JOB_ID) for other in deployment.entries]
        failures = len(record.of('ended', how='failed'))
        record.add('result', states=states, failures=failures, allowed=MAX_ATTEMPTS)
        if not has_trouble and states != ['completed'] * len(states):
            raise RuntimeError('the calm run did not serve the job')
        return not ('failed' in states and failures < MAX_ATTEMPTS)
    finally:
        deployment.close()


def configure(deployment: Deployment, record: Record, wanted: dict[str, object]) -> None:
    """Write a configuration as the operator does."""
    deployment.store.put_json('op/config', wanted)
    names = [one['Name'] for one in wanted['Routes']]  # type: ignore[index]
    record.add('configured', version=wanted['Version'], routes=names)


if __name__ == '__main__':
    sys.exit(run_case(pathlib.Path(__file__).parent, play))
