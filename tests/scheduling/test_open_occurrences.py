"""Scheduled jobs of which many times have passed, or whose runs overlap."""

from __future__ import annotations

import sys
import unittest
from collections import Counter
from collections.abc import Callable
from types import FrameType
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramwharf.cells.records import (
    ProgressRecord,
    TaskRecord,
    build_progress_record,
    decode,
    encode,
    restore_job,
)
from marjoramwharf.ids import JobId, TaskId
from marjoramwharf.scheduling.job_state import Job, JobPhase, RunEnd, Task
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.workload import JobRequest, StepRequest
from tests.scheduling.fixtures import make_step, make_worker, start_run

_FEW = 300
_MANY = 21_600
_HUGE = 1_000_000
_LATE_MS = 10**9
_MAX_READY_COUNT = 100
_RUNNING_COUNT = 40

_ENDS = st.sampled_from((RunEnd.DONE, RunEnd.DONE, RunEnd.STOPPED))


class PassedTimesTests(unittest.TestCase):
    """Guards against an owner that is held up by one scheduled job."""

    def setUp(self) -> None:
        """Start with an empty table."""
        self.worker = make_worker('w1')

    def test_work_does_not_grow(self) -> None:
        """Guards against work for each end that grows with the due times."""
        few = self._count_work(_FEW)
        many = self._count_work(_MANY)
        for name, lines_count in few.items():
            with self.subTest(name):
                self.assertLess(many[name], 1.2 * lines_count + 20)

    def test_record_of_a_former_build(self) -> None:
        """Guards against thousands of occurrences restored at once.

        One in the middle has begun, and some before it have not.
        """
        record = ProgressRecord(
            JobPhase.OPEN,
            next_occurrence=20_000,
            open_occurrences=(3, 5, *range(6, 20_000)),
            tasks=(TaskRecord(5, 0, 0, last_run=1),),
        )
        request = _make_request(_MANY)
        job = restore_job(request, record, revision=1, now_s=0)
        job_table = _restored_table(job)
        self.assertEqual(_MAX_READY_COUNT, len(job_table.ready))
        started = sorted(self._run_all(job_table, job, until=50))
        self.assertEqual([3, *range(5, 54)], started)

    def test_runs_are_long_and_times_come_fast(self) -> None:
        """Guards against overlapping occurrences that wait for each other."""
        job_table = JobTable()
        job = job_table.add(_make_request(_MANY), now_s=0, now_ms=0)
        for number in range(2_000):
            job_table.create_due_occurrences(now_s=number, now_ms=number)
            for task in tuple(job_table.ready.values()):
                start_run(job_table, task, self.worker)
        self.assertEqual(list(range(2_000)), list(job.occurrences))

    def test_later_steps_wait_for_room(self) -> None:
        """Guards against occurrences opened while those begun can't go on."""
        job_table = JobTable()
        second = make_step(after=(0,))
        request = _make_request(_MANY, make_step(), second)
        job = job_table.add(request, now_s=0, now_ms=_LATE_MS)
        for _ in range(5):
            for task in tuple(job_table.ready.values()):
                if not task.step.number:
                    run = start_run(job_table, task, self.worker)
                    _end(job_table, task, RunEnd.DONE, run.number)
            job_table.create_due_occurrences(now_s=0, now_ms=_LATE_MS)
        self.assertEqual(_MAX_READY_COUNT, len(job.occurrences))

    def test_lasting_runs(self) -> None:
        """Guards against a record that grows with a job that never ends."""
        job_table = JobTable()
        request = _make_request(_HUGE, make_step(is_lasting=True))
        job = job_table.add(request, now_s=0, now_ms=_LATE_MS)
        self._run_all(job_table, job, until=4_500, ends=False)
        self.assertEqual(4_000, len(job.occurrences))

    def test_job_ends_with_its_last_occurrence(self) -> None:
        """Guards against a job that is done before all times have run."""
        job_table = JobTable()
        job = job_table.add(_make_request(_FEW), now_s=0, now_ms=_LATE_MS)
        started = self._run_all(job_table, job, until=_FEW - 1)
        self.assertIs(JobPhase.OPEN, job.phase)
        started += self._run_all(job_table, job, until=1)
        self.assertIs(JobPhase.DONE, job.phase)
        self.assertEqual(list(range(_FEW)), started)
        self.assertFalse(job.occurrences)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(st.tuples(_ENDS, st.booleans()), max_size=400))
    def test_owners_change(self, ends: list[tuple[RunEnd, bool]]) -> None:
        """Guards against a time that is left out, or runs again, after that."""
        job_table = JobTable()
        job = job_table.add(_make_request(130), now_s=0, now_ms=_LATE_MS)
        done: Counter[TaskId] = Counter()
        for how, has_new_owner in ends:
            task = next(iter(job_table.ready.values()), None)
            if task is None:
                break
            run = start_run(job_table, task, self.worker)
            _end(job_table, task, how, run.number)
            done[task.name] += how is RunEnd.DONE
            if has_new_owner:
                job = _restore(job)
                job_table = _restored_table(job)
            job_table.create_due_occurrences(now_s=0, now_ms=_LATE_MS)
        self.assertLessEqual(max(done.values(), default=0), 1)
        left = self._run_all(job_table, job, until=130)
        self.assertEqual(130, len(left) + sum(done.values()))
        self.assertIs(JobPhase.DONE, job.phase)

    def _count_work(self, due_count: int) -> dict[str, int]:
        """Return the lines of Python that each kind of work executes."""
        job_table = JobTable()
        request = _make_request(2 * due_count)
        now_ms = due_count - 1
        job = job_table.add(request, now_s=0, now_ms=now_ms)
        started = list(job_table.ready.values())[:_RUNNING_COUNT]
        runs = [start_run(job_table, task, self.worker) for task in started]
        return {
            'end': _lines_of(
                lambda: _end(job_table, started[0], RunEnd.DONE, runs[0].number)
            ),
            'next': _lines_of(
                lambda: job_table.create_due_occurrences(now_s=1, now_ms=now_ms)
            ),
            'plan': len(job_table.ready),
            'write': _lines_of(lambda: build_progress_record(job)),
            'bytes': len(encode(build_progress_record(job))),
            'maintenance': _lines_of(lambda: job_table.surplus_runs(job)),
            'restore': _lines_of(lambda: _restored_table(_restore(job))),
        }

    def _run_all(
        self, job_table: JobTable, job: Job, *, until: int, ends: bool = True
    ) -> list[int]:
        """Run up to ``until`` tasks; return their occurrences in order."""
        started: list[int] = []
        while len(started) < until and job_table.ready:
            task = next(iter(job_table.ready.values()))
            self.assertLessEqual(len(job_table.ready), _MAX_READY_COUNT)
            started.append(task.step.occurrence.number)
            run = start_run(job_table, task, self.worker)
            if ends:
                _end(job_table, task, RunEnd.DONE, run.number)
            job_table.create_due_occurrences(now_s=1, now_ms=_LATE_MS)
        return started


def _make_request(repeat_count: int, *steps: StepRequest) -> JobRequest:
    return JobRequest(
        job_id=JobId('j'),
        queue='q',
        service='s',
        payload='',
        steps=steps or (make_step(),),
        accepted_at_ms=0,
        repeat_count=repeat_count,
        interval_ms=1,
    )


def _end(job_table: JobTable, task: Task, how: RunEnd, number: int) -> None:
    job_table.end_run(
        task.runs[number], how, checkpoint='', max_attempts=3, now_s=1
    )


def _restore(job: Job) -> Job:
    """Return what a successor restores of a job."""
    raw = encode(build_progress_record(job))
    stored = decode(raw, ProgressRecord, key='k')
    return restore_job(job.request, stored, revision=1, now_s=0)


def _restored_table(job: Job) -> JobTable:
    job_table = JobTable()
    job_table.add_restored(job, now_s=0, now_ms=_LATE_MS)
    job_table.create_due_occurrences(now_s=0, now_ms=_LATE_MS)
    return job_table


def _lines_of(work: Callable[[], object]) -> int:
    """Return how many lines of Python a call executes."""
    lines_count = 0

    def trace(_frame: FrameType, event: str, _found: Any) -> Any:
        nonlocal lines_count
        lines_count += event == 'line'
        return trace

    former = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(former)
    return lines_count
