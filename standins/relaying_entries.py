"""Other entries through which the owner of a cell calls workers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar

import trio

from marjoramwharf.cells.worker_messages import WorkerAddress, WorkerClient
from marjoramwharf.cells.worker_relay import RELAY_MARGIN_S, RelayingEntry
from marjoramwharf.ids import EntryId
from standins.interposed_worker_client import InterposedWorkerClient

_Reply = TypeVar('_Reply')


@dataclass(frozen=True)
class RelayingEntries:
    """Implements ``WorkerRelay`` on the direct clients of other entries.

    Their calls run in ``nursery``, since an entry makes a call to its end
    whether or not the owner still waits for it.
    """

    clients: Callable[[], Iterable[tuple[EntryId, WorkerClient]]]
    nursery: trio.Nursery

    def entries(self) -> Mapping[EntryId, RelayingEntry]:
        """Return the entries that can be asked."""
        return {
            entry_id: RelayingEntry(_RelayedClient(client, self.nursery), 1)
            for entry_id, client in self.clients()
        }


@dataclass
class _RelayedClient(InterposedWorkerClient):
    nursery: trio.Nursery

    async def make_call(
        self,
        _worker: WorkerAddress,
        call: Callable[[], Awaitable[_Reply]],
        timeout_s: float,
    ) -> _Reply | None:
        """Return the reply to a call, or ``None`` if it takes too long."""
        replies: list[_Reply] = []
        is_done = trio.Event()

        async def make() -> None:
            replies.append(await call())
            is_done.set()

        self.nursery.start_soon(make)
        with trio.move_on_after(timeout_s + RELAY_MARGIN_S):
            await is_done.wait()
        return replies[0] if replies else None
