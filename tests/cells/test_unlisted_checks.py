"""What the store tells of workers that have left the list unread."""

from __future__ import annotations

import unittest

import trio

from tests.cells.unlisting import (
    AT_WORK_LIMIT_S,
    PLAIN,
    SETTLED_S,
    UNLISTED,
    Scene,
    play,
)

# The owner has stored by now how far it has followed the list.
_POSITION_STORED_S = 6.0


class UnlistedChecksTests(unittest.TestCase):
    """Guards against runs at a worker whose latest listing nobody has read."""

    def test_history_is_lost_up_to_the_former_owner(self) -> None:
        """Guards against a read from before what the store still has."""
        play(self._history_is_lost)

    def test_latest_listing_is_unreadable(self) -> None:
        """Guards against use by a listing that another writer has replaced."""
        play(self._unreadable)

    def test_worker_moved_and_was_unlisted_unseen(self) -> None:
        """Guards against a worker that is only asked where it was before."""
        play(self._moved)

    def test_store_is_away_when_it_is_asked(self) -> None:
        """Guards against a worker that stays unused after an outage."""
        play(self._store_is_away)

    async def _history_is_lost(self, scene: Scene) -> None:
        state = scene.cluster.store.state
        await scene.list_again()
        listed_revision = state.revision
        await trio.sleep(_POSITION_STORED_S)
        scene.kill_owner()
        await scene.cluster.drain_worker(UNLISTED)
        scene.cluster.unlist(UNLISTED)
        state.compacted_revision = listed_revision
        await scene.spawn_owner()
        await scene.check_unused()

    async def _unreadable(self, scene: Scene) -> None:
        scene.kill_owner()
        await scene.spoil_listing()
        scene.cluster.unlist(UNLISTED)
        await scene.spawn_owner()
        await scene.check_unused()

    async def _moved(self, scene: Scene) -> None:
        cluster = scene.cluster
        scene.kill_owner()
        await scene.list_again(host='elsewhere')
        cluster.worker_client.foreign_hosts.add(UNLISTED)
        cluster.unlist(UNLISTED)
        await scene.spawn_owner()
        await trio.sleep(SETTLED_S)
        await scene.finish(PLAIN)

    async def _store_is_away(self, scene: Scene) -> None:
        store = scene.cluster.store
        scene.kill_owner()
        scene.cluster.unlist(UNLISTED)
        await scene.spawn_owner()
        await trio.sleep(1.5)
        store.is_down = True
        await trio.sleep(1)
        store.is_down = False
        await trio.sleep(SETTLED_S)
        await scene.finish(PLAIN, limit_s=2 * AT_WORK_LIMIT_S)
