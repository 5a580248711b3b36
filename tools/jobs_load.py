"""Submits batch jobs to a local fleet and counts their outcomes."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

import httpx
import trio

from marjoramwharf.batch.job import JobPriority
from tools.history import (
    WorkerRecord,
    count_exclusive_overlaps,
    count_finished_runs,
    count_repeated_starts,
)
from tools.load import Balancer

# Fields of a job that are sent as headers of the submission.
_HEADER_FIELDS = ('team', 'idempotency_key')
_TEAMS = ('toolroom', 'sales', 'planning')
_EXCLUSIVE_SHARE = 0.3
_KEYS_COUNT = 12
_FINAL_STATES = frozenset(('done', 'failed', 'cancelled', 'impossible'))
_RETRY_PAUSE_S = 0.5
_SUBMIT_TIMEOUT_S = 40
_JOB_END_TIMEOUT_S = 45


def build_job_body(spec: dict[str, Any]) -> dict[str, Any]:
    """Return the JSON body of the submission of a job."""
    body = {
        name: field
        for name, field in spec.items()
        if name not in _HEADER_FIELDS
    }
    priority = JobPriority(spec.get('priority', JobPriority.NORMAL))
    return {**body, 'priority': priority.name.lower()}


def build_job_headers(spec: dict[str, Any]) -> dict[str, str]:
    """Return the headers of the submission of a job."""
    return {
        'X-Team': spec['team'],
        'Idempotency-Key': spec['idempotency_key'],
    }


def schedule_jobs(
    rng: random.Random,
    *,
    rate_per_s: float,
    duration_s: float,
) -> Iterator[tuple[float, dict[str, Any]]]:
    """Yield due times and specs of jobs with exponential gaps between them."""
    due_s = rng.expovariate(rate_per_s)
    number = 0
    while due_s < duration_s:
        number += 1
        yield due_s, _make_spec(number, rng)
        due_s += rng.expovariate(rate_per_s)


@dataclass(slots=True)
class AcceptedJob:
    """A job that an entry has accepted, and the state that was read last."""

    job_id: str
    tasks_count: int
    state: str = ''


@dataclass(slots=True)
class JobLoadGenerator:
    """Submits scheduled jobs and polls each until it has ended."""

    http: httpx.AsyncClient
    balancer: Balancer
    accepted: list[AcceptedJob] = field(default_factory=list)

    async def run(self, jobs: Iterator[tuple[float, dict[str, Any]]]) -> None:
        """Submit each job when it is due and wait until all have ended."""
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for due_s, spec in jobs:
                await trio.sleep_until(start_s + due_s)
                nursery.start_soon(self._submit_and_poll, spec)

    async def _submit_and_poll(self, spec: dict[str, Any]) -> None:
        job = None
        with trio.move_on_after(_SUBMIT_TIMEOUT_S):
            job = await self._submit(spec)
        if job is None:
            return
        self.accepted.append(job)
        with trio.move_on_after(_JOB_END_TIMEOUT_S):
            while job.state not in _FINAL_STATES:
                await trio.sleep(_RETRY_PAUSE_S)
                job.state = await self._fetch_state(job.job_id) or job.state

    async def _submit(self, spec: dict[str, Any]) -> AcceptedJob:
        """Submit the job under one key until an entry has accepted it."""
        while True:
            answer = await self._request(
                'POST',
                '/v1/jobs',
                json=build_job_body(spec),
                headers=build_job_headers(spec),
            )
            if answer is not None and answer.status_code == 201:
                job_id = str(answer.json()['job_id'])
                return AcceptedJob(job_id, len(spec['tasks']))
            await trio.sleep(_RETRY_PAUSE_S)

    async def _fetch_state(self, job_id: str) -> str:
        answer = await self._request('GET', f'/v1/jobs/{job_id}')
        if answer is None or not answer.is_success:
            return ''
        return str(answer.json().get('state', ''))

    async def _request(
        self,
        method: str,
        path: str,
        **options: Any,
    ) -> httpx.Response | None:
        url = f'{self.balancer.next_entry().url}{path}'
        try:
            return await self.http.request(method, url, **options)
        except httpx.TransportError:
            return None


def compute_job_figures(
    accepted: Sequence[AcceptedJob],
    workers: Sequence[WorkerRecord],
) -> dict[str, int]:
    """Count the accepted jobs by outcome, and the violations by their tasks.

    A job is done once if an entry reports it as done and each of its tasks
    finished once on a worker. It is doubled if a task finished more than once,
    and lost in all other cases.
    """
    runs = count_finished_runs(workers)
    outcomes = Counter(_classify_job(job, runs) for job in accepted)
    return {
        'jobs_accepted': len(accepted),
        'jobs_done_once': outcomes['done_once'],
        'jobs_lost': outcomes['lost'],
        'jobs_doubled': outcomes['doubled'],
        'exclusive_overlaps': count_exclusive_overlaps(workers),
        'resumed_twice': count_repeated_starts(workers),
    }


def add_job_figures(
    result: dict[str, Any],
    accepted: Sequence[AcceptedJob],
    workers: Sequence[WorkerRecord],
) -> dict[str, Any]:
    """Add the figures of jobs to a report and to its count of violations."""
    figures = compute_job_figures(accepted, workers)
    violations_count = (
        figures['jobs_lost']
        + figures['jobs_doubled']
        + figures['exclusive_overlaps']
        + figures['resumed_twice']
    )
    total = result['broken_promises'] + violations_count
    runs = count_finished_runs(workers)
    return {
        **result,
        **figures,
        'broken_promises': total,
        'lost_jobs': {
            job.job_id: [job.state, *_describe_attempts(job, workers)]
            for job in accepted
            if _classify_job(job, runs) == 'lost'
        },
    }


def _describe_attempts(
    job: AcceptedJob,
    workers: Sequence[WorkerRecord],
) -> list[str]:
    """Describe the attempts of a lost job, so that its cause can be found."""
    return [
        f'{worker.worker_id} {task.task_id} {task.fence} {task.phase}'
        for worker in workers
        for task in worker.tasks
        if task.task_id.startswith(f'{job.job_id}.')
    ]


def _classify_job(job: AcceptedJob, runs: Counter[str]) -> str:
    finished_counts = [
        runs[f'{job.job_id}.{index}'] for index in range(job.tasks_count)
    ]
    if max(finished_counts) > 1:
        return 'doubled'
    if job.state == 'done' and min(finished_counts) == 1:
        return 'done_once'
    return 'lost'


def _make_spec(number: int, rng: random.Random) -> dict[str, Any]:
    is_exclusive = rng.random() < _EXCLUSIVE_SHARE
    spec = {
        'team': rng.choice(_TEAMS),
        'idempotency_key': f'job-{number:05}',
        'priority': rng.randrange(len(JobPriority)),
        'tasks': [
            {
                'cpu_millicores': rng.choice((1_000, 2_000, 4_000)),
                'memory_mb': rng.choice((1_024, 2_048, 4_096)),
                'run_ms': rng.randrange(200, 1_500),
                'task_class': 'die-wear' if is_exclusive else 'quote-run',
            }
            for _ in range(rng.randrange(1, 5))
        ],
    }
    if is_exclusive:
        spec['exclusive_key'] = f'die-{rng.randrange(_KEYS_COUNT):02}'
    return spec
