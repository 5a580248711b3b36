"""Base of clients that stand before another client of workers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

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

_Reply = TypeVar('_Reply')


@dataclass
class InterposedWorkerClient:
    """Implements ``WorkerClient``; a subclass decides what becomes of a call.

    A call without a reply has the outcome ``UNKNOWN``.
    """

    client: WorkerClient

    async def start(
        self, worker: WorkerAddress, order: StartOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Start a run."""
        answer = await self.make_call(
            worker,
            lambda: self.client.start(worker, order, timeout_s=timeout_s),
            timeout_s,
        )
        return answer or OrderAnswer(OrderOutcome.UNKNOWN)

    async def stop(
        self, worker: WorkerAddress, order: StopOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Stop a run."""
        answer = await self.make_call(
            worker,
            lambda: self.client.stop(worker, order, timeout_s=timeout_s),
            timeout_s,
        )
        return answer or OrderAnswer(OrderOutcome.UNKNOWN)

    async def pace(
        self, worker: WorkerAddress, order: PaceOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Change the speed of a run."""
        answer = await self.make_call(
            worker,
            lambda: self.client.pace(worker, order, timeout_s=timeout_s),
            timeout_s,
        )
        return answer or OrderAnswer(OrderOutcome.UNKNOWN)

    async def hold(
        self, worker: WorkerAddress, order: HoldOrder, *, timeout_s: float
    ) -> HoldReport:
        """Extend leases and poll for ends."""
        report = await self.make_call(
            worker,
            lambda: self.client.hold(worker, order, timeout_s=timeout_s),
            timeout_s,
        )
        return report or HoldReport(OrderOutcome.UNKNOWN)

    async def make_call(
        self,
        worker: WorkerAddress,
        call: Callable[[], Awaitable[_Reply]],
        timeout_s: float,
    ) -> _Reply | None:
        """Make a call to a worker; return ``None`` if it gets no reply."""
        raise NotImplementedError
