"""Stand-ins for the platform, its workers and a client, for the cases 6 to 9.

Everything runs in one asyncio process, on loopback addresses and the real
clock. The entries are separate processes, started with the command of the
deploy file. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICE = 'avisos'
QUEUE = 'notices'
QUEUE_HOST = 'jobs.example'
QUEUE_PREFIX = '/notices/'
MAX_HOLD_MS = 10_000
STOP_MS = 900
GANG_MS = 3_000
CANCEL_MS = 3_000
CHECKPOINT_S = 0.5
LIMIT_S = 117.0
LOSE = object()  # the call gets no answer

SETTINGS = """Node={name}
Role=entry
MachineClass=front
Serves=front
Ip={ip}
Zone={zone}
Region=ar-centro
Zones.ar-centro-a=ar-centro
Zones.ar-centro-b=ar-centro
ListenAddrs.Front={ip}:{front}
ListenAddrs.Ready={ip}:{ready}
PortRange={first},{last}
Bootstrap=true
InTolerance=false
Limits.CpuShare=1.0
Limits.Cores=1
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=vip
HeartbeatMs=1500
Contracts=base,drain,config,cost,recover,sched,platform,sharing
Bounds.SeedLagS=3
Bounds.AddrReuseS=2
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.CatchUpS=4
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.RecoveryS=12
Bounds.MaxHoldMs=10000
Bounds.StopMs=900
Bounds.GangMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.early_ms=250
Bounds.finish_s=14
Bounds.status_s=120
Bounds.FarX=3
Bounds.CheckpointS=0.5
Bounds.RestoreMs=100
Bounds.HarmMs=4000
Orders=call
platform.Address={store}
platform.form=kv
platform.WritesPerS=400
platform.ReadsPerS=2000
platform.HistoryS=20
platform.ValueBytes=1048576
platform.TtlMinMs=1000
"""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.began_s = time.monotonic()
        self.rows = []

    def __call__(self, kind, **fields):
        at_s = round(time.monotonic() - self.began_s, 3)
        self.rows.append((at_s, kind, fields))
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.file.write(f'{at_s:8.3f} {kind} {text}\n')
        self.file.flush()
        return at_s


class HttpServer:
    """Serves ``answer(method, target, headers, body)`` on one address.

    ``answer`` returns a status and a body for JSON, or ``LOSE``.
    """

    def __init__(self, host, port, answer):
        self.host, self.port, self.answer = host, port, answer
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=256
        )

    def crash(self):
        """Stop listening and reset the connections."""
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the connection, or the case, has ended
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.split('\r\n')
        method, target, _ = first.split(' ', 2)
        headers = {}
        for line in lines:
            name, colon, text = line.partition(':')
            if colon:
                headers[name.strip().lower()] = text.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        answer = await self.answer(method, target, headers, body)
        if answer is LOSE:
            # The connection stays open, and returns nothing further.
            await reader.read()
            return False
        status, found, *extra = answer
        raw = json.dumps(found).encode()
        lines = [
            f'HTTP/1.1 {status} -',
            'Content-Type: application/json',
            f'Content-Length: {len(raw)}',
            *extra,
        ]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + raw)
        await writer.drain()
        return True


class Store:
    """The platform's key-value store.

    ``before_call(port, method, path, body)`` may return ``LOSE`` to drop a call
    unanswered and not executed.
    """

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.before_call = None

    def answer_at(self, port):
        async def answer(method, target, headers, body):
            return await self.call(port, method, target, body)

        return answer

    async def call(self, port, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = {
            name: found[0]
            for name, found in urllib.parse.parse_qs(parts.query).items()
        }
        sent = json.loads(body) if body else {}
        if self.before_call is not None:
            told = self.before_call(port, method, parts.path, sent)
            if told is LOSE:
                return LOSE
        await asyncio.sleep(0.004)
        if parts.path == '/kv-watch':
            return await self._watch(query)
        return self.execute(method, parts.path, query, sent)

    def execute(self, method, path, query, sent):
        self.expire()
        if path == '/kv-key':
            item = self.items.get(query['Key'])
            if item is None:
                return 404, {}
            return 200, {**self._row(item), 'CurrentRev': self.revision}
        if path == '/kv-range':
            found = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(query['Prefix']) and key > query.get('After', '')
            ]
            return 200, {
                'items': [self._row(item) for item in found[:500]],
                'HasMore': len(found) > 500,
                'CurrentRev': self.revision,
            }
        if path == '/kv-txn':
            return self._transact(sent)
        if path == '/kv-lease':
            lease = self.next_lease
            self.next_lease += 1
            ttl_s = sent['TtlMs'] / 1000
            self.leases[lease] = [ttl_s, time.monotonic() + ttl_s]
            return 200, {'Lease': lease, 'TtlMs': sent['TtlMs']}
        lease = int(path.rpartition('/')[2])
        if path.startswith('/kv-keep/'):
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl_s
            return 200, {'TtlMs': round(ttl_s * 1000)}
        if lease not in self.leases:
            return 404, {}
        self._end_lease(lease)
        return 200, {}

    def put(self, key, body, lease=0):
        """Write a key as the operator or a worker does."""
        self.apply([(key, body, lease)], [])

    def apply(self, puts, removed):
        self.revision += 1
        for key, body, lease in puts:
            former = self.items.get(key)
            created = former['created'] if former else self.revision
            self.items[key] = {
                'key': key,
                'body': body,
                'revision': self.revision,
                'created': created,
                'lease': lease,
            }
            self.history.append((self.revision, key, self.items[key]))
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, key, None))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def expire(self):
        now_s = time.monotonic()
        for lease, (_, end_s) in tuple(self.leases.items()):
            if end_s <= now_s:
                self._end_lease(lease)

    async def run_expiry(self):
        while True:
            await asyncio.sleep(0.02)
            self.expire()

    def _end_lease(self, lease):
        self.leases.pop(lease)
        keys = [k for k, item in self.items.items() if item['lease'] == lease]
        if keys:
            self.apply([], keys)

    def _transact(self, sent):
        expect = sent.get('Expect') or []
        for row in expect:
            item = self.items.get(row['Key'])
            if (item['revision'] if item else 0) != row['Revision']:
                found = [
                    self._row(self.items[row['Key']])
                    for row in expect
                    if row['Key'] in self.items
                ]
                return 412, {'items': found}
        puts = [
            (row['Key'], base64.b64decode(row['Value']), row.get('Lease') or 0)
            for row in sent.get('Puts') or []
        ]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        return 200, {'Revision': self.apply(puts, sent.get('Remove') or [])}

    async def _watch(self, query):
        after, prefix = int(query['After']), query['Prefix']
        end_s = time.monotonic() + int(query['WaitMs']) / 1000
        while True:
            events = [
                self._row(item)
                if item
                else {'Key': key, 'Revision': revision, 'Deleted': True}
                for revision, key, item in self.history
                if revision > after and key.startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'CurrentRev': self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    def _row(self, item):
        return {
            'Key': item['key'],
            'Value': base64.b64encode(item['body']).decode(),
            'Revision': item['revision'],
            'Created': item['created'],
            'Lease': item['lease'],
        }


class Run:
    def __init__(self, task, number, spec, checkpoint, now_s):
        self.task, self.number, self.spec = task, number, spec
        self.checkpoint = checkpoint
        self.began_s = now_s
        self.worked_s = 0.0
        self.stopping_s = None


class Worker:
    """One worker; ``behave(worker, task, number)`` tells what its runs do.

    It returns ``('done', s)``, ``('failed', s)``, ``('hang', 0)`` or
    ``('lasts', 0)``. ``before_order(worker, path, order)`` may return ``LOSE``;
    the order isn't carried out then, and may be given to ``execute`` later.
    """

    def __init__(self, ident, address, rack, record, store, *, zone, gangs=None):
        self.ident, self.address, self.rack = ident, address, rack
        self.record, self.store, self.zone = record, store, zone
        self.gangs = gangs  # run sets of gangs, shared by all workers
        self.before_order = None
        self.behave = None
        self.seq = 0
        self.server = None
        self.is_up = False

    async def start(self):
        self.born_s = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.fence = 0
        self.runs = {}
        self.ended = []
        self.ends_count = 0
        self.highest = {}
        self.expires_ms = 0
        self.change = asyncio.Event()
        self.server = HttpServer(*self.address, self.answer)
        await self.server.start()
        self.is_up = True
        self.list()
        self.record('worker-up', worker=self.ident, born=self.born_ms)

    def crash(self):
        """Everything that runs ends, and nothing is told."""
        self.is_up = False
        self.server.crash()
        for run in self.runs.values():
            self.record('run-lost', worker=self.ident, task=run.task, run=run.number)
        self.runs.clear()
        self.record('worker-down', worker=self.ident)

    def list(self):
        self.seq += 1
        body = {
            'Service': SERVICE,
            'Address': f'{self.address[0]}:{self.address[1]}',
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': 8,
            'State': 'ready',
            'Seq': self.seq,
            'Capacity': {'Cpu': 32000, 'MemMb': 128000, 'Gpu': 0},
            'Labels': ['a', self.rack],
            'Machine': f'm-{self.ident}',
            'born': self.born_ms,
        }
        self.store.put(f'servers/{self.ident}', json.dumps(body).encode())

    async def run(self):
        """Heartbeats, progress and leases, until cancelled."""
        beat_s = 0.0
        while True:
            await asyncio.sleep(0.01)
            if not self.is_up:
                continue
            self.advance()
            if time.monotonic() - beat_s > 1.5:
                beat_s = time.monotonic()
                self.list()

    def clock_ms(self):
        return int((time.monotonic() - self.born_s) * 1000) + 1000

    def advance(self):
        now_s = time.monotonic()
        if self.expires_ms and self.clock_ms() >= self.expires_ms:
            self.expires_ms = 0
            self.record('lease-lapsed', worker=self.ident)
            for run in tuple(self.runs.values()):
                self.end(run, 'lapsed')
        for run in tuple(self.runs.values()):
            if run.task not in self.runs:
                continue
            if run.stopping_s is not None:
                if now_s >= run.stopping_s:
                    self.end(run, 'stopped')
                continue
            how, after_s = self.behave(self, run.task, run.number)
            if self.gangs is not None and how != 'failed':
                if not self.gangs.is_whole(run):
                    if now_s - run.began_s > GANG_MS / 1000:
                        self.end(run, 'alone')
                    continue
            run.worked_s = now_s - run.began_s
            if how in ('done', 'failed') and run.worked_s >= after_s:
                self.end(run, how)

    def end(self, run, how):
        if self.runs.pop(run.task, None) is None:
            return
        self.ends_count += 1
        self.ended.append([self.ends_count, run.task, run.number, how, ''])
        self.record(
            'run-end', worker=self.ident, task=run.task, run=run.number, how=how
        )
        self.change.set()
        self.change = asyncio.Event()
        if self.gangs is not None:
            self.gangs.on_end(self, run, how)

    async def answer(self, method, target, headers, body):
        intended = headers.get('x-marjoramwharf-target-instance', self.ident)
        if intended != self.ident:
            return 421, {}, f'X-Marjoramwharf-Instance-Id: {self.ident}'
        order = json.loads(body) if body else {}
        if self.before_order is not None:
            if self.before_order(self, target, order) is LOSE:
                return LOSE
        if target == '/hold':
            return await self.hold(order)
        return self.execute(target, order)

    def execute(self, target, order):
        self.advance()
        if order.get('Fence', 0) < self.fence:
            return 409, {'ClockMs': self.clock_ms(), 'Reason': 'fence', 'born': self.born_ms}
        self.fence = max(self.fence, order.get('Fence', 0))
        if target == '/run-start':
            return self.start_run(order)
        if target == '/run-stop':
            return self.stop_run(order)
        return 200, {'ClockMs': self.clock_ms(), 'born': self.born_ms}

    def start_run(self, order):
        task, number = order['Task'], order['Run']
        reply = {'ClockMs': self.clock_ms(), 'born': self.born_ms}
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return 200, reply
        if self.clock_ms() >= order['ExpiresMs']:
            return 409, {**reply, 'Reason': 'late'}
        self.extend(order['ExpiresMs'])
        if number <= self.highest.get(task, 0) or present is not None:
            return 409, {**reply, 'Reason': 'old'}
        run = Run(task, number, order['TaskSpec'], order.get('Checkpoint', ''), time.monotonic())
        self.runs[task] = run
        self.highest[task] = number
        self.record(
            'run-start', worker=self.ident, task=task, run=number, born=self.born_ms,
            fence=order.get('Fence', 0),
        )
        if self.gangs is not None:
            self.gangs.on_start(self, run)
        return 200, reply

    def stop_run(self, order):
        task, number = order['Task'], order['Run']
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number and run.stopping_s is None:
            run.stopping_s = time.monotonic() + 0.05
            self.record('run-stop', worker=self.ident, task=task, run=number)
        return 200, {'ClockMs': self.clock_ms(), 'born': self.born_ms}

    def extend(self, expires_ms):
        expires_ms = min(expires_ms, self.clock_ms() + MAX_HOLD_MS)
        self.expires_ms = max(self.expires_ms, expires_ms)

    async def hold(self, order):
        if order.get('Fence', 0) < self.fence:
            return 409, {'ClockMs': self.clock_ms(), 'Reason': 'fence', 'born': self.born_ms}
        self.fence = max(self.fence, order.get('Fence', 0))
        if order.get('ExpiresMs') is not None:
            self.extend(order['ExpiresMs'])
        seen = order.get('LastSeen', 0)
        for row in self.ended:
            if row[0] <= seen:
                self.record('end-noted', worker=self.ident, task=row[1], run=row[2], how=row[3])
        self.ended = [row for row in self.ended if row[0] > seen]
        self.advance()
        wait_s = order.get('WaitMs', 0) / 1000
        if wait_s and not self.ended:
            try:
                await asyncio.wait_for(self.change.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        self.advance()
        return 200, {
            'ClockMs': self.clock_ms(),
            'born': self.born_ms,
            'Running': [
                [run.task, run.number, run.checkpoint, self.percent(run), 500]
                for run in self.runs.values()
            ],
            'Ended': self.ended[:500],
        }

    def percent(self, run):
        how, after_s = self.behave(self, run.task, run.number)
        if how == 'lasts':
            return 100 if run.worked_s > 0.3 else 30
        if how == 'hang' or not after_s:
            return 10
        return min(99, int(100 * run.worked_s / after_s))


class Gangs:
    """Which members of each gang's run are there, at all workers.

    They work once all are there. The end of one breaks those that are there,
    and those that come later.
    """

    def __init__(self, size):
        self.size = size
        self.members = {}
        self.ended = set()

    def key(self, run):
        return run.task.rpartition('.')[0], run.number

    def on_start(self, worker, run):
        self.members.setdefault(self.key(run), {})[run.task] = (worker, run)
        how, after_s = worker.behave(worker, run.task, run.number)
        if how == 'failed' and not after_s:
            worker.end(run, 'failed')
        elif self.key(run) in self.ended:
            worker.end(run, 'broken')

    def is_whole(self, run):
        return len(self.members.get(self.key(run), ())) >= self.size

    def on_end(self, worker, run, how):
        """End the other members that are there."""
        self.ended.add(self.key(run))
        for other, run_there in tuple(self.members[self.key(run)].values()):
            if other.runs.get(run_there.task) is run_there:
                other.end(run_there, 'done' if how == 'done' else 'broken')


class Entry:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, number, host, store_address, folder, record, zone='ar-centro-a'):
        self.number, self.host, self.record = number, host, record
        ports = free_ports(host, 4)
        self.front = ports[0]
        self.settings = folder / f'entry-{number}.conf'
        self.settings.write_text(
            SETTINGS.format(
                name=f'front-{number}', ip=host, zone=zone, front=ports[0],
                ready=ports[1], first=ports[2], last=ports[2], store=store_address,
            )
        )
        self.log_path = folder / f'entry-{number}.log'
        self.process = None

    def start(self):
        env = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/tmp'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'MARJORAMWHARF_BOOT': str(self.settings),
        }
        with open(self.log_path, 'ab') as log:
            self.process = subprocess.Popen(
                run_command(), cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.record('entry-start', entry=self.number, pid=self.process.pid)

    def signal(self, number):
        self.process.send_signal(number)
        self.record('entry-signal', entry=self.number, signal=signal.Signals(number).name)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log(self):
        return self.log_path.read_text(errors='replace') if self.log_path.exists() else ''


def run_command():
    for line in (ROOT / 'deploy' / 'system.toml').read_text().splitlines():
        name, _, text = line.partition('=')
        if name.strip() == 'run':
            return text.strip().strip('"').split()
    raise SystemExit(2)


def free_ports(host, count):
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((host, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def request(host, port, method, path, body=None, *, timeout_s=3.0, deadline_ms=3000):
    """Send one request as a client; return the status and the body.

    The status is ``None`` if there is no answer within the time, after which
    the client closes the connection.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            raw = json.dumps(body).encode() if body is not None else b''
            lines = [
                f'{method} {path} HTTP/1.1',
                f'Host: {QUEUE_HOST}',
                'Content-Type: application/json',
                f'X-Marjoramwharf-Deadline-Ms: {deadline_ms}',
                f'Content-Length: {len(raw)}',
            ]
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + raw)
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            length = 0
            for line in head.split('\r\n'):
                if line.lower().startswith('content-length:'):
                    length = int(line.partition(':')[2])
            found = await reader.readexactly(length)
            return int(head.split(' ')[1]), found.decode()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, ''
    finally:
        if writer is not None:
            writer.close()


class Case:
    """The processes of one run of a case, and the calls of its client."""

    def __init__(self, folder, *, entries=3, workers=4, gang_size=None,
                 max_attempts=3, behave=None, stretch=2.0):
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record('trouble', on=self.trouble)
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        base = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self.store = Store()
        self.store_host = f'{base}.1'
        self.store_ports = free_ports(self.store_host, entries)
        gangs = Gangs(gang_size) if gang_size else None
        self.workers = []
        for number in range(workers):
            host = f'{base}.{100 + number}'
            worker = Worker(
                f'w{number:02}', (host, free_ports(host, 1)[0]), f'r{number % 2}',
                self.record, self.store, zone='ar-centro-a', gangs=gangs,
            )
            worker.behave = behave or (lambda *_: ('done', 1.0))
            self.workers.append(worker)
        self.entries = [
            Entry(n, f'{base}.{10 + n}', f'{self.store_host}:{port}', self.temporary, self.record)
            for n, port in enumerate(self.store_ports)
        ]
        route = {
            'Name': QUEUE, 'Host': QUEUE_HOST, 'Prefix': QUEUE_PREFIX,
            'Service': SERVICE, 'TimeoutMs': 3000, 'TargetLatencyMs': 1000,
            'Priority': 0, 'MaxAttempts': max_attempts, 'Stretch': stretch,
        }
        service = {'Name': SERVICE, 'RejectsOverload': True}
        config = {'Version': 3, 'Routes': [route], 'Services': [service]}
        self.store.put('op/config', json.dumps(config).encode())
        self.tasks = []

    async def start(self):
        for port in self.store_ports:
            await HttpServer(self.store_host, port, self.store.answer_at(port)).start()
        self.tasks.append(asyncio.create_task(self.store.run_expiry()))
        for worker in self.workers:
            await worker.start()
            self.tasks.append(asyncio.create_task(worker.run()))
        for entry in self.entries:
            entry.start()
        end_s = time.monotonic() + 25
        while time.monotonic() < end_s:
            await asyncio.sleep(0.2)
            answers = [
                (await request(e.host, e.front, 'GET', QUEUE_PREFIX, timeout_s=1))[0]
                for e in self.entries
            ]
            if answers == [200] * len(answers):
                # Entries find each other a second after their start.
                await asyncio.sleep(2.5)
                return
        raise CannotRun('the entries are not ready')

    def owner(self):
        """The entry whose record the store has, by its log, or ``None``."""
        latest = [(e.log().rfind('cell loaded'), e) for e in self.entries]
        for at, entry in latest:
            if at >= 0 and entry.process.poll() is None:
                if 'ownership ended' not in entry.log()[at:]:
                    return entry
        return None

    async def call(self, entry, method, job, body=None, **options):
        self.record('client-sends', method=method, job=job, entry=entry.number)
        status, text = await request(
            entry.host, entry.front, method, QUEUE_PREFIX + job, body, **options
        )
        self.record('client-gets', method=method, job=job, entry=entry.number, status=status, body=text)
        return status, text

    def starts(self, job):
        return [
            (at, f) for at, kind, f in self.record.rows
            if kind == 'run-start' and f['task'].startswith(job)
        ]

    def close_processes(self):
        for entry in self.entries:
            entry.kill()

    def close(self):
        for task in self.tasks:
            task.cancel()
        self.close_processes()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for entry in self.entries:
                if entry.log_path.exists():
                    shutil.copy(entry.log_path, keep)
        shutil.rmtree(self.temporary, ignore_errors=True)


class CannotRun(Exception):
    """The case can't be run here."""


def main(folder, play, **options):
    """Play a case; exit with 1 if the rule was broken, else 0, or 2."""
    if not (ROOT / 'target' / 'deps').is_dir():
        print('target/deps is missing: run the build of the deploy file first')
        sys.exit(2)

    case = Case(folder, **options)

    def give_up(*_):
        """End all processes of the case; the verdict is left open."""
        case.close_processes()
        os._exit(2)

    watchdog = threading.Timer(LIMIT_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, give_up)

    async def run():
        try:
            await case.start()
            broken = await play(case)
            for entry in case.entries:
                if entry.process.poll() is not None:
                    case.record('entry-ended', entry=entry.number, code=entry.process.returncode)
            case.record('verdict', broken=broken or 'nothing')
            return 1 if broken else 0
        except CannotRun as failure:
            case.record('verdict', cannot_run=failure)
            return 2
        finally:
            case.close()

    try:
        code = asyncio.run(run())
    except OSError as failure:
        print(f'not run: {failure!r}')
        code = 2
    print({0: 'held', 1: 'broken', 2: 'could not run'}[code])
    sys.exit(code)
