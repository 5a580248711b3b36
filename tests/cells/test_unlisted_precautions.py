"""Limits of what may be done with workers missing from the platform's list."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.cells.job_status import PublicJobState
from marjoramwharf.ids import WorkerId
from marjoramwharf.scheduling.fleet import Resources, WorkerState
from tests.cells.cluster import HOLD_MS, Cluster, job_request, step
from tests.cells.unlisting import (
    AT_WORK_LIMIT_S,
    DARK_S,
    LISTED_S,
    PLAIN,
    UNLISTED,
    Scene,
    play,
)

_OTHERS = ('w2', 'w3')
_MS_PER_S = 1_000

# A lease and the time until its owner notices that the path is lost.
_LEASE_S = HOLD_MS / _MS_PER_S + 4

# The same if the owner is lost as well: the next one counts from its own start.
_LEASE_OF_LOST_OWNER_S = 14.0

# A worker that never answers is polled no more in the last part of this time.
_SILENT_S = 200.0
_UNPOLLED_S = 30.0

# A new listing counts, for a worker that answers, from about this time on.
_AT_ONCE_S = 2.0

_SMALL = Resources(2_000, 8_000, 0)


class UnusedWorkerTests(unittest.TestCase):
    """Guards against runs at workers that must take none."""

    def test_draining_worker_is_unlisted(self) -> None:
        """Guards against starts at a worker that is about to leave."""
        play(self._draining)

    def test_draining_worker_at_next_owner(self) -> None:
        """Guards against a state that is lost with the owner."""
        play(self._draining_at_next_owner)

    def test_draining_worker_is_unlisted_between_owners(self) -> None:
        """Guards against a stored listing of before the worker drained."""
        play(self._draining_between_owners)

    def test_draining_worker_restarts(self) -> None:
        """Guards against starts since the incarnation is another one."""
        play(self._draining_restarts)

    def test_draining_worker_restarts_between_owners(self) -> None:
        """Guards against the same at the next owner."""
        play(self._draining_restarts_between_owners)

    def test_malformed_listing(self) -> None:
        """Guards against a malformed listing that counts as a missing one."""
        play(self._malformed)

    def test_malformed_listing_of_restarted_worker(self) -> None:
        """Guards against the same after a restart."""
        play(self._malformed_and_restarted)

    def test_malformed_listing_at_next_owner(self) -> None:
        """Guards against a stored listing that counts beside a malformed one."""
        play(self._malformed_at_next_owner)

    def test_malformed_listing_between_owners(self) -> None:
        """Guards against the same if no owner has seen the listing change."""
        play(self._malformed_between_owners)

    def test_listing_is_mended(self) -> None:
        """Guards against a worker that is out of use after a bad listing."""
        play(self._mended)

    async def _draining(self, scene: Scene) -> None:
        await _drain(scene)
        await scene.unlist()
        await scene.check_unused()

    async def _draining_at_next_owner(self, scene: Scene) -> None:
        await _drain(scene)
        await scene.unlist()
        await scene.replace_owner()
        await scene.check_unused()

    async def _draining_between_owners(self, scene: Scene) -> None:
        """The listing has been read for long enough to be stored."""
        await _drain(scene)
        await scene.check_for(_AT_ONCE_S)
        scene.kill_owner()
        await scene.unlist()
        await scene.spawn_owner()
        await scene.check_unused()

    async def _draining_restarts(self, scene: Scene) -> None:
        await _drain(scene)
        await scene.unlist()
        await scene.restart_in_the_dark()
        await scene.check_unused()

    async def _draining_restarts_between_owners(self, scene: Scene) -> None:
        await _drain(scene)
        await scene.unlist()
        scene.kill_owner()
        await scene.restart_in_the_dark()
        await scene.spawn_owner()
        await scene.check_unused()

    async def _malformed(self, scene: Scene) -> None:
        await scene.spoil_listing()
        await scene.check_unused()

    async def _malformed_and_restarted(self, scene: Scene) -> None:
        await scene.spoil_listing()
        await scene.restart_in_the_dark()
        await scene.check_unused()

    async def _malformed_at_next_owner(self, scene: Scene) -> None:
        await scene.spoil_listing()
        await scene.replace_owner()
        await scene.check_unused()

    async def _malformed_between_owners(self, scene: Scene) -> None:
        scene.kill_owner()
        await scene.spoil_listing()
        await scene.spawn_owner()
        await scene.check_unused()

    async def _mended(self, scene: Scene) -> None:
        listing = scene.cluster.listings[UNLISTED]
        await scene.spoil_listing()
        scene.cluster.listings[UNLISTED] = listing
        await scene.list_again()
        await scene.finish(PLAIN, limit_s=_AT_ONCE_S)


class GoneWorkerTests(unittest.TestCase):
    """Guards against tasks and polls that wait for a worker that is gone."""

    def test_another_worker_answers(self) -> None:
        """Guards against tasks held though their worker has been replaced."""
        play(self._another_answers, *_OTHERS)

    def test_another_worker_answers_the_next_owner(self) -> None:
        """Guards against polls of a stored address that others have now."""
        play(self._another_answers_the_next_owner, *_OTHERS)

    def test_unlisted_worker_is_silent(self) -> None:
        """Guards against tasks held, or doubled, by a worker out of reach."""
        play(self._silent, *_OTHERS)

    def test_silent_worker_at_next_owner(self) -> None:
        """Guards against the same, and polls for ever, by the next owner."""
        play(self._silent_at_next_owner, *_OTHERS)

    def test_silent_worker_between_owners(self) -> None:
        """Guards against polls for ever of a worker that nobody has seen go."""
        play(self._silent_between_owners, *_OTHERS)

    def test_new_worker_refuses(self) -> None:
        """Guards against a task that waits at a worker without room."""
        play(self._refuses, *_OTHERS)

    def test_new_worker_refuses_lasting(self) -> None:
        """Guards against lasting tasks that wait there."""
        play(self._refuses_lasting, *_OTHERS)

    def test_new_worker_refuses_a_member_of_a_gang(self) -> None:
        """Guards against a gang that is started there again and again."""
        play(self._refuses_gang, *_OTHERS)

    async def _another_answers(self, scene: Scene) -> None:
        count = await _start_lasting(scene)
        _replace_at_address(scene.cluster)
        await scene.unlist()
        await _wait_at_others(scene, count, limit_s=AT_WORK_LIMIT_S)
        await _check_forgotten(scene, 2 * _UNPOLLED_S)

    async def _another_answers_the_next_owner(self, scene: Scene) -> None:
        count = await _start_lasting(scene)
        await scene.unlist()
        scene.kill_owner()
        _replace_at_address(scene.cluster)
        await scene.spawn_owner()
        await _wait_at_others(scene, count, limit_s=_LEASE_OF_LOST_OWNER_S)
        await _check_forgotten(scene, 2 * _UNPOLLED_S)

    async def _silent(self, scene: Scene) -> None:
        count = await _start_lasting(scene)
        _cut(scene)
        await scene.unlist()
        await _wait_at_others(scene, count, limit_s=_LEASE_S)
        await _check_forgotten(scene, _SILENT_S)

    async def _silent_at_next_owner(self, scene: Scene) -> None:
        count = await _start_lasting(scene)
        await scene.unlist()
        _cut(scene)
        await scene.replace_owner()
        await _wait_at_others(scene, count, limit_s=_LEASE_OF_LOST_OWNER_S)
        await _check_forgotten(scene, _SILENT_S)

    async def _silent_between_owners(self, scene: Scene) -> None:
        scene.kill_owner()
        _cut(scene)
        await scene.unlist()
        await scene.spawn_owner()
        await scene.finish(PLAIN)
        await _check_forgotten(scene, _SILENT_S)

    async def _refuses(self, scene: Scene) -> None:
        await _restart_without_room(scene)
        many = job_request('many', step(10), payload='ms=300')
        await scene.finish(many)

    async def _refuses_lasting(self, scene: Scene) -> None:
        await _restart_without_room(scene)
        await scene.start_lasting('aa', 2 * len(_OTHERS))

    async def _refuses_gang(self, scene: Scene) -> None:
        await _restart_without_room(scene)
        members = step(2, cpu_millicores=8_000, is_gang=True)
        await scene.finish(job_request('gang', members))


class ListedAgainTests(unittest.TestCase):
    """Guards against what is known of before that a new listing replaces."""

    def test_listed_at_another_address(self) -> None:
        """Guards against polls of an address that the worker has left."""
        play(self._another_address)

    def test_listed_with_smaller_capacity(self) -> None:
        """Guards against runs that don't fit the new incarnation."""
        play(self._smaller_capacity)

    def test_listed_with_smaller_capacity_between_owners(self) -> None:
        """Guards against a stored listing that counts beside a newer one."""
        play(self._smaller_capacity_between_owners)

    def test_listed_as_draining(self) -> None:
        """Guards against starts at a worker that has said that it leaves."""
        play(self._listed_as_draining)

    def test_listed_as_draining_without_restart(self) -> None:
        """Guards against the same if the worker hasn't restarted."""
        play(self._listed_as_draining_without_restart)

    def test_listed_with_another_label(self) -> None:
        """Guards against doubt of the labels of a new incarnation."""
        play(self._another_label)

    async def _another_address(self, scene: Scene) -> None:
        await _restart_unlisted(scene)
        scene.cluster.worker_client.foreign_hosts.add(UNLISTED)
        await scene.check_for(_AT_ONCE_S)
        await scene.list_again(host='elsewhere')
        await scene.finish(PLAIN, limit_s=_AT_ONCE_S)

    async def _smaller_capacity(self, scene: Scene) -> None:
        await _restart_unlisted(scene)
        await scene.list_again(capacity=_SMALL)
        await trio.sleep(LISTED_S)
        await self._check_one_at_a_time(scene)

    async def _smaller_capacity_between_owners(self, scene: Scene) -> None:
        await scene.unlist()
        scene.kill_owner()
        await scene.restart_in_the_dark()
        await scene.list_again(capacity=_SMALL)
        await scene.spawn_owner()
        await self._check_one_at_a_time(scene)

    async def _check_one_at_a_time(self, scene: Scene) -> None:
        tasks = step(4, cpu_millicores=1_500)
        request = job_request('aa', tasks, payload='ms=300')
        await scene.cluster.submit(request)
        counts: set[int] = set()

        def is_done() -> bool:
            counts.add(len(scene.worker.running))
            return scene.cluster.state(request) is PublicJobState.DONE

        await scene.cluster.wait_until(is_done)
        self.assertEqual(1, max(counts))

    async def _listed_as_draining(self, scene: Scene) -> None:
        await _restart_unlisted(scene)
        await _drain(scene)
        await scene.check_unused()

    async def _listed_as_draining_without_restart(self, scene: Scene) -> None:
        await scene.unlist()
        await _drain(scene)
        await scene.check_unused()

    async def _another_label(self, scene: Scene) -> None:
        await _restart_unlisted(scene)
        await scene.list_again(labels=('c', 'r1'))
        suited = step(required_label='c')
        await scene.finish(
            job_request('aa', suited, payload='ms=50'), limit_s=_AT_ONCE_S
        )
        unsuited = step(required_label='b')
        await scene.check_unused(job_request('bb', unsuited, payload='ms=50'))


async def _drain(scene: Scene) -> None:
    """List the worker as about to leave."""
    await scene.list_again(state=WorkerState.DRAINING)
    await trio.sleep(LISTED_S)


async def _restart_unlisted(scene: Scene) -> None:
    await scene.unlist()
    await scene.restart_in_the_dark()
    await scene.check_for(DARK_S)


async def _restart_without_room(scene: Scene) -> None:
    await scene.unlist()
    worker = await scene.restart_in_the_dark()
    worker.capacity = 0
    await scene.check_for(DARK_S)


def _cut(scene: Scene) -> None:
    """Cut the paths to the worker, which runs on."""
    scene.cluster.worker_client.unreachable.add(UNLISTED)


def _replace_at_address(cluster: Cluster) -> None:
    """End the worker's life, and give its address to another one."""
    cluster.former_workers.append(cluster.workers.pop(UNLISTED))
    cluster.worker_client.foreign_hosts.add(UNLISTED)


async def _start_lasting(scene: Scene) -> int:
    """Start tasks that the other workers could hold; return their number."""
    tasks = await scene.start_lasting('aa', 2 * len(_OTHERS))
    if not scene.worker.running:
        raise AssertionError(f'nothing runs at {UNLISTED}')
    return len(tasks)


async def _wait_at_others(scene: Scene, count: int, *, limit_s: float) -> None:
    """Wait until this many tasks run at the workers that are listed."""
    cluster = scene.cluster
    others = [cluster.workers[WorkerId(name)] for name in _OTHERS]
    await cluster.wait_until(
        lambda: sum(len(worker.running) for worker in others) == count,
        limit_s=limit_s,
    )


async def _check_forgotten(scene: Scene, duration_s: float) -> None:
    """Fail if the worker is polled in the last part of a time."""
    await scene.check_for(duration_s - _UNPOLLED_S)
    sent_holds = scene.cluster.worker_client.sent_holds
    before = sent_holds[UNLISTED]
    await scene.check_for(_UNPOLLED_S)
    if sent_holds[UNLISTED] > before:
        raise AssertionError(f'{UNLISTED} is still polled')
