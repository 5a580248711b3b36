"""Histories in which what an owner knows of a worker is older than the list."""

from __future__ import annotations

import unittest
from dataclasses import replace

import trio

from marjoramwharf.cells.records import roster_prefix
from marjoramwharf.ids import WorkerId
from marjoramwharf.links.store import PrefixSnapshot, WatchBatch, Write
from marjoramwharf.scheduling.policy import ServicePolicy
from standins.polling_store import PollingMemoryStore
from tests.cells.cluster import (
    CELL,
    SERVICE,
    job_request,
    step,
)
from tests.cells.unlisting import (
    PLAIN,
    SETTLED_S,
    UNLISTED,
    Scene,
    play,
)

_OTHERS = ('w2', 'w3')
_LIST_DELAY_S = 0.6
_LONG_S = 10.0
_TENURE_S = 40.0
_LARGE_MILLICORES = 3_000


class _SlowListStore(PollingMemoryStore):
    """Takes a while to answer with the list of workers, or its changes."""

    poll_delay_s: float = 0

    async def poll(
        self, prefix: str, *, after_revision: int, wait_ms: int
    ) -> WatchBatch:
        """Return the changes after a revision, later than usual."""
        if prefix == 'servers/':
            await trio.sleep(self.poll_delay_s)
        return await super().poll(
            prefix, after_revision=after_revision, wait_ms=wait_ms
        )

    async def read_prefix(self, prefix: str) -> PrefixSnapshot:
        """Return all values below a prefix."""
        if prefix == 'servers/':
            await trio.sleep(_LIST_DELAY_S)
        return await super().read_prefix(prefix)


class OutdatedKnowledgeTests(unittest.TestCase):
    """Guards against decisions by a listing that the store has replaced."""

    def test_worker_drains_between_owners_and_list_is_slow(self) -> None:
        """Guards against starts by the roster before the list is read."""
        play(self._drains_before_list_is_read)

    def test_worker_drains_and_is_unlisted_unseen(self) -> None:
        """Guards against a draining listing that came and went unseen."""
        play(self._drains_unseen)

    def test_worker_drains_and_is_unlisted_in_lost_history(self) -> None:
        """Guards against the same at one owner whose watch begins again."""
        play(self._drains_in_lost_history)

    def test_stored_address_belongs_to_another_worker(self) -> None:
        """Guards against runs given up by a refusal at an outdated address."""
        play(self._moved_before_roster, *_OTHERS)

    def test_restarted_worker_is_smaller(self) -> None:
        """Guards against too much work at a worker that refuses nothing."""
        play(self._restarted_smaller)

    def test_stored_address_belongs_to_another_worker_list_is_quick(
        self,
    ) -> None:
        """Guards against the same if nothing holds the list up."""
        play(self._moved_before_roster_quick, *_OTHERS)

    def test_moved_just_before_owner_is_lost(self) -> None:
        """Guards against the same if the roster wasn't written in time."""
        play(self._moved_just_before, *_OTHERS)

    def test_other_worker_is_listed_while_the_watch_is_behind(self) -> None:
        """Guards against use as another service before its listing is read."""
        play(self._listed_unread)

    def test_silent_worker_with_one_owner_after_another(self) -> None:
        """Guards against a stored worker that no owner asks for long enough."""
        play(self._silent_at_many_owners, *_OTHERS)

    def test_other_worker_tells_its_id_late(self) -> None:
        """Guards against a worker lost as the first refusal had no id."""
        play(self._id_told_late)

    async def _drains_before_list_is_read(self, scene: Scene) -> None:
        await scene.cluster.submit(PLAIN)
        await scene.cluster.wait_until_done(PLAIN)
        scene.kill_owner()
        await _drain_unread(scene)
        await trio.sleep(SETTLED_S)
        request = job_request('late')
        await scene.cluster.submit(request)
        scene.cluster.store = _SlowListStore(scene.cluster.store.state)
        await scene.spawn_owner()
        await scene.check_unused(request=job_request('later'))
        self.assertEqual([], _starts_of(scene, 'late'))

    async def _drains_unseen(self, scene: Scene) -> None:
        scene.kill_owner()
        await _drain_unread(scene)
        await trio.sleep(SETTLED_S)
        scene.cluster.unlist(UNLISTED)
        await scene.spawn_owner()
        await scene.check_unused()

    async def _drains_in_lost_history(self, scene: Scene) -> None:
        state = scene.cluster.store.state
        await _drain_unread(scene)
        scene.cluster.unlist(UNLISTED)
        state.compacted_revision = state.revision
        await trio.sleep(SETTLED_S)
        await scene.check_unused()

    async def _moved_before_roster(self, scene: Scene) -> None:
        await _start_elsewhere(scene)
        scene.cluster.store = _SlowListStore(scene.cluster.store.state)
        await scene.spawn_owner()
        await scene.check_for(_LONG_S)

    async def _moved_before_roster_quick(self, scene: Scene) -> None:
        await _start_elsewhere(scene)
        await scene.spawn_owner()
        await scene.check_for(_LONG_S)

    async def _moved_just_before(self, scene: Scene) -> None:
        """The owner is lost before it has stored what it knows."""
        cluster = scene.cluster
        await scene.list_again(host='elsewhere')
        await trio.sleep(0.3)
        tasks = step(4, cpu_millicores=4_000, is_lasting=True)
        await cluster.submit(job_request('aa', tasks, payload='serve'))
        await trio.sleep(0.15)
        self.assertTrue(scene.worker.running)
        scene.kill_owner()
        cluster.worker_client.foreign_hosts.add(UNLISTED)
        cluster.store = _SlowListStore(cluster.store.state)
        await scene.spawn_owner()
        await scene.check_for(_LONG_S)

    async def _listed_unread(self, scene: Scene) -> None:
        cluster = scene.cluster
        scene.kill_owner()
        store = _SlowListStore(cluster.store.state)
        cluster.store = store
        await scene.spawn_owner()
        await trio.sleep(SETTLED_S)
        store.poll_delay_s = 4.0
        await trio.sleep(1.1)
        new = cluster.replace_worker(UNLISTED, 'w9')
        cluster.unlist(UNLISTED)
        cluster.listings[WorkerId('w9')] = replace(
            cluster.listings[UNLISTED],
            worker_id=WorkerId('w9'),
            service='another',
        )
        await cluster.restore_record('servers/w9', b'')
        await cluster.submit(PLAIN)
        await trio.sleep(_LONG_S)
        self.assertEqual([], new.starts)

    async def _silent_at_many_owners(self, scene: Scene) -> None:
        cluster = scene.cluster
        cluster.worker_client.unreachable.add(UNLISTED)
        await scene.unlist()
        for _ in range(6):
            await scene.check_for(_TENURE_S)
            await scene.replace_owner()
        before = cluster.worker_client.sent_holds[UNLISTED]
        await scene.check_for(_TENURE_S)
        after = cluster.worker_client.sent_holds[UNLISTED]
        self.assertEqual(before, after)

    async def _restarted_smaller(self, scene: Scene) -> None:
        cluster = scene.cluster
        cluster.configuration = replace(
            cluster.configuration, services={SERVICE: ServicePolicy(SERVICE)}
        )
        await scene.unlist()
        worker = await scene.restart_in_the_dark()
        tasks = step(2, cpu_millicores=_LARGE_MILLICORES)
        request = job_request('aa', tasks, payload='ms=3000')
        await cluster.submit(request)
        most = 0
        for _ in range(200):
            await trio.sleep(0.02)
            worker.advance(trio.current_time())
            most = max(most, len(worker.running))
        # The new incarnation is of a kind that holds one of these tasks.
        self.assertLessEqual(most, 1)

    async def _id_told_late(self, scene: Scene) -> None:
        cluster = scene.cluster
        new = cluster.replace_worker(UNLISTED, 'w9')
        listeners = cluster.worker_client.listeners
        listener = listeners.pop(UNLISTED)
        cluster.worker_client.foreign_hosts.add(UNLISTED)
        cluster.unlist(UNLISTED)
        await trio.sleep(SETTLED_S)
        cluster.worker_client.foreign_hosts.discard(UNLISTED)
        listeners[UNLISTED] = listener
        await cluster.submit(PLAIN)
        await trio.sleep(_LONG_S)
        self.assertNotEqual([], new.starts)


async def _start_elsewhere(scene: Scene) -> None:
    """Start tasks at a moved worker; lose the owner and its last roster.

    An owner of an older build doesn't write the roster either.
    """
    state = scene.cluster.store.state
    before = state.values_below(roster_prefix(CELL))
    await scene.list_again(host='elsewhere')
    await trio.sleep(SETTLED_S)
    await scene.start_lasting('aa', 2)
    scene.kill_owner()
    state.apply([Write(stored.key, stored.body) for stored in before])
    scene.cluster.worker_client.foreign_hosts.add(UNLISTED)


async def _drain_unread(scene: Scene) -> None:
    await scene.cluster.drain_worker(UNLISTED)


def _starts_of(scene: Scene, name: str) -> list[str]:
    return [task for task, _, _ in scene.worker.starts if task.startswith(name)]
