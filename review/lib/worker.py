"""Stand-in of a worker, as PROTOCOL.md describes it, over HTTP."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from review.lib.http11 import Answer, HttpServer, Request
from review.lib.record import Record

_MS = 1_000
_MAX_HOLD_MS = 10_000
_STOP_S = 0.2
_POLL_S = 0.01


@dataclass(frozen=True)
class Behaviour:
    """What a run does: it ends ``how`` after ``ms`` of work.

    A run that lasts has infinite ``ms`` and is at work from its start on.
    """

    ms: float
    how: str = 'done'
    cpu: int = 100


# Returns the behaviour of a run, by the name of its task and its number.
BehaviourSource = Callable[[str, int], Behaviour]


@dataclass
class _Run:
    task: str
    number: int
    began_ms: float
    behaviour: Behaviour
    stop_at_ms: float | None = None


@dataclass
class Worker:
    """One life of a worker. It guards its capacity."""

    worker_id: str
    host: str
    record: Record
    behave: BehaviourSource
    cpu: int = 32_000
    fence: int = 0
    lease_end_ms: float = 0
    running: dict[str, _Run] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    needs_ticket: Callable[[str, str], bool] | None = None
    max_connections: int | None = None
    server: HttpServer = field(init=False)
    _ends_count: int = 0
    _refused: dict[str, int] = field(default_factory=dict)
    _began_s: float = field(default_factory=time.monotonic)
    born_ms: int = field(default_factory=lambda: int(time.time() * _MS))

    def __post_init__(self) -> None:
        """Create the server; ``server.open`` makes the worker reachable."""
        self.server = HttpServer(
            self.host, self.handle, max_connections=self.max_connections
        )

    def clock_ms(self) -> float:
        """The worker's own steady clock."""
        return (time.monotonic() - self._began_s) * _MS

    def listing(self, address: str, service: str, rack: str, seq: int) -> dict[str, Any]:
        """The entry that the worker writes of itself into the store."""
        return {
            'Service': service,
            'Address': address,
            'Zone': 'zone-a',
            'Version': 'v1',
            'Slots': 8,
            'State': 'ready',
            'ColdRemainingMs': 0,
            'Capacity': {'Cpu': self.cpu, 'MemMb': 128_000, 'Gpu': 0},
            'Labels': ['a', rack],
            'ClockMs': int(self.clock_ms()),
            'Seq': seq,
            'born': self.born_ms,
        }

    async def handle(self, request: Request) -> Answer:
        """Answer one call."""
        self.advance()
        if request.headers.get('x-marjoramwharf-target-instance') != self.worker_id:
            return 421, {'ClockMs': int(self.clock_ms())}
        body = request.body
        if body.get('Fence', 0) < self.fence:
            return self._refuse('fence')
        self.fence = body.get('Fence', 0)
        if request.path == '/hold':
            return await self._hold(body)
        if request.path == '/run-start':
            return self._start(body)
        if request.path == '/run-stop':
            return self._stop(body)
        if request.path == '/pace':
            return self._ok()
        return 404, {}

    def advance(self) -> None:
        """Carry out all that was due by now: ends of runs and of the lease."""
        now_ms = self.clock_ms()
        for run in tuple(self.running.values()):
            ends_ms = run.began_ms + run.behaviour.ms
            if ends_ms <= min(now_ms, self.lease_end_ms):
                self._end(run, run.behaviour.how)
            elif run.stop_at_ms is not None and run.stop_at_ms <= now_ms:
                self._end(run, 'stopped')
            elif self.lease_end_ms <= now_ms:
                self._end(run, 'lapsed')

    def _start(self, body: dict[str, Any]) -> Answer:
        task, number = body['Task'], body['Run']
        if body['ExpiresMs'] <= self.clock_ms():
            return self._refuse('late')
        present = self.running.get(task)
        if present is not None and present.number == number:
            self._extend(body['ExpiresMs'])
            return self._ok()
        if number <= self._refused.get(task, 0) or present is not None:
            self._extend(body['ExpiresMs'])
            return self._refuse('old')
        if self.needs_ticket is not None and self.needs_ticket(
            task, body.get('Ticket', '')
        ):
            return self._refuse('ticket')
        behaviour = self.behave(task, number)
        used = sum(run.behaviour.cpu for run in self.running.values())
        if used + behaviour.cpu > self.cpu:
            self._extend(body['ExpiresMs'])
            return self._refuse('room')
        self._extend(body['ExpiresMs'])
        self.running[task] = _Run(task, number, self.clock_ms(), behaviour)
        self.record.add(
            'started', worker=self.worker_id, task=task, run=number, fence=self.fence
        )
        return self._ok()

    def _stop(self, body: dict[str, Any]) -> Answer:
        task, number = body['Task'], body['Run']
        self._refused[task] = max(number, self._refused.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number <= number and run.stop_at_ms is None:
            run.stop_at_ms = self.clock_ms() + _STOP_S * _MS
        return self._ok()

    async def _hold(self, body: dict[str, Any]) -> Answer:
        if 'ExpiresMs' in body:
            self._extend(body['ExpiresMs'])
        last_seen = body.get('LastSeen', 0)
        for row in self.ended:
            if row[0] <= last_seen:
                self.record.add(
                    'noted', worker=self.worker_id, task=row[1], run=row[2], how=row[3]
                )
        self.ended = [row for row in self.ended if row[0] > last_seen]
        until_s = time.monotonic() + body.get('WaitMs', 0) / _MS
        while not self.ended and time.monotonic() < until_s:
            await asyncio.sleep(_POLL_S)
            self.advance()
        now_ms = self.clock_ms()
        running = [
            [run.task, run.number, '', self._percent(run, now_ms), 0]
            for run in self.running.values()
        ]
        return 200, {
            'ClockMs': int(now_ms),
            'born': self.born_ms,
            'Running': running,
            'Ended': self.ended[:500],
        }

    def _percent(self, run: _Run, now_ms: float) -> int:
        if math.isinf(run.behaviour.ms):
            return 100
        return int(min(99, 100 * (now_ms - run.began_ms) / max(1, run.behaviour.ms)))

    def _end(self, run: _Run, how: str) -> None:
        del self.running[run.task]
        self._refused[run.task] = max(run.number, self._refused.get(run.task, 0))
        self._ends_count += 1
        self.ended.append([self._ends_count, run.task, run.number, how, ''])
        self.record.add(
            'ended', worker=self.worker_id, task=run.task, run=run.number, how=how
        )

    def _extend(self, expires_ms: float) -> None:
        allowed_ms = min(expires_ms, self.clock_ms() + _MAX_HOLD_MS)
        self.lease_end_ms = max(self.lease_end_ms, allowed_ms)

    def _ok(self) -> Answer:
        return 200, {'ClockMs': int(self.clock_ms())}

    def _refuse(self, reason: str) -> Answer:
        return 409, {'ClockMs': int(self.clock_ms()), 'Reason': reason}
