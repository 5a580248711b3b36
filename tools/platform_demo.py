"""Runs entries and the stand-in platform as child processes.

    python -m tools.platform_demo

Jobs are submitted to all entries, and the owner of the cell is killed on the
way. The exit status is 0 if every accepted job completed and no task was
started twice.
"""

from __future__ import annotations

import json
import pathlib
import sys
import tempfile
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field

import trio

from marjoramwharf.links.http_client import CallFailed
from tools.platform_fleet import PlatformFleet
from tools.ports import free_ports

_ENTRIES_COUNT = 3
_WORKERS_COUNT = 4
_JOBS_COUNT = 40
_SUBMIT_PAUSE_S = 0.08
_TIME_LIMIT_S = 40.0
_STATUS_OK = 200


@dataclass
class DemoReport:
    """The accepted jobs, their final states, and the starts of their tasks."""

    accepted: list[str] = field(default_factory=list)
    states: Counter[str] = field(default_factory=Counter)
    doubled_tasks: list[str] = field(default_factory=list)
    starts_count: int = 0

    @property
    def is_good(self) -> bool:
        """Whether all accepted jobs completed and no task was started twice."""
        all_completed = self.states['completed'] == len(self.accepted)
        return bool(self.accepted) and all_completed and not self.doubled_tasks


@dataclass
class Demo(PlatformFleet):
    """Runs the processes of one demonstration and submits its jobs."""

    def start(self, stack: ExitStack) -> None:
        """Start all processes; they are killed when ``stack`` is closed."""
        ports = free_ports(4)
        # The ports of the workers follow that of the store.
        self.store_port = free_ports(_WORKERS_COUNT + 1)[0]
        self.start_platform(stack, f'--workers={_WORKERS_COUNT}')
        for _ in range(_ENTRIES_COUNT):
            self.start_entry(stack, ports, store_port=self.store_port)

    async def run(self) -> DemoReport:
        """Submit jobs, kill the owner meanwhile, and wait for all jobs."""
        report = DemoReport()
        await self.wait_until_ready()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._kill_owner)
            for number in range(_JOBS_COUNT):
                nursery.start_soon(self._submit, number, report)
                await trio.sleep(_SUBMIT_PAUSE_S)
        with trio.move_on_after(_TIME_LIMIT_S):
            for job_id in report.accepted:
                report.states[await self._wait_for_final_state(job_id)] += 1
        await self._count_starts(report)
        return report

    async def _submit(self, number: int, report: DemoReport) -> None:
        """Submit a job; after each failure try the next entry."""
        job_id = f'{number:016x}'
        steps = [
            {'Count': 3, 'Cpu': 500, 'EstimateMs': 300},
            {'Count': 2, 'Cpu': 500, 'EstimateMs': 300, 'After': [0]},
        ]
        body = json.dumps({'TaskSpec': 'ms=300', 'Steps': steps}).encode()
        with trio.move_on_after(_TIME_LIMIT_S):
            for attempt in range(number, number + 1_000):
                queue_url = self.queue_urls[attempt % len(self.queue_urls)]
                try:
                    answer = await self.send('POST', queue_url + job_id, body)
                except CallFailed:
                    continue
                if answer.is_success:
                    report.accepted.append(job_id)
                    return
                await trio.sleep(0.2)

    async def _kill_owner(self) -> None:
        """Kill the entry whose log says that it loaded the cell; restart it."""
        await trio.sleep(_JOBS_COUNT * _SUBMIT_PAUSE_S / 2)
        for entry in self.entries:
            if b'cell loaded' in entry.log_path.read_bytes():
                entry.kill()
                await trio.sleep(1)
                entry.start()
                return

    async def _wait_for_final_state(self, job_id: str) -> str:
        state = ''
        while state not in {'completed', 'failed', 'cancelled'}:
            for queue_url in self.queue_urls:
                try:
                    answer = await self.send('GET', queue_url + job_id)
                except CallFailed:
                    continue
                if answer.status == _STATUS_OK:
                    state = json.loads(answer.body)['State']
            await trio.sleep(0.1)
        return state

    async def _count_starts(self, report: DemoReport) -> None:
        counts: Counter[str] = Counter()
        for number in range(1, _WORKERS_COUNT + 1):
            answer = await self.send('GET', self.worker_url(number, '/starts'))
            counts.update(row[0] for row in json.loads(answer.body))
        report.starts_count = counts.total()
        report.doubled_tasks = [
            task for task, count in counts.items() if count > 1
        ]


async def run_demo() -> DemoReport:
    """Run the demonstration in a temporary folder."""
    with ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        demo = Demo(pathlib.Path(folder))
        demo.start(stack)
        return await demo.run()


def main() -> int:
    """Run the demonstration and print its counts."""
    report = trio.run(run_demo)
    print(
        f'{report.states["completed"]} of {len(report.accepted)} accepted jobs '
        f'done, {report.starts_count} tasks started, '
        f'{len(report.doubled_tasks)} of them twice',
    )
    return 0 if report.is_good else 1


if __name__ == '__main__':
    sys.exit(main())
