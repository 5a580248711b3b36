"""HTTP endpoints of the stand-in platform: the store and the workers.

Paths and bodies are those of the users' platform; the state behind them is that
of ``kv_state`` and ``simulated_worker``.
"""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from typing import Any
from urllib.parse import parse_qs, urlsplit

import trio

from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    OrderAnswer,
    OrderOutcome,
    PaceOrder,
    StartOrder,
    StopOrder,
)
from marjoramwharf.ids import LeaseId, TaskId
from marjoramwharf.links.http_server import HttpRequest, HttpResponse
from marjoramwharf.links.store import Guard, StoredValue, StoreEvent, Write
from standins.kv_state import KeyValueState
from standins.simulated_worker import RunHistory, SimulatedWorker

# Begins and ends faults; the users' platform has no such path.
CONTROL_PATH = '/control'

_MS_PER_S = 1_000
_PAGE_ITEMS_COUNT = 500
_POLL_INTERVAL_S = 0.005

_INTENDED_HEADER = 'x-marjoramwharf-target-instance'
_ANSWERING_HEADER = 'X-Marjoramwharf-Instance-Id'

_REFUSAL_REASONS = {
    OrderOutcome.FENCED: 'fence',
    OrderOutcome.RUN_TOO_OLD: 'old',
    OrderOutcome.TOO_LATE: 'late',
    OrderOutcome.NO_ROOM: 'room',
}


def json_reply(body: Any, status: int = 200) -> HttpResponse:
    """Return an answer with a JSON body."""
    return HttpResponse(status, json.dumps(body).encode())


@dataclass
class StoreEndpoint:
    """Serves a ``KeyValueState`` over HTTP.

    ``refuse`` answers every call with 503. The next ``answers_to_lose`` writes
    are carried out, and their connections aborted without an answer.
    """

    state: KeyValueState = field(default_factory=KeyValueState)
    refuse: bool = False
    answers_to_lose: int = 0
    unlisted: dict[str, bytes] = field(default_factory=dict)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call."""
        if request.target == CONTROL_PATH:
            return self._control(json.loads(request.body))
        if self.refuse:
            return json_reply({}, 503)
        self.state.expire_due_leases(trio.current_time())
        parts = urlsplit(request.target)
        query = {
            name: found[0] for name, found in parse_qs(parts.query).items()
        }
        body = json.loads(request.body or b'{}')
        call = f'{request.method} {parts.path}'
        if call == 'GET /kv-watch':
            return await self._watch(query)
        reply = self._answer_read(call, query) or self._answer_write(call, body)
        if request.method == 'POST' and self.answers_to_lose:
            self.answers_to_lose -= 1
            raise trio.BrokenResourceError
        return reply

    def _control(self, fault: dict[str, Any]) -> HttpResponse:
        """Begin or end a fault, as a test asks for it."""
        self.refuse = fault.get('refuse', self.refuse)
        self.answers_to_lose += fault.get('answers_to_lose', 0)
        if fault.get('compact'):
            self.state.compact()
        for field_name, body in (('evacuate', b'{}'), ('take_back', None)):
            data_centre = fault.get(field_name)
            if data_centre is not None:
                key = f'op/evacuate/{data_centre}'
                self.state.apply([Write(key, body)])
        self._change_list(fault)
        return json_reply({})

    def _change_list(self, fault: dict[str, Any]) -> None:
        """Take a worker off the list, or list it again under another id."""
        unlisted_id = fault.get('unlist')
        if unlisted_id is not None:
            key = f'servers/{unlisted_id}'
            self.unlisted[key] = self.state.stored[key].body
            self.state.apply([Write(key, None)])
        relisted_ids = fault.get('relist')
        if relisted_ids is not None:
            former, present = relisted_ids
            body = self.unlisted.pop(f'servers/{former}')
            self.state.apply([Write(f'servers/{present}', body)])

    def _answer_read(
        self, call: str, query: dict[str, str]
    ) -> HttpResponse | None:
        if call == 'GET /kv-key':
            stored = self.state.stored.get(query['Key'])
            if stored is None:
                return json_reply({}, 404)
            return json_reply(self._item(stored))
        if call == 'GET /kv-range':
            found = [
                stored
                for stored in self.state.values_below(query['Prefix'])
                if stored.key > query.get('After', '')
            ]
            return json_reply(
                {
                    'items': [
                        self._item(one) for one in found[:_PAGE_ITEMS_COUNT]
                    ],
                    'HasMore': len(found) > _PAGE_ITEMS_COUNT,
                    'CurrentRev': self.state.revision,
                },
            )
        return None

    def _answer_write(self, call: str, body: dict[str, Any]) -> HttpResponse:
        now_s = trio.current_time()
        # Two calls end in the id of a lease.
        method_and_path, _, lease_text = call.rpartition('/')
        if call == 'POST /kv-txn':
            return self._transact(body)
        if call == 'POST /kv-lease':
            ttl_s = body['TtlMs'] / _MS_PER_S
            lease = self.state.grant_lease(ttl_s, now_s)
            return json_reply({'Lease': lease, 'TtlMs': body['TtlMs']})
        if method_and_path == 'POST /kv-keep':
            ttl_left_s = self.state.keep_alive(LeaseId(int(lease_text)), now_s)
            return json_reply(
                {'TtlMs': ttl_left_s * _MS_PER_S}, 200 if ttl_left_s else 404
            )
        if method_and_path == 'DELETE /kv-lease-end':
            self.state.revoke_lease(LeaseId(int(lease_text)))
            return json_reply({})
        return json_reply({}, 404)

    def _transact(self, body: dict[str, Any]) -> HttpResponse:
        guards = [
            Guard(row['Key'], row['Revision']) for row in body.get('Expect', ())
        ]
        if not self.state.guards_hold(guards):
            found = [
                self._item(self.state.stored[guard.key])
                for guard in guards
                if guard.key in self.state.stored
            ]
            return json_reply({'items': found}, 412)
        writes = [
            Write(
                row['Key'],
                b64decode(row['Value']),
                LeaseId(row['Lease']) if row.get('Lease') else None,
            )
            for row in body.get('Puts', ())
        ]
        writes += [Write(key, None) for key in body.get('Remove', ())]
        try:
            return json_reply({'Revision': self.state.apply(writes)})
        except ValueError:
            return json_reply({}, 404)

    async def _watch(self, query: dict[str, str]) -> HttpResponse:
        after = int(query['After'])
        deadline_s = trio.current_time() + int(query['WaitMs']) / _MS_PER_S
        while True:
            if after < self.state.compacted_revision:
                return json_reply({}, 410)
            self.state.expire_due_leases(trio.current_time())
            found = self.state.changes_after(after, query['Prefix'])
            if found or trio.current_time() > deadline_s:
                events = [
                    self._event(event, revision)
                    for revision, batch in found
                    for event in batch
                ]
                return json_reply(
                    {'events': events, 'CurrentRev': self.state.revision},
                )
            await trio.sleep(_POLL_INTERVAL_S)

    def _event(self, event: StoreEvent, revision: int) -> dict[str, Any]:
        if event.stored is None:
            return {'Key': event.key, 'Revision': revision, 'Deleted': True}
        return self._item(event.stored)

    def _item(self, stored: StoredValue) -> dict[str, Any]:
        return {
            'Key': stored.key,
            'Value': b64encode(stored.body).decode(),
            'Revision': stored.mod_revision,
            'Created': stored.create_revision,
            'CurrentRev': self.state.revision,
        }


@dataclass
class WorkerEndpoint:
    """Serves a ``SimulatedWorker``, and what it did for checks.

    ``/starts`` has the starts of this incarnation, and ``/history`` the runs of
    all incarnations. The next ``start_answers_to_lose`` starts are carried out, and their
    connections aborted without an answer. A call that is meant for another id
    than ``worker_id`` is refused, unless that is empty.
    """

    worker: SimulatedWorker
    worker_id: str = ''
    start_answers_to_lose: int = 0
    former_history: list[RunHistory] = field(default_factory=list)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call."""
        body = json.loads(request.body or b'{}')
        path = urlsplit(request.target).path
        if path == CONTROL_PATH:
            return self._control(body)
        intended = request.headers.get(_INTENDED_HEADER, self.worker_id)
        if self.worker_id not in {'', intended}:
            return HttpResponse(
                421, headers=((_ANSWERING_HEADER, self.worker_id),)
            )
        if path == '/hold':
            return await self._hold(body)
        if path == '/starts':
            return json_reply(self.worker.starts)
        if path == '/history':
            self.worker.advance(trio.current_time())
            rows = [*self.former_history, *self.worker.history]
            return json_reply([asdict(row) for row in rows])
        return self._answer_order(path, body)

    def _answer_order(self, path: str, body: dict[str, Any]) -> HttpResponse:
        orders: dict[str, Callable[[Any], OrderAnswer]] = {
            '/run-start': self._start,
            '/run-stop': self._stop,
            '/pace': self._pace,
        }
        order = orders.get(path)
        if order is None:
            return json_reply({}, 404)
        answer = order(body)
        if path == '/run-start' and self.start_answers_to_lose:
            self.start_answers_to_lose -= 1
            raise trio.BrokenResourceError
        reason = _REFUSAL_REASONS.get(answer.outcome)
        if reason is None:
            return json_reply({'ClockMs': answer.clock_ms})
        return json_reply({'ClockMs': answer.clock_ms, 'Reason': reason}, 409)

    def _control(self, fault: dict[str, Any]) -> HttpResponse:
        """Begin a fault, as a test asks for it."""
        self.start_answers_to_lose += fault.get('start_answers_to_lose', 0)
        if fault.get('restart'):
            self._restart(trio.current_time())
        self.worker_id = fault.get('worker_id', self.worker_id)
        return json_reply({})

    def _restart(self, now_s: float) -> None:
        """Go on as another incarnation; all that ran has ended with this."""
        self.worker.advance(now_s)
        for row in self.worker.history:
            if row.ended_s is None:
                row.ended_s = now_s
                row.how = 'crashed'
        self.former_history += self.worker.history
        self.worker = SimulatedWorker(now_s)

    def _start(self, body: dict[str, Any]) -> OrderAnswer:
        order = StartOrder(
            task=TaskId(body['Task']),
            run=body['Run'],
            payload=body['TaskSpec'],
            expires_ms=body['ExpiresMs'],
            fence=body.get('Fence', 0),
            checkpoint=body.get('Checkpoint', ''),
        )
        return self.worker.start(order, trio.current_time())

    def _stop(self, body: dict[str, Any]) -> OrderAnswer:
        order = StopOrder(
            TaskId(body['Task']),
            body['Run'],
            body.get('Fence', 0),
        )
        return self.worker.stop(order, trio.current_time())

    def _pace(self, body: dict[str, Any]) -> OrderAnswer:
        order = PaceOrder(
            TaskId(body['Task']),
            body['Run'],
            body['Percent'],
            body.get('Fence', 0),
        )
        return self.worker.pace(order, trio.current_time())

    async def _hold(self, body: dict[str, Any]) -> HttpResponse:
        order = HoldOrder(
            fence=body.get('Fence', 0),
            acknowledged_end=body.get('LastSeen', 0),
            expires_ms=body.get('ExpiresMs'),
            wait_ms=body.get('WaitMs', 0),
        )
        deadline_s = trio.current_time() + order.wait_ms / _MS_PER_S
        worker = self.worker
        report = worker.hold(order, trio.current_time())
        # What the call acknowledges are the ends up to its arrival.
        order = replace(order, acknowledged_end=0)
        while not report.ended and trio.current_time() < deadline_s:
            if report.outcome is OrderOutcome.FENCED:
                return json_reply({'Reason': 'fence'}, 409)
            await trio.sleep(_POLL_INTERVAL_S)
            if self.worker is not worker:
                # The connection ended with the incarnation.
                raise trio.BrokenResourceError
            report = worker.hold(order, trio.current_time())
        return json_reply(
            {
                'ClockMs': report.clock_ms,
                'born': report.born_ms,
                'Running': [
                    [
                        row.task,
                        row.run,
                        row.checkpoint,
                        row.percent,
                        row.reading,
                    ]
                    for row in report.running
                ],
                'Ended': [
                    [
                        row.number,
                        row.task,
                        row.run,
                        row.how.value,
                        row.checkpoint,
                    ]
                    for row in report.ended
                ],
            },
        )
