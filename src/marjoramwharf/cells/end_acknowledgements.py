"""Acknowledgement of the ends of runs that a worker reports.

A worker repeats each end until it is acknowledged. An end is acknowledged only
once it is stored, so that a new owner hears of it again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import trio

from marjoramwharf.scheduling.job_state import Job


@dataclass(frozen=True, slots=True)
class _UnacknowledgedEnd:
    """An end, its job, and the version of the job to be stored first.

    The end of an unknown run has no job; nothing has to be stored for it.
    """

    number: int
    job: Job | None
    version: int

    @property
    def is_stored(self) -> bool:
        return self.job is None or self.job.stored_version >= self.version


@dataclass(slots=True, eq=False)
class EndAcknowledgements:
    """The ends of one incarnation of a worker, by their rising numbers.

    ``waiting`` holds those of all workers that wait for the store, so that a
    commit needs no look at the others. ``acknowledged_number`` is that of the
    last end that the worker may forget, ``processed_number`` that of the last
    one that was processed.
    """

    waiting: set[EndAcknowledgements] = field(default_factory=set, repr=False)
    acknowledged_number: int = 0
    processed_number: int = 0
    _unacknowledged: deque[_UnacknowledgedEnd] = field(default_factory=deque)
    _all_acknowledged: trio.Event = field(default_factory=trio.Event)

    def add(self, number: int, job: Job | None) -> None:
        """Add an end that was processed; ``job`` has to be stored first."""
        self.processed_number = number
        version = 0 if job is None else job.version
        self._unacknowledged.append(_UnacknowledgedEnd(number, job, version))
        self.waiting.add(self)

    def acknowledge_stored(self) -> None:
        """Acknowledge the ends that are stored by now, in their order."""
        while self._unacknowledged:
            end = self._unacknowledged[0]
            if not end.is_stored:
                return
            self.acknowledged_number = end.number
            self._unacknowledged.popleft()
        self.waiting.discard(self)
        self._all_acknowledged.set()

    def restart(self) -> None:
        """Begin again, as another incarnation numbers its ends from 1."""
        self.acknowledged_number = 0
        self.processed_number = 0
        self._unacknowledged.clear()
        self.waiting.discard(self)

    async def wait(self, *, timeout_s: float) -> None:
        """Wait until all ends are acknowledged, or for ``timeout_s``."""
        if not self._unacknowledged:
            return
        self._all_acknowledged = trio.Event()
        with trio.move_on_after(timeout_s):
            await self._all_acknowledged.wait()
