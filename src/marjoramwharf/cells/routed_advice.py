"""Advice through another entry while the service is out of this one's reach."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import trio

from marjoramwharf.cells.advice import Advice, AdviceClient
from marjoramwharf.cells.entry_calls import (
    AskPeer,
    make_advice_call,
    read_advice,
)
from marjoramwharf.cells.records import CellId
from marjoramwharf.errors import AdviceUnavailable, Failure
from marjoramwharf.ids import WorkerId

# For this long after a failure, the service is asked through another entry
# first.
_AVOID_DIRECT_S = 3.0

# The other entry answers this much later than the service answers it.
_HOP_TIMEOUT_S = 0.3


def must_avoid_direct(failed_s: float | None, *, now_s: float) -> bool:
    """Whether this entry's own path has failed a short time ago."""
    return failed_s is not None and now_s - failed_s < _AVOID_DIRECT_S


@dataclass(slots=True)
class RoutedAdviceClient:
    """Asks the advice service directly or through another entry.

    Implements ``AdviceClient``. ``ask_peer`` sends a call to another entry.
    """

    direct: AdviceClient
    ask_peer: AskPeer
    cell: CellId
    _failed_s: float | None = None

    async def advise(
        self,
        step: str,
        workers: Sequence[WorkerId],
        *,
        timeout_s: float,
    ) -> Advice:
        """Return tickets for the workers that may run a step.

        Raises ``AdviceUnavailable`` if no route has brought an answer.
        """
        if not must_avoid_direct(self._failed_s, now_s=trio.current_time()):
            try:
                advice = await self.direct.advise(
                    step, workers, timeout_s=timeout_s
                )
            except Failure:
                self._failed_s = trio.current_time()
            else:
                self._failed_s = None
                return advice
        try:
            return await self._ask_peer(step, tuple(workers), timeout_s)
        except Failure as failure:
            self._failed_s = None
            raise AdviceUnavailable(message=str(failure)) from failure

    async def _ask_peer(
        self, step: str, workers: tuple[WorkerId, ...], timeout_s: float
    ) -> Advice:
        call = make_advice_call(self.cell, step, workers, timeout_s=timeout_s)
        return read_advice(
            await self.ask_peer(call, timeout_s + _HOP_TIMEOUT_S)
        )
