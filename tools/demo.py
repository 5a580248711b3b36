"""Demonstrates stand-ins and three entries as local processes.

It accepts a release note, sends the examples, stops one entry while requests
are in flight, and checks the records of callers and workers. The last line of
the output is a JSON object; the exit status is 1 if a guarantee was violated.
"""

from __future__ import annotations

import json
import pathlib
import sys
import tempfile
from dataclasses import dataclass, field, replace
from typing import Any

import httpx
import json5
import msgspec
import trio

from marjoramwharf.links.http_client import HttpClient
from tools.deployments import DEPLOYMENTS
from tools.fleet import (
    OPERATOR_TOKEN,
    Fleet,
    WorkerProfile,
    stop_on_exit,
    terminate,
)
from tools.history import (
    CallerOutcome,
    WorkerRecord,
    count_exclusive_overlaps,
    count_finished_runs,
    count_repeated_starts,
    count_violations,
    parse_worker_record,
)
from tools.jobs_load import build_job_body, build_job_headers
from tools.load import Balancer, PlannedRequest, RequestLoadGenerator

_EXAMPLES = pathlib.Path('examples')
_TIME_LIMIT_S = 38
_JOB_TIMEOUT_S = 20
_TIMEOUT_MS = 4_000
_DEPLOYMENT = replace(
    DEPLOYMENTS['consortium'],
    workers_count=8,
    entries_count=3,
)
_NOTE = {
    'note_id': 'demo-1',
    'author': 'demo',
    'summary': 'Put the notice service and its batch classes in force.',
    'services': {
        'added': [
            {
                'name': _DEPLOYMENT.service,
                'latency_objective_ms': 500,
                'reserved_processors_count': 8,
                'timeout_ms': _TIMEOUT_MS,
            },
        ],
    },
    'policy': {'tail_latency': 1.0, 'throughput': 0.3, 'evictions': 0.3},
}


@dataclass(slots=True)
class Demo:
    """The fleet, its entries that are stopping, and the results of its jobs."""

    fleet: Fleet
    http: httpx.AsyncClient
    balancer: Balancer
    stopping_entries: set[str] = field(default_factory=set)
    ended_jobs: list[dict[str, Any]] = field(default_factory=list)
    accepted_count: int = 0

    async def accept_note(self) -> float:
        """Accept the note; return the seconds until all entries apply it."""
        started_s = trio.current_time()
        headers = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}
        answer = await self.http.post(
            f'{self.fleet.entries[0].url}/v1/notes',
            json=_NOTE,
            headers=headers,
        )
        answer.raise_for_status()
        revision = answer.json()['revision']
        for entry in self.fleet.entries:
            url = f'{entry.url}/v1/notes/current'
            while (await self._fetch_revision(url, headers)) < revision:
                await trio.sleep(0.02)
        return trio.current_time() - started_s

    async def run_job(self, spec: dict[str, Any]) -> None:
        """Submit a job to any entry and wait up to 20 s for its end."""
        job_id = await self._submit(spec)
        with trio.move_on_after(_JOB_TIMEOUT_S):
            while True:
                state = await self._fetch_job_state(job_id)
                if state in {'done', 'failed', 'cancelled', 'impossible'}:
                    self.ended_jobs.append({'job_id': job_id, 'state': state})
                    return
                await trio.sleep(0.2)

    async def stop_entry(self) -> None:
        """Stop one entry as planned and wait for its end."""
        process = self.fleet.processes['entry-1']
        self.stopping_entries.add(process.name)
        terminate(process)
        while process.is_running:
            await trio.sleep(0.05)
        _print(f'entry-1 stopped with status {process.popen.returncode}')

    async def _fetch_revision(self, url: str, headers: dict[str, str]) -> int:
        answer = await self.http.get(url, headers=headers)
        return int(answer.json()['revision'])

    async def _submit(self, spec: dict[str, Any]) -> str:
        while True:
            entry = self.balancer.next_entry()
            try:
                answer = await self.http.post(
                    f'{entry.url}/v1/jobs',
                    json=build_job_body(spec),
                    headers=build_job_headers(spec),
                )
            except httpx.TransportError:
                await trio.sleep(0.1)
                continue
            if answer.status_code in {200, 201}:
                self.accepted_count += 1
                return str(answer.json()['job_id'])
            await trio.sleep(0.3)

    async def _fetch_job_state(self, job_id: str) -> str:
        entry = self.balancer.next_entry()
        try:
            answer = await self.http.get(
                f'{entry.url}/v1/jobs/{job_id}',
                params={'wait_s': 1},
            )
        except httpx.TransportError:
            return ''
        return str(answer.json().get('state', '')) if answer.is_success else ''


def main() -> int:
    """Run the demonstration."""
    summary, is_good = trio.run(_run)
    sys.stdout.write(f'{json.dumps(summary)}\n')
    return 0 if is_good else 1


async def _run() -> tuple[dict[str, Any], bool]:
    profile = WorkerProfile(service_ms=20)
    with tempfile.TemporaryDirectory() as scratch:
        fleet = Fleet(_DEPLOYMENT, profile, folder=pathlib.Path(scratch))
        async with httpx.AsyncClient(timeout=10) as http:
            with stop_on_exit(fleet), trio.fail_after(_TIME_LIMIT_S):
                _print('starting the store, the list, 8 workers and 3 entries')
                await fleet.start(http)
                return await _run_steps(fleet, http)


async def _run_steps(
    fleet: Fleet,
    http: httpx.AsyncClient,
) -> tuple[dict[str, Any], bool]:
    balancer = Balancer(fleet.entries)
    demo = Demo(fleet, http, balancer)
    client = HttpClient()
    load = RequestLoadGenerator(
        client,
        balancer,
        service=_DEPLOYMENT.service,
        timeout_ms=_TIMEOUT_MS,
        is_stopping=demo.stopping_entries.__contains__,
    )
    plan = _plan_requests()
    jobs = _read_example('batch-jobs.json')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(balancer.poll_readiness, client)
        applied_s = await demo.accept_note()
        _print(f'release note in force on all entries after {applied_s:.3f} s')
        await trio.sleep(1)
        async with trio.open_nursery() as work:
            work.start_soon(load.run, iter(plan))
            for spec in jobs:
                work.start_soon(demo.run_job, spec)
            await trio.sleep(2)
            _print('stopping entry-1 while requests are under way')
            work.start_soon(demo.stop_entry)
        nursery.cancel_scope.cancel()
    records = [
        parse_worker_record(record)
        for record in await fleet.fetch_worker_records(http)
    ]
    return _summarise(demo, load, records, applied_s)


def _summarise(
    demo: Demo,
    load: RequestLoadGenerator,
    records: list[WorkerRecord],
    applied_s: float,
) -> tuple[dict[str, Any], bool]:
    violations = count_violations(
        [result.record for result in load.results], records
    )
    answered = sum(
        result.record.outcome is CallerOutcome.DONE
        and result.record.is_own_answer
        for result in load.results
    )
    runs = count_finished_runs(records)
    doubled = sum(count > 1 for count in runs.values())
    done_count = sum(job['state'] == 'done' for job in demo.ended_jobs)
    summary = {
        'requests': len(load.results),
        'answered': answered,
        'jobs': demo.accepted_count,
        'done_once': done_count - doubled,
        'overcommitted': violations.overcommitted,
        'note_in_force_s': round(applied_s, 3),
    }
    _print(f'{len(runs)} tasks finished, {doubled} of them more than once')
    batch_violations = count_exclusive_overlaps(
        records
    ) + count_repeated_starts(records)
    _print(f'exclusive overlaps and second resumes: {batch_violations}')
    _print(f'broken promises: {msgspec.structs.asdict(violations)}')
    is_good = (
        violations.total + batch_violations + doubled == 0
        and answered == len(load.results)
        and done_count == demo.accepted_count
    )
    return summary, is_good


def _plan_requests() -> list[PlannedRequest]:
    plan = []
    for index, check_body in enumerate(_read_example('lot-checks.json') * 3):
        plan.append(_plan_request(index, check_body, key=None))
    for number, notice in enumerate(_read_example('recall-notices.json')):
        plan.append(_plan_request(number * 20, notice, key=notice['notice']))
    return sorted(plan, key=lambda planned: planned.due_s)


def _plan_request(
    index: int, body: dict[str, Any], *, key: str | None
) -> PlannedRequest:
    return PlannedRequest(
        request_id=key or f'check-{index:04}',
        due_s=index * 0.03,
        is_idempotent=key is None,
        team=str(body.get('member', 'stores')),
        body=json.dumps(body).encode(),
    )


def _read_example(name: str) -> list[dict[str, Any]]:
    examples: list[dict[str, Any]] = json5.loads((_EXAMPLES / name).read_text())
    return examples


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
