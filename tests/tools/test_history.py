"""History checker: it counts each kind of violation, and none in a good run."""

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
    count_exclusive_overlaps,
    count_finished_runs,
    count_repeated_starts,
    count_violations,
    parse_worker_record,
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
    violations = count_violations([caller], workers)
    counts = msgspec.structs.asdict(violations)
    return {name: count for name, count in counts.items() if count}


class HistoryTests(unittest.TestCase):
    """Guards against a checker that misses violations in a run."""

    def test_good_run_has_no_violation(self) -> None:
        """Guards against a checker that finds violations in every run."""
        self.assertEqual(_check(_CALLER, _WORKER), {})

    def test_two_calls_in_one_slot(self) -> None:
        """Guards against two calls in one slot that go unnoticed."""
        other = msgspec.structs.replace(_CALL, call_id='c2', request_id='r2')
        counts = _check(_CALLER, _worker(calls=(_CALL, other)))
        self.assertEqual(counts, {'overcommitted': 1})

    def test_refused_call_is_an_attempt(self) -> None:
        """Guards against overcommitment that only the worker prevented."""
        counts = _check(_CALLER, _worker(refused_calls_count=2))
        self.assertEqual(counts, {'overcommitted': 2})

    def test_too_many_connections(self) -> None:
        """Guards against connections above the limit that go unnoticed."""
        counts = _check(_CALLER, _worker(peak_connections_count=66))
        self.assertEqual(counts, {'overcommitted': 2})

    def test_request_without_answer(self) -> None:
        """Guards against a request without an answer that goes unnoticed."""
        counts = _check(_caller(outcome=CallerOutcome.NO_ANSWER), _WORKER)
        self.assertEqual(counts, {'lost_answers': 1})

    def test_answer_without_run(self) -> None:
        """Guards against an answer for a request that no worker ran."""
        self.assertEqual(
            _check(_CALLER, _worker(calls=())), {'lost_answers': 1}
        )

    def test_crossed_answer(self) -> None:
        """Guards against an answer to another request."""
        counts = _check(_caller(is_own_answer=False), _WORKER)
        self.assertEqual(counts, {'crossed_answers': 1})

    def test_doubled_run(self) -> None:
        """Guards against a notice that is published twice."""
        counts = _check(_CALLER, _WORKER, _worker(worker_id='w2'))
        self.assertEqual(counts, {'doubled_runs': 1})

    def test_false_not_run(self) -> None:
        """Guards against the outcome "not run" for a request that ran."""
        counts = _check(_caller(outcome=CallerOutcome.NOT_RUN), _WORKER)
        self.assertEqual(counts, {'false_not_run': 1})

    def test_cut_in_flight(self) -> None:
        """Guards against a planned stop that breaks a connection in use."""
        self.assertEqual(
            _check(_caller(was_cut=True), _WORKER),
            {'cut_in_flight': 1},
        )

    def test_late_to_leaving(self) -> None:
        """Guards against calls sent to a worker 3 s after it began to leave."""
        late = msgspec.structs.replace(_CALL, start_s=4.1, end_s=5)
        counts = _check(_CALLER, _worker(leaving_since_s=1.0, calls=(late,)))
        self.assertEqual(counts, {'late_to_leaving': 1})

    def test_exclusive_overlap(self) -> None:
        """Guards against two tasks of one exclusive key that run at once."""
        other = msgspec.structs.replace(_TASK, task_id='t2', start_s=4, end_s=9)
        workers = [_WORKER, _worker(worker_id='w2', tasks=(other,))]
        self.assertEqual(count_exclusive_overlaps(workers), 1)
        self.assertEqual(count_exclusive_overlaps([_WORKER]), 0)

    def test_second_resume(self) -> None:
        """Guards against an evicted attempt that is resumed on two workers."""
        workers = [_WORKER, _worker(worker_id='w2')]
        self.assertEqual(count_repeated_starts(workers), 1)
        self.assertEqual(count_finished_runs(workers)['t1'], 2)

    def test_overlapping_and_late_attempts(self) -> None:
        """Guards against attempts of a task that overlap or follow its end."""
        evicted = msgspec.structs.replace(_TASK, phase='stopped')
        later = msgspec.structs.replace(_TASK, fence=(1, 2), start_s=6, end_s=7)
        early = msgspec.structs.replace(later, start_s=4)
        for attempts, expected in (
            ((evicted, later), 0),
            ((evicted, early), 1),
            ((_TASK, later), 1),
        ):
            workers = [_worker(tasks=attempts)]
            self.assertEqual(count_repeated_starts(workers), expected)

    def test_parses_record_of_stand_in(self) -> None:
        """Guards against a parser that loses the task fields of a stand-in."""
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
        record = parse_worker_record(json.loads(msgspec.json.encode(shown)))
        parsed = record.tasks[0]
        self.assertEqual(
            (
                parsed.task_id,
                parsed.fence,
                parsed.exclusive_key,
                parsed.resumed_from,
            ),
            ('0-a.0', (2, 3), 'die-7', 200),
        )
        self.assertEqual((parsed.start_s, parsed.phase), (10, 'finished'))
        self.assertEqual(parsed.end_s, 10.8)
