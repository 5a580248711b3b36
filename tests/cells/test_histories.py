"""Random sequences of faults, checked against the guarantees of a cell.

Each example injects a list of faults into owners, workers and the store while
jobs run. Workers record the orders that they received, so the checks read the
state of the workers and of the store.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from itertools import repeat

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramwharf.errors import LeaseEnded
from marjoramwharf.ids import WorkerId
from tests.cells.cluster import (
    Cluster,
    job_request,
    open_cluster,
    run_with_clock,
    step,
)

_WORKERS = ('w1', 'w2', 'w3')
_JOBS_COUNT = 4
_EXAMPLES_COUNT = 60
_FREEZE_S = 0.9
_REPORT_DELAY_S = 0.8


def _kill_owner(cluster: Cluster, _pick: int) -> None:
    for candidate in cluster.candidates:
        if candidate.cell is not None:
            candidate.scope.cancel()


def _disconnect_worker(cluster: Cluster, pick: int) -> None:
    cluster.worker_client.unreachable.add(
        WorkerId(_WORKERS[pick % len(_WORKERS)])
    )


def _reconnect_workers(cluster: Cluster, _pick: int) -> None:
    cluster.worker_client.unreachable.clear()


def _restart_worker(cluster: Cluster, pick: int) -> None:
    cluster.restart_worker(_WORKERS[pick % len(_WORKERS)])


def _stop_store(cluster: Cluster, _pick: int) -> None:
    cluster.store.is_down = True


def _start_store(cluster: Cluster, _pick: int) -> None:
    cluster.store.is_down = False


def _expire_leases(cluster: Cluster, _pick: int) -> None:
    cluster.store.state.expire_all_leases()


def _lose_store_answers(cluster: Cluster, pick: int) -> None:
    cluster.store.answers_to_lose += pick


def _delay_commits(cluster: Cluster, pick: int) -> None:
    cluster.store.commits_to_delay += pick


def _apply_late_commits(cluster: Cluster, _pick: int) -> None:
    for commit in cluster.store.delayed_commits:
        # A delayed write whose lease has ended is refused and changes nothing.
        with suppress(LeaseEnded):
            commit()
    cluster.store.delayed_commits.clear()


def _lose_starts(cluster: Cluster, pick: int) -> None:
    cluster.worker_client.start_answers_to_lose += pick


def _repeat_starts(cluster: Cluster, pick: int) -> None:
    cluster.worker_client.starts_to_repeat += pick


def _delay_starts(cluster: Cluster, pick: int) -> None:
    cluster.worker_client.starts_to_delay += pick


def _deliver_late_starts(cluster: Cluster, _pick: int) -> None:
    for order in cluster.worker_client.delayed_orders:
        order()
    cluster.worker_client.delayed_orders.clear()


def _lose_poll_answers(cluster: Cluster, pick: int) -> None:
    cluster.worker_client.hold_answers_to_lose += pick


def _report_owner_ended(cluster: Cluster, _pick: int) -> None:
    """Report each owner as ended to the other candidates, dead or alive."""
    for candidate in cluster.candidates:
        for owner in tuple(candidate.view.owners.values()):
            if candidate.cell is None:
                candidate.view.mark_owner_ended(owner)


def _freeze_owner(cluster: Cluster, pick: int) -> None:
    """Let each owner stand still, for up to twice its own lease."""
    for candidate in cluster.candidates:
        if candidate.cell is not None:
            candidate.gate.freeze(pick * _FREEZE_S)


def _delay_reports(cluster: Cluster, pick: int) -> None:
    cluster.worker_client.hold_answer_delays_s += repeat(_REPORT_DELAY_S, pick)


def _cut_path(cluster: Cluster, pick: int) -> None:
    """Cut the paths between an entry and all workers but one."""
    candidate = cluster.candidates[pick % len(cluster.candidates)]
    spared = _WORKERS[pick % len(_WORKERS)]
    candidate.unreachable.update(map(WorkerId, _WORKERS))
    candidate.unreachable.discard(WorkerId(spared))


def _open_paths(cluster: Cluster, _pick: int) -> None:
    for candidate in cluster.candidates:
        candidate.unreachable.clear()


def _freeze_other(cluster: Cluster, pick: int) -> None:
    """Let each entry that is no owner stand still, with the calls it makes."""
    for candidate in cluster.candidates:
        if candidate.cell is None:
            candidate.gate.freeze(pick * _FREEZE_S)


_Fault = Callable[[Cluster, int], None]
_FAULTS: tuple[_Fault, ...] = (
    _kill_owner,
    _disconnect_worker,
    _reconnect_workers,
    _restart_worker,
    _stop_store,
    _start_store,
    _expire_leases,
    _lose_store_answers,
    _delay_commits,
    _apply_late_commits,
    _lose_starts,
    _repeat_starts,
    _delay_starts,
    _deliver_late_starts,
    _lose_poll_answers,
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


# Standing still and late reports are as frequent as all other faults together.
_LATE_FAULTS = _FAULTS + (_freeze_owner, _delay_reports) * (len(_FAULTS) // 2)

# Cut paths, and entries that stand still while they call workers for the owner,
# are as frequent as all other faults together.
_PATH_FAULTS = _FAULTS + (
    _cut_path,
    _cut_path,
    _open_paths,
    _freeze_other,
) * (len(_FAULTS) // 4)

# The false report that an owner has ended is as frequent as all other faults
# together.
_RIVAL_FAULTS = _FAULTS + (_report_owner_ended,) * len(_FAULTS)


_REPEATABLE = settings(derandomize=True, max_examples=_EXAMPLES_COUNT)


class HistoryTests(unittest.TestCase):
    """Guards against work doubled or lost by any order of these faults."""

    @_REPEATABLE
    @given(_histories(_FAULTS))
    def test_any_history(
        self, history: list[tuple[_Fault, int, float]]
    ) -> None:
        """Guards against a history that breaks a promise."""
        run_with_clock(partial(self._play, history))

    @_REPEATABLE
    @given(_histories(_RIVAL_FAULTS))
    def test_rivals(self, history: list[tuple[_Fault, int, float]]) -> None:
        """Guards against two owners when a living one is taken for dead."""
        run_with_clock(partial(self._play, history, entries_count=3))

    @_REPEATABLE
    @given(_histories(_LATE_FAULTS))
    def test_late_owners(
        self, history: list[tuple[_Fault, int, float]]
    ) -> None:
        """Guards against acting on old news, or by a right that has ended."""
        run_with_clock(partial(self._play, history, entries_count=2))

    @_REPEATABLE
    @given(_histories(_PATH_FAULTS))
    def test_cut_paths(self, history: list[tuple[_Fault, int, float]]) -> None:
        """Guards against work doubled by calls through other entries."""
        run_with_clock(partial(self._play, history, entries_count=3))

    async def _play(
        self,
        history: list[tuple[_Fault, int, float]],
        entries_count: int = 1,
    ) -> None:
        async with open_cluster(_WORKERS) as (cluster, nursery):
            for number in range(entries_count):
                cluster.spawn(nursery, f'e{number}')
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
                await cluster.submit(request)
            for fault, pick, pause_s in history:
                fault(cluster, pick)
                self._ensure_candidate(cluster, nursery)
                await self._check_runs_for(cluster, pause_s)
            for fault in (
                _start_store,
                _reconnect_workers,
                _open_paths,
                _apply_late_commits,
            ):
                fault(cluster, 0)
            _deliver_late_starts(cluster, 0)
            await cluster.wait_until_done(*requests, limit_s=90)
            _deliver_late_starts(cluster, 0)
            await self._check_runs_for(cluster, 1)
            self._check_no_start_after_end(cluster)

    def _ensure_candidate(
        self, cluster: Cluster, nursery: trio.Nursery
    ) -> None:
        if all(
            candidate.scope.cancel_called for candidate in cluster.candidates
        ):
            cluster.spawn(nursery, f'e{len(cluster.candidates)}')

    async def _check_runs_for(
        self, cluster: Cluster, duration_s: float
    ) -> None:
        end_s = trio.current_time() + duration_s
        while trio.current_time() < end_s:
            await trio.sleep(0.02)
            cluster.check_single_runs()

    def _check_no_start_after_end(self, cluster: Cluster) -> None:
        """Fail if a task was started after its end was acknowledged as done."""
        all_workers = [*cluster.workers.values(), *cluster.former_workers]
        for worker in all_workers:
            for task, ended_s in worker.acknowledged_completions:
                later = [
                    started_s
                    for other in all_workers
                    for started, started_s in other.start_times
                    if started == task and started_s > ended_s
                ]
                self.assertFalse(later, f'{task} started after its end')
