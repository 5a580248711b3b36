"""History checker: each broken promise is caught, and a good run passes."""

from __future__ import annotations

import json
import unittest

import msgspec

from marjoramwharf.ids import Epoch, TaskId
from marjoramwharf.machines.calls import Demand, TaskStart
from standins.worker_tasks import TaskTable
from tools.history import (
    CallerOutcome,
    CallerRecord,
    WorkerCall,
    WorkerRecord,
    WorkerTask,
    check,
    exclusive_overlaps,
    finished_runs,
    read_record,
    resumed_twice,
)

_CALLER = CallerRecord('r1', is_idempotent=False, outcome=CallerOutcome.DONE)
_CALL = WorkerCall('c1', 'r1', start_s=1, end_s=2, state='finished')
_TASK = WorkerTask('t1', (1, 1), 'die-7', 1, 5, 'finished')
_WORKER = WorkerRecord(
    worker_id='w1',
    slots_count=1,
    connections_count=64,
    peak_slots_count=1,
    peak_connections_count=2,
    calls=(_CALL,),
    tasks=(_TASK,),
)


def _worker(**changes: object) -> WorkerRecord:
    return msgspec.structs.replace(_WORKER, **changes)


def _caller(**changes: object) -> CallerRecord:
    return msgspec.structs.replace(_CALLER, **changes)


def _check(caller: CallerRecord, *workers: WorkerRecord) -> dict[str, int]:
    violations = check([caller], workers)
    counts = msgspec.structs.asdict(violations)
    return {name: count for name, count in counts.items() if count}


class HistoryTests(unittest.TestCase):
    """Guards against a checker that passes a broken run."""

    def test_good_run_has_no_violation(self) -> None:
        """Guards against a checker that fails every run."""
        self.assertEqual(_check(_CALLER, _WORKER), {})

    def test_two_calls_in_one_slot(self) -> None:
        """Guards against a missed overcommitment."""
        other = msgspec.structs.replace(_CALL, call_id='c2', request_id='r2')
        seen = _check(_CALLER, _worker(calls=(_CALL, other)))
        self.assertEqual(seen, {'overcommitted': 1})

    def test_refused_call_is_an_attempt(self) -> None:
        """Guards against overcommitment that only the worker prevented."""
        seen = _check(_CALLER, _worker(refused_calls_count=2))
        self.assertEqual(seen, {'overcommitted': 2})

    def test_too_many_connections(self) -> None:
        """Guards against a missed connection above the limit."""
        seen = _check(_CALLER, _worker(peak_connections_count=66))
        self.assertEqual(seen, {'overcommitted': 2})

    def test_request_without_answer(self) -> None:
        """Guards against a missed lost answer."""
        seen = _check(_caller(outcome=CallerOutcome.NO_ANSWER), _WORKER)
        self.assertEqual(seen, {'lost_answers': 1})

    def test_answer_without_run(self) -> None:
        """Guards against an answer that no worker gave."""
        self.assertEqual(
            _check(_CALLER, _worker(calls=())), {'lost_answers': 1}
        )

    def test_crossed_answer(self) -> None:
        """Guards against an answer to another request."""
        seen = _check(_caller(is_own_answer=False), _WORKER)
        self.assertEqual(seen, {'crossed_answers': 1})

    def test_doubled_run(self) -> None:
        """Guards against a notice that is published twice."""
        seen = _check(_CALLER, _WORKER, _worker(worker_id='w2'))
        self.assertEqual(seen, {'doubled_runs': 1})

    def test_false_not_run(self) -> None:
        """Guards against "not run" for work that ran."""
        seen = _check(_caller(outcome=CallerOutcome.NOT_RUN), _WORKER)
        self.assertEqual(seen, {'false_not_run': 1})

    def test_cut_in_flight(self) -> None:
        """Guards against a planned stop that cuts a request."""
        self.assertEqual(
            _check(_caller(was_cut=True), _WORKER),
            {'cut_in_flight': 1},
        )

    def test_late_to_leaving(self) -> None:
        """Guards against work sent to a worker that left long ago."""
        late = msgspec.structs.replace(_CALL, start_s=4.1, end_s=5)
        seen = _check(_CALLER, _worker(leaving_since_s=1.0, calls=(late,)))
        self.assertEqual(seen, {'late_to_leaving': 1})

    def test_exclusive_overlap(self) -> None:
        """Guards against a die-wear batch in two places at once."""
        other = msgspec.structs.replace(_TASK, task_id='t2', start_s=4, end_s=9)
        workers = [_WORKER, _worker(worker_id='w2', tasks=(other,))]
        self.assertEqual(exclusive_overlaps(workers), 1)
        self.assertEqual(exclusive_overlaps([_WORKER]), 0)

    def test_second_resume(self) -> None:
        """Guards against evicted work that resumes twice."""
        workers = [_WORKER, _worker(worker_id='w2')]
        self.assertEqual(resumed_twice(workers), 1)
        self.assertEqual(finished_runs(workers)['t1'], 2)

    def test_overlapping_and_late_attempts(self) -> None:
        """Guards against a task that runs twice under two fences."""
        evicted = msgspec.structs.replace(_TASK, phase='stopped')
        later = msgspec.structs.replace(_TASK, fence=(1, 2), start_s=6, end_s=7)
        early = msgspec.structs.replace(later, start_s=4)
        for attempts, expected in (
            ((evicted, later), 0),
            ((evicted, early), 1),
            ((_TASK, later), 1),
        ):
            workers = [_worker(tasks=attempts)]
            self.assertEqual(resumed_twice(workers), expected)

    def test_reads_what_the_stand_in_shows(self) -> None:
        """Guards against a checker without task data."""
        table = TaskTable(Demand(4000, 4000), expires_at_s=100)
        start = TaskStart(
            task_id=TaskId('0-a.0'),
            fence=(2, 3),
            epoch=Epoch(1),
            exclusive_key='die-7',
            demand=Demand(1000, 1000),
            task_class='wear',
            run_ms=1000,
            checkpoint=200,
        )
        table.start(start, 10)
        table.advance(11)
        shown = {**msgspec.to_builtins(_WORKER), 'tasks': table.history}
        read = read_record(json.loads(msgspec.json.encode(shown)))
        seen = read.tasks[0]
        self.assertEqual(
            (seen.task_id, seen.fence, seen.exclusive_key, seen.resumed_from),
            ('0-a.0', (2, 3), 'die-7', 200),
        )
        self.assertEqual((seen.start_s, seen.phase), (10, 'finished'))
        self.assertEqual(seen.end_s, 10.8)
