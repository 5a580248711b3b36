"""Follows the keys below a prefix of the store.

A follower first reads the prefix, then waits for changes. When the store has
lost the history, or after a failed call, it reads or asks again, so that a
reader sees each key's latest value at last.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from marjoramwharf.errors import Failure, HistoryLost
from marjoramwharf.links.backoff import Backoff
from marjoramwharf.links.store import PollingStore, StoreEvent, WatchBatch
from marjoramwharf.logs import part_logger

_LOG = part_logger('store')
_FIRST_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 0.5

BatchHandler = Callable[[WatchBatch], Awaitable[None]]


@dataclass(slots=True)
class PrefixWatcher:
    """One prefix and what is done with its changes.

    ``wait_ms`` bounds the time for which a connection that went silent stays
    unnoticed. Changes are collected for ``batch_delay_s`` before the next call,
    where many writers would cause a call for each change.
    """

    store: PollingStore
    prefix: str
    apply: BatchHandler
    wait_ms: int = 1_000
    batch_delay_s: float = 0
    _revision: int | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        pauses = Backoff(
            initial_s=_FIRST_PAUSE_S,
            max_s=_LONGEST_PAUSE_S,
            rng=random.Random(),
        )
        lost = False
        while True:
            try:
                await self.poll_once()
            except HistoryLost:
                _LOG.info('history lost', prefix=self.prefix)
                self._revision = None
                continue
            except Failure as failure:
                if not lost:
                    _LOG.warning(
                        'watch failed',
                        prefix=self.prefix,
                        error=str(failure),
                    )
                lost = True
                await trio.sleep(pauses.next_wait_s())
                continue
            if lost:
                _LOG.info('watch is back', prefix=self.prefix)
            lost = False
            pauses.reset()

    async def poll_once(self) -> None:
        """Make one call and apply what it returns."""
        if self._revision is None:
            batch = await self._read()
        else:
            batch = await self.store.poll(
                self.prefix,
                after_revision=self._revision,
                wait_ms=self.wait_ms,
            )
        if batch.events or batch.restarted:
            await self.apply(batch)
        self._revision = batch.revision
        await trio.sleep(self.batch_delay_s)

    async def _read(self) -> WatchBatch:
        snapshot = await self.store.read_prefix(self.prefix)
        events = tuple(
            StoreEvent(stored.key, stored) for stored in snapshot.found
        )
        return WatchBatch(snapshot.revision, events, restarted=True)
