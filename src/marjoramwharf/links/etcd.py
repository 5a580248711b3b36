"""Client of the key-value service over the etcd v3 JSON gateway.

Each method is one HTTP call with the timeout of the settings. What a failure
proves depends on when it happened:

- not connected, or refused with a client error: nothing was applied,
  ``StoreUnavailable`` (``StoreRefused`` if the service gave the refusal);
- a write was sent and its answer is missing, malformed or a server error:
  ``StoreAnswerLost``. A server error such as "request timed out" doesn't
  prove that the proposal will not be applied later.

Example:
    async with open_store(settings) as store:
        found = await store.read('/note/head', urgency=Urgency.STATUS)
"""

from __future__ import annotations

import random
from collections.abc import AsyncGenerator, AsyncIterator, Sequence
from contextlib import aclosing, asynccontextmanager
from typing import Any, TypeVar

import httpx
import msgspec
import trio

from marjoramwharf.errors import StoreAnswerLost, StoreUnavailable
from marjoramwharf.ids import LeaseId
from marjoramwharf.json_bodies import decode_json
from marjoramwharf.links import _etcd_wire as wire
from marjoramwharf.links._etcd_responses import check_status, describe_failure
from marjoramwharf.links._etcd_watch import EtcdWatch
from marjoramwharf.links.store import (
    Committed,
    Conflict,
    Guard,
    PrefixSnapshot,
    StoredValue,
    Urgency,
    WatchBatch,
    Write,
)
from marjoramwharf.settings import StoreSettings

_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)

_Answer = TypeVar('_Answer', bound=msgspec.Struct)


class EtcdStore:
    """Implements the ``Store`` interface; made by ``open_store``."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        *,
        timeout_s: float,
        rng: random.Random | None = None,
    ) -> None:
        """Use a client whose base URL is that of the gateway."""
        self._client = client
        self._timeout_s = timeout_s
        self._source = rng or random.Random()

    async def read(self, key: str, *, urgency: Urgency) -> StoredValue | None:
        """Return the value of a key, or ``None`` if it does not exist."""
        snapshot = await self._range({'key': wire.encode(key.encode())})
        return snapshot.found[0] if snapshot.found else None

    async def read_prefix(
        self,
        prefix: str,
        *,
        urgency: Urgency,
    ) -> PrefixSnapshot:
        """Return all keys below a prefix at one revision."""
        return await self._range(wire.encode_range(prefix))

    async def commit(
        self,
        guards: Sequence[Guard],
        writes: Sequence[Write],
        *,
        urgency: Urgency,
    ) -> Committed | Conflict:
        """Apply all writes in one transaction if all guards hold."""
        answer = await self._write(
            '/v3/kv/txn',
            wire.encode_transaction(guards, writes),
            wire.TxnResponse,
        )
        if answer.succeeded:
            return Committed(_number(answer.header.revision))
        return Conflict()

    async def grant_lease(self, ttl_s: int) -> LeaseId:
        """Create a lease that lapses when it is not kept alive."""
        answer = await self._write(
            '/v3/lease/grant',
            {'TTL': str(ttl_s)},
            wire.LeaseResponse,
        )
        return LeaseId(_number(answer.lease))

    async def keep_alive(self, lease: LeaseId) -> int:
        """Extend a lease and return its time to live in seconds, 0 if gone."""
        answer = await self._write(
            '/v3/lease/keepalive',
            {'ID': str(lease)},
            wire.KeepAliveResponse,
        )
        return _number(answer.result.ttl)

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete the keys attached to it."""
        await self._write(
            '/v3/lease/revoke',
            {'ID': str(lease)},
            wire.RevokeResponse,
        )

    @trio.as_safe_channel
    async def watch(
        self,
        prefix: str,
        *,
        from_revision: int,
    ) -> AsyncGenerator[WatchBatch, None]:
        """Follow the changes after a revision, across cuts.

        After a compaction the prefix is read again and yielded as one batch
        with ``restarted`` set.
        """
        followed = EtcdWatch(
            self._client,
            lambda: self._range(wire.encode_range(prefix)),
            prefix=prefix,
            revision=from_revision,
            rng=self._source,
        )
        while True:
            async with aclosing(followed.connection()) as batches:
                async for batch in batches:
                    yield batch
            await followed.wait()

    async def _range(self, body: dict[str, str]) -> PrefixSnapshot:
        try:
            answer = await self._call('/v3/kv/range', body, wire.RangeResponse)
            found = tuple(map(wire.decode_stored, answer.kvs))
            revision = int(answer.header.revision)
        except (httpx.HTTPError, trio.TooSlowError, ValueError) as failure:
            raise StoreUnavailable(
                message=describe_failure(failure)
            ) from failure
        except StoreAnswerLost as lost:
            raise StoreUnavailable(message=lost.message) from lost
        return PrefixSnapshot(revision, found)

    async def _write(
        self,
        path: str,
        body: dict[str, Any],
        answer_type: type[_Answer],
    ) -> _Answer:
        try:
            return await self._call(path, body, answer_type)
        except _NOT_SENT as unsent:
            raise StoreUnavailable(message=describe_failure(unsent)) from unsent
        except (httpx.HTTPError, trio.TooSlowError, ValueError) as failure:
            raise StoreAnswerLost(
                message=describe_failure(failure)
            ) from failure

    async def _call(
        self,
        path: str,
        body: dict[str, Any],
        answer_type: type[_Answer],
    ) -> _Answer:
        with trio.fail_after(self._timeout_s):
            response = await self._client.post(
                path,
                content=msgspec.json.encode(body),
            )
        await check_status(response)
        # A streaming call answers with one message per line.
        line = response.content.strip().split(b'\n', 1)[0]
        return decode_json(line, answer_type)


@asynccontextmanager
async def open_store(settings: StoreSettings) -> AsyncIterator[EtcdStore]:
    """Open a client for the lifetime of a block."""
    timeout_s = settings.timeout_ms / 1000
    async with httpx.AsyncClient(
        base_url=settings.url,
        headers={'Content-Type': 'application/json'},
        # A connect that uses up half of the time fails while nothing is sent.
        timeout=httpx.Timeout(timeout_s, connect=timeout_s / 2),
        # Servers close idle connections after 5 s or more. A write sent on a
        # connection that is being closed would count as lost.
        limits=httpx.Limits(max_connections=None, keepalive_expiry=3),
        trust_env=False,
    ) as client:
        yield EtcdStore(client, timeout_s=timeout_s)


def _number(text: str) -> int:
    """Return a number of the answer to a write."""
    try:
        return int(text)
    except ValueError as failure:
        raise StoreAnswerLost(message=describe_failure(failure)) from failure
