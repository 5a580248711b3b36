"""The processes of a soak, and the links between them that can be harmed."""

from __future__ import annotations

import json
import pathlib
import signal
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import Any

import trio

from marjoramwharf.links.http_client import CallFailed, HttpClient
from marjoramwharf.links.http_responses import ClientResponse
from standins.platform_endpoints import CONTROL_PATH
from standins.platform_process import (
    QUEUE_HOST,
    QUEUE_PREFIX,
    SETTINGS_VARIABLE,
    entry_settings,
)
from tools.ports import free_ports
from tools.processes import Process
from tools.soak.checks import Run
from tools.soak.link import HOST, Link

ENTRIES_COUNT = 3
WORKERS_COUNT = 4
ANSWER_TIMEOUT_S = 3.0

_READY_LIMIT_S = 40.0
_CELL_LOADED = b'cell loaded'


@dataclass
class SoakFleet:
    """Entries and the stand-in platform as processes, joined by links.

    Each entry has a link of its own to the store, and each worker one that all
    entries use. ``queue_urls`` holds the base URL of the queue at each entry.
    """

    folder: pathlib.Path
    client: HttpClient = field(default_factory=HttpClient)
    entries: list[Process] = field(default_factory=list)
    queue_urls: list[str] = field(default_factory=list)
    store_links: list[Link] = field(default_factory=list)
    worker_links: list[Link] = field(default_factory=list)
    store_port: int = 0

    def start(self, stack: ExitStack) -> None:
        """Start all processes; they are killed when ``stack`` is closed."""
        ports = free_ports(4)
        self.store_port = free_ports(1 + 2 * WORKERS_COUNT + ENTRIES_COUNT)[0]
        first_link = self.store_port + 1 + WORKERS_COUNT
        self.worker_links = [
            Link(first_link + number, self.store_port + 1 + number)
            for number in range(WORKERS_COUNT)
        ]
        self.store_links = [
            Link(first_link + WORKERS_COUNT + number, self.store_port)
            for number in range(ENTRIES_COUNT)
        ]
        platform = Process(
            'platform',
            (
                'standins.platform_process',
                f'--port={self.store_port}',
                f'--workers={WORKERS_COUNT}',
                f'--listed-offset={WORKERS_COUNT}',
            ),
            self.folder / 'platform.log',
        )
        stack.callback(platform.kill)
        for number in range(ENTRIES_COUNT):
            stack.callback(self._start_entry(number, ports).kill)

    @property
    def links(self) -> list[Link]:
        """All links."""
        return [*self.store_links, *self.worker_links]

    async def wait_until_ready(self) -> None:
        """Wait for all entries; raises ``ProcessExited`` if one has ended."""
        with trio.fail_after(_READY_LIMIT_S):
            for entry, queue_url in zip(
                self.entries, self.queue_urls, strict=True
            ):
                while not await self._is_ready(queue_url):
                    entry.raise_if_ended()
                    await trio.sleep(0.1)

    def heal(self) -> None:
        """End all faults of links and processes."""
        for link in self.links:
            link.heal()
        for entry in self.entries:
            entry.send(signal.SIGCONT)
            if not entry.is_running:
                entry.start()

    def owner(self) -> Process:
        """Return the entry that loaded the cell last, by its log."""
        return max(self.entries, key=_cell_loaded_time)

    async def send(
        self,
        method: str,
        url: str,
        body: bytes = b'',
        *,
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> ClientResponse:
        """Send a request for the queue; raises ``CallFailed``."""
        return await self.client.request(
            method,
            url,
            headers={'Host': QUEUE_HOST},
            body=body,
            timeout_s=timeout_s,
        )

    async def control_store(self, **fault: Any) -> None:
        """Begin or end a fault of the store."""
        await self._control(self.store_port, fault)

    async def control_worker(self, number: int, **fault: Any) -> None:
        """Begin a fault of a worker."""
        await self._control(self.store_port + 1 + number, fault)

    async def read_runs(self) -> list[Run]:
        """Return all runs of all workers."""
        runs: list[Run] = []
        for number in range(WORKERS_COUNT):
            url = f'http://{HOST}:{self.store_port + 1 + number}/history'
            answer = await self.send('GET', url)
            runs += [Run(**row) for row in json.loads(answer.body)]
        return runs

    def _start_entry(self, number: int, ports: list[int]) -> Process:
        name = f'entry-{number + 1}'
        host = f'127.0.0.{number + 1}'
        path = self.folder / f'{name}.conf'
        store = f'{HOST}:{self.store_links[number].port}'
        path.write_text(entry_settings(name, host, ports, store=store))
        entry = Process(
            name,
            ('marjoramwharf.programs.platform_entry',),
            self.folder / f'{name}.log',
            {SETTINGS_VARIABLE: str(path)},
        )
        self.entries.append(entry)
        self.queue_urls.append(f'http://{host}:{ports[0]}{QUEUE_PREFIX}')
        return entry

    async def _is_ready(self, queue_url: str) -> bool:
        try:
            return (await self.send('GET', queue_url)).is_success
        except CallFailed:
            return False

    async def _control(self, port: int, fault: dict[str, Any]) -> None:
        url = f'http://{HOST}:{port}{CONTROL_PATH}'
        await self.send('POST', url, json.dumps(fault).encode())


def _cell_loaded_time(entry: Process) -> str:
    """Return the time at which an entry last loaded the cell, '' if never."""
    loaded_at = ''
    for line in entry.log_path.read_bytes().splitlines():
        if _CELL_LOADED in line:
            fields = json.loads(line[line.index(b'{') :])
            loaded_at = str(fields['timestamp'])
    return loaded_at
