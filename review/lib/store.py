"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from review.lib.http11 import Answer, HttpServer, Request

_MS = 1_000
_PAGE_ITEMS = 500
_ANSWER_S = 0.004


@dataclass
class _Lease:
    ttl_s: float
    ends_s: float
    keys: set[str] = field(default_factory=set)


Item = dict[str, Any]

# Called with the body of a /kv-txn before it is carried out. It may return an
# answer or raise, in place of the usual handling.
TxnHook = Callable[[dict[str, Any]], 'Answer | None']


class Store:
    """Keys with revisions, leases and watches, served over HTTP."""

    def __init__(self, host: str) -> None:
        """Start empty; ``server.open`` makes it reachable."""
        self.server = HttpServer(host, self._handle)
        self.revision = 1
        self.items: dict[str, Item] = {}
        self.before_txn: TxnHook | None = None
        self.after_txn: Callable[[dict[str, Any]], None] | None = None
        self._history: list[Item] = []
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()

    def put_json(self, key: str, value: Any) -> int:
        """Write a value as the operator or a worker does."""
        return self.transact([], [self._put(key, json.dumps(value).encode())], [])[1]

    def remove(self, key: str) -> None:
        """Remove a key as the operator or the platform does."""
        self.transact([], [], [key])

    def transact(
        self,
        expect: list[dict[str, Any]],
        puts: list[dict[str, Any]],
        removals: list[str],
    ) -> tuple[int, Any]:
        """Apply a change under conditions; return a status and a result."""
        self._expire()
        for row in expect:
            present = self.items.get(row['Key'])
            if (present['Revision'] if present else 0) != row['Revision']:
                found = [
                    self.items[other['Key']]
                    for other in expect
                    if other['Key'] in self.items
                ]
                return 412, found
        for put in puts:
            lease = put.get('Lease') or 0
            if lease and lease not in self._leases:
                return 404, None
        self.revision += 1
        for put in puts:
            self._apply_put(put)
        for key in removals:
            self._apply_removal(key)
        self._changed.set()
        self._changed = asyncio.Event()
        return 200, self.revision

    async def _handle(self, request: Request) -> Answer:
        self._expire()
        if request.path == '/kv-watch':
            return await self._watch(request.query)
        await asyncio.sleep(_ANSWER_S / 2)
        status, answer = self._answer(request)
        answer['CurrentRev'] = self.revision
        await asyncio.sleep(_ANSWER_S / 2)
        return status, answer

    def _answer(self, request: Request) -> Answer:
        call = f'{request.method} {request.path}'
        if call == 'GET /kv-key':
            item = self.items.get(request.query['Key'])
            return (404, {}) if item is None else (200, dict(item))
        if call == 'GET /kv-range':
            return self._range(request.query)
        if call == 'POST /kv-txn':
            return self._txn(request.body)
        if call == 'POST /kv-lease':
            ttl_ms = request.body['TtlMs']
            lease = self._next_lease
            self._next_lease += 1
            ttl_s = ttl_ms / _MS
            self._leases[lease] = _Lease(ttl_s, time.monotonic() + ttl_s)
            return 200, {'Lease': lease, 'TtlMs': ttl_ms}
        path, _, number = request.path.rpartition('/')
        if path == '/kv-keep':
            held = self._leases.get(int(number))
            if held is None:
                return 404, {}
            held.ends_s = time.monotonic() + held.ttl_s
            return 200, {'TtlMs': round(held.ttl_s * _MS)}
        if path == '/kv-lease-end':
            self._end_lease(int(number))
            return 200, {}
        return 404, {}

    def _txn(self, body: dict[str, Any]) -> Answer:
        if any(
            row['Key'].startswith(('op/', 'servers/'))
            for row in body.get('Puts', ())
        ):
            return 403, {}
        if self.before_txn is not None:
            early = self.before_txn(body)
            if early is not None:
                return early
        status, result = self.transact(
            body.get('Expect', []), body.get('Puts', []), body.get('Remove', [])
        )
        if status == 200 and self.after_txn is not None:
            self.after_txn(body)
        if status == 412:
            return 412, {'items': result}
        return status, ({'Revision': result} if status == 200 else {})

    def _range(self, query: dict[str, str]) -> Answer:
        after = query.get('After', '')
        found = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(query['Prefix']) and key > after
        ]
        page = found[:_PAGE_ITEMS]
        return 200, {'items': page, 'HasMore': len(found) > len(page)}

    async def _watch(self, query: dict[str, str]) -> Answer:
        after = int(query['After'])
        prefix = query['Prefix']
        ends_s = time.monotonic() + int(query['WaitMs']) / _MS
        while True:
            events = [
                event
                for event in self._history
                if event['Revision'] > after and event['Key'].startswith(prefix)
            ]
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'CurrentRev': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.1))
            except TimeoutError:
                self._expire()

    def _put(self, key: str, raw: bytes) -> dict[str, Any]:
        return {'Key': key, 'Value': base64.b64encode(raw).decode()}

    def _apply_put(self, put: dict[str, Any]) -> None:
        key = put['Key']
        lease = put.get('Lease') or 0
        self._detach(key)
        present = self.items.get(key)
        item = {
            'Key': key,
            'Value': put['Value'],
            'Revision': self.revision,
            'Created': present['Created'] if present else self.revision,
            'Lease': lease,
        }
        if lease:
            self._leases[lease].keys.add(key)
        self.items[key] = item
        self._history.append(item)

    def _apply_removal(self, key: str) -> None:
        self._detach(key)
        if self.items.pop(key, None) is not None:
            self._history.append(
                {'Key': key, 'Revision': self.revision, 'Deleted': True}
            )

    def _detach(self, key: str) -> None:
        item = self.items.get(key)
        held = self._leases.get(item['Lease']) if item else None
        if held is not None:
            held.keys.discard(key)

    def _end_lease(self, lease: int) -> None:
        held = self._leases.pop(lease, None)
        if held is not None and held.keys:
            self.transact([], [], sorted(held.keys))

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease, held in tuple(self._leases.items()):
            if held.ends_s <= now_s:
                self._end_lease(lease)
