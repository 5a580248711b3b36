"""Learns the sizes of task classes from the usage reports of workers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator

import trio

from marjoramwharf.batch.estimates import SizeEstimator
from marjoramwharf.contracts.allocator import CapacityAllocator
from marjoramwharf.contracts.ledger import WorkerLedger
from marjoramwharf.errors import WorkerUnreachable
from marjoramwharf.ids import WorkerId
from marjoramwharf.machines.calls import (
    ClassUsage,
    Demand,
    UsageReport,
    WorkerAgent,
)

# Bounds the calls, since every report costs the worker a moment.
_POLLS_PER_S = 4
_MS_PER_S = 1_000
_NOTHING = Demand(0, 0)


class ClassUsageFollower:
    """Polls the owned workers in turns.

    Only the attempts that were reserved at this desk count, since only their
    declared sizes are known. A report is used for a class if all of the
    worker's attempts are known and ran when the report was taken.
    """

    def __init__(
        self,
        allocator: CapacityAllocator,
        *,
        get_agent: Callable[[WorkerId], WorkerAgent | None],
        clock: Callable[[], float],
    ) -> None:
        """Start without observations."""
        self.estimates = SizeEstimator()
        self._allocator = allocator
        self._get_agent = get_agent
        self._clock = clock

    def correct(self, task_class: str, declared: Demand) -> Demand:
        """Return the size to reserve for a task."""
        return self.estimates.correct_size(
            task_class,
            declared,
            now_s=self._clock(),
        )

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            for worker_id in tuple(self._allocator.ledgers):
                await self._poll(worker_id)
                await trio.sleep(1 / _POLLS_PER_S)
            await trio.sleep(1 / _POLLS_PER_S)

    async def _poll(self, worker_id: WorkerId) -> None:
        agent = self._get_agent(worker_id)
        ledger = self._allocator.ledgers.get(worker_id)
        if agent is None or ledger is None or not ledger.reservations.demands():
            return
        try:
            report = await agent.usage()
        except WorkerUnreachable:
            return
        self.observe(ledger, report)

    def observe(self, ledger: WorkerLedger, report: UsageReport) -> None:
        """Compare a report with the declared sizes of what runs."""
        now_s = self._clock()
        taken_at_s = now_s - report.age_ms / _MS_PER_S
        running = self._running(ledger, taken_at_s)
        if running is None:
            return
        for name, used in _used(report.classes):
            declared = running.get(name)
            if declared is not None:
                self.estimates.observe(name, declared, used, now_s=now_s)

    def _running(
        self,
        ledger: WorkerLedger,
        taken_at_s: float,
    ) -> dict[str, Demand] | None:
        """Return the declared sizes by class, ``None`` if one is unknown."""
        declared: dict[str, Demand] = {}
        for attempt in ledger.reservations.demands():
            placement = self._allocator.request_of(attempt)
            running_since_s = ledger.reservations.running_since_s(*attempt)
            is_usable = (
                running_since_s is not None and running_since_s <= taken_at_s
            )
            if placement is None or not is_usable:
                return None
            size = placement.declared or placement.demand
            name = placement.task_class
            declared[name] = _plus(declared.get(name, _NOTHING), size)
        return declared


def _used(classes: tuple[ClassUsage, ...]) -> Iterator[tuple[str, Demand]]:
    found: defaultdict[str, Demand] = defaultdict(lambda: _NOTHING)
    for usage in classes:
        found[usage.class_name] = _plus(
            found[usage.class_name],
            Demand(int(usage.cpu_millicores), int(usage.memory_mb)),
        )
    yield from found.items()


def _plus(left: Demand, right: Demand) -> Demand:
    return Demand(
        left.cpu_millicores + right.cpu_millicores,
        left.memory_mb + right.memory_mb,
    )
