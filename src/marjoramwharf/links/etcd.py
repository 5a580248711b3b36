"""Client of the key-value service over the etcd v3 JSON gateway.

Each method is one HTTP call with the timeout of the settings. The failure it
raises depends on when the call failed:

- No connection, or a client error in response: nothing was applied, so
  ``StoreUnavailable`` (``StoreRefused`` for an error of the service).
- A write was sent and its response is missing, malformed or a server error:
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
    """Implements ``Store`` on the etcd gateway; use ``open_store``."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        *,
        timeout_s: float,
        rng: random.Random | None = None,
    ) -> None:
        """Wrap an HTTP client whose base URL is that of the gateway."""
        self._client = client
        self._timeout_s = timeout_s
        self._rng = rng or random.Random()

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
        response = await self._write(
            '/v3/kv/txn',
            wire.encode_transaction(guards, writes),
            wire.TxnResponse,
        )
        if response.succeeded:
            return Committed(_parse_int(response.header.revision))
        return Conflict()

    async def grant_lease(self, ttl_s: int) -> LeaseId:
        """Create a lease that expires unless it is kept alive."""
        response = await self._write(
            '/v3/lease/grant',
            {'TTL': str(ttl_s)},
            wire.LeaseResponse,
        )
        return LeaseId(_parse_int(response.lease))

    async def keep_alive(self, lease: LeaseId) -> int:
        """Extend a lease; return its seconds to live, 0 if it has expired."""
        response = await self._write(
            '/v3/lease/keepalive',
            {'ID': str(lease)},
            wire.KeepAliveResponse,
        )
        return _parse_int(response.result.ttl)

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
        """Stream the changes after a revision; reconnect when disconnected.

        After a compaction the prefix is read again and yielded as one batch
        with ``restarted`` set.
        """
        watch = EtcdWatch(
            self._client,
            lambda: self._range(wire.encode_range(prefix)),
            prefix=prefix,
            revision=from_revision,
            rng=self._rng,
        )
        while True:
            async with aclosing(watch.connection()) as batches:
                async for batch in batches:
                    yield batch
            await watch.wait()

    async def _range(self, body: dict[str, str]) -> PrefixSnapshot:
        try:
            response = await self._call(
                '/v3/kv/range', body, wire.RangeResponse
            )
            found = tuple(map(wire.decode_stored, response.kvs))
            revision = int(response.header.revision)
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
        response_type: type[_Answer],
    ) -> _Answer:
        try:
            return await self._call(path, body, response_type)
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
        response_type: type[_Answer],
    ) -> _Answer:
        with trio.fail_after(self._timeout_s):
            response = await self._client.post(
                path,
                content=msgspec.json.encode(body),
            )
        await check_status(response)
        # A streaming call responds with one message per line.
        line = response.content.strip().split(b'\n', 1)[0]
        return decode_json(line, response_type)


@asynccontextmanager
async def open_store(settings: StoreSettings) -> AsyncIterator[EtcdStore]:
    """Open a client that is closed at the end of the ``async with`` block."""
    timeout_s = settings.timeout_ms / 1000
    async with httpx.AsyncClient(
        base_url=settings.url,
        headers={'Content-Type': 'application/json'},
        # Half of the timeout for the connect, so that a slow connect fails
        # before anything is sent and doesn't leave an unknown outcome.
        timeout=httpx.Timeout(timeout_s, connect=timeout_s / 2),
        # Servers close idle connections after 5 s or more. A write on a
        # connection that the server is closing would raise StoreAnswerLost.
        limits=httpx.Limits(max_connections=None, keepalive_expiry=3),
        trust_env=False,
    ) as client:
        yield EtcdStore(client, timeout_s=timeout_s)


def _parse_int(text: str) -> int:
    """Parse a number in the response to a write.

    Raises ``StoreAnswerLost``, since the write may have been applied.
    """
    try:
        return int(text)
    except ValueError as failure:
        raise StoreAnswerLost(message=describe_failure(failure)) from failure
