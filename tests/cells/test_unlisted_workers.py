"""Workers that answer though the platform's list doesn't have them.

A worker that can't reach the store loses its listing, while the owner still
reaches the worker. Its room counts as long as it answers.
"""

from __future__ import annotations

import unittest

import trio

from tests.cells.cluster import job_request, step
from tests.cells.unlisting import (
    AT_WORK_LIMIT_S,
    DARK_S,
    PLAIN,
    SETTLED_S,
    UNLISTED,
    UNUSED_S,
    Scene,
    play,
)

_OTHERS = ('w2', 'w3')
_LABELLED = job_request('labelled', step(required_label='b'), payload='ms=50')
_RESTARTS_COUNT = 3


class UnlistedWorkerTests(unittest.TestCase):
    """Guards against room that nobody uses since the list lacks its worker."""

    def test_unlisted_before_restart(self) -> None:
        """Guards against a restarted worker that is forgotten for good."""
        play(self._unlisted_before_restart, *_OTHERS)

    def test_unlisted_after_restart(self) -> None:
        """Guards against the same if the listing expires after the restart."""
        play(self._unlisted_after_restart, *_OTHERS)

    def test_unlisted_while_dark(self) -> None:
        """Guards against the same if the listing expires in between."""
        play(self._unlisted_while_dark, *_OTHERS)

    def test_unlisted_restarts_again(self) -> None:
        """Guards against a worker that is used after one restart only."""
        play(self._unlisted_restarts_again, *_OTHERS)

    def test_idle_worker_restarts(self) -> None:
        """Guards against forgetting a silent worker since it has no runs."""
        play(self._idle_worker_restarts)

    def test_idle_worker_is_dark(self) -> None:
        """Guards against the same at a worker that was only out of reach."""
        play(self._idle_worker_is_dark)

    def test_unlisted_takes_new_runs(self) -> None:
        """Guards against a worker that answers polls and takes no runs."""
        play(self._unlisted_takes_new_runs)

    def test_list_is_read_anew_without_worker(self) -> None:
        """Guards against the same when the whole list is read again."""
        play(self._list_is_read_anew)

    def test_label_of_unlisted_worker(self) -> None:
        """Guards against doubt of labels that can't have changed."""
        play(self._label_of_unlisted_worker)

    def test_label_of_restarted_worker(self) -> None:
        """Guards against trust in labels of a former incarnation."""
        play(self._label_of_restarted_worker)

    async def _unlisted_before_restart(self, scene: Scene) -> None:
        tasks = await scene.start_lasting('aa', 6)
        await scene.unlist()
        await scene.restart_in_the_dark()
        await scene.wait_at_work(tasks)

    async def _unlisted_after_restart(self, scene: Scene) -> None:
        tasks = await scene.start_lasting('aa', 6)
        await scene.restart_in_the_dark()
        await scene.unlist()
        await scene.wait_at_work(tasks)

    async def _unlisted_while_dark(self, scene: Scene) -> None:
        tasks = await scene.start_lasting('aa', 6)
        unreachable = scene.cluster.worker_client.unreachable
        unreachable.add(UNLISTED)
        scene.cluster.restart_worker(UNLISTED)
        await scene.unlist()
        await trio.sleep(DARK_S)
        unreachable.discard(UNLISTED)
        await scene.wait_at_work(tasks)

    async def _unlisted_restarts_again(self, scene: Scene) -> None:
        tasks = await scene.start_lasting('aa', 6)
        await scene.unlist()
        for _ in range(_RESTARTS_COUNT):
            await scene.restart_in_the_dark()
            await scene.wait_at_work(tasks)

    async def _idle_worker_restarts(self, scene: Scene) -> None:
        await scene.unlist()
        await scene.restart_in_the_dark()
        await scene.finish(PLAIN)

    async def _idle_worker_is_dark(self, scene: Scene) -> None:
        await scene.unlist()
        unreachable = scene.cluster.worker_client.unreachable
        unreachable.add(UNLISTED)
        await trio.sleep(2 * DARK_S)
        unreachable.discard(UNLISTED)
        await scene.finish(PLAIN)

    async def _unlisted_takes_new_runs(self, scene: Scene) -> None:
        await scene.unlist()
        await scene.finish(PLAIN)

    async def _list_is_read_anew(self, scene: Scene) -> None:
        """The store drops its history meanwhile, so no watch sees the removal."""
        scene.cluster.store.is_down = True
        await scene.unlist()
        scene.cluster.store.state.compact()
        await trio.sleep(DARK_S)
        scene.cluster.store.is_down = False
        await scene.finish(PLAIN)

    async def _label_of_unlisted_worker(self, scene: Scene) -> None:
        await scene.unlist()
        await scene.finish(_LABELLED)

    async def _label_of_restarted_worker(self, scene: Scene) -> None:
        await scene.unlist()
        await scene.restart_in_the_dark()
        await scene.finish(PLAIN)
        await scene.check_unused(_LABELLED)


class NextOwnerTests(unittest.TestCase):
    """Guards against an owner that knows only the workers that are listed."""

    def test_next_owner_keeps_run(self) -> None:
        """Guards against a run that lapses since nobody polls its worker."""
        play(self._next_owner_keeps_run)

    def test_next_owner_uses_unlisted(self) -> None:
        """Guards against a worker that is lost with the owner that knew it."""
        play(self._next_owner_uses_unlisted)

    def test_next_owner_uses_restarted(self) -> None:
        """Guards against the same after a restart under the worker's id."""
        play(self._next_owner_uses_restarted, *_OTHERS)

    def test_restart_between_owners(self) -> None:
        """Guards against the same if no owner has seen the restart."""
        play(self._restart_between_owners, *_OTHERS)

    def test_restart_at_next_owner(self) -> None:
        """Guards against the same if the next owner sees the restart."""
        play(self._restart_at_next_owner, *_OTHERS)

    def test_third_owner_uses_unlisted(self) -> None:
        """Guards against a worker that the next owner doesn't pass on."""
        play(self._third_owner_uses_unlisted)

    def test_unlisted_between_owners(self) -> None:
        """Guards against relying on an owner that sees the listing vanish."""
        play(self._unlisted_between_owners)

    def test_unlisted_and_restarted_between_owners(self) -> None:
        """Guards against the same if the worker restarts meanwhile."""
        play(self._unlisted_and_restarted_between_owners)

    def test_new_worker_is_unlisted_between_owners(self) -> None:
        """Guards against passing on only the workers of an owner's start."""
        play(self._new_worker_is_unlisted_between_owners)

    def test_label_at_next_owner(self) -> None:
        """Guards against labels that are lost with the owner."""
        play(self._label_at_next_owner)

    def test_label_of_restarted_at_next_owner(self) -> None:
        """Guards against a restart that is forgotten with the owner."""
        play(self._label_of_restarted_at_next_owner)

    async def _next_owner_keeps_run(self, scene: Scene) -> None:
        tasks = await scene.start_lasting('aa', 2)
        await scene.unlist()
        await scene.replace_owner()
        await scene.check_for(2 * UNUSED_S)
        self.assertEqual(tasks, frozenset(scene.worker.running))
        self.assertEqual(2, scene.cluster.starts().total())

    async def _next_owner_uses_unlisted(self, scene: Scene) -> None:
        await scene.unlist()
        await scene.replace_owner()
        await scene.finish(PLAIN)

    async def _next_owner_uses_restarted(self, scene: Scene) -> None:
        tasks = await scene.start_lasting('aa', 6)
        await scene.unlist()
        await scene.restart_in_the_dark()
        await scene.replace_owner()
        await scene.wait_at_work(tasks)

    async def _restart_between_owners(self, scene: Scene) -> None:
        tasks = await scene.start_lasting('aa', 6)
        await scene.unlist()
        scene.kill_owner()
        await scene.restart_in_the_dark()
        await scene.spawn_owner()
        await scene.wait_at_work(tasks)

    async def _restart_at_next_owner(self, scene: Scene) -> None:
        tasks = await scene.start_lasting('aa', 6)
        await scene.unlist()
        await scene.replace_owner()
        await scene.check_for(DARK_S)
        await scene.restart_in_the_dark()
        await scene.wait_at_work(tasks)

    async def _third_owner_uses_unlisted(self, scene: Scene) -> None:
        await scene.unlist()
        await scene.replace_owner()
        await scene.replace_owner()
        await scene.finish(PLAIN)

    async def _unlisted_between_owners(self, scene: Scene) -> None:
        scene.kill_owner()
        await scene.unlist()
        await scene.spawn_owner()
        await scene.finish(PLAIN)

    async def _unlisted_and_restarted_between_owners(
        self, scene: Scene
    ) -> None:
        scene.kill_owner()
        await scene.restart_in_the_dark()
        await scene.unlist()
        await scene.spawn_owner()
        await scene.finish(PLAIN)

    async def _new_worker_is_unlisted_between_owners(
        self, scene: Scene
    ) -> None:
        """Only the worker that was added later has the label."""
        await scene.cluster.add_worker('late', kind='c', tells_start=True)
        await trio.sleep(SETTLED_S)
        scene.kill_owner()
        scene.cluster.unlist('late')
        await scene.spawn_owner()
        await scene.finish(job_request('aa', step(required_label='c')))

    async def _label_at_next_owner(self, scene: Scene) -> None:
        await scene.unlist()
        await scene.replace_owner()
        await scene.finish(_LABELLED)

    async def _label_of_restarted_at_next_owner(self, scene: Scene) -> None:
        await scene.unlist()
        await scene.restart_in_the_dark()
        await scene.check_for(AT_WORK_LIMIT_S)
        await scene.replace_owner()
        await scene.finish(PLAIN)
        await scene.check_unused(_LABELLED)
