"""Owners that are lost before they have marked the workers that vanished."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.ownership import Campaign
from marjoramwharf.cells.records import owner_key
from marjoramwharf.links.store import Write
from tests.cells.candidate import Candidate
from tests.cells.cluster import CELL, run_with_clock
from tests.cells.lasting_tasks import (
    GONE,
    POLLED_S,
    Scene,
    kill,
    next_owner,
    open_scene,
    replace_owner,
    spawn_reserve,
    vanish,
)

# The owner hasn't marked a worker yet this long after it vanished.
_UNMARKED_S = 1.5
_DARK_S = 0.8

# A lasting task is to be at work this long after the last process was back.
_AWAY_LIMIT_S = 10

# The same after an outage in which the owner's lease has lapsed.
_OUTAGE_S = 6
_AFTER_OUTAGE_LIMIT_S = 5

_SHORT_TENURE_S = 1
_LONG_S = 60


class EndedOwnerTests(unittest.TestCase):
    """Guards against waiting for a process that has ended, and for no other."""

    def test_owner_is_lost_right_after_workers_vanished(self) -> None:
        """Guards against the wait for an owner that can't go on."""
        run_with_clock(self._owner_is_lost)

    def test_owner_follows_itself_after_an_outage(self) -> None:
        """Guards against a process that waits for its own former tenure."""
        run_with_clock(self._owner_follows_itself)

    def test_another_owner_follows_after_an_outage(self) -> None:
        """Guards against a wait whose end the former owner knows."""
        run_with_clock(self._another_follows)

    def test_former_owner_goes_on(self) -> None:
        """Guards against a second run beside one that is still held."""
        run_with_clock(self._former_owner_goes_on)

    def test_former_owner_refuses_connections(self) -> None:
        """Guards against a broken path that is taken for an end."""
        run_with_clock(self._former_owner_refuses)

    def test_owner_before_the_ended_one_goes_on(self) -> None:
        """Guards against the end of one owner that is taken for that of two."""
        run_with_clock(self._owner_before_goes_on)

    async def _owner_is_lost(self) -> None:
        async with open_scene() as scene:
            scene.cluster.spawn(scene.nursery, 'e2')
            vanish(scene.cluster)
            await trio.sleep(_UNMARKED_S)
            scene.owner.scope.cancel()
            await trio.sleep(_DARK_S)
            spawn_reserve(scene, 'e1')
            kill(scene.cluster, scene.owner)
            await scene.wait_at_work(limit_s=_AWAY_LIMIT_S)

    async def _owner_follows_itself(self) -> None:
        async with open_scene() as scene:
            store = scene.cluster.store
            store.is_down = True
            await trio.sleep(_UNMARKED_S)
            vanish(scene.cluster)
            await trio.sleep(_OUTAGE_S)
            store.state.apply([Write(owner_key(CELL), None)])
            store.is_down = False
            await scene.wait_at_work(limit_s=_AFTER_OUTAGE_LIMIT_S)

    async def _another_follows(self) -> None:
        async with open_scene() as scene:
            reserve = spawn_reserve(scene)
            await trio.sleep(POLLED_S)
            store = scene.cluster.store
            store.is_down = True
            await trio.sleep(_UNMARKED_S)
            vanish(scene.cluster)
            await trio.sleep(_OUTAGE_S)
            _campaign_of(scene.owner).has_resigned = True
            _campaign_of(reserve).has_resigned = False
            store.state.apply([Write(owner_key(CELL), None)])
            store.is_down = False
            await scene.wait_at_work(limit_s=_AFTER_OUTAGE_LIMIT_S)

    async def _former_owner_goes_on(self) -> None:
        async with open_scene() as scene:
            await _supersede_unnoticed(scene)
            await scene.check_single()

    async def _former_owner_refuses(self) -> None:
        async with open_scene() as scene:
            scene.owner.refuses_connections = True
            await _supersede_unnoticed(scene)
            await scene.check_single()

    async def _owner_before_goes_on(self) -> None:
        async with open_scene() as scene:
            third = spawn_reserve(scene)
            _cut_off(third, scene.owner)
            second = await _supersede_unnoticed(scene)
            await trio.sleep(_SHORT_TENURE_S)
            _cut_off(spawn_reserve(scene, 'e2'), scene.owner)
            replace_owner(scene.cluster, second, third)
            await scene.check_single()


async def _supersede_unnoticed(scene: Scene) -> Candidate:
    """Let another entry become the owner, while the present one goes on.

    That one reaches only workers that its successor doesn't, and no store.
    """
    cluster, owner = scene.cluster, scene.owner
    second = cluster.spawn(scene.nursery, 'e2')
    _cut_off(second, owner)
    await trio.sleep(POLLED_S)
    owner.store_gate.freeze(_LONG_S)
    owner.unreachable.update(cluster.workers.keys() - set(GONE))
    owner.is_isolated = True
    cluster.store.state.apply([Write(owner_key(CELL), None)])
    return await next_owner(cluster, besides=owner)


def _campaign_of(candidate: Candidate) -> Campaign:
    if candidate.campaign is None:
        raise AssertionError('the candidate does not campaign')
    return candidate.campaign


def _cut_off(candidate: Candidate, owner: Candidate) -> None:
    """Leave an entry no path to the workers that only the owner reaches."""
    candidate.unreachable.update(GONE)
    candidate.unconnected.append(owner)
