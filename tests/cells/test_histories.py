"""Random histories of owners, workers and the store, checked against promises.

Each example plays a list of faults while jobs run. Workers keep what they were
told, so the checks are made from their side and from the store's.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from contextlib import suppress
from functools import partial

import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from marjoramwharf.cells.status import ShownState
from marjoramwharf.errors import LeaseEnded
from marjoramwharf.ids import WorkerId
from standins.simulated_worker import SimulatedWorker
from tests.cells.world import (
    World,
    job_request,
    open_world,
    run_with_clock,
    step,
)

_WORKERS = ('w1', 'w2', 'w3')
_JOBS_COUNT = 4
_EXAMPLES_COUNT = 60


def _kill_owner(world: World, _pick: int) -> None:
    for owner in world.owners:
        if owner.cell is not None:
            owner.scope.cancel()


def _cut_worker(world: World, pick: int) -> None:
    world.calls.unreachable.add(WorkerId(_WORKERS[pick % len(_WORKERS)]))


def _heal_workers(world: World, _pick: int) -> None:
    world.calls.unreachable.clear()


def _restart_worker(world: World, pick: int) -> None:
    name = WorkerId(_WORKERS[pick % len(_WORKERS)])
    world.retired.append(world.workers[name])
    world.workers[name] = SimulatedWorker(trio.current_time())


def _store_down(world: World, _pick: int) -> None:
    world.store.is_down = True


def _store_up(world: World, _pick: int) -> None:
    world.store.is_down = False


def _lapse_leases(world: World, _pick: int) -> None:
    world.store.state.expire_all_leases()


def _lose_store_answers(world: World, pick: int) -> None:
    world.store.answers_to_lose += pick


def _delay_commits(world: World, pick: int) -> None:
    world.store.commits_to_delay += pick


def _late_commits(world: World, _pick: int) -> None:
    for commit in world.store.delayed_commits:
        # A late write whose lease has ended changes nothing.
        with suppress(LeaseEnded):
            commit()
    world.store.delayed_commits.clear()


def _lose_starts(world: World, pick: int) -> None:
    world.calls.start_answers_to_lose += pick


def _repeat_starts(world: World, pick: int) -> None:
    world.calls.starts_to_repeat += pick


def _delay_starts(world: World, pick: int) -> None:
    world.calls.starts_to_delay += pick


def _late_starts(world: World, _pick: int) -> None:
    for order in world.calls.delayed_orders:
        order()
    world.calls.delayed_orders.clear()


def _lose_looks(world: World, pick: int) -> None:
    world.calls.hold_answers_to_lose += pick


def _doubt_owner(world: World, _pick: int) -> None:
    """Let the others take the owner for dead, whether it lives or not."""
    for owner in world.owners:
        for known in tuple(owner.view.owners.values()):
            if owner.cell is None:
                owner.view.note_gone(known)


_Fault = Callable[[World, int], None]
_FAULTS: tuple[_Fault, ...] = (
    _kill_owner,
    _cut_worker,
    _heal_workers,
    _restart_worker,
    _store_down,
    _store_up,
    _lapse_leases,
    _lose_store_answers,
    _delay_commits,
    _late_commits,
    _lose_starts,
    _repeat_starts,
    _delay_starts,
    _late_starts,
    _lose_looks,
)


def _histories(
    faults: tuple[_Fault, ...],
) -> st.SearchStrategy[list[tuple[_Fault, int, float]]]:
    return st.lists(
        st.tuples(
            st.sampled_from(faults),
            st.integers(min_value=1, max_value=4),
            st.sampled_from((0, 0.05, 0.3, 1.0, 2.5)),
        ),
        max_size=14,
    )


# An owner that is taken for dead comes as often as all other faults together.
_RIVAL_FAULTS = _FAULTS + (_doubt_owner,) * len(_FAULTS)


class HistoryTests(unittest.TestCase):
    """Guards against work doubled or lost by any order of these faults."""

    @settings(
        derandomize=True,
        max_examples=_EXAMPLES_COUNT,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(_histories(_FAULTS))
    def test_any_history(
        self, history: list[tuple[_Fault, int, float]]
    ) -> None:
        """Guards against a history that breaks a promise."""
        run_with_clock(partial(self._play, history))

    @settings(
        derandomize=True,
        max_examples=_EXAMPLES_COUNT,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(_histories(_RIVAL_FAULTS))
    def test_rivals(self, history: list[tuple[_Fault, int, float]]) -> None:
        """Guards against two owners when a living one is taken for dead."""
        run_with_clock(partial(self._play, history, entries_count=3))

    async def _play(
        self,
        history: list[tuple[_Fault, int, float]],
        entries_count: int = 1,
    ) -> None:
        async with open_world(_WORKERS) as (world, nursery):
            for number in range(entries_count):
                world.spawn(nursery, f'e{number}')
            requests = [
                job_request(
                    f'{number}',
                    step(2),
                    step(1, after=(0,)),
                    payload='ms=700',
                )
                for number in range(_JOBS_COUNT)
            ]
            for request in requests:
                await world.submit(request)
            for fault, pick, pause_s in history:
                fault(world, pick)
                self._keep_an_owner(world, nursery)
                await self._watch(world, pause_s)
            for fault in (_store_up, _heal_workers, _late_commits):
                fault(world, 0)
            _late_starts(world, 0)
            await world.until(
                lambda: all(
                    world.state(request) is ShownState.DONE
                    for request in requests
                ),
                limit_s=90,
            )
            _late_starts(world, 0)
            await self._watch(world, 1)
            self._check_starts(world)

    def _keep_an_owner(self, world: World, nursery: trio.Nursery) -> None:
        if all(owner.scope.cancel_called for owner in world.owners):
            world.spawn(nursery, f'e{len(world.owners)}')

    async def _watch(self, world: World, length_s: float) -> None:
        until_s = trio.current_time() + length_s
        while trio.current_time() < until_s:
            await trio.sleep(0.02)
            world.check_runs()

    def _check_starts(self, world: World) -> None:
        """Fail if a task was started after its end as done was noted."""
        every = [*world.workers.values(), *world.retired]
        for worker in every:
            for task, ended_s in worker.acknowledged_completions:
                later = [
                    started_s
                    for other in every
                    for started, started_s in other.start_times
                    if started == task and started_s > ended_s
                ]
                self.assertFalse(later, f'{task} started after its end')
