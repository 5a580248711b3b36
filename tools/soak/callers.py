"""Callers that submit, watch and cancel jobs during a soak."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field

import trio

from marjoramwharf.links.http_client import CallFailed, NotConnected
from tools.soak.checks import CallerRecord
from tools.soak.fleet import SoakFleet

_FIRST_STEP_TASKS = 3
_SECOND_STEP_TASKS = 2
_SUBMIT_PAUSE_S = 0.15
_RETRY_PAUSE_S = 0.2
_WATCH_PAUSE_S = 0.4
_CANCELLED_SHARE = 0.1

# Every other caller gives up early, so that some get refusals only.
_SUBMIT_ATTEMPTS_COUNTS = (25, 5)

_REFUSED_STATUSES = frozenset((429, 503))
_MISSING_STATUS = 410
_FINAL_STATES = frozenset(('completed', 'failed', 'cancelled'))


@dataclass
class Callers:
    """Submits jobs to all entries in turn, and records what callers see."""

    fleet: SoakFleet
    rng: random.Random
    records: list[CallerRecord] = field(default_factory=list)

    async def run(self, duration_s: float) -> None:
        """Submit jobs for ``duration_s``; returns when all are final."""
        end_s = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                number = len(self.records)
                # Added here, since the caller's task may begin much later.
                record = CallerRecord(
                    f'{number:016x}', _FIRST_STEP_TASKS + _SECOND_STEP_TASKS
                )
                self.records.append(record)
                nursery.start_soon(self._call, record, number)
                await trio.sleep(_SUBMIT_PAUSE_S)

    async def _call(self, record: CallerRecord, number: int) -> None:
        """Submit one job, cancel it at times, and watch it to its end."""
        will_cancel = self.rng.random() < _CANCELLED_SHARE
        run_ms = self.rng.choice((50, 300, 1_500))
        attempts_count = _SUBMIT_ATTEMPTS_COUNTS[number % 2]
        await self._submit(record, run_ms, attempts_count)
        if not record.is_accepted:
            return
        if will_cancel:
            await self._cancel(record)
        await self._watch(record)

    async def _submit(
        self, record: CallerRecord, run_ms: int, attempts_count: int
    ) -> None:
        estimate = {'Cpu': 500, 'EstimateMs': run_ms}
        steps = [
            {'Count': _FIRST_STEP_TASKS, **estimate},
            {'Count': _SECOND_STEP_TASKS, 'After': [0], **estimate},
        ]
        body = json.dumps({'TaskSpec': f'ms={run_ms}', 'Steps': steps}).encode()
        for _ in range(attempts_count):
            status = await self._send('POST', record, body)
            if status is None or status not in _REFUSED_STATUSES:
                record.was_refused = False
            if status is not None and 200 <= status < 300:
                record.is_accepted = True
                return
            await trio.sleep(_RETRY_PAUSE_S)

    async def _cancel(self, record: CallerRecord) -> None:
        """Cancel a job; whether it took effect shows in its state."""
        record.is_cancelled = True
        await self._send('DELETE', record)

    async def _watch(self, record: CallerRecord) -> None:
        while not record.states or record.states[-1] not in _FINAL_STATES:
            await self._look(record)
            await trio.sleep(_WATCH_PAUSE_S)
        # Once more at another entry, which must not show an older state.
        await self._look(record)

    async def _look(self, record: CallerRecord) -> None:
        url = self.rng.choice(self.fleet.queue_urls) + record.job_id
        try:
            answer = await self.fleet.send('GET', url)
        except CallFailed:
            return
        if answer.is_success:
            record.show(json.loads(answer.body)['State'])
        elif answer.status == _MISSING_STATUS:
            record.show('missing')

    async def _send(
        self, method: str, record: CallerRecord, body: bytes = b''
    ) -> int | None:
        """Return the status, ``None`` if the outcome is not known.

        A connection that was never open counts as a refusal.
        """
        url = self.rng.choice(self.fleet.queue_urls) + record.job_id
        try:
            return (await self.fleet.send(method, url, body)).status
        except NotConnected:
            return 503
        except CallFailed:
            return None
