"""Client-side cache of start tickets from the advice service.

Queues with an advice policy start a task only on a worker for which the
service has issued a ticket. The service handles one call at a time for each
caller, so steps are queried one after the other, those that became ready first
before others, and each call names only some of the workers.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import trio

from marjoramwharf.cells.auto_reset_event import AutoResetEvent
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.errors import Failure
from marjoramwharf.ids import WorkerId
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import Fleet
from marjoramwharf.scheduling.job_state import Step, Task
from marjoramwharf.scheduling.job_table import JobTable, job_of
from marjoramwharf.scheduling.ordering import queue_of
from marjoramwharf.scheduling.policy import AdvicePolicy, Configuration

_LOG = part_logger('advice')
_MS_PER_S = 1_000
_MAX_ASKED_WORKERS_COUNT = 30
_IDLE_POLL_S = 0.2
_RETRY_PAUSE_S = 0.3

# A ticket is not used in the last part of its validity, since the start order
# has to reach the worker before the ticket expires.
_USABLE_VALIDITY_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets by worker, valid for ``valid_ms`` from the start of the call."""

    tickets: dict[WorkerId, str]
    valid_ms: int


class AdviceClient(Protocol):
    """Client of the advice service."""

    async def advise(
        self,
        step: str,
        workers: Sequence[WorkerId],
        *,
        timeout_s: float,
    ) -> Advice:
        """Return tickets for the workers that may run a step.

        Raises a ``Failure`` if the service gives no usable answer.
        """


@dataclass(slots=True)
class _StepTickets:
    """Tickets of one step, and the workers that got none when asked for."""

    tickets: dict[WorkerId, str] = field(default_factory=dict)
    usable_until_s: float = 0
    refused: set[WorkerId] = field(default_factory=set)


@dataclass(slots=True)
class TicketCache:
    """Requests tickets from the advice service and caches them while valid.

    ``on_change`` is called when the answer for a step has arrived.
    """

    client: AdviceClient | None
    job_table: JobTable
    fleet: Fleet
    configuration: Callable[[], Configuration | None]
    on_change: Callable[[], None]
    _tickets_by_step: dict[int, _StepTickets] = field(default_factory=dict)
    _wake_event: AutoResetEvent = field(default_factory=AutoResetEvent)

    def tickets(self, step: Step) -> dict[WorkerId, str] | None:
        """Return the cached tickets of a step.

        The result is ``None`` if the step needs no tickets, and empty while
        they have not been received.
        """
        if self._advice_policy(step.tasks[0]) is None:
            return None
        cached = self._tickets_by_step.get(id(step))
        if cached is None or cached.usable_until_s <= boot_s():
            self._wake_event.set()
            return {}
        return cached.tickets

    async def run(self) -> None:
        """Request missing tickets until cancelled."""
        while True:
            task = self._next_task_without_tickets()
            if task is None:
                await self._wake_event.wait(timeout_s=_IDLE_POLL_S)
                continue
            try:
                await self._request_tickets(task)
            except Failure as failure:
                _LOG.info('advice failed', task=task.name, error=str(failure))
                await trio.sleep(_RETRY_PAUSE_S)

    def _advice_policy(self, task: Task) -> AdvicePolicy | None:
        configuration = self.configuration()
        if configuration is None or self.client is None:
            return None
        return queue_of(task, configuration.queues).advice

    def _next_task_without_tickets(self) -> Task | None:
        """Return the first ready task whose step has no usable tickets."""
        ready_step_ids = {
            id(task.step) for task in self.job_table.ready.values()
        }
        for step_id in self._tickets_by_step.keys() - ready_step_ids:
            self._tickets_by_step.pop(step_id)
        for task in self.job_table.ready.values():
            if self._advice_policy(task) is not None:
                cached = self._tickets_by_step.get(id(task.step))
                if cached is None or cached.usable_until_s <= boot_s():
                    return task
        return None

    async def _request_tickets(self, task: Task) -> None:
        """Ask for some workers; when all were refused, start anew later."""
        policy = self._advice_policy(task)
        cached = self._tickets_by_step.setdefault(id(task.step), _StepTickets())
        workers = self._candidates(task, cached)
        if policy is None or self.client is None or not workers:
            cached.refused.clear()
            await trio.sleep(_IDLE_POLL_S)
            return
        asked_s = boot_s()
        expected_ms = policy.decision_ms + policy.per_worker_ms * len(workers)
        advice = await self.client.advise(
            task.name.rpartition('.')[0],
            workers,
            timeout_s=1 + 2 * expected_ms / _MS_PER_S,
        )
        cached.tickets = advice.tickets
        cached.refused.update(set(workers) - set(advice.tickets))
        if advice.tickets:
            valid_s = advice.valid_ms / _MS_PER_S
            cached.usable_until_s = asked_s + valid_s * _USABLE_VALIDITY_SHARE
        _LOG.info(
            'advice',
            step=task.name,
            asked=len(workers),
            good=len(advice.tickets),
        )
        self.on_change()

    def _candidates(self, task: Task, cached: _StepTickets) -> list[WorkerId]:
        """Return usable workers without a refusal, least loaded first."""
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
            if worker.worker_id not in cached.refused
        ][:_MAX_ASKED_WORKERS_COUNT]
