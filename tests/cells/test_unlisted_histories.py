"""Random sequences of faults around the platform's list of workers.

Workers leave the list and come back, restart, some as another kind, and are
out of reach for a while, and owners follow each other. At the end all paths are
open, but the list stays as it is.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

import trio
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from marjoramwharf.ids import TaskId, WorkerId
from marjoramwharf.links.store import Write
from marjoramwharf.scheduling.fleet import WorkerListing, WorkerState
from marjoramwharf.scheduling.workload import JobRequest
from standins.simulated_worker import SimulatedWorker
from tests.cells.cluster import (
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)
from tests.cells.unlisting import SETTLED_S, at_work

# The last one may drain or get a malformed listing, so the others must do.
_WORKERS = ('w1', 'w2', 'w3')
_DRAINABLE = 'w3'
_KINDS = ('a', 'b')
_LABEL = 'b'
_EXAMPLES_COUNT = 60
_END_LIMIT_S = 60

_LASTING = job_request(
    'lasting', step(2, cpu_millicores=6_000, is_lasting=True), payload='serve'
)
_LABELLED = job_request(
    'labelled',
    step(2, required_label=_LABEL, is_lasting=True),
    payload='serve',
)
_PLAIN = job_request('plain', step(4), step(1, after=(0,)), payload='ms=2000')


@dataclass
class _Platform:
    """What the workers are, while the list may tell something else.

    ``kinds`` are those of the present incarnations, ``lives`` has all of them.
    """

    cluster: Cluster
    nursery: trio.Nursery
    kinds: dict[str, str] = field(default_factory=dict)
    lives: list[tuple[SimulatedWorker, str]] = field(default_factory=list)
    writes_count: int = 0

    def begin_life(self, name: str, kind: str) -> None:
        """Record the kind of a worker that has just started."""
        self.kinds[name] = kind
        self.lives.append((self.cluster.workers[WorkerId(name)], kind))

    def listing(self, name: str) -> WorkerListing:
        """Return the listing of the worker as it is."""
        worker_id = WorkerId(name)
        return replace(
            self.cluster.listings.get(worker_id, self._example()),
            worker_id=worker_id,
            host=name,
            state=WorkerState.READY,
            labels=(self.kinds[name], 'r1'),
            born_ms=self.cluster.workers[worker_id].born_ms,
        )

    def write(self, name: str, listing: WorkerListing | None) -> None:
        """List a worker; without a listing, it has a malformed one."""
        self.cluster.listings.pop(WorkerId(name), None)
        if listing is not None:
            self.cluster.listings[WorkerId(name)] = listing
        self.writes_count += 1
        body = str(self.writes_count).encode()
        self.cluster.store.state.apply([Write(f'servers/{name}', body)])

    def remove_outdated(self) -> None:
        """Let the listings of former incarnations expire."""
        for worker_id, listing in self.cluster.listings.items():
            if listing.born_ms != self.cluster.workers[worker_id].born_ms:
                self.cluster.unlist(worker_id)

    def _example(self) -> WorkerListing:
        return self.cluster.listings[WorkerId(_WORKERS[0])]


def _name(pick: int) -> str:
    return _WORKERS[pick % len(_WORKERS)]


def _unlist(platform: _Platform, pick: int) -> None:
    platform.cluster.unlist(_name(pick))


def _list(platform: _Platform, pick: int) -> None:
    platform.write(_name(pick), platform.listing(_name(pick)))


def _restart(platform: _Platform, pick: int) -> None:
    """Restart a worker, which may be of another kind then."""
    name = _name(pick)
    platform.cluster.restart_worker(name)
    platform.begin_life(name, _KINDS[pick % len(_KINDS)])


def _restart_and_list(platform: _Platform, pick: int) -> None:
    _restart(platform, pick)
    _list(platform, pick)


def _unlist_and_restart(platform: _Platform, pick: int) -> None:
    _unlist(platform, pick)
    _restart(platform, pick)


def _drain(platform: _Platform, _pick: int) -> None:
    listing = platform.listing(_DRAINABLE)
    platform.write(_DRAINABLE, replace(listing, state=WorkerState.DRAINING))


def _spoil(platform: _Platform, _pick: int) -> None:
    platform.write(_DRAINABLE, None)


def _disconnect(platform: _Platform, pick: int) -> None:
    platform.cluster.worker_client.unreachable.add(WorkerId(_name(pick)))


def _reconnect(platform: _Platform, _pick: int) -> None:
    platform.cluster.worker_client.unreachable.clear()


def _kill_owner(platform: _Platform, _pick: int) -> None:
    for candidate in platform.cluster.candidates:
        if candidate.cell is not None:
            candidate.scope.cancel()


def _stop_store(platform: _Platform, _pick: int) -> None:
    platform.cluster.store.is_down = True


def _start_store(platform: _Platform, _pick: int) -> None:
    platform.cluster.store.is_down = False


def _drop_history(platform: _Platform, _pick: int) -> None:
    platform.cluster.store.state.compact()


_Fault = Callable[[_Platform, int], None]
_FAULTS: tuple[_Fault, ...] = (
    _unlist,
    _unlist,
    _list,
    _restart,
    _restart_and_list,
    _unlist_and_restart,
    _drain,
    _spoil,
    _disconnect,
    _reconnect,
    _kill_owner,
    _stop_store,
    _start_store,
    _drop_history,
)

_HISTORIES = st.lists(
    st.tuples(
        st.sampled_from(_FAULTS),
        st.integers(min_value=0, max_value=5),
        st.sampled_from((0, 0.05, 0.3, 1.0, 2.5)),
    ),
    max_size=14,
)

# A history that fails isn't made smaller, since each one takes a second.
_REPEATABLE = settings(
    derandomize=True,
    max_examples=_EXAMPLES_COUNT,
    phases=(Phase.explicit, Phase.generate),
)


class UnlistedHistoryTests(unittest.TestCase):
    """Guards against work doubled or lost by what the list doesn't tell."""

    @_REPEATABLE
    @given(_HISTORIES)
    def test_one_entry(self, history: list[tuple[_Fault, int, float]]) -> None:
        """Guards against owners that start anew with an incomplete list."""
        run_with_clock(partial(self._play, history, entries_count=1))

    @_REPEATABLE
    @given(_HISTORIES)
    def test_several_entries(
        self, history: list[tuple[_Fault, int, float]]
    ) -> None:
        """Guards against the same while owners follow each other at once."""
        run_with_clock(partial(self._play, history, entries_count=3))

    async def _play(
        self,
        history: list[tuple[_Fault, int, float]],
        *,
        entries_count: int,
    ) -> None:
        async with open_cluster(()) as (cluster, nursery):
            platform = _Platform(cluster, nursery)
            for number, name in enumerate(_WORKERS):
                kind = _KINDS[number % len(_KINDS)]
                await cluster.add_worker(name, kind=kind, tells_start=True)
                platform.begin_life(name, kind)
            for number in range(entries_count):
                cluster.spawn(nursery, f'e{number}')
            await trio.sleep(SETTLED_S)
            for request in (_LASTING, _LABELLED, _PLAIN):
                await cluster.submit(request)
            for fault, pick, pause_s in history:
                fault(platform, pick)
                self._ensure_candidate(platform)
                await self._check_for(platform, pause_s)
            _start_store(platform, 0)
            _reconnect(platform, 0)
            platform.remove_outdated()
            await self._check_end(platform)

    def _ensure_candidate(self, platform: _Platform) -> None:
        cluster = platform.cluster
        if all(entry.scope.cancel_called for entry in cluster.candidates):
            cluster.spawn(platform.nursery, f'e{len(cluster.candidates)}')

    async def _check_for(self, platform: _Platform, duration_s: float) -> None:
        end_s = trio.current_time() + duration_s
        while trio.current_time() < end_s:
            await trio.sleep(0.02)
            platform.cluster.check_single_runs()

    async def _check_end(self, platform: _Platform) -> None:
        """Fail unless all work gets done, the labelled at a worker added now."""
        cluster = platform.cluster
        self._ensure_candidate(platform)
        await cluster.wait_until_done(_PLAIN, limit_s=_END_LIMIT_S)
        await self._wait_at_work(cluster, _LASTING)
        await cluster.add_worker('w4', kind=_LABEL, tells_start=True)
        await self._wait_at_work(cluster, _LABELLED)
        for worker, kind in platform.lives:
            if kind != _LABEL:
                self.assertFalse(_labelled_starts(worker))

    async def _wait_at_work(
        self, cluster: Cluster, request: JobRequest
    ) -> None:
        def is_at_work() -> bool:
            tasks = [
                task
                for task in at_work(cluster)
                if task.startswith(request.job_id)
            ]
            return len(tasks) == request.tasks_count

        await cluster.wait_until(is_at_work, limit_s=_END_LIMIT_S)


def _labelled_starts(worker: SimulatedWorker) -> list[TaskId]:
    """Return the starts of labelled tasks after the moment of a restart.

    A call that is carried out in that moment was sent to the incarnation before.
    """
    return [
        task
        for task, started_s in worker.start_times
        if task.startswith(_LABELLED.job_id) and started_s > worker.born_s
    ]
