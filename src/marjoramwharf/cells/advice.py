"""Tickets of the advice service for steps whose queue needs them.

The service knows which workers may run a step. It handles one call at a time
for each caller, so steps are asked about one after the other, the most urgent
first, and each call names only some workers.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.signals import Signal
from marjoramwharf.errors import Failure
from marjoramwharf.ids import WorkerId
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import Fleet
from marjoramwharf.scheduling.job_table import JobTable, job_of
from marjoramwharf.scheduling.job_state import Step, Task
from marjoramwharf.scheduling.ordering import queue_of
from marjoramwharf.scheduling.policy import AdvicePolicy, Configuration

_LOG = part_logger('advice')
_MS_PER_S = 1_000
_ASKED_COUNT = 30
_IDLE_PAUSE_S = 0.2
_FAILED_PAUSE_S = 0.3

# A ticket is not used in the last part of its validity: its start has to
# arrive in time.
_USABLE_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets by worker, valid for ``valid_ms`` from the call."""

    tickets: dict[WorkerId, str]
    valid_ms: int


class AdviceCalls(Protocol):
    """Calls to the advice service."""

    async def advise(
        self,
        step: str,
        workers: Sequence[WorkerId],
        *,
        timeout_s: float,
    ) -> Advice:
        """Return the workers that may run a step; raises a ``Failure``."""


@dataclass(slots=True)
class _StepTickets:
    tickets: dict[WorkerId, str] = field(default_factory=dict)
    usable_until_s: float = 0
    refused: set[WorkerId] = field(default_factory=set)


@dataclass(slots=True)
class TicketBook:
    """Asks for tickets and keeps them while they are valid.

    ``on_change`` is called when a step has new tickets.
    """

    calls: AdviceCalls | None
    job_table: JobTable
    fleet: Fleet
    configuration: Callable[[], Configuration | None]
    on_change: Callable[[], None]
    _known: dict[int, _StepTickets] = field(default_factory=dict)
    _signal: Signal = field(default_factory=Signal)

    def tickets(self, step: Step) -> dict[WorkerId, str] | None:
        """Return the tickets of a step, ``None`` if it needs none."""
        if self._policy(step.tasks[0]) is None:
            return None
        known = self._known.get(id(step))
        if known is None or known.usable_until_s <= boot_s():
            self._signal.set()
            return {}
        return known.tickets

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            task = self._next_task()
            if task is None:
                await self._signal.wait(timeout_s=_IDLE_PAUSE_S)
                continue
            try:
                await self._ask(task)
            except Failure as failure:
                _LOG.info('no advice', task=task.name, error=str(failure))
                await trio.sleep(_FAILED_PAUSE_S)

    def _policy(self, task: Task) -> AdvicePolicy | None:
        configuration = self.configuration()
        if configuration is None or self.calls is None:
            return None
        return queue_of(task, configuration.queues).advice

    def _next_task(self) -> Task | None:
        """Return the first ready task whose step has no usable tickets."""
        live = {id(task.step) for task in self.job_table.ready.values()}
        for gone in self._known.keys() - live:
            self._known.pop(gone)
        for task in self.job_table.ready.values():
            if self._policy(task) is not None:
                known = self._known.get(id(task.step))
                if known is None or known.usable_until_s <= boot_s():
                    return task
        return None

    async def _ask(self, task: Task) -> None:
        policy = self._policy(task)
        known = self._known.setdefault(id(task.step), _StepTickets())
        workers = self._candidates(task, known)
        if policy is None or self.calls is None or not workers:
            known.refused.clear()
            await trio.sleep(_IDLE_PAUSE_S)
            return
        asked_s = boot_s()
        expected_ms = policy.decision_ms + policy.per_worker_ms * len(workers)
        advice = await self.calls.advise(
            task.name.rpartition('.')[0],
            workers,
            timeout_s=1 + 2 * expected_ms / _MS_PER_S,
        )
        known.tickets = advice.tickets
        known.refused.update(set(workers) - set(advice.tickets))
        if advice.tickets:
            valid_s = advice.valid_ms / _MS_PER_S
            known.usable_until_s = asked_s + valid_s * _USABLE_SHARE
        _LOG.info(
            'advice',
            step=task.name,
            asked=len(workers),
            good=len(advice.tickets),
        )
        self.on_change()

    def _candidates(self, task: Task, known: _StepTickets) -> list[WorkerId]:
        """Return usable workers, those first that were not refused yet."""
        now_s = boot_s()
        configuration = self.configuration()
        queues = {} if configuration is None else configuration.queues
        service = queue_of(task, queues).service or job_of(task).request.service
        usable = [
            worker
            for worker in self.fleet.workers_of(service)
            if worker.is_usable(now_s)
            and worker.could_ever_run(task.step.request)
        ]
        usable.sort(
            key=lambda worker: (
                worker.reserved_millicores + worker.filling_millicores
            )
        )
        return [
            worker.worker_id
            for worker in usable
            if worker.worker_id not in known.refused
        ][:_ASKED_COUNT]
