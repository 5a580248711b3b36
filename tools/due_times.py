"""Prints how long the passed times of a scheduled job hold up a cell's owner.

    python -m tools.due_times

An owner takes each of these steps without a pause. Its workers have 192 cores, and
each of the times needs one. The longest processor time of each step, until 400 runs
have ended, is shown.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager

from marjoramwharf.cells.records import (
    ProgressRecord,
    build_progress_record,
    decode,
    encode,
    restore_job,
)
from marjoramwharf.ids import DataCentreId, JobId, WorkerId
from marjoramwharf.scheduling.fleet import (
    Fleet,
    Resources,
    Worker,
    WorkerListing,
    WorkerState,
)
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_state import Job, Run, RunEnd, RunPhase
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.planner import Planner
from marjoramwharf.scheduling.policy import QueuePolicy
from marjoramwharf.scheduling.workload import JobRequest, StepRequest

_SIZES = (100, 1_000, 21_600, 100_000)
_WORKERS_COUNT = 6
_ENDS_COUNT = 400
_PASSES_PER_END = 20
_INTERVAL_MS = 2_000
_MS_PER_S = 1_000
_QUEUE = QueuePolicy('q', 'a.example', '/q/', 'presses', stretch=2)


def main() -> None:
    """Print the longest steps for each number of passed times."""
    for size in _SIZES:
        longest_s: dict[str, float] = {}
        _play(size, longest_s)
        shown = ', '.join(
            f'{name} {seconds * _MS_PER_S:.1f}'
            for name, seconds in longest_s.items()
        )
        print(f'{size} passed times, longest step in ms: {shown}')


def _play(size: int, longest_s: dict[str, float]) -> None:
    now_ms = (size - 1) * _INTERVAL_MS
    job_table = JobTable()
    workers = {
        worker.worker_id: worker
        for worker in map(_make_worker, range(_WORKERS_COUNT))
    }
    planner = Planner(
        job_table, Fleet(workers), InterferenceModel(), lambda _: None
    )
    with _timed('accept', longest_s):
        job = job_table.add(_make_request(size), now_s=0, now_ms=now_ms)
    for number in range(_ENDS_COUNT):
        if number % _PASSES_PER_END == 0:
            _plan(planner, now_ms, longest_s)
            record = _write(job, longest_s)
        run = next(job.live_runs(), None)
        if run is None:
            break
        with _timed('end', longest_s):
            _end(job_table, workers[run.worker_id], run)
        with _timed('maintenance', longest_s):
            job_table.surplus_runs(job)
    _restore(job, record, now_ms, longest_s)


def _plan(planner: Planner, now_ms: int, longest_s: dict[str, float]) -> None:
    with _timed('plan', longest_s):
        planner.job_table.create_due_occurrences(now_s=1, now_ms=now_ms)
        plans = planner.plan({'q': _QUEUE}, now_s=1, now_ms=now_ms)
    for plan in plans:
        for run in plan.runs:
            run.phase = RunPhase.RUNNING


def _write(job: Job, longest_s: dict[str, float]) -> bytes:
    with _timed('write', longest_s):
        record = encode(build_progress_record(job))
    return record


def _end(job_table: JobTable, worker: Worker, run: Run) -> None:
    worker.remove(run)
    job_table.end_run(run, RunEnd.DONE, checkpoint='', max_attempts=3, now_s=1)


def _restore(
    job: Job, record: bytes, now_ms: int, longest_s: dict[str, float]
) -> None:
    job_table = JobTable()
    with _timed('restore', longest_s):
        progress = decode(record, ProgressRecord, key='')
        restored = restore_job(job.request, progress, revision=1, now_s=1)
        job_table.add_restored(restored, now_s=1, now_ms=now_ms)
        job_table.create_due_occurrences(now_s=1, now_ms=now_ms)


@contextmanager
def _timed(name: str, longest_s: dict[str, float]) -> Iterator[None]:
    began_s = time.process_time()
    yield
    took_s = time.process_time() - began_s
    longest_s[name] = max(took_s, longest_s.get(name, 0))


def _make_request(size: int) -> JobRequest:
    step = StepRequest(1, cpu_millicores=1_000, memory_mb=100, estimate_ms=300)
    return JobRequest(
        job_id=JobId('f' * 16),
        queue='q',
        service='presses',
        payload='',
        steps=(step,),
        accepted_at_ms=0,
        repeat_count=2 * size,
        interval_ms=_INTERVAL_MS,
    )


def _make_worker(number: int) -> Worker:
    listing = WorkerListing(
        worker_id=WorkerId(str(number)),
        service='presses',
        host='10.0.0.1',
        port=1,
        data_centre=DataCentreId('ruse'),
        state=WorkerState.READY,
        capacity=Resources(32_000, 128_000, 0),
        labels=('a', 'r1'),
    )
    return Worker(listing, is_reachable=True)


if __name__ == '__main__':
    main()
