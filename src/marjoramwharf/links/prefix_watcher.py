"""Watches the keys below a prefix of a polling store.

A watcher first reads the prefix, then polls for changes. It reads the prefix
again if the store has lost the history, and retries failed calls, so that its
handler eventually sees the latest value of every key.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from marjoramwharf.errors import Failure, HistoryLost
from marjoramwharf.isolation import log_unexpected
from marjoramwharf.links.backoff import Backoff
from marjoramwharf.links.store import PollingStore, StoreEvent, WatchBatch
from marjoramwharf.logs import part_logger

_LOG = part_logger('store')
_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.5

# A store that limits the changes in one answer allows more than these.
_MIN_FULL_COUNT = 100

BatchHandler = Callable[[WatchBatch], Awaitable[None]]


@dataclass(slots=True)
class PrefixWatcher:
    """Passes the changes below a prefix to a handler.

    The handler gets a batch again, as part of the whole prefix, if it raised an
    unexpected error; it should isolate the events of a batch from each other.
    ``wait_ms`` is the longest wait of a poll; it bounds the time until a dead
    connection is noticed. ``batch_delay_s`` is the pause before the next poll,
    during which changes accumulate. Without it, many writers would cause one
    poll for each change. There is none while the watch is behind.
    """

    store: PollingStore
    prefix: str
    apply: BatchHandler
    wait_ms: int = 1_000
    batch_delay_s: float = 0
    _revision: int | None = None
    _is_failing: bool = False
    _most_changes_count: int = _MIN_FULL_COUNT

    @property
    def revision(self) -> int:
        """The revision up to which the handler has got all changes.

        It is 0 before the first read, and while the prefix is to be read again.
        """
        return self._revision or 0

    async def run(self) -> None:
        """Watch the prefix until cancelled."""
        backoff = Backoff(
            initial_s=_INITIAL_BACKOFF_S,
            max_s=_MAX_BACKOFF_S,
            rng=random.Random(),
        )
        while True:
            if await self._try_poll():
                backoff.reset()
            else:
                await trio.sleep(backoff.next_wait_s())

    async def poll_once(self) -> None:
        """Make one call and pass its changes to the handler."""
        if self._revision is None:
            batch = await self._read_all()
        else:
            batch = await self.store.poll(
                self.prefix,
                after_revision=self._revision,
                wait_ms=self.wait_ms,
            )
        if batch.events or batch.restarted:
            await self.apply(batch)
        self._revision = batch.revision
        if not self._may_be_behind(batch):
            await trio.sleep(self.batch_delay_s)

    def _may_be_behind(self, batch: WatchBatch) -> bool:
        """Whether the store may have more changes than it answered with.

        It limits the changes in one answer, and doesn't tell the limit. One
        with as many as ever may have reached it; with a pause after each of
        these, the watch would fall behind further and further.
        """
        changes_count = 0 if batch.restarted else len(batch.events)
        is_most = changes_count >= self._most_changes_count
        self._most_changes_count = max(changes_count, self._most_changes_count)
        return is_most

    async def _try_poll(self) -> bool:
        """Make one call; return whether it succeeded."""
        try:
            await self.poll_once()
        except HistoryLost:
            _LOG.info('watch history lost', prefix=self.prefix)
            self._revision = None
        except Failure as failure:
            self._record_failure(failure)
        except Exception:
            log_unexpected(f'watch of {self.prefix}')
            self._revision = None
        else:
            self._record_success()
            return True
        return False

    def _record_failure(self, failure: Failure) -> None:
        if not self._is_failing:
            _LOG.warning('watch failed', prefix=self.prefix, error=str(failure))
        self._is_failing = True

    def _record_success(self) -> None:
        if self._is_failing:
            _LOG.info('watch is back', prefix=self.prefix)
        self._is_failing = False

    async def _read_all(self) -> WatchBatch:
        snapshot = await self.store.read_prefix(self.prefix)
        events = tuple(
            StoreEvent(stored.key, stored) for stored in snapshot.found
        )
        return WatchBatch(snapshot.revision, events, restarted=True)
