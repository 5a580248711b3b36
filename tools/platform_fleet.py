"""Entries and the stand-in platform as child processes of a local run."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field

import trio

from marjoramwharf.links.http_client import CallFailed, HttpClient
from marjoramwharf.links.http_responses import ClientResponse
from standins.platform_process import (
    HOST,
    QUEUE_HOST,
    QUEUE_PREFIX,
    SETTINGS_VARIABLE,
    entry_settings,
)
from tools.processes import Process

ANSWER_TIMEOUT_S = 3.0

_READY_LIMIT_S = 40.0


@dataclass
class PlatformFleet:
    """Starts the processes below ``folder`` and sends requests to them.

    ``queue_urls`` holds the base URL of the queue at each entry. The store of
    the platform listens on ``store_port``, and its workers on the next ones.
    """

    folder: pathlib.Path
    client: HttpClient = field(default_factory=HttpClient)
    entries: list[Process] = field(default_factory=list)
    queue_urls: list[str] = field(default_factory=list)
    store_port: int = 0

    def start_platform(self, stack: ExitStack, *options: str) -> None:
        """Start the stand-in platform; it is killed with ``stack``."""
        platform = Process(
            'platform',
            (
                'standins.platform_process',
                f'--port={self.store_port}',
                *options,
            ),
            self.folder / 'platform.log',
        )
        stack.callback(platform.kill)

    def start_entry(
        self, stack: ExitStack, ports: Sequence[int], *, store_port: int
    ) -> None:
        """Start one more entry, whose store is reached at ``store_port``."""
        number = len(self.entries) + 1
        name = f'entry-{number}'
        host = f'127.0.0.{number}'
        path = self.folder / f'{name}.conf'
        path.write_text(
            entry_settings(name, host, ports, store=f'{HOST}:{store_port}')
        )
        entry = Process(
            name,
            ('marjoramwharf.programs.platform_entry',),
            self.folder / f'{name}.log',
            {SETTINGS_VARIABLE: str(path)},
        )
        stack.callback(entry.kill)
        self.entries.append(entry)
        self.queue_urls.append(f'http://{host}:{ports[0]}{QUEUE_PREFIX}')

    async def wait_until_ready(self) -> None:
        """Wait for all entries; raises ``ProcessExited`` if one has ended."""
        with trio.fail_after(_READY_LIMIT_S):
            for entry, queue_url in zip(
                self.entries, self.queue_urls, strict=True
            ):
                while not await self._is_ready(queue_url):
                    entry.raise_if_ended()
                    await trio.sleep(0.1)

    async def send(
        self, method: str, url: str, body: bytes = b''
    ) -> ClientResponse:
        """Send a request for the queue; raises ``CallFailed``."""
        return await self.client.request(
            method,
            url,
            headers={'Host': QUEUE_HOST},
            body=body,
            timeout_s=ANSWER_TIMEOUT_S,
        )

    def worker_url(self, number: int, path: str) -> str:
        """Return a URL of a worker; numbers begin at 1."""
        return f'http://{HOST}:{self.store_port + number}{path}'

    async def _is_ready(self, queue_url: str) -> bool:
        try:
            return (await self.send('GET', queue_url)).is_success
        except CallFailed:
            return False
