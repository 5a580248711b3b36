"""Random series of faults, and how each is begun and ended.

Faults overlap, and the same plan follows from the same seed.
"""

from __future__ import annotations

import random
import signal
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import trio

from standins.platform_process import DATA_CENTRES
from tools.processes import Process
from tools.soak.fleet import ENTRIES_COUNT, WORKERS_COUNT, SoakFleet
from tools.soak.link import Link, LinkMode

_DURATIONS_S = (0.2, 0.8, 1.6, 2.5, 4.0)
_PAUSES_S: tuple[float, ...] = (0, 0.1, 0.5, 1.0, 2.0)
_DELAY_S = 0.15
_MAX_LOST_ANSWERS = 4
_STOP_LIMIT_S = 8.0
_MIN_CUT_S = 3.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: its kind, what it hits, and how long it lasts.

    ``pause_s`` passes between its beginning and that of the next one.
    """

    kind: str
    target: int
    duration_s: float
    pause_s: float


def make_plan(
    seed: int, duration_s: float, kinds: Sequence[str]
) -> list[Fault]:
    """Return the faults of some kinds that begin within ``duration_s``."""
    rng = random.Random(seed)
    plan: list[Fault] = []
    passed_s: float = 0
    while passed_s < duration_s:
        fault = Fault(
            rng.choice(kinds),
            rng.randrange(ENTRIES_COUNT * WORKERS_COUNT),
            rng.choice(_DURATIONS_S),
            rng.choice(_PAUSES_S),
        )
        plan.append(fault)
        passed_s += fault.pause_s
    return plan


async def play(plan: list[Fault], fleet: SoakFleet) -> None:
    """Begin the faults one after the other; returns when all have ended."""
    async with trio.open_nursery() as nursery:
        for fault in plan:
            nursery.start_soon(FAULTS[fault.kind], fleet, fault)
            await trio.sleep(fault.pause_s)


async def _restart(entry: Process, duration_s: float) -> None:
    await trio.sleep(duration_s)
    if not entry.is_running:
        entry.start()


async def _kill_entry(fleet: SoakFleet, fault: Fault) -> None:
    entry = fleet.entries[fault.target % ENTRIES_COUNT]
    entry.kill()
    await _restart(entry, fault.duration_s)


async def _kill_owner(fleet: SoakFleet, fault: Fault) -> None:
    entry = fleet.owner()
    entry.kill()
    await _restart(entry, fault.duration_s)


async def _kill_all(fleet: SoakFleet, fault: Fault) -> None:
    for entry in fleet.entries:
        entry.kill()
    for entry in fleet.entries:
        await _restart(entry, fault.duration_s / ENTRIES_COUNT)


async def _stop_entry(fleet: SoakFleet, fault: Fault) -> None:
    """Ask an entry to stop, and start it again once it has."""
    entry = fleet.entries[fault.target % ENTRIES_COUNT]
    entry.send(signal.SIGTERM)
    with trio.move_on_after(_STOP_LIMIT_S):
        while entry.is_running:
            await trio.sleep(0.05)
    await _restart(entry, fault.duration_s)


async def _pause_entry(fleet: SoakFleet, fault: Fault) -> None:
    await _pause(fleet.entries[fault.target % ENTRIES_COUNT], fault)


async def _pause_owner(fleet: SoakFleet, fault: Fault) -> None:
    await _pause(fleet.owner(), fault)


async def _pause(entry: Process, fault: Fault) -> None:
    entry.send(signal.SIGSTOP)
    await trio.sleep(fault.duration_s)
    entry.send(signal.SIGCONT)


async def _refuse_store(fleet: SoakFleet, fault: Fault) -> None:
    await fleet.control_store(refuse=True)
    await trio.sleep(fault.duration_s)
    await fleet.control_store(refuse=False)


async def _lose_store_answers(fleet: SoakFleet, fault: Fault) -> None:
    count = 1 + fault.target % _MAX_LOST_ANSWERS
    await fleet.control_store(answers_to_lose=count)


async def _drop_history(fleet: SoakFleet, _fault: Fault) -> None:
    await fleet.control_store(compact=True)


async def _evacuate(fleet: SoakFleet, fault: Fault) -> None:
    data_centre = DATA_CENTRES[fault.target % len(DATA_CENTRES)]
    await fleet.control_store(evacuate=data_centre)
    await trio.sleep(fault.duration_s)
    await fleet.control_store(take_back=data_centre)


async def _restart_worker(fleet: SoakFleet, fault: Fault) -> None:
    await fleet.control_worker(fault.target % WORKERS_COUNT, restart=True)


async def _replace_unlisted_worker(fleet: SoakFleet, fault: Fault) -> None:
    """Restart a worker under another id while the list can't show it.

    Another such fault of the worker waits until it is listed again.
    """
    number = fault.target % WORKERS_COUNT
    async with fleet.worker_locks[number]:
        former = fleet.worker_ids[number]
        present = f'{former}x'
        fleet.worker_ids[number] = present
        await fleet.control_store(unlist=former)
        await fleet.control_worker(number, restart=True, worker_id=present)
        await trio.sleep(_MIN_CUT_S + fault.duration_s)
        await fleet.control_store(relist=[former, present])


async def _lose_start_answers(fleet: SoakFleet, fault: Fault) -> None:
    await fleet.control_worker(
        fault.target % WORKERS_COUNT,
        start_answers_to_lose=1 + fault.target % _MAX_LOST_ANSWERS,
    )


def _link_fault(
    mode: LinkMode, *, delay_s: float = 0
) -> Callable[[SoakFleet, Fault], Awaitable[None]]:
    async def harm(fleet: SoakFleet, fault: Fault) -> None:
        link = _link_of(fleet, fault)
        link.mode = mode
        link.delay_s = delay_s
        await trio.sleep(fault.duration_s)
        link.mode = LinkMode.OPEN
        link.delay_s = 0

    return harm


async def _reset_link(fleet: SoakFleet, fault: Fault) -> None:
    await _link_of(fleet, fault).reset()


async def _refuse_link(fleet: SoakFleet, fault: Fault) -> None:
    await _link_of(fleet, fault).refuse(fault.duration_s)


async def _cut_owner_from_workers(fleet: SoakFleet, fault: Fault) -> None:
    """Cut the owner's paths to the workers; other entries keep theirs.

    The cut lasts long enough for the owner to call them through these.
    """
    pid = fleet.owner().popen.pid
    for link in fleet.worker_links:
        link.cut_pids.add(pid)
    await trio.sleep(_MIN_CUT_S + fault.duration_s)
    for healed in fleet.worker_links:
        healed.cut_pids.discard(pid)


def _link_of(fleet: SoakFleet, fault: Fault) -> Link:
    return fleet.links[fault.target % len(fleet.links)]


# All faults by the name that plans and reports give them.
FAULTS: dict[str, Callable[[SoakFleet, Fault], Awaitable[None]]] = {
    'kill entry': _kill_entry,
    'kill owner': _kill_owner,
    'kill all entries': _kill_all,
    'stop entry': _stop_entry,
    'pause entry': _pause_entry,
    'pause owner': _pause_owner,
    'store refuses': _refuse_store,
    'store answers lost': _lose_store_answers,
    'store history dropped': _drop_history,
    'worker restarts': _restart_worker,
    'start answers lost': _lose_start_answers,
    'link silent': _link_fault(LinkMode.SILENT),
    'link without requests': _link_fault(LinkMode.NO_REQUESTS),
    'link without answers': _link_fault(LinkMode.NO_ANSWERS),
    'link delayed': _link_fault(LinkMode.OPEN, delay_s=_DELAY_S),
    'link reset': _reset_link,
    'link refuses': _refuse_link,
    'data centre evacuated': _evacuate,
    'owner cut off from workers': _cut_owner_from_workers,
    'worker replaced off the list': _replace_unlisted_worker,
}
ALL_KINDS = tuple(FAULTS)

# A seed stands for the same faults only together with the kinds to choose from.
FIRST_KINDS = ALL_KINDS[:-4]
