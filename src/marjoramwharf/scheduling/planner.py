"""Planning of which waiting tasks start now, and on which workers."""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from marjoramwharf.ids import WorkerId
from marjoramwharf.isolation import log_unexpected
from marjoramwharf.scheduling.fleet import Fleet, Worker
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_state import Run, Step, Task
from marjoramwharf.scheduling.job_table import JobTable, gang_of
from marjoramwharf.scheduling.ordering import (
    Rank,
    Tier,
    group_by_step,
    queue_of,
    step_rank,
)
from marjoramwharf.scheduling.placement import (
    DEFAULT_SERVING_JOB_MILLICORES,
    PlacementContext,
    WorkerSelector,
    choose_gang_workers,
    choose_worker,
)
from marjoramwharf.scheduling.policy import QueuePolicy
from marjoramwharf.scheduling.unplaceable_steps import UnplaceableSteps

# Largest harm (see scheduling.headroom) at which a filling task starts: hardly
# any while its job has much slack, and one serving job more for each
# ``_SLACK_MS_PER_HARM`` of slack below ``_MUCH_SLACK_MS``.
_HARM_WITH_MUCH_SLACK = 0.04
_MUCH_SLACK_MS = 1_000
_SLACK_MS_PER_HARM = 800

# The same for a late job, and how much more for each second that the task
# waits, so that it starts at last.
_LATE_HARM = 0.15
_LATE_HARM_PER_S = 0.1

# A task that waited this long starts whatever the harm if less than this share
# of the workers' CPU is in use.
_MAX_IDLE_WAIT_S = 1.5
_IDLE_USE_SHARE = 0.6

# Tickets of the advice service by worker; a source returns ``None`` for a step
# whose queue needs none.
Tickets = Mapping[WorkerId, str]
TicketSource = Callable[[Step], Tickets | None]


@dataclass(frozen=True, slots=True)
class StepPlan:
    """Planned runs of one step, with the rank and harm limit that applied."""

    runs: Sequence[Run]
    rank: Rank
    allowed_harm: float


@dataclass(frozen=True, slots=True)
class Planner:
    """Places the ready tasks of a job table on the workers of a fleet."""

    job_table: JobTable
    fleet: Fleet
    model: InterferenceModel
    tickets: TicketSource

    def plan(
        self,
        queues: Mapping[str, QueuePolicy],
        *,
        now_s: float,
        now_ms: int,
    ) -> list[StepPlan]:
        """Plan runs for the ready tasks that fit, and reserve for them."""
        tasks = [
            task
            for task in self.job_table.ready.values()
            if task.not_before_s <= now_s
        ]
        groups = group_by_step(tasks)
        ranked = sorted(
            (
                step_rank(
                    group[0].step,
                    queue_of(group[0], queues),
                    now_ms=now_ms,
                ),
                number,
            )
            for number, group in enumerate(groups)
        )
        planned: list[StepPlan] = []
        unplaceable = UnplaceableSteps()
        mean_millicores = self._mean_serving_millicores()
        for rank, number in ranked:
            group = groups[number]
            service = queue_of(group[0], queues).service
            context = PlacementContext(
                self.model,
                now_s,
                allowed_harm=self._allowed_harm(group[0], rank, now_s),
                serving_job_millicores=mean_millicores,
            )
            try:
                plan = self._plan_group(
                    group, service, rank, unplaceable, context
                )
            except Exception:
                # One job must not keep all others from being planned.
                log_unexpected(f'planning of {group[0].name}')
                continue
            if plan is not None:
                planned.append(plan)
        return planned

    def _plan_group(
        self,
        group: Sequence[Task],
        service: str,
        rank: Rank,
        unplaceable: UnplaceableSteps,
        context: PlacementContext,
    ) -> StepPlan | None:
        """Plan runs for the ready tasks of one step, as far as they fit."""
        step = group[0].step.request
        allowed_harm = context.allowed_harm
        if unplaceable.rules_out(service, step, allowed_harm):
            return None
        runs = self._place_group(group, service, context)
        # A gang or a step with one rack or tickets isn't offered all workers,
        # so its failure doesn't prove that another step finds none.
        had_all_workers = not (step.is_gang or step.needs_one_rack)
        if len(runs) < len(group) and had_all_workers:
            if self.tickets(group[0].step) is None:
                unplaceable.add(service, step, allowed_harm)
        return StepPlan(runs, rank, allowed_harm) if runs else None

    def has_alternative_worker(
        self, task: Task, service: str, *, now_s: float
    ) -> bool:
        """Whether a worker that doesn't run a task yet could take it now."""
        return self._alternative_worker(task, service, now_s) is not None

    def plan_duplicate(
        self,
        task: Task,
        service: str,
        *,
        now_s: float,
    ) -> Run | None:
        """Plan a second run of a task on another worker, if one can take it."""
        worker = self._alternative_worker(task, service, now_s)
        return None if worker is None else self._place(task, worker, now_s)

    def _alternative_worker(
        self,
        task: Task,
        service: str,
        now_s: float,
    ) -> Worker | None:
        present_worker_ids = frozenset(
            run.worker_id for run in task.runs.values()
        )
        return choose_worker(
            task,
            self._candidates(task, service),
            PlacementContext(
                self.model, now_s, excluded_workers=present_worker_ids
            ),
        )

    def _mean_serving_millicores(self) -> float:
        """Return the mean size of the serving steps of unfinished jobs."""
        sizes = [
            step.count * step.cpu_millicores
            for job in self.job_table.jobs.values()
            if job.is_open
            for step in job.request.steps
            if step.target_tail_ms
        ]
        return (
            statistics.fmean(sizes) if sizes else DEFAULT_SERVING_JOB_MILLICORES
        )

    def _allowed_harm(self, task: Task, rank: Rank, now_s: float) -> float:
        """Return the largest harm at which a task, if it fills, may start."""
        waited_s = now_s - task.ready_since_s
        if waited_s > _MAX_IDLE_WAIT_S and self._is_idle():
            return math.inf
        if rank.tier is not Tier.ON_TIME:
            return _LATE_HARM + _LATE_HARM_PER_S * waited_s
        excess_harm = (_MUCH_SLACK_MS - rank.slack_ms) / _SLACK_MS_PER_HARM
        return _HARM_WITH_MUCH_SLACK + max(0, excess_harm)

    def _is_idle(self) -> bool:
        """Whether much of the fleet's CPU is neither reserved nor in use."""
        used = 0
        whole = 0
        for worker in self.fleet.workers.values():
            used += min(
                worker.reserved_millicores + worker.filling_millicores,
                worker.capacity.cpu_millicores,
            )
            whole += worker.capacity.cpu_millicores
        return used < _IDLE_USE_SHARE * whole

    def _place_group(
        self,
        group: Sequence[Task],
        service: str,
        context: PlacementContext,
    ) -> list[Run]:
        """Place tasks of one step until one of them finds no worker."""
        candidates = self._candidates(group[0], service)
        if group[0].step.request.is_gang:
            return self._place_gang(group[0], candidates, context)
        if group[0].step.request.needs_one_rack:
            candidates = _workers_of_one_rack(group[0].step, candidates)
        planned: list[Run] = []
        never_failed = [task for task in group if not task.failed_workers]
        selector = WorkerSelector(
            (never_failed or group)[0], candidates, context
        )
        for task in group:
            worker = selector.choose(task)
            if worker is None:
                break
            planned.append(self._place(task, worker, context.now_s))
        return planned

    def _place_gang(
        self,
        first: Task,
        candidates: Sequence[Worker],
        context: PlacementContext,
    ) -> list[Run]:
        """Place a whole gang, with one number for all its runs, or nothing."""
        tasks = gang_of(first)
        chosen = choose_gang_workers(tasks, self.fleet, candidates, context)
        number = 1 + max(task.last_run for task in tasks)
        return [
            self._place(task, worker, context.now_s, number=number)
            for task, worker in chosen or ()
        ]

    def _place(
        self,
        task: Task,
        worker: Worker,
        now_s: float,
        *,
        number: int | None = None,
    ) -> Run:
        run = self.job_table.plan_run(
            task,
            worker_id=worker.worker_id,
            born_ms=worker.born_ms,
            number=task.last_run + 1 if number is None else number,
            now_s=now_s,
        )
        run.ticket = (self.tickets(task.step) or {}).get(worker.worker_id, '')
        worker.add(run)
        return run

    def _candidates(self, task: Task, service: str) -> list[Worker]:
        """Return the workers of the service that have a ticket if needed."""
        workers = self.fleet.workers_of(service)
        tickets = self.tickets(task.step)
        if tickets is None:
            return workers
        return [worker for worker in workers if worker.worker_id in tickets]


def _workers_of_one_rack(
    step: Step, candidates: Sequence[Worker]
) -> list[Worker]:
    """Return the workers of the rack that a step runs in already.

    Before its first start, that is the rack with the most free CPU.
    """
    running = [worker for worker in candidates if worker.runs_count_of(step)]
    racks: dict[str, float] = {}
    for worker in candidates:
        free = worker.capacity.cpu_millicores - worker.reserved_millicores
        racks[worker.listing.rack] = racks.get(worker.listing.rack, 0) + free
    chosen = max(racks, key=racks.__getitem__, default='')
    if running:
        chosen = running[0].listing.rack
    return [worker for worker in candidates if worker.listing.rack == chosen]
