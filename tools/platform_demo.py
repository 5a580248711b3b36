"""Runs entries against the stand-in platform as real processes.

    python -m tools.platform_demo

Jobs are submitted to all entries while the owner of the cell is killed. The
exit status is 0 if every job was done and no task was started twice.
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

from marjoramwharf.links.http_client import (
    CallFailed,
    ClientResponse,
    HttpClient,
)
from standins.platform_process import (
    HOST,
    QUEUE_HOST,
    QUEUE_PREFIX,
    SETTINGS_VARIABLE,
    entry_settings,
)
from tools.processes import Process, free_ports

_ENTRIES_COUNT = 3
_WORKERS_COUNT = 4
_JOBS_COUNT = 40
_SUBMIT_PAUSE_S = 0.08
_ANSWER_S = 3.0
_LIMIT_S = 40.0
_SUCCESS = 200


@dataclass
class DemoReport:
    """What callers and workers saw."""

    accepted: list[str] = field(default_factory=list)
    states: Counter[str] = field(default_factory=Counter)
    doubled_tasks: list[str] = field(default_factory=list)
    starts_count: int = 0

    @property
    def is_good(self) -> bool:
        """Whether every accepted job was done, and once."""
        all_done = self.states['completed'] == len(self.accepted)
        return bool(self.accepted) and all_done and not self.doubled_tasks


@dataclass
class Demo:
    """The processes of one run."""

    folder: pathlib.Path
    client: HttpClient = field(default_factory=HttpClient)
    entries: list[Process] = field(default_factory=list)
    fronts: list[str] = field(default_factory=list)
    platform: Process | None = None
    store_port: int = 0

    def start(self, stack: ExitStack) -> None:
        """Start all processes; ``stack`` ends them."""
        ports = free_ports(4)
        self.store_port = _free_range(_WORKERS_COUNT + 1)
        self.platform = Process(
            'platform',
            (
                'standins.platform_process',
                '--port',
                str(self.store_port),
                '--workers',
                str(_WORKERS_COUNT),
            ),
            self.folder / 'platform.log',
        )
        stack.callback(self.platform.kill)
        for number in range(1, _ENTRIES_COUNT + 1):
            entry = self._start_entry(number, ports)
            stack.callback(entry.kill)

    async def run(self) -> DemoReport:
        """Submit jobs, kill the owner, and wait for all jobs."""
        report = DemoReport()
        await self._wait_ready()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._kill_owner)
            for number in range(_JOBS_COUNT):
                nursery.start_soon(self._submit, number, report)
                await trio.sleep(_SUBMIT_PAUSE_S)
        with trio.move_on_after(_LIMIT_S):
            for name in report.accepted:
                report.states[await self._final_state(name)] += 1
        await self._read_starts(report)
        return report

    def _start_entry(self, number: int, ports: list[int]) -> Process:
        host = f'127.0.0.{number}'
        path = self.folder / f'entry-{number}.conf'
        path.write_text(
            entry_settings(
                f'entry-{number}',
                host,
                ports,
                store=f'{HOST}:{self.store_port}',
            ),
        )
        entry = Process(
            f'entry-{number}',
            ('marjoramwharf.programs.platform_entry',),
            self.folder / f'entry-{number}.log',
            {SETTINGS_VARIABLE: str(path)},
        )
        self.entries.append(entry)
        self.fronts.append(f'http://{host}:{ports[0]}{QUEUE_PREFIX}')
        return entry

    async def _wait_ready(self) -> None:
        with trio.fail_after(_LIMIT_S):
            for front in self.fronts:
                while not await self._is_ready(front):
                    await trio.sleep(0.1)

    async def _is_ready(self, front: str) -> bool:
        try:
            return (await self._ask('GET', front)).is_success
        except CallFailed:
            return False

    async def _ask(
        self, method: str, url: str, body: bytes = b''
    ) -> ClientResponse:
        return await self.client.request(
            method,
            url,
            headers={'Host': QUEUE_HOST},
            body=body,
            timeout_s=_ANSWER_S,
        )

    async def _submit(self, number: int, report: DemoReport) -> None:
        """Submit a job, at another entry after each failure."""
        name = f'{number:016x}'
        steps = [
            {'Count': 3, 'Cpu': 500, 'EstimateMs': 300},
            {'Count': 2, 'Cpu': 500, 'EstimateMs': 300, 'After': [0]},
        ]
        body = json.dumps({'TaskSpec': 'ms=300', 'Steps': steps}).encode()
        with trio.move_on_after(_LIMIT_S):
            for attempt in range(number, number + 1_000):
                front = self.fronts[attempt % len(self.fronts)]
                try:
                    answer = await self._ask('POST', front + name, body)
                except CallFailed:
                    continue
                if answer.is_success:
                    report.accepted.append(name)
                    return
                await trio.sleep(0.2)

    async def _kill_owner(self) -> None:
        """Kill the entry that owns the cell, and start it again."""
        await trio.sleep(_JOBS_COUNT * _SUBMIT_PAUSE_S / 2)
        for entry in self.entries:
            if b'cell loaded' in entry.log_path.read_bytes():
                entry.kill()
                await trio.sleep(1)
                entry.start()
                return

    async def _final_state(self, name: str) -> str:
        state = ''
        while state not in {'completed', 'failed', 'cancelled'}:
            for front in self.fronts:
                try:
                    answer = await self._ask('GET', front + name)
                except CallFailed:
                    continue
                if answer.status == _SUCCESS:
                    state = json.loads(answer.body)['State']
            await trio.sleep(0.1)
        return state

    async def _read_starts(self, report: DemoReport) -> None:
        counts: Counter[str] = Counter()
        for number in range(1, _WORKERS_COUNT + 1):
            url = f'http://{HOST}:{self.store_port + number}/starts'
            answer = await self._ask('GET', url)
            counts.update(row[0] for row in json.loads(answer.body))
        report.starts_count = counts.total()
        report.doubled_tasks = [
            task for task, count in counts.items() if count > 1
        ]


def _free_range(count: int) -> int:
    """Return the first of some ports in a row that are free now."""
    while True:
        first = free_ports(1)[0]
        if first + count < 65_536:
            return first


async def run_demo() -> DemoReport:
    """Run the demo in a folder that is removed afterwards."""
    with ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        demo = Demo(pathlib.Path(folder))
        demo.start(stack)
        return await demo.run()


def main() -> int:
    """Run the demo and print what was seen."""
    report = trio.run(run_demo)
    print(
        f'{report.states["completed"]} of {len(report.accepted)} accepted jobs '
        f'done, {report.starts_count} tasks started, '
        f'{len(report.doubled_tasks)} of them twice',
    )
    return 0 if report.is_good else 1


if __name__ == '__main__':
    sys.exit(main())
