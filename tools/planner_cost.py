"""Prints the processor time of the planner per placed task by fleet size.

    python -m tools.planner_cost

In each fleet lasting tasks take most of the processors. One job of 20 filling
tasks waits for every 30 workers.
"""

from __future__ import annotations

import time

from marjoramwharf.cells.records import build_progress_record, encode
from marjoramwharf.ids import DataCentreId, JobId, WorkerId
from marjoramwharf.scheduling.fleet import (
    Fleet,
    Resources,
    Worker,
    WorkerListing,
    WorkerState,
)
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_state import Job, RunPhase
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.planner import Planner
from marjoramwharf.scheduling.policy import QueuePolicy
from marjoramwharf.scheduling.workload import JobRequest, StepRequest

_SIZES = (33, 246, 1_000, 5_200)
_QUEUE = QueuePolicy('q', 'a.example', '/q/', 'presses', stretch=2)
_SERVING_JOBS_PER_WORKER = 0.7
_WORKERS_PER_FILLING_JOB = 30
_US_PER_S = 1_000_000


def main() -> None:
    """Print the cost of placing a task for each size."""
    for size in _SIZES:
        job_table = JobTable()
        fleet = Fleet(
            {WorkerId(str(index)): _make_worker(index) for index in range(size)}
        )
        planner = Planner(job_table, fleet, InterferenceModel(), lambda _: None)
        for number in range(int(size * _SERVING_JOBS_PER_WORKER)):
            _add_job(job_table, f's{number}', _make_serving_step(number))
        _run_planner(planner)
        for worker in fleet.workers.values():
            for run in worker.runs:
                run.phase = RunPhase.RUNNING
        filling_jobs = [
            _add_job(job_table, f'f{number}', _make_filling_step(number))
            for number in range(max(1, size // _WORKERS_PER_FILLING_JOB))
        ]
        started_s = time.process_time()
        placed = _run_planner(planner)
        cost_us = (time.process_time() - started_s) * _US_PER_S / max(1, placed)
        record_bytes = len(encode(build_progress_record(filling_jobs[0])))
        print(
            f'{size} workers: {cost_us:.0f} us a task ({placed} placed), '
            f'{record_bytes} bytes for the progress of the first job',
        )


def _make_worker(number: int) -> Worker:
    listing = WorkerListing(
        worker_id=WorkerId(str(number)),
        service='presses',
        host='10.0.0.1',
        port=1,
        data_centre=DataCentreId('ruse'),
        state=WorkerState.READY,
        capacity=Resources(48_000 if number % 3 == 0 else 32_000, 128_000, 0),
        labels=('a', f'r{number // 8}'),
    )
    return Worker(listing, is_reachable=True)


def _make_serving_step(number: int) -> StepRequest:
    return StepRequest(
        8,
        cpu_millicores=5_500,
        memory_mb=9_000,
        image=f'serve-{number % 5}',
        is_lasting=True,
        target_tail_ms=18,
    )


def _make_filling_step(number: int) -> StepRequest:
    return StepRequest(
        20,
        cpu_millicores=3_500,
        memory_mb=2_000,
        estimate_ms=1_000,
        image=f'fill-{number % 9}',
        fills=True,
    )


def _add_job(job_table: JobTable, name: str, step: StepRequest) -> Job:
    request = JobRequest(
        job_id=JobId(name.rjust(16, '0')),
        queue='q',
        service='presses',
        payload='',
        steps=(step,),
        accepted_at_ms=0,
    )
    return job_table.add(request, now_s=0, now_ms=0)


def _run_planner(planner: Planner) -> int:
    plans = planner.plan({'q': _QUEUE}, now_s=0, now_ms=0)
    return sum(len(plan.runs) for plan in plans)


if __name__ == '__main__':
    main()
