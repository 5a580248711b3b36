"""Limits how many workers the owner of a cell contacts at the same moment.

A new owner has to contact all of its workers, and one that has lost many of
them has to find them again. If all of these polls began at once, one round of
the event loop would take as long as all of them need, and the lease of the
owner, the orders and all other calls would wait until it is over. An owner
whose lease lapses meanwhile has done this work in vain, and so has the next.

    admission = PollAdmission()
    nursery.start_soon(admission.run)
    await admission.wait_turn(has_runs=True)
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.auto_reset_event import AutoResetEvent

# A round that opens this many connections is short beside a lease of the owner.
_POLLS_PER_ROUND_COUNT = 16


@dataclass(slots=True, eq=False)
class PollAdmission:
    """Lets a few polls begin in each round of the event loop.

    The limit is one of rounds, not of time: a faster process admits more polls
    a second, and a worker that doesn't answer takes no turn from others.
    """

    _admitted_count: int = 0
    _with_runs: deque[trio.Event] = field(default_factory=deque)
    _without_runs: deque[trio.Event] = field(default_factory=deque)
    _wake_event: AutoResetEvent = field(default_factory=AutoResetEvent)

    async def run(self) -> None:
        """Begin a new round after each one with polls, until cancelled."""
        while True:
            await self._wake_event.wait()
            # Returns in the next round of the event loop.
            await trio.lowlevel.checkpoint()
            self._admitted_count = 0
            if self._with_runs or self._without_runs:
                self._admit_waiting()

    async def wait_turn(self, *, has_runs: bool) -> None:
        """Return when a poll may begin.

        Workers that have runs come first, since leases of runs end there.
        """
        turn = trio.Event()
        waiting = self._with_runs if has_runs else self._without_runs
        waiting.append(turn)
        self._admit_waiting()
        await turn.wait()

    def _admit_waiting(self) -> None:
        """Admit polls while this round allows it."""
        self._wake_event.set()
        while self._admitted_count < _POLLS_PER_ROUND_COUNT:
            waiting = self._with_runs or self._without_runs
            if not waiting:
                return
            waiting.popleft().set()
            self._admitted_count += 1
