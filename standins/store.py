"""Stand-in for the platform's key-value store, over HTTP.

It implements the JSON gateway of etcd v3 on ``KeyValueState`` and adds two
calls for tests: ``POST /faults`` changes the injected faults and ``GET
/counters`` returns the numbers of calls so far. Run it as a process with
``python -m standins.store --port 2379``, or in a nursery with
``serve_app(StoreStandin().app)``.

Fields of ``POST /faults``, all optional: ``down``, ``slow_ms``,
``lose_answers_share`` (0 to 1; the share of writes that are applied and never
answered) and ``seed`` stay in force until changed; ``drop_watches`` and
``expire_leases`` act once.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import ExitStack
from typing import Any

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from marjoramwharf.ids import LeaseId
from marjoramwharf.links import _etcd_wire as wire
from marjoramwharf.links.store import Guard, StoredValue, StoreEvent, Write
from standins.kv_state import KeyValueState
from standins.serving import run_process, standin_options

_EXPIRY_CHECK_INTERVAL_S = 0.05


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /faults``; absent fields stay as they are."""

    down: bool | None = None
    slow_ms: float | None = None
    lose_answers_share: float | None = None
    drop_watches: bool = False
    expire_leases: bool = False
    seed: int | None = None


class _RefusedError(Exception):
    """A call is refused with this message and HTTP status."""

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class StoreStandin:
    """The HTTP application with its state and its injected faults."""

    def __init__(self, state: KeyValueState | None = None) -> None:
        """Serve a state, or a new one."""
        self.state = state or KeyValueState()
        self.is_down = False
        self.slow_s: float = 0
        self.lose_answers_share: float = 0
        self.reads_count = 0
        self.writes_count = 0
        self.watches_count = 0
        self.watch_generation = 0
        self.changed = trio.Event()
        self._random = random.Random(0)
        self.app = _build_app(self)

    def set_faults(self, faults: Faults) -> None:
        """Apply the fields that are set."""
        if faults.seed is not None:
            self._random = random.Random(faults.seed)
        if faults.down is not None:
            self.is_down = faults.down
        if faults.slow_ms is not None:
            self.slow_s = faults.slow_ms / 1000
        if faults.lose_answers_share is not None:
            self.lose_answers_share = faults.lose_answers_share
        if faults.expire_leases:
            self.state.expire_all_leases()
        if faults.drop_watches or self.is_down:
            self.watch_generation += 1
        self.notify_watches()

    def notify_watches(self) -> None:
        """Wake the watches, which then send new changes."""
        self.changed.set()
        self.changed = trio.Event()

    async def expire_due_leases(self) -> None:
        """End expired leases periodically, until cancelled."""
        while True:
            await trio.sleep(_EXPIRY_CHECK_INTERVAL_S)
            self.state.expire_due_leases(trio.current_time())
            self.notify_watches()

    async def read_call_body(self) -> dict[str, Any]:
        """Decode the body of a call, after the delay or refusal of a fault."""
        body: dict[str, Any] = msgspec.json.decode(await request.get_data())
        await trio.sleep(self.slow_s)
        if self.is_down:
            raise _RefusedError('etcdserver: no leader', 503)
        self.state.expire_due_leases(trio.current_time())
        return body

    async def answer_write(self, **fields: Any) -> dict[str, Any]:
        """Wake the watches and return the answer, or never return."""
        self.notify_watches()
        if self._random.random() < self.lose_answers_share:
            await trio.sleep_forever()
        return {'header': self.header(), **fields}

    def header(self) -> dict[str, str]:
        """Return the header of every answer."""
        return {'revision': str(self.state.revision)}

    async def stream_changes(
        self, body: dict[str, Any]
    ) -> AsyncIterator[bytes]:
        """Yield the messages of a watch until it is dropped."""
        create = body['create_request']
        prefix = wire.decode(create['key']).decode()
        revision = int(create['start_revision']) - 1
        generation = self.watch_generation
        with ExitStack() as stack:
            self.watches_count += 1
            stack.callback(self._end_watch)
            yield self._encode_message(created=True)
            while generation == self.watch_generation:
                changed = self.changed
                if revision < self.state.compacted_revision:
                    yield self._encode_message(
                        canceled=True,
                        compact_revision=str(self.state.compacted_revision),
                    )
                    return
                changes = self.state.changes_after(revision, prefix)
                revision = self.state.revision
                for at_revision, events in changes:
                    yield self._encode_message(
                        events=_encode_events(at_revision, events),
                    )
                await changed.wait()

    def _end_watch(self) -> None:
        self.watches_count -= 1

    def _encode_message(self, **fields: Any) -> bytes:
        message = {'result': {'header': self.header(), **fields}}
        return b''.join((msgspec.json.encode(message), b'\n'))


class _ProtocolHandlers:
    """Handles the calls of the published protocol."""

    def __init__(self, standin: StoreStandin) -> None:
        self._standin = standin
        self._state = standin.state

    async def kv_range(self) -> Response:
        self._standin.reads_count += 1
        body = await self._standin.read_call_body()
        found = _select_values(self._state, body)
        return _json_response(
            {
                'header': self._standin.header(),
                'kvs': list(map(_encode_value, found)),
                'count': str(len(found)),
            },
        )

    async def kv_txn(self) -> Response:
        body = await self._read_write_body()
        # The gateway leaves out fields with a zero value.
        outcome = {}
        if self._state.guards_hold(_decode_guards(body)):
            self._apply(body)
            outcome['succeeded'] = True
        return _json_response(await self._standin.answer_write(**outcome))

    async def kv_compaction(self) -> Response:
        await self._read_write_body()
        self._state.compact()
        return _json_response(await self._standin.answer_write())

    async def watch(self) -> Response:
        self._standin.reads_count += 1
        body = await self._standin.read_call_body()
        return Response(
            self._standin.stream_changes(body),
            mimetype='application/json',
        )

    async def lease_grant(self) -> Response:
        body = await self._read_write_body()
        ttl_s = int(body['TTL'])
        lease = self._state.grant_lease(ttl_s, trio.current_time())
        return _json_response(
            await self._standin.answer_write(ID=str(lease), TTL=str(ttl_s)),
        )

    async def lease_keepalive(self) -> Response:
        body = await self._read_write_body()
        lease = LeaseId(int(body['ID']))
        ttl_s = self._state.keep_alive(lease, trio.current_time())
        outcome = {'ID': str(lease)}
        if ttl_s:
            outcome['TTL'] = str(ttl_s)
        return _json_response(
            {'result': await self._standin.answer_write(**outcome)}
        )

    async def lease_revoke(self) -> Response:
        body = await self._read_write_body()
        lease = LeaseId(int(body['ID']))
        if not self._state.keep_alive(lease, trio.current_time()):
            raise _RefusedError('etcdserver: requested lease not found', 404)
        self._state.revoke_lease(lease)
        return _json_response(await self._standin.answer_write())

    async def _read_write_body(self) -> dict[str, Any]:
        self._standin.writes_count += 1
        return await self._standin.read_call_body()

    def _apply(self, body: dict[str, Any]) -> None:
        try:
            self._state.apply(_decode_writes(body))
        except ValueError as failure:
            raise _RefusedError(f'etcdserver: {failure}', 400) from failure


class _TestHandlers:
    """Handles the calls that only tests make."""

    def __init__(self, standin: StoreStandin) -> None:
        self._standin = standin

    async def faults(self) -> Response:
        try:
            faults = msgspec.json.decode(await request.get_data(), type=Faults)
        except msgspec.DecodeError as failure:
            raise _RefusedError(str(failure), 400) from failure
        self._standin.set_faults(faults)
        return _json_response({})

    async def counters(self) -> Response:
        return _json_response(
            {
                'reads': self._standin.reads_count,
                'writes': self._standin.writes_count,
                'waiting_watches': self._standin.watches_count,
            },
        )


def _build_app(standin: StoreStandin) -> QuartTrio:
    app = QuartTrio('standins.store')
    # Watches stay open for longer than the default limit of 60 s.
    app.config['RESPONSE_TIMEOUT'] = None
    app.register_error_handler(_RefusedError, _answer_refusal)

    @app.before_serving
    async def start_lease_expiry() -> None:  # noqa: WPS430
        app.nursery.start_soon(standin.expire_due_leases)

    gateway = _ProtocolHandlers(standin)
    app.post('/v3/kv/range')(gateway.kv_range)
    app.post('/v3/kv/txn')(gateway.kv_txn)
    app.post('/v3/kv/compaction')(gateway.kv_compaction)
    app.post('/v3/watch')(gateway.watch)
    app.post('/v3/lease/grant')(gateway.lease_grant)
    app.post('/v3/lease/keepalive')(gateway.lease_keepalive)
    app.post('/v3/lease/revoke')(gateway.lease_revoke)
    test_calls = _TestHandlers(standin)
    app.post('/faults')(test_calls.faults)
    app.get('/counters')(test_calls.counters)
    return app


async def _answer_refusal(refused: _RefusedError) -> Response:
    message = str(refused)
    return _json_response(
        {'error': message, 'message': message}, refused.status
    )


def _select_values(
    state: KeyValueState,
    body: dict[str, Any],
) -> tuple[StoredValue, ...]:
    key = wire.decode(body['key']).decode()
    if 'range_end' in body:
        return state.values_below(key)
    stored = state.stored.get(key)
    return () if stored is None else (stored,)


def _decode_guards(body: dict[str, Any]) -> list[Guard]:
    return [
        Guard(
            wire.decode(compare['key']).decode(),
            int(compare.get('mod_revision', 0)),
        )
        for compare in body.get('compare', ())
    ]


def _decode_writes(body: dict[str, Any]) -> list[Write]:
    return [_decode_write(operation) for operation in body.get('success', ())]


def _decode_write(operation: dict[str, Any]) -> Write:
    delete = operation.get('request_delete_range')
    if delete is not None:
        return Write(wire.decode(delete['key']).decode(), None)
    put = operation['request_put']
    lease = int(put.get('lease', 0))
    return Write(
        wire.decode(put['key']).decode(),
        wire.decode(put.get('value', '')),
        LeaseId(lease) if lease else None,
    )


def _encode_value(stored: StoredValue) -> dict[str, str]:
    return {
        'key': wire.encode(stored.key.encode()),
        'value': wire.encode(stored.body),
        'mod_revision': str(stored.mod_revision),
        'create_revision': str(stored.create_revision),
    }


def _encode_events(
    revision: int,
    events: tuple[StoreEvent, ...],
) -> list[dict[str, Any]]:
    return [_encode_event(revision, event) for event in events]


def _encode_event(revision: int, event: StoreEvent) -> dict[str, Any]:
    if event.stored is None:
        key = wire.encode(event.key.encode())
        deleted = {'key': key, 'mod_revision': str(revision)}
        return {'type': 'DELETE', 'kv': deleted}
    return {'kv': _encode_value(event.stored)}


def _json_response(body: dict[str, Any], status: int = 200) -> Response:
    return Response(
        msgspec.json.encode(body),
        status=status,
        mimetype='application/json',
    )


if __name__ == '__main__':
    run_process(
        StoreStandin().app,
        standin_options('standins.store').parse_args(),
    )
