"""Client-side cache of start tickets from the advice service.

Queues with an advice policy start a task only on a worker for which the
service has issued a ticket. The service handles one call at a time for each
caller, so steps are queried one after the other, and each call names only some
of the workers. The step that has needed tickets for the longest time goes first,
and an attempt ends its turn, so that a step that no worker may run doesn't keep
the others waiting.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from marjoramwharf.cells.auto_reset_event import AutoResetEvent
from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.errors import Failure
from marjoramwharf.ids import WorkerId
from marjoramwharf.logs import part_logger
from marjoramwharf.scheduling.fleet import Fleet, Worker
from marjoramwharf.scheduling.job_state import Step, Task
from marjoramwharf.scheduling.job_table import JobTable, job_of
from marjoramwharf.scheduling.ordering import queue_of
from marjoramwharf.scheduling.policy import AdvicePolicy, Configuration

_LOG = part_logger('advice')
_MS_PER_S = 1_000
_MAX_ASKED_WORKERS_COUNT = 30
_IDLE_POLL_S = 0.2
_INITIAL_RETRY_PAUSE_S = 0.3
_MAX_RETRY_PAUSE_S = 3.0
_MAX_DOUBLINGS = 5

# A ticket is not used in the last part of its validity, since the start order
# has to reach the worker before the ticket expires.
_USABLE_VALIDITY_SHARE = 0.7

# The id of a worker and the time of its start in ms.
_WorkerLife = tuple[WorkerId, int]


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
    """Tickets of one step, and the workers that got none when asked for.

    A ticket, like a refusal, holds for the life of a worker that the service
    was asked about, which its start time identifies. Since the latest ticket,
    ``failures_count`` attempts brought none; the next one is made at
    ``next_attempt_s`` at the earliest.
    """

    tickets: dict[_WorkerLife, str] = field(default_factory=dict)
    usable_until_s: float = 0
    refused: set[_WorkerLife] = field(default_factory=set)
    failures_count: int = 0
    next_attempt_s: float = 0

    def needed_at_s(self, ready_since_s: float) -> float:
        """Return the time from which the step, once ready, needs tickets."""
        return max(ready_since_s, self.usable_until_s, self.next_attempt_s)

    def record_failure(self, now_s: float, *, pause_s: float) -> None:
        """Record an attempt without a ticket, and when to try again."""
        self.failures_count += 1
        self.next_attempt_s = now_s + pause_s

    def record_answer(
        self,
        lives: Sequence[_WorkerLife],
        advice: Advice,
        *,
        asked_s: float,
        now_s: float,
    ) -> None:
        """Keep the tickets and the refusals of an answer."""
        self.tickets = {
            life: advice.tickets[life[0]]
            for life in lives
            if life[0] in advice.tickets
        }
        self.refused.update(set(lives) - self.tickets.keys())
        if not self.tickets:
            self.record_failure(now_s, pause_s=0)
            return
        valid_s = advice.valid_ms / _MS_PER_S
        self.usable_until_s = asked_s + valid_s * _USABLE_VALIDITY_SHARE
        self.next_attempt_s = now_s
        self.failures_count = 0


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
        valid = {
            worker_id: ticket
            for (worker_id, born_ms), ticket in cached.tickets.items()
            if self._is_alive(worker_id, born_ms)
        }
        if not valid:
            cached.usable_until_s = 0
            self._wake_event.set()
        return valid

    async def run(self) -> None:
        """Request missing tickets until cancelled."""
        while True:
            task = self._next_task_without_tickets(boot_s())
            if task is None:
                await self._wake_event.wait(timeout_s=_IDLE_POLL_S)
            else:
                await self._request_tickets(task)

    def _is_alive(self, worker_id: WorkerId, born_ms: int) -> bool:
        """Whether the incarnation of a worker is still the one known."""
        worker = self.fleet.workers.get(worker_id)
        return worker is not None and worker.born_ms == born_ms

    def _advice_policy(self, task: Task) -> AdvicePolicy | None:
        configuration = self.configuration()
        if configuration is None or self.client is None:
            return None
        return queue_of(task, configuration.queues).advice

    def _next_task_without_tickets(self, now_s: float) -> Task | None:
        """Return the task whose step has needed tickets longest, if any."""
        first_tasks: dict[int, Task] = {}
        for ready in self.job_table.ready.values():
            first_tasks.setdefault(id(ready.step), ready)
        for step_id in self._tickets_by_step.keys() - first_tasks.keys():
            self._tickets_by_step.pop(step_id)
        with_policy = [
            task
            for task in first_tasks.values()
            if self._advice_policy(task) is not None
        ]
        first = min(with_policy, key=self._needed_at_s, default=None)
        if first is None or self._needed_at_s(first) > now_s:
            return None
        return first

    def _needed_at_s(self, task: Task) -> float:
        return self._tickets_of(task).needed_at_s(task.ready_since_s)

    def _tickets_of(self, task: Task) -> _StepTickets:
        return self._tickets_by_step.setdefault(id(task.step), _StepTickets())

    async def _request_tickets(self, task: Task) -> None:
        """Ask for some workers, unless all usable ones were refused."""
        policy = self._advice_policy(task)
        step_tickets = self._tickets_of(task)
        now_s = boot_s()
        workers = self._candidates(task, step_tickets, now_s)
        if policy is None or self.client is None or not workers:
            step_tickets.record_failure(now_s, pause_s=_IDLE_POLL_S)
            return
        lives = [_life_of(worker) for worker in workers]
        expected_ms = policy.decision_ms + policy.per_worker_ms * len(workers)
        try:
            advice = await self.client.advise(
                task.name.rpartition('.')[0],
                [worker_id for worker_id, _ in lives],
                timeout_s=1 + 2 * expected_ms / _MS_PER_S,
            )
        except Failure as failure:
            _LOG.info('advice failed', task=task.name, error=str(failure))
            step_tickets.record_failure(
                boot_s(), pause_s=_retry_pause_s(step_tickets.failures_count)
            )
            return
        step_tickets.record_answer(lives, advice, asked_s=now_s, now_s=boot_s())
        _LOG.info(
            'advice',
            step=task.name,
            asked=len(workers),
            good=len(advice.tickets),
        )
        self.on_change()

    def _candidates(
        self, task: Task, step_tickets: _StepTickets, now_s: float
    ) -> list[Worker]:
        """Return usable workers without a refusal, least loaded first."""
        configuration = self.configuration()
        queues = {} if configuration is None else configuration.queues
        service = queue_of(task, queues).service or job_of(task).request.service
        usable = [
            worker
            for worker in self.fleet.usable_workers_of(service, now_s)
            if worker.could_ever_run(task.step.request)
            and _life_of(worker) not in step_tickets.refused
        ]
        usable.sort(
            key=lambda worker: (
                worker.reserved_millicores + worker.filling_millicores
            )
        )
        return usable[:_MAX_ASKED_WORKERS_COUNT]


def _life_of(worker: Worker) -> _WorkerLife:
    return worker.worker_id, worker.born_ms


def _retry_pause_s(failures_count: int) -> float:
    factor: int = 2 ** min(failures_count, _MAX_DOUBLINGS)
    return min(_INITIAL_RETRY_PAUSE_S * factor, _MAX_RETRY_PAUSE_S)
