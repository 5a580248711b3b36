"""Asks the store about workers that the owner's view of the list lacks.

Such a worker may have said there that it drains, or have been listed for another
service, without the owner having read it: between two owners, or while the
owner's watch is late. So it gets no runs before the store has been asked.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import trio

from marjoramwharf.cells.unlisted_workers import LISTING_WAIT_S
from marjoramwharf.errors import Failure, HistoryLost
from marjoramwharf.links.store import PollingStore, StoredValue
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import Worker, WorkerListing, WorkerState

_LOG = part_logger('worker')

_CHECKS_AT_A_TIME_COUNT = 8
_REPEAT_S = 0.5

# Changes that the store has are answered at once.
_POLL_WAIT_MS = 1

ListingDecoder = Callable[[str, bytes], WorkerListing]


@dataclass(frozen=True, slots=True)
class ListingHistory:
    """The latest listing of a worker since some revision of the store.

    It ``is_listed`` if the store has it now, and ``latest`` is ``None`` if
    nothing is known of it.
    """

    is_listed: bool
    latest: StoredValue | None


async def read_history(
    store: PollingStore, key: str, *, after_revision: int
) -> ListingHistory:
    """Return what became of a listing after a revision.

    If the store has lost its history, only a present listing can be told. Raises
    store failures.
    """
    try:
        batch = await store.poll(
            key, after_revision=after_revision, wait_ms=_POLL_WAIT_MS
        )
    except HistoryLost:
        stored = await store.read(key)
        return ListingHistory(stored is not None, stored)
    values = [event.stored for event in batch.events if event.key == key]
    known = [stored for stored in values if stored is not None]
    return ListingHistory(
        is_listed=bool(values) and values[-1] is not None,
        latest=known[-1] if known else None,
    )


def listing_from_history(
    worker: Worker, history: ListingHistory, decode: ListingDecoder
) -> WorkerListing:
    """Return the listing of a worker that the list has dropped.

    Where the latest one can't be decoded, that is its former one as unreadable.
    """
    if history.latest is None:
        return worker.listing
    try:
        return decode(history.latest.key, history.latest.body)
    except Failure as failure:
        _LOG.warning('worker listing not decoded', error=str(failure))
        return replace(worker.listing, state=WorkerState.UNREADABLE)


@dataclass(slots=True, eq=False)
class UnlistedChecks:
    """Checks the workers that may get runs though ``prefix`` doesn't list them."""

    store: PollingStore
    prefix: str
    decode: ListingDecoder
    _limiter: trio.CapacityLimiter = field(
        default_factory=lambda: trio.CapacityLimiter(_CHECKS_AT_A_TIME_COUNT)
    )

    async def run(
        self,
        worker: Worker,
        after_revision: int,
        *,
        is_unlisted: Callable[[], bool],
    ) -> None:
        """Give a worker time to list itself, then ask the store about it.

        Returns when it is listed, or may get runs as far as its listing says.

        A worker that the store lists is left to the watch of the list, which
        shows it soon. It is asked for as long as it ``is_unlisted``.
        """
        await trio.sleep(LISTING_WAIT_S)
        while is_unlisted():
            history = await self._ask(worker, after_revision)
            if history is None or not self._record(worker, history):
                await trio.sleep(_REPEAT_S)
                continue
            return

    async def _ask(
        self, worker: Worker, after_revision: int
    ) -> ListingHistory | None:
        """Return what the store tells, ``None`` if it can't be asked."""
        key = f'{self.prefix}{worker.worker_id}'
        async with self._limiter:
            try:
                return await read_history(
                    self.store, key, after_revision=after_revision
                )
            except Failure as failure:
                _LOG.info(
                    'worker not checked',
                    worker=worker.worker_id,
                    error=str(failure),
                )
                return None

    def _record(self, worker: Worker, history: ListingHistory) -> bool:
        """Record what the store tells; return whether that settles it.

        A worker that isn't listed may get runs, unless it has left. The watch
        doesn't show a listing that can't be decoded.
        """
        listing = listing_from_history(worker, history, self.decode)
        is_unreadable = listing.state is WorkerState.UNREADABLE
        if worker.is_listed or (history.is_listed and not is_unreadable):
            return worker.is_listed
        worker.listing = listing
        worker.blocked_until_s = 0
        _LOG.info(
            'unlisted worker checked',
            worker=worker.worker_id,
            state=listing.state.value,
            was_listed=history.latest is not None,
        )
        return True
