"""Workers, jobs and runs for the tests of scheduling decisions."""

from __future__ import annotations

from typing import Any

from marjoramwharf.ids import DataCentreId, JobId, WorkerId
from marjoramwharf.scheduling.fleet import (
    Fleet,
    Resources,
    Worker,
    WorkerListing,
    WorkerState,
)
from marjoramwharf.scheduling.job_state import Job, Run, RunPhase, Task
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.policy import QueuePolicy
from marjoramwharf.scheduling.workload import JobRequest, StepRequest

SERVICE = 'presses'
QUEUE = QueuePolicy(
    'recipes',
    'a.example',
    '/recipes/',
    SERVICE,
    max_attempts=3,
    stretch=2,
    target_latency_ms=1_000,
)
QUEUES = {QUEUE.name: QUEUE}


def make_worker(name: str, **fields: Any) -> Worker:
    """Return a reachable worker with 32 cores in rack ``r1``."""
    fields.setdefault('capacity', Resources(32_000, 128_000, 0))
    fields.setdefault('labels', ('a', 'r1'))
    fields.setdefault('state', WorkerState.READY)
    listing = WorkerListing(
        worker_id=WorkerId(name),
        service=SERVICE,
        host=name,
        port=1,
        data_centre=DataCentreId('ruse'),
        **fields,
    )
    return Worker(listing, is_reachable=True)


def make_fleet(*workers: Worker) -> Fleet:
    """Return a fleet of these workers."""
    return Fleet({worker.worker_id: worker for worker in workers})


def make_step(count: int = 1, **fields: Any) -> StepRequest:
    """Return a step of tasks that need two cores."""
    fields.setdefault('cpu_millicores', 2_000)
    fields.setdefault('memory_mb', 100)
    fields.setdefault('estimate_ms', 1_000)
    return StepRequest(count, **fields)


def add_job(
    job_table: JobTable,
    name: str,
    *steps: StepRequest,
    accepted_at_ms: int = 0,
    now_s: float = 0,
) -> Job:
    """Add a job to a table."""
    request = JobRequest(
        job_id=JobId(name),
        queue=QUEUE.name,
        service=SERVICE,
        payload='',
        steps=steps,
        accepted_at_ms=accepted_at_ms,
    )
    return job_table.add(request, now_s=now_s, now_ms=int(now_s * 1_000))


def first_task(job: Job, step: int = 0) -> Task:
    """Return the first task of a step."""
    steps = job.occurrences[0].steps
    return steps[step].tasks[0]


def start_run(
    job_table: JobTable,
    task: Task,
    worker: Worker,
    *,
    now_s: float = 0,
) -> Run:
    """Plan and start a run of a task."""
    run = job_table.plan_run(
        task,
        worker_id=worker.worker_id,
        born_ms=0,
        number=task.last_run + 1,
        now_s=now_s,
    )
    run.phase = RunPhase.ORDERED
    job_table.mark_started(run, started_s=now_s, now_s=now_s)
    worker.add(run)
    run.is_listed = True
    return run
