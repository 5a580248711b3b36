"""Runs at workers that are gone, when the owner changes after that."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.records import lapsing_key, owner_key
from marjoramwharf.links.store import Write
from tests.cells.cluster import CELL, run_with_clock
from tests.cells.lasting_tasks import (
    GONE,
    POLLED_S,
    kill,
    next_owner,
    open_scene,
    replace_owner,
    spawn_reserve,
    vanish,
)

# The owner has lost a worker, and has told it, this long after it vanished.
_TOLD_S = 4

# A lasting task is to be at work this long after its owner was lost.
_AWAY_LIMIT_S = 6

# Owners that follow each other before their own leases could be waited for.
_SHORT_TENURE_S = 1.5
_OWNERS_COUNT = 4

_LONG_S = 60


class VanishedWorkersTests(unittest.TestCase):
    """Guards against tasks that are held by leases which have long ended."""

    def test_owner_is_lost_after_workers_vanished(self) -> None:
        """Guards against a new owner that waits from its own start."""
        run_with_clock(self._owner_is_lost)

    def test_owners_follow_each_other(self) -> None:
        """Guards against a wait that begins again with each owner."""
        run_with_clock(self._owners_follow_each_other)

    def test_vanished_worker_runs_on(self) -> None:
        """Guards against a second run beside one that is only out of reach."""
        run_with_clock(self._runs_on)

    def test_worker_was_reached_again_for_a_while(self) -> None:
        """Guards against a mark that counts though leases were extended."""
        run_with_clock(self._reached_again_for_a_while)

    def test_mark_can_not_be_removed(self) -> None:
        """Guards against leases at a worker whose mark may still be stored."""
        run_with_clock(self._mark_can_not_be_removed)

    def test_late_write_of_a_mark(self) -> None:
        """Guards against a mark that a late write brings back."""
        run_with_clock(self._late_write_of_a_mark)

    def test_owner_that_knows_no_marks_in_between(self) -> None:
        """Guards against marks that an owner in between did not respect."""
        run_with_clock(self._unknowing_owner_in_between)

    def test_former_owner_goes_on(self) -> None:
        """Guards against a mark while a former owner still extends leases."""
        run_with_clock(self._former_owner_goes_on)

    async def _owner_is_lost(self) -> None:
        async with open_scene() as scene:
            scene.cluster.spawn(scene.nursery, 'e2')
            vanish(scene.cluster)
            await trio.sleep(_TOLD_S)
            scene.owner.scope.cancel()
            await scene.wait_at_work(limit_s=_AWAY_LIMIT_S)

    async def _owners_follow_each_other(self) -> None:
        async with open_scene() as scene:
            owner = scene.owner
            names = [f'e{number}' for number in range(2, _OWNERS_COUNT + 1)]
            for name in names:
                scene.cluster.spawn(scene.nursery, name)
            vanish(scene.cluster)
            await trio.sleep(_TOLD_S)
            for _ in names:
                kill(scene.cluster, owner)
                owner = await next_owner(scene.cluster)
                await trio.sleep(_SHORT_TENURE_S)
            await scene.wait_at_work(limit_s=_AWAY_LIMIT_S)

    async def _runs_on(self) -> None:
        async with open_scene() as scene:
            scene.cluster.spawn(scene.nursery, 'e2')
            scene.cut()
            await trio.sleep(_TOLD_S)
            scene.owner.scope.cancel()
            await scene.check_single()

    async def _reached_again_for_a_while(self) -> None:
        async with open_scene() as scene:
            scene.cluster.spawn(scene.nursery, 'e2')
            scene.cut()
            await trio.sleep(_TOLD_S)
            scene.join()
            await trio.sleep(POLLED_S)
            scene.cut()
            scene.owner.scope.cancel()
            await scene.check_single()

    async def _mark_can_not_be_removed(self) -> None:
        async with open_scene() as scene:
            scene.cluster.spawn(scene.nursery, 'e2')
            scene.cut()
            await trio.sleep(_TOLD_S)
            scene.cluster.store.is_down = True
            scene.join()
            await trio.sleep(1)
            scene.cut()
            scene.owner.scope.cancel()
            scene.cluster.store.is_down = False
            await scene.check_single()

    async def _late_write_of_a_mark(self) -> None:
        async with open_scene() as scene:
            scene.cluster.spawn(scene.nursery, 'e2')
            store = scene.cluster.store
            store.commits_to_delay = 1
            scene.cut()
            while not store.delayed_commits:
                await trio.sleep(0.01)
            scene.join()
            await trio.sleep(POLLED_S)
            for apply in store.delayed_commits:
                apply()
            await trio.sleep(_TOLD_S)
            scene.cut()
            scene.owner.scope.cancel()
            await scene.check_single()

    async def _unknowing_owner_in_between(self) -> None:
        """The record is as if the owner in between had left it alone."""
        async with open_scene() as scene:
            cluster = scene.cluster
            cluster.spawn(scene.nursery, 'e2')
            third = spawn_reserve(scene)
            scene.cut()
            await trio.sleep(_TOLD_S)
            former = cluster.store.state.stored[lapsing_key(CELL)].body
            seen_s = dict(third.view.lapsing._seen_s)
            kill(cluster, scene.owner)
            second = await next_owner(cluster)
            scene.join()
            await trio.sleep(POLLED_S)
            await cluster.restore_record(lapsing_key(CELL), former)
            await trio.sleep(POLLED_S)
            third.view.lapsing._seen_s.update(seen_s)
            scene.cut()
            replace_owner(cluster, second, third)
            await scene.check_single()

    async def _former_owner_goes_on(self) -> None:
        """The store loses the record of an owner that it doesn't answer."""
        async with open_scene() as scene:
            cluster, owner = scene.cluster, scene.owner
            second = cluster.spawn(scene.nursery, 'e2')
            second.unreachable.update(cluster.workers)
            second.is_isolated = True
            third = spawn_reserve(scene)
            third.unreachable.update(GONE)
            third.unconnected.extend((owner, second))
            await trio.sleep(POLLED_S)
            owner.store_gate.freeze(_LONG_S)
            owner.unreachable.update(cluster.workers.keys() - set(GONE))
            owner.is_isolated = True
            cluster.store.state.apply([Write(owner_key(CELL), None)])
            await next_owner(cluster, besides=owner)
            await trio.sleep(1)
            replace_owner(cluster, second, third)
            await trio.sleep(POLLED_S)
            owner.scope.cancel()
            await scene.check_single()
