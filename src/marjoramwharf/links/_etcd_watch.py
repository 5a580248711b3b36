"""A watch of a prefix in etcd that survives lost connections."""

from __future__ import annotations

import random
from collections.abc import (
    AsyncGenerator,
    Awaitable,
    Callable,
)
from contextlib import AbstractAsyncContextManager

import httpx
import msgspec
import trio

from marjoramwharf.errors import StoreAnswerLost, StoreUnavailable
from marjoramwharf.json_bodies import decode_json
from marjoramwharf.links import _etcd_wire as wire
from marjoramwharf.links._etcd_responses import check_status, describe_failure
from marjoramwharf.links.backoff import Backoff
from marjoramwharf.links.store import PrefixSnapshot, StoreEvent, WatchBatch
from marjoramwharf.logs import part_logger

# A watch without any message for this long is reopened, since a half-open
# connection looks like a prefix without changes. One read per watch in 30 s
# makes 6 reads/s for 180 watches, the target in two years.
WATCH_SILENCE_S = 30

_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 5

_log = part_logger('store')


class EtcdWatch:
    """Streams the changes below a prefix after a revision.

    The reader iterates over ``connection``, then calls ``wait`` to back off,
    and repeats both; the watch remembers the revision between them.
    """

    def __init__(
        self,
        client: httpx.AsyncClient,
        read_prefix: Callable[[], Awaitable[PrefixSnapshot]],
        *,
        prefix: str,
        revision: int,
        rng: random.Random,
    ) -> None:
        """Start after a revision.

        ``read_prefix`` reads all keys when that revision was compacted.
        """
        self._client = client
        self._read_prefix = read_prefix
        self._prefix = prefix
        self._revision = revision
        self._backoff = Backoff(
            initial_s=_INITIAL_BACKOFF_S,
            max_s=_MAX_BACKOFF_S,
            rng=rng,
        )

    async def connection(self) -> AsyncGenerator[WatchBatch, None]:
        """Open a connection and yield its changes until it ends."""
        try:
            async with self._open() as response:
                async for batch in self._batches(response):
                    yield batch
        except (StoreUnavailable, StoreAnswerLost) as failure:
            self._log_disconnect(failure.message)
        except (httpx.HTTPError, ValueError) as error:
            self._log_disconnect(describe_failure(error))

    async def wait(self) -> None:
        """Back off before the next connection."""
        await trio.sleep(self._backoff.next_wait_s())

    async def _batches(
        self,
        response: httpx.Response,
    ) -> AsyncGenerator[WatchBatch, None]:
        await check_status(response)
        async for line in response.aiter_lines():
            for batch in await self._handle_line(line):
                yield batch

    def _open(self) -> AbstractAsyncContextManager[httpx.Response]:
        create = {
            **wire.encode_range(self._prefix),
            'start_revision': str(self._revision + 1),
        }
        timeout_s = self._client.timeout.connect
        return self._client.stream(
            'POST',
            '/v3/watch',
            content=msgspec.json.encode({'create_request': create}),
            timeout=httpx.Timeout(timeout_s, read=WATCH_SILENCE_S),
        )

    def _log_disconnect(self, cause: str) -> None:
        _log.info('watch disconnected', prefix=self._prefix, cause=cause)

    async def _handle_line(self, line: str) -> list[WatchBatch]:
        if not line.strip():
            return []
        message = decode_json(line, wire.WatchMessage).result
        if int(message.compact_revision):
            _log.info('watch history compacted', prefix=self._prefix)
            return [await self._read_all()]
        if message.canceled:
            raise StoreUnavailable(message='the store cancelled the watch')
        self._backoff.reset()
        grouped = wire.events_by_revision(message.events)
        self._revision = max(self._revision, *grouped, 0)
        return [
            WatchBatch(revision, events) for revision, events in grouped.items()
        ]

    async def _read_all(self) -> WatchBatch:
        while True:
            try:
                snapshot = await self._read_prefix()
            except StoreUnavailable:
                await trio.sleep(self._backoff.next_wait_s())
            else:
                self._revision = snapshot.revision
                return _to_batch(snapshot)


def _to_batch(snapshot: PrefixSnapshot) -> WatchBatch:
    events = tuple(StoreEvent(stored.key, stored) for stored in snapshot.found)
    return WatchBatch(snapshot.revision, events, restarted=True)
