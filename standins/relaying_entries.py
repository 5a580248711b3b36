"""Other entries through which the owner of a cell calls workers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar

import trio

from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    HoldReport,
    OrderAnswer,
    OrderOutcome,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerAddress,
    WorkerClient,
)
from marjoramwharf.cells.worker_relay import RelayingEntry
from marjoramwharf.ids import EntryId

# The answer of an entry may arrive this much after the call's own timeout.
_RELAY_MARGIN_S = 0.3

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


@dataclass(frozen=True)
class _RelayedClient:
    client: WorkerClient
    nursery: trio.Nursery

    async def start(
        self, worker: WorkerAddress, order: StartOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Start a run."""
        answer = await self._call(
            lambda: self.client.start(worker, order, timeout_s=timeout_s),
            timeout_s,
        )
        return answer or OrderAnswer(OrderOutcome.UNKNOWN)

    async def stop(
        self, worker: WorkerAddress, order: StopOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Stop a run."""
        answer = await self._call(
            lambda: self.client.stop(worker, order, timeout_s=timeout_s),
            timeout_s,
        )
        return answer or OrderAnswer(OrderOutcome.UNKNOWN)

    async def pace(
        self, worker: WorkerAddress, order: PaceOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Change the speed of a run."""
        answer = await self._call(
            lambda: self.client.pace(worker, order, timeout_s=timeout_s),
            timeout_s,
        )
        return answer or OrderAnswer(OrderOutcome.UNKNOWN)

    async def hold(
        self, worker: WorkerAddress, order: HoldOrder, *, timeout_s: float
    ) -> HoldReport:
        """Extend leases and poll for ends."""
        report = await self._call(
            lambda: self.client.hold(worker, order, timeout_s=timeout_s),
            timeout_s,
        )
        return report or HoldReport(OrderOutcome.UNKNOWN)

    async def _call(
        self, call: Callable[[], Awaitable[_Reply]], timeout_s: float
    ) -> _Reply | None:
        """Return the reply to a call, or ``None`` if it takes too long."""
        replies: list[_Reply] = []
        is_done = trio.Event()

        async def make() -> None:
            replies.append(await call())
            is_done.set()

        self.nursery.start_soon(make)
        with trio.move_on_after(timeout_s + _RELAY_MARGIN_S):
            await is_done.wait()
        return replies[0] if replies else None
