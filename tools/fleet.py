"""Runs a local fleet: the stand-ins and the entries as child processes."""

from __future__ import annotations

import json
import pathlib
import signal
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import httpx
import trio

from tools.deployments import Deployment
from tools.ports import free_ports
from tools.processes import Process

OPERATOR_TOKEN = 'local-operator-token'
_PEER_SECRET = 'local-peer-secret-0001'
_START_TIMEOUT_S = 45
_HOST = '127.0.0.1'


@dataclass(frozen=True, slots=True)
class WorkerProfile:
    """The service times and faults of the simulated workers of a fleet.

    Service times are log-normal: ``service_ms`` is the median and
    ``service_sigma`` the standard deviation of the logarithm.
    """

    service_ms: float = 20
    service_sigma: float = 0.4
    loss_share: float = 0
    seed: int = 1
    slowdown: dict[str, dict[str, float]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The name, base URL and data centre of a process of the fleet."""

    name: str
    url: str
    data_centre: str


class Fleet:
    """Starts and stops the processes of one run and holds their endpoints."""

    def __init__(
        self,
        deployment: Deployment,
        profile: WorkerProfile,
        *,
        folder: pathlib.Path,
        entry_overrides: dict[str, Any] | None = None,
    ) -> None:
        """Choose ports, but start nothing; ``entry_overrides`` are settings."""
        self.deployment = deployment
        self.profile = profile
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self._entry_overrides = entry_overrides or {}
        workers_count = deployment.workers_count
        entries_count = deployment.entries_count
        ports = free_ports(2 + workers_count + 2 * entries_count)
        self.store_url = f'http://{_HOST}:{ports.pop()}'
        self.directory_url = f'http://{_HOST}:{ports.pop()}'
        self._peer_ports = [ports.pop() for _ in range(entries_count)]
        self.workers = [
            Endpoint(
                f'worker-{index:02}',
                f'http://{_HOST}:{ports.pop()}',
                deployment.get_data_centre(index),
            )
            for index in range(workers_count)
        ]
        self.entries = [
            Endpoint(
                f'entry-{index}',
                f'http://{_HOST}:{ports.pop()}',
                deployment.get_data_centre(index),
            )
            for index in range(entries_count)
        ]

    async def start(self, http: httpx.AsyncClient) -> None:
        """Start the stand-ins, then the entries; wait until all are ready."""
        for name, url in (
            ('store', self.store_url),
            ('directory', self.directory_url),
        ):
            port = url.rsplit(':', 1)[1]
            self._start_process(
                name, f'standins.{name}', '--host', _HOST, '--port', port
            )
        for index, worker in enumerate(self.workers):
            path = self._write_config(
                worker.name, self._build_worker_config(index)
            )
            self._start_process(
                worker.name, 'standins.worker', '--config', str(path)
            )
        await self._wait_until_up(http, 'store', f'{self.store_url}/counters')
        url = f'{self.directory_url}/instances'
        await self._wait_until_up(http, 'directory', url)
        for index, worker_endpoint in enumerate(self.workers):
            url = f'{worker_endpoint.url}/record'
            await self._wait_until_up(http, worker_endpoint.name, url)
            await self.register_worker(http, index, state='live')
        for index, _entry in enumerate(self.entries):
            self.start_entry(index)
        for entry in self.entries:
            url = f'{entry.url}/readyz'
            await self._wait_until_up(http, entry.name, url)

    def start_entry(self, index: int) -> None:
        """Start an entry, or restart it with its first settings."""
        entry = self.entries[index]
        stopped = self.processes.get(entry.name)
        if stopped is not None:
            stopped.start()
            return
        path = self._write_config(entry.name, self._build_entry_settings(index))
        self._start_process(
            entry.name,
            'marjoramwharf.programs.entry',
            '--settings',
            str(path),
        )

    async def register_worker(
        self,
        http: httpx.AsyncClient,
        index: int,
        *,
        state: str,
    ) -> None:
        """Put a worker with this state into the directory's list."""
        worker = self.workers[index]
        config = self._build_worker_config(index)
        body = {
            'worker_id': worker.name,
            'url': worker.url,
            'data_centre': worker.data_centre,
            'rack': self.deployment.get_rack(index),
            'capacity': {
                name: config[name]
                for name in (
                    'slots_count',
                    'connections_count',
                    'cpu_millicores',
                    'memory_mb',
                )
            },
            'services': [self.deployment.service],
            'state': state,
        }
        response = await http.put(
            f'{self.directory_url}/instances/{worker.name}',
            json=body,
        )
        response.raise_for_status()

    async def fetch_worker_records(
        self,
        http: httpx.AsyncClient,
    ) -> list[dict[str, Any]]:
        """Fetch the history of each worker whose process is running."""
        records = []
        for worker in self.workers:
            if self.processes[worker.name].is_running:
                response = await http.get(f'{worker.url}/record', timeout=30)
                records.append(response.json())
        return records

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.processes.values():
            process.kill()

    async def _wait_until_up(
        self,
        http: httpx.AsyncClient,
        name: str,
        url: str,
    ) -> None:
        process = self.processes[name]
        with trio.fail_after(_START_TIMEOUT_S):
            while not await _is_serving(http, url):
                process.raise_if_ended()
                await trio.sleep(0.05)

    def _start_process(self, name: str, *arguments: str) -> None:
        self.processes[name] = Process(
            name,
            arguments,
            self.folder / f'{name}.log',
        )

    def _write_config(self, name: str, tree: dict[str, Any]) -> pathlib.Path:
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(tree, indent=1))
        return path

    def _build_worker_config(self, index: int) -> dict[str, Any]:
        worker = self.workers[index]
        return {
            'worker_id': worker.name,
            'port': int(worker.url.rsplit(':', 1)[1]),
            'services': [self.deployment.service],
            'slots_count': self.deployment.slots_count,
            'connections_count': self.deployment.connections_count,
            'cpu_millicores': 32_000,
            'memory_mb': 125_000,
            'seed': self.profile.seed * 1_000 + index,
            'service_ms': self.profile.service_ms,
            'service_sigma': self.profile.service_sigma,
            'loss_share': self.profile.loss_share,
            'slowdown': self.profile.slowdown,
            'entry_delays_ms': {
                entry.name: self.deployment.delay_ms(
                    worker.data_centre,
                    entry.data_centre,
                )
                for entry in self.entries
            },
        }

    def _build_entry_settings(self, index: int) -> dict[str, Any]:
        entry = self.entries[index]
        centres = self.deployment.data_centres
        return {
            'entry_id': entry.name,
            'region': self.deployment.region,
            'data_centre': entry.data_centre,
            'listen': {
                'host': _HOST,
                'http_port': int(entry.url.rsplit(':', 1)[1]),
                'peer_port': self._peer_ports[index],
            },
            'store': {'url': self.store_url},
            'directory': {'url': self.directory_url},
            'topology': {
                'data_centres': [
                    {'data_centre': centre, 'region': self.deployment.region}
                    for centre in centres
                ],
                'default_one_way_ms': self.deployment.between_centres_ms,
            },
            'peer_secret': _PEER_SECRET,
            'operator_token': OPERATOR_TOKEN,
            **self._entry_overrides,
        }


@contextmanager
def stop_on_exit(fleet: Fleet) -> Iterator[Fleet]:
    """Kill the processes of the fleet when the block ends."""
    try:
        yield fleet
    finally:
        fleet.stop()


def terminate(process: Process) -> None:
    """Send SIGTERM, on which an entry carries out a planned stop."""
    process.send(signal.SIGTERM)


async def _is_serving(http: httpx.AsyncClient, url: str) -> bool:
    try:
        response = await http.get(url, timeout=1)
    except httpx.TransportError:
        return False
    return response.is_success
