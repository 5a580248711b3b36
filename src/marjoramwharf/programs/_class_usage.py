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

# Limits the calls, since every report costs the worker some time.
_POLLS_PER_S = 4
_MS_PER_S = 1_000
_NO_DEMAND = Demand(0, 0)


class ClassUsagePoller:
    """Polls the usage of the owned workers in turn.

    Only the declared sizes of attempts reserved in this entry's allocator are
    available here. So a report is used only if all of the worker's attempts
    were reserved here and were running when the report was taken.
    """

    def __init__(
        self,
        allocator: CapacityAllocator,
        *,
        get_agent: Callable[[WorkerId], WorkerAgent | None],
        clock: Callable[[], float],
    ) -> None:
        """Start without observations."""
        self.estimator = SizeEstimator()
        self._allocator = allocator
        self._get_agent = get_agent
        self._clock = clock

    def correct(self, task_class: str, declared: Demand) -> Demand:
        """Return the size to reserve for a task."""
        return self.estimator.correct_size(
            task_class,
            declared,
            now_s=self._clock(),
        )

    async def run(self) -> None:
        """Poll the workers until cancelled."""
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
        """Compare the reported usage of each class with its declared size."""
        now_s = self._clock()
        taken_at_s = now_s - report.age_ms / _MS_PER_S
        running = self._get_declared_sizes(ledger, taken_at_s)
        if running is None:
            return
        for name, used in _sum_by_class(report.classes):
            declared = running.get(name)
            if declared is not None:
                self.estimator.observe(name, declared, used, now_s=now_s)

    def _get_declared_sizes(
        self,
        ledger: WorkerLedger,
        taken_at_s: float,
    ) -> dict[str, Demand] | None:
        """Return the total declared size of each class.

        Returns ``None`` if an attempt was not reserved here or had not been
        reported running when the usage was measured.
        """
        declared: dict[str, Demand] = {}
        for attempt in ledger.reservations.demands():
            request = self._allocator.request_of(attempt)
            running_since_s = ledger.reservations.running_since_s(*attempt)
            is_usable = (
                running_since_s is not None and running_since_s <= taken_at_s
            )
            if request is None or not is_usable:
                return None
            size = request.declared or request.demand
            name = request.task_class
            declared[name] = _add_demands(declared.get(name, _NO_DEMAND), size)
        return declared


def _sum_by_class(
    classes: tuple[ClassUsage, ...],
) -> Iterator[tuple[str, Demand]]:
    total_by_class: defaultdict[str, Demand] = defaultdict(lambda: _NO_DEMAND)
    for usage in classes:
        total_by_class[usage.class_name] = _add_demands(
            total_by_class[usage.class_name],
            Demand(int(usage.cpu_millicores), int(usage.memory_mb)),
        )
    yield from total_by_class.items()


def _add_demands(left: Demand, right: Demand) -> Demand:
    return Demand(
        left.cpu_millicores + right.cpu_millicores,
        left.memory_mb + right.memory_mb,
    )
