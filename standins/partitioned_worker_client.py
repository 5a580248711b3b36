"""A client of workers for an entry that some of them can't be reached from."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Set
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
from marjoramwharf.ids import WorkerId

_Reply = TypeVar('_Reply')


@dataclass
class PartitionedWorkerClient:
    """Implements ``WorkerClient`` for an entry on one side of a partition.

    A call to one of the ``unreachable`` workers gets no answer until its
    timeout. An answer is lost if its worker is one of them by then.
    """

    client: WorkerClient
    unreachable: Set[WorkerId]

    async def start(
        self, worker: WorkerAddress, order: StartOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Start a run."""
        answer = await self._call(
            worker,
            lambda: self.client.start(worker, order, timeout_s=timeout_s),
            timeout_s,
        )
        return answer or OrderAnswer(OrderOutcome.UNKNOWN)

    async def stop(
        self, worker: WorkerAddress, order: StopOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Stop a run."""
        answer = await self._call(
            worker,
            lambda: self.client.stop(worker, order, timeout_s=timeout_s),
            timeout_s,
        )
        return answer or OrderAnswer(OrderOutcome.UNKNOWN)

    async def pace(
        self, worker: WorkerAddress, order: PaceOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Change the speed of a run."""
        answer = await self._call(
            worker,
            lambda: self.client.pace(worker, order, timeout_s=timeout_s),
            timeout_s,
        )
        return answer or OrderAnswer(OrderOutcome.UNKNOWN)

    async def hold(
        self, worker: WorkerAddress, order: HoldOrder, *, timeout_s: float
    ) -> HoldReport:
        """Extend leases and poll for ends."""
        report = await self._call(
            worker,
            lambda: self.client.hold(worker, order, timeout_s=timeout_s),
            timeout_s,
        )
        return report or HoldReport(OrderOutcome.UNKNOWN)

    async def _call(
        self,
        worker: WorkerAddress,
        call: Callable[[], Awaitable[_Reply]],
        timeout_s: float,
    ) -> _Reply | None:
        """Make a call; return ``None`` after its timeout if it is cut off."""
        timeout_at_s = trio.current_time() + timeout_s
        if worker.worker_id not in self.unreachable:
            reply = await call()
            if worker.worker_id not in self.unreachable:
                return reply
        await trio.sleep_until(timeout_at_s)
        return None
