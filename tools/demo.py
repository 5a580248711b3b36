"""A demonstration on this machine: stand-ins, three entries, real requests.

It accepts a release note, sends the examples, stops one entry while requests
are under way, and checks what callers and workers saw. The last line is one
JSON object; the exit status is 1 if a promise was broken.
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
from tools.fleet import OPERATOR_TOKEN, Fleet, WorkerShape, stopping, terminate
from tools.history import (
    CallerOutcome,
    WorkerRecord,
    check,
    exclusive_overlaps,
    finished_runs,
    read_record,
    resumed_twice,
)
from tools.jobs_load import job_body, job_headers
from tools.load import Balancer, Callers, Planned

_EXAMPLES = pathlib.Path('examples')
_LIMIT_S = 38
_JOB_WAIT_S = 20
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
    """What the steps of the demonstration share."""

    fleet: Fleet
    http: httpx.AsyncClient
    balancer: Balancer
    stopping: set[str] = field(default_factory=set)
    done_jobs: list[dict[str, Any]] = field(default_factory=list)
    accepted_count: int = 0

    async def accept_note(self) -> float:
        """Accept the note; return the seconds until all entries have it."""
        started_s = trio.current_time()
        token = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}
        answer = await self.http.post(
            f'{self.fleet.entries[0].url}/v1/notes',
            json=_NOTE,
            headers=token,
        )
        answer.raise_for_status()
        revision = answer.json()['revision']
        for entry in self.fleet.entries:
            url = f'{entry.url}/v1/notes/current'
            while (await self._revision(url, token)) < revision:
                await trio.sleep(0.02)
        return trio.current_time() - started_s

    async def run_job(self, spec: dict[str, Any]) -> None:
        """Submit one job and wait for its end, at any entry."""
        job_id = await self._submit(spec)
        with trio.move_on_after(_JOB_WAIT_S):
            while True:
                state = await self._job_state(job_id)
                if state in {'done', 'failed', 'cancelled', 'impossible'}:
                    self.done_jobs.append({'job_id': job_id, 'state': state})
                    return
                await trio.sleep(0.2)

    async def stop_entry(self) -> None:
        """Carry out a planned stop of one entry."""
        process = self.fleet.processes['entry-1']
        self.stopping.add(process.name)
        terminate(process)
        while process.is_running:
            await trio.sleep(0.05)
        _say(f'entry-1 stopped with status {process.popen.returncode}')

    async def _revision(self, url: str, token: dict[str, str]) -> int:
        answer = await self.http.get(url, headers=token)
        return int(answer.json()['revision'])

    async def _submit(self, spec: dict[str, Any]) -> str:
        while True:
            entry = self.balancer.next()
            try:
                answer = await self.http.post(
                    f'{entry.url}/v1/jobs',
                    json=job_body(spec),
                    headers=job_headers(spec),
                )
            except httpx.TransportError:
                await trio.sleep(0.1)
                continue
            if answer.status_code in {200, 201}:
                self.accepted_count += 1
                return str(answer.json()['job_id'])
            await trio.sleep(0.3)

    async def _job_state(self, job_id: str) -> str:
        entry = self.balancer.next()
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
    shape = WorkerShape(service_ms=20)
    with tempfile.TemporaryDirectory() as scratch:
        fleet = Fleet(_DEPLOYMENT, shape, folder=pathlib.Path(scratch))
        async with httpx.AsyncClient(timeout=10) as http:
            with stopping(fleet), trio.fail_after(_LIMIT_S):
                _say('starting the store, the list, 8 workers and 3 entries')
                await fleet.start(http)
                return await _show(fleet, http)


async def _show(
    fleet: Fleet,
    http: httpx.AsyncClient,
) -> tuple[dict[str, Any], bool]:
    balancer = Balancer(fleet.entries)
    demo = Demo(fleet, http, balancer)
    lean = HttpClient()
    callers = Callers(
        lean,
        balancer,
        service=_DEPLOYMENT.service,
        timeout_ms=_TIMEOUT_MS,
        is_stopping=demo.stopping.__contains__,
    )
    plan = _requests()
    jobs = _load('batch-jobs.json')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(balancer.poll, lean)
        in_force_s = await demo.accept_note()
        _say(f'release note in force on all entries after {in_force_s:.3f} s')
        await trio.sleep(1)
        async with trio.open_nursery() as work:
            work.start_soon(callers.run, iter(plan))
            for spec in jobs:
                work.start_soon(demo.run_job, spec)
            await trio.sleep(2)
            _say('stopping entry-1 while requests are under way')
            work.start_soon(demo.stop_entry)
        nursery.cancel_scope.cancel()
    records = [
        read_record(record) for record in await fleet.worker_records(http)
    ]
    return _summarise(demo, callers, records, in_force_s)


def _summarise(
    demo: Demo,
    callers: Callers,
    records: list[WorkerRecord],
    in_force_s: float,
) -> tuple[dict[str, Any], bool]:
    violations = check([one.record for one in callers.seen], records)
    answered = sum(
        one.record.outcome is CallerOutcome.DONE and one.record.is_own_answer
        for one in callers.seen
    )
    runs = finished_runs(records)
    doubled = sum(count > 1 for count in runs.values())
    done = sum(job['state'] == 'done' for job in demo.done_jobs)
    summary = {
        'requests': len(callers.seen),
        'answered': answered,
        'jobs': demo.accepted_count,
        'done_once': done - doubled,
        'overcommitted': violations.overcommitted,
        'note_in_force_s': round(in_force_s, 3),
    }
    _say(f'{len(runs)} tasks finished, {doubled} of them more than once')
    batch_faults = exclusive_overlaps(records) + resumed_twice(records)
    _say(f'exclusive overlaps and second resumes: {batch_faults}')
    _say(f'broken promises: {msgspec.structs.asdict(violations)}')
    is_good = (
        violations.total + batch_faults + doubled == 0
        and answered == len(callers.seen)
        and done == demo.accepted_count
    )
    return summary, is_good


def _requests() -> list[Planned]:
    plan = []
    for index, check_body in enumerate(_load('lot-checks.json') * 3):
        plan.append(_planned(index, check_body, key=None))
    for number, notice in enumerate(_load('recall-notices.json')):
        plan.append(_planned(number * 20, notice, key=notice['notice']))
    return sorted(plan, key=lambda planned: planned.due_s)


def _planned(index: int, body: dict[str, Any], *, key: str | None) -> Planned:
    return Planned(
        request_id=key or f'check-{index:04}',
        due_s=index * 0.03,
        is_idempotent=key is None,
        team=str(body.get('member', 'stores')),
        body=json.dumps(body).encode(),
    )


def _load(name: str) -> list[dict[str, Any]]:
    tree: list[dict[str, Any]] = json5.loads((_EXAMPLES / name).read_text())
    return tree


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
