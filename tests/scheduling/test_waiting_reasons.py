"""The reasons for which workers don't take a task that waits."""

from __future__ import annotations

import itertools
import unittest
from dataclasses import replace

from marjoramwharf.ids import DataCentreId, WorkerId
from marjoramwharf.scheduling.fleet import Worker, WorkerState
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_state import Run, Task
from marjoramwharf.scheduling.job_table import JobTable, job_of
from marjoramwharf.scheduling.pass_outcomes import StepOutcome
from marjoramwharf.scheduling.placement import PlacementContext
from marjoramwharf.scheduling.planner import Planner
from marjoramwharf.scheduling.waiting_reasons import (
    WorkerReason,
    count_workers,
    count_workers_for,
    worker_reason,
)
from marjoramwharf.scheduling.waiting_tasks import find_long_waits
from tests.scheduling.fixtures import (
    QUEUES,
    SERVICE,
    add_job,
    first_task,
    make_fleet,
    make_step,
    make_worker,
    start_run,
)

_NOW_S = 100.0
_RUSE = DataCentreId('ruse')


def _unreachable(worker: Worker, listed_at_s: float) -> None:
    worker.is_reachable = False
    worker.record_listing(7, now_s=listed_at_s)
    worker.record_listing(7, now_s=_NOW_S)


def _restart(worker: Worker) -> None:
    worker.listing = replace(worker.listing, born_ms=2)
    worker.born_ms = 1


def _block(worker: Worker) -> None:
    worker.blocked_until_s = _NOW_S + 1


def _quarantine(worker: Worker) -> None:
    for _ in range(4):
        worker.record_outcome(has_failed=True, now_s=_NOW_S)


def _drain(worker: Worker) -> None:
    worker.listing = replace(worker.listing, state=WorkerState.DRAINING)


def _leave(_worker: Worker) -> None:
    """Leave a worker usable."""


_CHANGES = {
    WorkerReason.USABLE: _leave,
    WorkerReason.DRAINING: _drain,
    WorkerReason.UNREACHABLE_SILENT: lambda worker: _unreachable(worker, 1),
    WorkerReason.UNREACHABLE_ALIVE: lambda worker: _unreachable(worker, 98),
    WorkerReason.OTHER_INCARNATION: _restart,
    WorkerReason.BLOCKED: _block,
    WorkerReason.QUARANTINED: _quarantine,
}


class WorkerReasonTests(unittest.TestCase):
    """Guards against an unusable worker that counts as usable, or reversed."""

    def test_each_reason(self) -> None:
        """Guards against a reason that is taken for another one."""
        for reason, change in _CHANGES.items():
            worker = make_worker('w1')
            change(worker)
            with self.subTest(reason=reason):
                counts = count_workers(make_fleet(worker), _NOW_S)
                self.assertEqual({reason: 1}, counts)

    def test_agrees_with_the_planner(self) -> None:
        """Guards against a rule of the planner that has no reason."""
        for first, second in itertools.product(_CHANGES.values(), repeat=2):
            for evacuated in (frozenset(), frozenset((_RUSE,))):
                worker = make_worker('w1')
                first(worker)
                second(worker)
                fleet = make_fleet(worker)
                fleet.evacuated = evacuated
                reason = worker_reason(fleet, worker, _NOW_S)
                usable = fleet.usable_workers_of(SERVICE, _NOW_S)
                self.assertIs(bool(usable), reason is WorkerReason.USABLE)


class TaskReasonTests(unittest.TestCase):
    """Guards against a wrong reason why a usable worker takes no task."""

    def setUp(self) -> None:
        """Create a worker and a job table."""
        self.job_table = JobTable()
        self.worker = make_worker('w1')
        self.context = PlacementContext(
            InterferenceModel(), _NOW_S, allowed_harm=1
        )

    def test_room(self) -> None:
        """Guards against a full worker that counts as one with room."""
        self.assertEqual(WorkerReason.HAS_ROOM, self._reason(self._task('a')))
        large = self._task('b', cpu_millicores=32_001)
        self.assertEqual(WorkerReason.UNSUITABLE, self._reason(large))
        self._start('c', cpu_millicores=31_000)
        self.assertEqual(WorkerReason.NO_ROOM, self._reason(self._task('d')))

    def test_unconfirmed_start(self) -> None:
        """Guards against room held by a run that may not have started."""
        run = self._start('a', cpu_millicores=31_000)
        run.is_start_unconfirmed = True
        self.assertEqual(WorkerReason.NO_ROOM, self._reason(self._task('b')))
        run.started_s = None
        self.assertEqual(
            WorkerReason.ROOM_UNCONFIRMED, self._reason(self._task('c'))
        )

    def test_ticket_and_limit(self) -> None:
        """Guards against a missing ticket that looks like missing room."""
        task = self._task('a', per_worker_limit=1)
        self.assertEqual(WorkerReason.NO_TICKET, self._reason(task, set()))
        tickets = {self.worker.worker_id}
        self.assertEqual(WorkerReason.HAS_ROOM, self._reason(task, tickets))
        start_run(self.job_table, task, self.worker)
        self.assertEqual(WorkerReason.LIMIT, self._reason(task, tickets))

    def test_filling(self) -> None:
        """Guards against filling work held back that looks like no room."""
        task = self._task('a', fills=True)
        self.assertEqual(WorkerReason.HAS_ROOM, self._reason(task))
        self.worker.harms[('', 2_000)] = 1.1
        self.assertEqual(WorkerReason.HARM, self._reason(task))
        self.worker.is_filling_paused = True
        self.assertEqual(WorkerReason.FILLING_PAUSED, self._reason(task))

    def test_outcomes(self) -> None:
        """Guards against a step passed over that looks like any other."""
        planner = Planner(
            self.job_table,
            make_fleet(self.worker),
            self.context.model,
            lambda _step: None,
        )
        tasks = [
            self._task(name, cpu_millicores=need)
            for name, need in (('a', 30_000), ('b', 20_000), ('c', 25_000))
        ]
        planner.plan(QUEUES, now_s=1, now_ms=1_000)
        outcomes = [planner.latest_pass.outcome_of(task.step) for task in tasks]
        self.assertEqual(
            [StepOutcome.PLACED, StepOutcome.NO_WORKER, StepOutcome.RULED_OUT],
            outcomes,
        )

    def test_idle_job(self) -> None:
        """Guards against an open job without work that nobody sees."""
        job = job_of(self._task('a'))
        self.job_table.ready.clear()
        self.assertFalse(find_long_waits(self.job_table, 2).idle_jobs)
        self.assertEqual([job], find_long_waits(self.job_table, 4).idle_jobs)

    def _task(self, name: str, **fields: object) -> Task:
        return first_task(add_job(self.job_table, name, make_step(1, **fields)))

    def _start(self, name: str, **fields: object) -> Run:
        return start_run(
            self.job_table, self._task(name, **fields), self.worker
        )

    def _reason(
        self, task: Task, tickets: set[WorkerId] | None = None
    ) -> WorkerReason:
        counts = count_workers_for(
            task,
            make_fleet(self.worker),
            SERVICE,
            self.context,
            tickets,
        )
        return next(iter(counts))
