"""The processes of a soak, and the links between them that can be harmed."""

from __future__ import annotations

import json
import signal
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import Any

import trio

from standins.platform_endpoints import CONTROL_PATH
from tools.platform_fleet import PlatformFleet
from tools.ports import free_ports
from tools.processes import Process
from tools.soak.checks import Run
from tools.soak.link import HOST, Link

ENTRIES_COUNT = 3
WORKERS_COUNT = 4
_CELL_LOADED = b'cell loaded'


@dataclass
class SoakFleet(PlatformFleet):
    """Entries and the stand-in platform, joined by links.

    Each entry has a link of its own to the store, and each worker one that all
    entries use. ``worker_ids`` are the present ids of the workers.
    """

    store_links: list[Link] = field(default_factory=list)
    worker_links: list[Link] = field(default_factory=list)
    worker_ids: list[str] = field(
        default_factory=lambda: [
            f'w{number}' for number in range(1, WORKERS_COUNT + 1)
        ]
    )
    worker_locks: list[trio.Lock] = field(
        default_factory=lambda: [trio.Lock() for _ in range(WORKERS_COUNT)]
    )

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
        self.start_platform(
            stack,
            f'--workers={WORKERS_COUNT}',
            f'--listed-offset={WORKERS_COUNT}',
        )
        for link in self.store_links:
            self.start_entry(stack, ports, store_port=link.port)

    @property
    def links(self) -> list[Link]:
        """All links."""
        return [*self.store_links, *self.worker_links]

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

    async def control_store(self, **fault: Any) -> None:
        """Begin or end a fault of the store."""
        await self._control(self.store_port, fault)

    async def control_worker(self, number: int, **fault: Any) -> None:
        """Begin a fault of a worker."""
        await self._control(self.store_port + 1 + number, fault)

    async def read_runs(self) -> list[Run]:
        """Return all runs of all workers."""
        runs: list[Run] = []
        for number in range(1, WORKERS_COUNT + 1):
            url = self.worker_url(number, '/history')
            answer = await self.send('GET', url)
            runs += [Run(**row) for row in json.loads(answer.body)]
        return runs

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
