"""A small deployment on loopback: stand-in store and workers, real entries.

The entries are started with the command of the deploy file, and only processes
that were started here are ended.
"""

from __future__ import annotations

import asyncio
import base64
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from review.lib.http11 import call
from review.lib.proxy import LinkProxy
from review.lib.record import Record
from review.lib.store import Store
from review.lib.worker import BehaviourSource, Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
PLATFORM_HOST = '127.0.0.1'
SERVICE = 'svc-a'
QUEUE_HOST = 'jobs.example'
QUEUE_PREFIX = '/queue-a/'
HEARTBEAT_S = 1.5
_TICK_S = 0.01

# Figures of the site alerta-retiros.
_SETTINGS = """Node={name}
Role=entry
MachineClass=front
Serves=front
Ip={host}
Zone=zone-a
Region=region-a
Zones.zone-a=region-a
ListenAddrs.Front={host}:{front}
ListenAddrs.Ready={host}:{ready}
PortRange={peer},{peer}
Seeds=
Bootstrap=true
Limits.CpuShare=1.0
Limits.Cores=1
Limits.MemoryMb=300
Limits.MaxFds=4100
Discovery=platform
Entry=vip
HeartbeatMs=1500
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.ConfigApplyMs=2000
Bounds.MaxHoldMs=10000
Bounds.StopMs=900
Bounds.GangMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.early_ms=250
Bounds.finish_s=14
Bounds.status_s=120
Bounds.FarX=3
Bounds.HarmMs=4000
Orders=call
Advice={advice}
platform.Address={store}
platform.form=kv
platform.WritesPerS=400
platform.ReadsPerS=2000
platform.HistoryS=20
platform.ValueBytes=1048576
platform.TtlMinMs=1000
"""


def route(name: str, prefix: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        'Name': name,
        'Host': QUEUE_HOST,
        'Prefix': prefix,
        'Kind': 'unsafe',
        'TimeoutMs': 3_000,
        'TargetLatencyMs': 1_000,
        'Priority': 0,
        'Service': SERVICE,
        'MaxAttempts': 3,
        'Stretch': 2.0,
        **changes,
    }


def configuration(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Return a whole configuration with one service."""
    service = {
        'Name': SERVICE,
        'HealthPath': '/health',
        'MaxConns': 64,
        'Protocol': 'h1',
        'Tls': False,
        'RejectsOverload': True,
        'Spare': False,
    }
    return {'Version': version, 'Routes': list(routes), 'Services': [service]}


def _free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


@dataclass
class Entry:
    """One process of the project."""

    name: str
    host: str
    front: int
    ready: int
    peer: int
    process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> str:
        """The address for callers."""
        return f'{self.host}:{self.front}'


@dataclass
class Deployment:
    """Store, workers and entries; ``close`` ends everything."""

    record: Record
    behave: BehaviourSource
    entries_count: int = 3
    workers_count: int = 4
    advice_address: str = ''
    store: Store = field(init=False)
    workers: list[Worker] = field(default_factory=list)
    entries: list[Entry] = field(default_factory=list)
    # By worker, where it is listed under the address of a proxy.
    proxies: dict[str, LinkProxy] = field(default_factory=dict)
    folder: pathlib.Path = field(init=False)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the store and a folder for settings and logs."""
        self.store = Store(PLATFORM_HOST)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))

    async def open_platform(
        self, *routes: dict[str, Any], with_proxies: bool = False, **worker_options: Any
    ) -> None:
        """Start the store and the workers, with a first configuration.

        With ``with_proxies``, each worker is listed under the address of a proxy.
        """
        await self.store.server.open()
        self.store.put_json('op/config', configuration(1, *routes))
        self.background(self._advance_workers())
        for number in range(1, self.workers_count + 1):
            await self.add_worker(
                f'i-{number:08x}', with_proxy=with_proxies, **worker_options
            )

    async def add_worker(
        self, worker_id: str, *, with_proxy: bool = False, **options: Any
    ) -> Worker:
        """Start a worker and let it write its entry periodically."""
        worker = Worker(worker_id, PLATFORM_HOST, self.record, self.behave, **options)
        await worker.server.open()
        self.workers.append(worker)
        if with_proxy:
            proxy = LinkProxy(PLATFORM_HOST, worker.server.port)
            await proxy.restore()
            self.proxies[worker_id] = proxy
        self._tasks.append(asyncio.create_task(self._heartbeat(worker)))
        return worker

    async def open_entries(self) -> None:
        """Start the entries and wait until each of them is ready."""
        for number in range(1, self.entries_count + 1):
            host = f'127.0.0.{10 + number}'
            entry = Entry(
                f'front-zone-a-{number}',
                host,
                _free_port(host),
                _free_port(host),
                _free_port(host),
            )
            self.entries.append(entry)
            self.start_entry(entry)
        for entry in self.entries:
            await self.wait_ready(entry)
            await self._wait_served(entry)

    async def _wait_served(self, entry: Entry, *, timeout_s: float = 20) -> None:
        """Wait until an entry can tell the count of waiting jobs."""
        ends_s = self.record.now_s() + timeout_s
        while await self.send(entry, 'GET', '') != 200:
            if self.record.now_s() > ends_s:
                raise RuntimeError(f'{entry.name} does not serve')
            await asyncio.sleep(0.1)

    def lose_power(self, entry: Entry) -> None:
        """Let an entry lose power; the workers hear nothing of it.

        Only the owner of the cell has connections to workers, so all of these
        are its own.
        """
        for proxy in self.proxies.values():
            proxy.lose_senders()
        if entry.process is not None:
            entry.process.send_signal(signal.SIGKILL)
            entry.process.wait()
        self.record.add('power', entry=entry.name, state='lost')

    def owner(self) -> Entry:
        """Return the entry that gives the orders.

        Its name is in the value of the only key below ``mw/own/``.
        """
        for key, item in self.store.items.items():
            if key.startswith('mw/own/'):
                value = base64.b64decode(item['Value'])
                for entry in self.entries:
                    if entry.name.encode() in value:
                        return entry
        raise RuntimeError('no entry owns the cell')

    def start_entry(self, entry: Entry) -> None:
        """Start the process of an entry with the command of the deploy file."""
        settings = self.folder / f'{entry.name}.conf'
        settings.write_text(
            _SETTINGS.format(
                name=entry.name,
                host=entry.host,
                front=entry.front,
                ready=entry.ready,
                peer=entry.peer,
                advice=self.advice_address,
                store=self.store.server.address,
            ),
            encoding='utf-8',
        )
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text('utf-8'))
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['MARJORAMWHARF_BOOT'] = str(settings)
        with (self.folder / f'{entry.name}.log').open('ab') as log:
            entry.process = subprocess.Popen(
                deploy['roles']['entry']['run'].split(' '),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, entry: Entry, *, timeout_s: float = 20) -> None:
        """Wait until an entry answers its readiness check."""
        ends_s = self.record.now_s() + timeout_s
        while self.record.now_s() < ends_s:
            answer = await call(
                f'{entry.host}:{entry.ready}', 'GET', '/readiness', timeout_s=1
            )
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{entry.name} is not ready')

    async def send(
        self,
        entry: Entry,
        method: str,
        job_id: str,
        *,
        prefix: str = QUEUE_PREFIX,
        body: Any = None,
        timeout_s: float = 3.0,
    ) -> int | None:
        """Send a request of a client; return the status, ``None`` if none came."""
        answer = await call(
            entry.address,
            method,
            prefix + job_id,
            headers={
                'Host': QUEUE_HOST,
                'X-Marjoramwharf-Deadline-Ms': str(round(timeout_s * 1_000)),
            },
            body=body,
            timeout_s=timeout_s,
        )
        status = None if answer is None else answer[0]
        state = answer[1] if answer is not None and method == 'GET' else ''
        self.record.add(
            'answered', entry=entry.name, method=method, path=prefix + job_id,
            status=status, state=state,
        )
        return status

    async def state_of(self, entry: Entry, job_id: str, *, prefix: str = QUEUE_PREFIX) -> str:
        """Return a job's state, or the status of an answer without one."""
        answer = await call(
            entry.address, 'GET', prefix + job_id, headers={'Host': QUEUE_HOST}
        )
        if answer is None:
            return 'no answer'
        state = str(answer[1].get('State', answer[0]))
        self.record.add('state', entry=entry.name, job=job_id, state=state)
        return state

    async def wait_state(
        self, entry: Entry, job_id: str, wanted: str, *, prefix: str = QUEUE_PREFIX,
        timeout_s: float = 15,
    ) -> bool:
        """Ask for a job's state until it is as wanted; return whether it was."""
        ends_s = self.record.now_s() + timeout_s
        while self.record.now_s() < ends_s:
            if await self.state_of(entry, job_id, prefix=prefix) == wanted:
                return True
            await asyncio.sleep(0.25)
        return False

    def background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something beside the case until it is closed."""
        self._tasks.append(asyncio.create_task(work))

    def close(self) -> None:
        """End the processes that were started, and remove the folder."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGKILL)
        for entry in self.entries:
            if entry.process is not None:
                entry.process.wait()
        for task in self._tasks:
            task.cancel()
        if not os.environ.get('KEEP_LOGS'):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def _advance_workers(self) -> None:
        """Let runs end on time, whether anybody calls their workers or not."""
        while True:
            for worker in self.workers:
                worker.advance()
            await asyncio.sleep(_TICK_S)

    async def _heartbeat(self, worker: Worker) -> None:
        seq = 0
        rack = f'r1-{int(worker.worker_id[-1], 16) % 2}'
        while True:
            while not self.store.server.is_open:
                await asyncio.sleep(0.1)
            seq += 1
            listener = self.proxies.get(worker.worker_id, worker.server)
            self.store.put_json(
                f'servers/{worker.worker_id}',
                worker.listing(listener.address, SERVICE, rack, seq),
            )
            await asyncio.sleep(HEARTBEAT_S)


def run_case(
    folder: pathlib.Path,
    play: Callable[[Record, bool], Awaitable[bool]],
) -> int:
    """Play a case; return 1 if the rule was broken, 0 if not, 2 for no result.

    ``play`` gets the record and whether there is trouble, and returns whether
    the rule held.
    """
    record = Record()
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        held = asyncio.run(play(record, has_trouble))
    except BaseException as failure:  # noqa: BLE001
        record.add('no result', reason=repr(failure))
        return 2
    else:
        record.add('verdict', trouble=has_trouble, rule='held' if held else 'broken')
        return 0 if held else 1
    finally:
        record.save(folder / 'record.txt')
