"""Planning of which waiting tasks start now, and on which workers."""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from operator import itemgetter

from marjoramwharf.ids import WorkerId
from marjoramwharf.isolation import log_unexpected
from marjoramwharf.scheduling.candidates import (
    Candidate,
    CandidatePool,
    search_parts,
    without,
)
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
from marjoramwharf.scheduling.pass_outcomes import PassOutcomes, StepOutcome
from marjoramwharf.scheduling.placement import (
    DEFAULT_SERVING_JOB_MILLICORES,
    PlacementContext,
    WorkerSelector,
    can_be_placed,
    choose_gang_workers,
    choose_worker,
)
from marjoramwharf.scheduling.policy import QueuePolicy
from marjoramwharf.scheduling.preemption import Shortage
from marjoramwharf.scheduling.rack_choice import (
    may_span_racks,
    workers_of_one_rack,
)
from marjoramwharf.scheduling.short_work import LastingRoom
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

# A task that waited this long starts whatever the harm if its service is idle.
_MAX_IDLE_WAIT_S = 1.5

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
    """Places the ready tasks of a job table on the workers of a fleet.

    ``shortages`` are the urgent tasks that found no room in the latest pass,
    and ``latest_pass`` tells what became of each step; nothing is decided by it.
    """

    job_table: JobTable
    fleet: Fleet
    model: InterferenceModel
    tickets: TicketSource
    shortages: list[Shortage] = field(default_factory=list)
    latest_pass: PassOutcomes = field(default_factory=PassOutcomes)

    def plan(
        self,
        queues: Mapping[str, QueuePolicy],
        *,
        now_s: float,
        now_ms: int,
    ) -> list[StepPlan]:
        """Plan runs for the ready tasks that fit, and reserve for them."""
        planned: list[StepPlan] = []
        self.shortages.clear()
        self.latest_pass.begin(now_s)
        if not self.job_table.ready:
            return planned
        unplaceable = UnplaceableSteps()
        pool = CandidatePool(self.fleet, now_s)
        mean_millicores = self._mean_serving_millicores()
        room = LastingRoom(self.job_table.short_work, now_s)
        for rank, group in self._ranked_groups(queues, now_s, now_ms):
            first = group[0]
            service = queue_of(first, queues).service
            usable = pool.of_service(service)
            context = PlacementContext(
                self.model,
                now_s,
                allowed_harm=_allowed_harm(first, service, rank, pool),
                serving_job_millicores=mean_millicores,
                may_span_racks=may_span_racks(first, service, pool),
            )
            self.latest_pass.consider(first.step, context)
            try:
                plan = self._plan_group(
                    _within_room(group, rank, room, service, usable),
                    service,
                    rank,
                    unplaceable,
                    self._candidates(first, usable),
                    context,
                )
            except Exception:
                # One job must not keep all others from being planned.
                log_unexpected(f'planning of {first.name}')
                self.latest_pass.record(first.step, StepOutcome.ERROR)
                continue
            self._record_shortage(group, plan, rank, usable)
            if plan is not None:
                planned.append(plan)
                if rank.tier is Tier.LASTING:
                    room.take(first.step.request, len(plan.runs), service)
        return planned

    def _ranked_groups(
        self,
        queues: Mapping[str, QueuePolicy],
        now_s: float,
        now_ms: int,
    ) -> list[tuple[Rank, list[Task]]]:
        """Return the ready tasks by step, in the order of their ranks."""
        groups = group_by_step(
            [
                task
                for task in self.job_table.ready.values()
                if task.not_before_s <= now_s
            ]
        )
        ranked = [
            (
                step_rank(
                    group[0].step,
                    queue_of(group[0], queues),
                    now_ms=now_ms,
                    away_for_s=now_s - min(task.away_since_s for task in group),
                ),
                group,
            )
            for group in groups
        ]
        ranked.sort(key=itemgetter(0))
        return ranked

    def _record_shortage(
        self,
        group: Sequence[Task],
        plan: StepPlan | None,
        rank: Rank,
        candidates: Sequence[Candidate],
    ) -> None:
        """Record the urgent short tasks of a step that found no room."""
        step = group[0].step.request
        planned = () if plan is None else plan.runs
        missing_count = len(group) - len(planned)
        is_urgent = rank.tier is Tier.ON_TIME and not step.is_lasting
        is_plain = not (step.fills or step.is_gang or step.needs_one_rack)
        if missing_count and is_urgent and is_plain:
            self.shortages.append(
                Shortage(step, missing_count, rank.priority, candidates)
            )

    def _plan_group(
        self,
        group: Sequence[Task],
        service: str,
        rank: Rank,
        unplaceable: UnplaceableSteps,
        candidates: Sequence[Candidate],
        context: PlacementContext,
    ) -> StepPlan | None:
        """Plan runs for the ready tasks of one step, as far as they fit."""
        if not group:
            return None
        step = group[0].step.request
        allowed_harm = context.allowed_harm
        if unplaceable.rules_out(service, step, allowed_harm):
            self.latest_pass.record(group[0].step, StepOutcome.RULED_OUT)
            return None
        runs = self._place_group(group, candidates, context)
        is_placed = len(runs) == len(group)
        self.latest_pass.record(
            group[0].step,
            StepOutcome.PLACED if is_placed else StepOutcome.NO_WORKER,
        )
        # A gang or a step with one rack or tickets isn't offered all workers,
        # so its failure doesn't prove that another step finds none.
        had_all_workers = not (step.is_gang or step.needs_one_rack)
        if had_all_workers and not is_placed:
            if self.tickets(group[0].step) is None:
                unplaceable.add(service, step, allowed_harm)
        return StepPlan(runs, rank, allowed_harm) if runs else None

    def has_alternative_worker(
        self, task: Task, service: str, pool: CandidatePool
    ) -> bool:
        """Whether a worker that doesn't run a task yet could take it now."""
        return can_be_placed(
            task,
            self._alternatives(task, service, pool),
            PlacementContext(self.model, pool.now_s),
        )

    def plan_duplicate(
        self, task: Task, service: str, pool: CandidatePool
    ) -> Run | None:
        """Plan a second run of a task on another worker, if one can take it."""
        worker = choose_worker(
            task,
            self._alternatives(task, service, pool),
            PlacementContext(self.model, pool.now_s),
        )
        return None if worker is None else self._place(task, worker, pool.now_s)

    def _alternatives(
        self, task: Task, service: str, pool: CandidatePool
    ) -> list[Candidate]:
        """Return the candidates for a task that don't run it yet."""
        present_worker_ids = frozenset(
            run.worker_id for run in task.runs.values()
        )
        candidates = self._candidates(task, pool.of_service(service))
        return without(candidates, present_worker_ids)

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

    def _place_group(
        self,
        group: Sequence[Task],
        candidates: Sequence[Candidate],
        context: PlacementContext,
    ) -> list[Run]:
        """Place tasks of one step until one of them finds no worker."""
        if group[0].step.request.is_gang:
            return self._place_gang(group[0], candidates, context)
        if group[0].step.request.needs_one_rack:
            return self._place_in_one_rack(group, candidates, context)
        planned: list[Run] = []
        for part in search_parts(group[0].step, candidates):
            waiting = group[len(planned) :]
            planned.extend(self._place_tasks(waiting, part, context))
        return planned

    def _place_in_one_rack(
        self,
        group: Sequence[Task],
        candidates: Sequence[Candidate],
        context: PlacementContext,
    ) -> list[Run]:
        """Place tasks in the rack of their step, and in others if they may."""
        in_rack = workers_of_one_rack(group[0].step, candidates)
        planned = self._place_tasks(group, in_rack, context)
        if context.may_span_racks:
            waiting = group[len(planned) :]
            planned.extend(self._place_tasks(waiting, candidates, context))
        return planned

    def _place_tasks(
        self,
        tasks: Sequence[Task],
        candidates: Sequence[Candidate],
        context: PlacementContext,
    ) -> list[Run]:
        """Place tasks of one step until one finds none of the candidates."""
        planned: list[Run] = []
        if not tasks:
            return planned
        never_failed = [task for task in tasks if not task.failed_workers]
        selector = WorkerSelector(
            (never_failed or tasks)[0], candidates, context
        )
        for task in tasks:
            worker = selector.choose(task)
            if worker is None:
                break
            planned.append(self._place(task, worker, context.now_s))
        return planned

    def _place_gang(
        self,
        first: Task,
        candidates: Sequence[Candidate],
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

    def _candidates(
        self, task: Task, candidates: list[Candidate]
    ) -> list[Candidate]:
        """Return those candidates that have a ticket, if a task needs one."""
        tickets = self.tickets(task.step)
        self.latest_pass.tickets[task.step] = tickets
        if tickets is None:
            return candidates
        return [
            candidate
            for candidate in candidates
            if candidate.worker.worker_id in tickets
        ]


def _allowed_harm(
    task: Task, service: str, rank: Rank, pool: CandidatePool
) -> float:
    """Return the largest harm at which a task, if it fills, may start."""
    waited_s = pool.now_s - task.ready_since_s
    if waited_s > _MAX_IDLE_WAIT_S and pool.is_idle(service):
        return math.inf
    if rank.tier is not Tier.ON_TIME:
        return _LATE_HARM + _LATE_HARM_PER_S * waited_s
    excess_harm = (_MUCH_SLACK_MS - rank.slack_ms) / _SLACK_MS_PER_HARM
    return _HARM_WITH_MUCH_SLACK + max(0, excess_harm)


def _within_room(
    group: list[Task],
    rank: Rank,
    room: LastingRoom,
    service: str,
    candidates: Sequence[Candidate],
) -> list[Task]:
    """Return the tasks of a step that leave the room held for short ones.

    All tasks of short steps, and lasting ones that are overdue, may use any.
    """
    if rank.tier is not Tier.LASTING:
        return group
    count = room.fitting_count(
        group[0].step.request,
        len(group),
        service,
        lambda: (candidate.worker for candidate in candidates),
    )
    return group[:count]
