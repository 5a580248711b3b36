"""Client of the platform's metadata store, over HTTP.

Values are sent as base64 text. ``CurrentRev`` is the revision of the whole
store, and ``Revision`` that of an item's latest change.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections.abc import Sequence
from typing import TypeVar
from urllib.parse import quote

from msgspec import DecodeError, Raw, Struct, field, json

from marjoramwharf.errors import (
    HistoryLost,
    LeaseEnded,
    StoreAnswerLost,
    StoreRefused,
    StoreUnavailable,
)
from marjoramwharf.ids import LeaseId
from marjoramwharf.json_bodies import Serial, decode_json
from marjoramwharf.links.http_client import (
    CallFailed,
    HttpClient,
    NotConnected,
)
from marjoramwharf.links.http_responses import ClientResponse
from marjoramwharf.links.store import (
    Committed,
    Conflict,
    Guard,
    PrefixSnapshot,
    StoredValue,
    StoreEvent,
    WatchBatch,
    Write,
)

_OK = 200
_BAD_REQUEST = 400
_FORBIDDEN = 403
_NOT_FOUND = 404
_GONE = 410
_CONDITION_FAILED = 412
_NOT_APPLIED_STATUSES = frozenset((429, 503))

# Statuses of a write that say whether it was applied. After any other one, such
# as that of a proxy, it may have been.
_KNOWN_WRITE_STATUSES = frozenset(
    (_OK, _BAD_REQUEST, _FORBIDDEN, _NOT_FOUND, _CONDITION_FAILED)
)

# Time that a watch call may take beyond the wait that it asks for.
_WAIT_SLACK_S = 1.0

# A page of a megabyte takes a slow link and a busy process a while. It is read
# as long as parts of it arrive.
_LONGEST_READ_S = 10.0

_Model = TypeVar('_Model')


class _Item(Struct, frozen=True, rename='pascal'):
    """``Created`` is a store revision like ``Revision``, not a time."""

    key: str
    value: str = ''
    revision: Serial = 0
    created: Serial = 0
    deleted: bool = False


class _Page(Struct, frozen=True):
    items: tuple[_Item, ...] = ()
    has_more: bool = field(default=False, name='HasMore')
    current_revision: Serial = field(default=0, name='CurrentRev')


class _WatchReply(Struct, frozen=True):
    events: tuple[_Item, ...] = ()
    current_revision: Serial = field(default=0, name='CurrentRev')


class _Condition(Struct, frozen=True, rename='pascal'):
    key: str
    revision: int


class _Put(Struct, frozen=True, rename='pascal'):
    key: str
    value: str
    lease: int = 0


class _CommitRequest(Struct, frozen=True, rename='pascal'):
    expect: tuple[_Condition, ...]
    puts: tuple[_Put, ...]
    remove: tuple[str, ...]


class _CommitReply(Struct, frozen=True, rename='pascal'):
    revision: Serial


class _LeaseReply(Struct, frozen=True, rename='pascal'):
    """``Lease`` is the id of a new lease."""

    lease: Serial


class _LeaseRequest(Struct, frozen=True, rename='pascal'):
    ttl_ms: int


class KvStore:
    """A store at one address; implements ``links.store.PollingStore``."""

    def __init__(
        self,
        client: HttpClient,
        address: str,
        *,
        timeout_s: float,
    ) -> None:
        """Use the store at ``host:port``; connects on the first call."""
        self._client = client
        self._base = f'http://{address}'
        self._timeout_s = timeout_s

    async def read(self, key: str) -> StoredValue | None:
        """Return the value of a key, or ``None`` if the key doesn't exist."""
        answer = await self._get(f'/kv-key?Key={quote(key, safe="")}')
        if answer.status == _NOT_FOUND:
            return None
        return _decode_item(_decode_answer(answer, _Item))

    async def read_prefix(self, prefix: str) -> PrefixSnapshot:
        """Return all keys below a prefix, page by page.

        The pages are not one snapshot, so the returned revision is that of the
        first page; a watch from there misses no change.
        """
        found: list[StoredValue] = []
        revision: int | None = None
        after = ''
        while True:
            path = f'/kv-range?Prefix={quote(prefix, safe="")}{after}'
            page = _decode_answer(await self._get(path), _Page)
            found.extend(_decode_item(item) for item in page.items)
            if revision is None:
                revision = page.current_revision
            if not page.has_more or not page.items:
                return PrefixSnapshot(revision, tuple(found))
            after = f'&After={quote(page.items[-1].key, safe="")}'

    async def commit(
        self,
        guards: Sequence[Guard],
        writes: Sequence[Write],
    ) -> Committed | Conflict:
        """Apply all writes in one transaction if all guards hold.

        Returns ``Conflict`` with the stored values if a guard fails, and raises
        ``LeaseEnded`` if the lease of a write no longer exists.
        """
        body = _CommitRequest(
            expect=tuple(
                _Condition(guard.key, guard.mod_revision) for guard in guards
            ),
            puts=tuple(
                _Put(
                    write.key,
                    b64encode(write.body).decode('ascii'),
                    write.lease or 0,
                )
                for write in writes
                if write.body is not None
            ),
            remove=tuple(write.key for write in writes if write.body is None),
        )
        answer = await self._post('/kv-txn', body)
        if answer.status == _CONDITION_FAILED:
            return _decode_conflict(answer)
        if answer.status == _NOT_FOUND:
            raise LeaseEnded(message='the lease of a write has ended')
        return _decode_committed(answer)

    async def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Create a lease that expires when it is not kept alive."""
        answer = await self._post('/kv-lease', _LeaseRequest(ttl_ms))
        return LeaseId(_decode_answer(answer, _LeaseReply).lease)

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Extend a lease and return whether it still exists."""
        # A repeated renewal tells all that the caller needs.
        answer = await self._write(
            'POST', f'/kv-keep/{lease}', b'{}', is_repeatable=True
        )
        return _check_lease_answer(answer)

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete the keys attached to it."""
        answer = await self._write('DELETE', f'/kv-lease-end/{lease}', b'')
        # A lease that has already ended counts as revoked.
        _check_lease_answer(answer)

    async def poll(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_ms: int,
    ) -> WatchBatch:
        """Return the changes after a revision.

        Waits up to ``wait_ms`` for the first one, then returns an empty batch.
        Raises ``HistoryLost`` if the store has dropped changes that follow the
        revision.
        """
        path = (
            f'/kv-watch?Prefix={quote(prefix, safe="")}'
            f'&After={after_revision}&WaitMs={wait_ms}'
        )
        answer = await self._get(path, wait_s=wait_ms / 1_000 + _WAIT_SLACK_S)
        if answer.status == _GONE:
            raise HistoryLost(
                message=f'store has no history after {after_revision}'
            )
        changes = _decode_answer(answer, _WatchReply)
        events = tuple(
            StoreEvent(
                item.key,
                None if item.deleted else _decode_item(item),
            )
            for item in changes.events
        )
        revision = max(after_revision, changes.current_revision)
        return WatchBatch(revision, events)

    async def _get(self, path: str, *, wait_s: float = 0) -> ClientResponse:
        try:
            answer = await self._client.request(
                'GET',
                self._base + path,
                timeout_s=max(self._timeout_s, wait_s),
                is_repeatable=True,
                longest_s=_LONGEST_READ_S,
            )
        except CallFailed as failure:
            raise StoreUnavailable(message=str(failure)) from failure
        _raise_if_not_applied(answer)
        return answer

    async def _post(self, path: str, body: Struct) -> ClientResponse:
        return await self._write('POST', path, json.encode(body))

    async def _write(
        self,
        method: str,
        path: str,
        body: bytes,
        *,
        is_repeatable: bool = False,
    ) -> ClientResponse:
        try:
            answer = await self._client.request(
                method,
                self._base + path,
                headers={'Content-Type': 'application/json'},
                body=body,
                timeout_s=self._timeout_s,
                is_repeatable=is_repeatable,
            )
        except NotConnected as unsent:
            raise StoreUnavailable(message=str(unsent)) from unsent
        except CallFailed as failure:
            raise StoreAnswerLost(message=str(failure)) from failure
        _raise_if_not_applied(answer)
        if answer.status not in _KNOWN_WRITE_STATUSES:
            raise StoreAnswerLost(
                message=f'the store answered {answer.status} to a write'
            )
        return answer


def _raise_if_not_applied(answer: ClientResponse) -> None:
    if answer.status in _NOT_APPLIED_STATUSES:
        raise StoreUnavailable(message=f'the store answered {answer.status}')


def _check_lease_answer(answer: ClientResponse) -> bool:
    """Return whether the lease existed; raises ``StoreRefused``."""
    if answer.status == _NOT_FOUND:
        return False
    _decode_answer(answer, Raw)
    return True


def _decode_answer(answer: ClientResponse, model: type[_Model]) -> _Model:
    """Decode an answer of status 200 or 412; raises ``StoreRefused``."""
    if answer.status not in {_OK, _CONDITION_FAILED}:
        text = answer.body[:200].decode('utf-8', 'replace')
        raise StoreRefused(
            message=f'the store answered {answer.status}: {text}'
        )
    try:
        return decode_json(answer.body or b'null', model)
    except DecodeError as failure:
        raise StoreRefused(
            message=f'unreadable store answer: {failure}'
        ) from failure


def _decode_committed(answer: ClientResponse) -> Committed:
    """Decode the answer of a commit that no condition has refused.

    Raises ``StoreAnswerLost`` if the commit was applied at a revision that can't
    be read, and ``StoreRefused`` if it was refused.
    """
    try:
        return Committed(_decode_answer(answer, _CommitReply).revision)
    except StoreRefused as failure:
        if answer.status == _OK:
            raise StoreAnswerLost(message=str(failure)) from failure
        raise


def _decode_conflict(answer: ClientResponse) -> Conflict:
    """Decode the values that a condition of a commit doesn't allow.

    Raises ``StoreAnswerLost`` if they can't be read: they may be those of this
    commit, sent before without an answer.
    """
    try:
        page = _decode_answer(answer, _Page)
        return Conflict(tuple(_decode_item(item) for item in page.items))
    except StoreRefused as failure:
        raise StoreAnswerLost(message=str(failure)) from failure


def _decode_item(item: _Item) -> StoredValue:
    try:
        body = b64decode(item.value, validate=True)
    except (Base64Error, ValueError) as failure:
        raise StoreRefused(
            message=f'{item.key} has a value that is not base64: {failure}'
        ) from failure
    return StoredValue(item.key, body, item.revision, item.created)
