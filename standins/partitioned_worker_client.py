"""A client of workers for an entry that some of them can't be reached from."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Set
from dataclasses import dataclass
from typing import TypeVar

import trio

from marjoramwharf.cells.worker_messages import WorkerAddress
from marjoramwharf.ids import WorkerId
from standins.interposed_worker_client import InterposedWorkerClient

_Reply = TypeVar('_Reply')


@dataclass
class PartitionedWorkerClient(InterposedWorkerClient):
    """The client of an entry on one side of a partition.

    A call to one of the ``unreachable`` workers gets no answer until its
    timeout. An answer is lost if its worker is one of them by then.
    """

    unreachable: Set[WorkerId]

    async def make_call(
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
