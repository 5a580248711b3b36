"""Faults that a measurement injects, as tasks that run beside the load."""

from __future__ import annotations

import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httpx
import trio

from tools.fleet import Fleet, terminate

# Length of a wave in median service times: long enough for the entries to learn
# which workers are slow, short enough for several waves in a run.
_WAVE_SERVICE_TIMES = 14
_SLOWED_SHARE = 0.2
_SLOWDOWN_FACTOR = 4
# Outlasts the store lease (5 s) and the grants (3 s) of the paused entry.
_PAUSE_S = 8
_LIST_DELAY_S = 2


@dataclass(slots=True)
class FaultContext:
    """The fleet that a fault acts on, and the length of the load.

    ``stopping_entries`` holds the entries that carry out a planned stop.
    """

    fleet: Fleet
    http: httpx.AsyncClient
    rng: random.Random
    duration_s: float
    stopping_entries: set[str] = field(default_factory=set)

    async def set_worker_faults(self, index: int, **faults: object) -> None:
        """Replace all injected faults of one worker."""
        url = self.fleet.workers[index].url
        await self.http.post(f'{url}/faults', json=faults, timeout=10)

    async def set_store_faults(self, **faults: object) -> None:
        """Set these injected faults of the store; the others stay."""
        url = f'{self.fleet.store_url}/faults'
        await self.http.post(url, json=faults, timeout=10)

    async def sleep_share(self, share: float) -> None:
        """Sleep for a share of the duration of the load."""
        await trio.sleep(self.duration_s * share)


Fault = Callable[[FaultContext], Awaitable[None]]


async def kill_entry(context: FaultContext) -> None:
    """Kill an entry without warning and start its replacement later."""
    await context.sleep_share(0.25)
    context.fleet.processes['entry-0'].kill()
    await context.sleep_share(0.3)
    context.fleet.start_entry(0)


async def pause_entry(context: FaultContext) -> None:
    """Suspend an entry for longer than its lease, then let it continue."""
    await context.sleep_share(0.2)
    process = context.fleet.processes['entry-1']
    process.send(signal.SIGSTOP)
    await trio.sleep(_PAUSE_S)
    process.send(signal.SIGCONT)


async def stop_entry(context: FaultContext) -> None:
    """Stop an entry as planned, wait for its end and start its replacement."""
    await context.sleep_share(0.3)
    process = context.fleet.processes['entry-2']
    context.stopping_entries.add(process.name)
    terminate(process)
    while process.is_running:
        await trio.sleep(0.1)
    context.stopping_entries.discard(process.name)
    context.fleet.start_entry(2)


async def stop_store(context: FaultContext) -> None:
    """Make the store refuse every call for 40% of the run."""
    await context.sleep_share(0.25)
    await context.set_store_faults(down=True)
    await context.sleep_share(0.4)
    await context.set_store_faults(down=False)


async def lose_store_answers(context: FaultContext) -> None:
    """Drop a fifth of the store's answers after the writes took effect."""
    await context.sleep_share(0.1)
    await context.set_store_faults(lose_answers_share=0.2, seed=3)


async def fail_worker_calls(context: FaultContext) -> None:
    """Make one worker fail every call immediately (a black hole)."""
    await context.sleep_share(0.2)
    await context.set_worker_faults(3, black_hole=True)


async def slow_workers_in_waves(context: FaultContext) -> None:
    """Slow down a fifth of the workers, another random fifth in each wave."""
    count = len(context.fleet.workers)
    slowed_workers: set[int] = set()
    while True:
        chosen = set(
            context.rng.sample(range(count), int(count * _SLOWED_SHARE))
        )
        for restored in sorted(slowed_workers - chosen):
            await context.set_worker_faults(restored)
        for slowed in sorted(chosen - slowed_workers):
            await context.set_worker_faults(
                slowed, slow_factor=_SLOWDOWN_FACTOR
            )
        slowed_workers = chosen
        service_s = context.fleet.profile.service_ms / 1_000
        await trio.sleep(_WAVE_SERVICE_TIMES * service_s)


async def withdraw_worker(context: FaultContext) -> None:
    """Make one worker leave; the directory's list shows it 2 s later."""
    await context.sleep_share(0.3)
    await context.set_worker_faults(5, leaving=True)
    await trio.sleep(_LIST_DELAY_S)
    await context.fleet.register_worker(context.http, 5, state='leaving')


FAULTS: dict[str, Fault] = {
    'entry-kill': kill_entry,
    'entry-pause': pause_entry,
    'entry-stop': stop_entry,
    'store-outage': stop_store,
    'store-answers-lost': lose_store_answers,
    'black-hole-worker': fail_worker_calls,
    'noisy-wave': slow_workers_in_waves,
    'leaving-target': withdraw_worker,
}
