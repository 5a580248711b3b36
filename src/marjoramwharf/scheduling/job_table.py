"""All jobs of a cell, and the state changes that orders and ends make to them.

The table decides nothing about when or where a task runs. Every change that
has to outlive the process marks its job in ``unstored``.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from marjoramwharf.ids import JobId, TaskId, WorkerId
from marjoramwharf.scheduling.job_state import (
    Job,
    JobPhase,
    Occurrence,
    Run,
    RunEnd,
    RunPhase,
    Task,
)
from marjoramwharf.scheduling.open_occurrences import (
    next_due_ms,
    next_occurrence_number,
)
from marjoramwharf.scheduling.ready_tasks import (
    ReadyTasks,
    add_ready,
    drop_ready,
)
from marjoramwharf.scheduling.short_work import ShortWorkDemand
from marjoramwharf.scheduling.workload import JobRequest

# A task may start this much before its due time; this has to be below the
# tolerance that callers of scheduled jobs are promised.
_EARLY_START_MS = 0

_FULL_PERCENT = 100
_MS_PER_S = 1_000
_MIN_RUN_S = 0.01


@dataclass(slots=True)
class JobTable:
    """Jobs by id, with the tasks that may start now.

    ``ready`` keeps the order in which tasks became ready. A planned run and
    the end of a job are urgent to store, since an order or a caller waits for
    them. ``_repeating`` holds the jobs with occurrences still to be opened, and
    ``_early`` those restored before they are due by this entry's clock.
    """

    jobs: dict[JobId, Job] = field(default_factory=dict)
    ready: ReadyTasks = field(default_factory=dict)
    unstored: dict[JobId, Job] = field(default_factory=dict)
    short_work: ShortWorkDemand = field(default_factory=ShortWorkDemand)
    _repeating: dict[JobId, Job] = field(default_factory=dict)
    _early: list[Occurrence] = field(default_factory=list)

    def add(self, request: JobRequest, *, now_s: float, now_ms: int) -> Job:
        """Add a job, or return the present one of the same id."""
        present = self.jobs.get(request.job_id)
        if present is not None:
            return present
        job = Job(request, known_since_s=now_s)
        self.jobs[job.job_id] = job
        self.short_work.record_job(request, arrived_s=now_s, now_s=now_s)
        if request.repeat_count:
            self._repeating[job.job_id] = job
        else:
            self._create(job, 0, now_s, now_ms)
        self.create_due_occurrences(now_s=now_s, now_ms=now_ms)
        return job

    def add_restored(self, job: Job, *, now_s: float, now_ms: int) -> None:
        """Add a job whose state was read from the store."""
        self.jobs[job.job_id] = job
        age_s = max(0, now_ms - job.request.accepted_at_ms) / _MS_PER_S
        self.short_work.record_job(
            job.request, arrived_s=now_s - age_s, now_s=now_s
        )
        if not job.is_open:
            return
        if job.request.repeat_count:
            self._repeating[job.job_id] = job
        for occurrence in job.occurrences.values():
            occurrence.is_due = now_ms + _EARLY_START_MS >= occurrence.due_ms
            if not occurrence.is_due:
                self._early.append(occurrence)
            self._update_ready(occurrence, now_s)

    def create_due_occurrences(self, *, now_s: float, now_ms: int) -> None:
        """Open the occurrences of repeating jobs that are due by now.

        A job has a limited number of them open; the others follow as these
        begin and end. Those that a former owner opened may become due later by this clock.
        """
        early = self._early
        self._early = []
        for occurrence in early:
            occurrence.is_due = now_ms + _EARLY_START_MS >= occurrence.due_ms
            if not occurrence.is_due:
                self._early.append(occurrence)
            elif occurrence.job.is_open:
                self._update_ready(occurrence, now_s)
        for job in tuple(self._repeating.values()):
            self._open_due(job, now_s, now_ms)

    def next_due_ms(self) -> int | None:
        """Return the Unix time at which the next occurrence is due, if any.

        A job that has as much open as it may have isn't counted.
        """
        found = map(next_due_ms, self._repeating.values())
        return min(
            (due_ms for due_ms in found if due_ms is not None), default=None
        )

    def plan_run(
        self,
        task: Task,
        *,
        worker_id: WorkerId,
        born_ms: int,
        number: int,
        now_s: float,
    ) -> Run:
        """Add a planned run of a task; it is ordered once it is stored."""
        run = Run(
            task=task,
            number=number,
            worker_id=worker_id,
            born_ms=born_ms,
            phase=RunPhase.PLANNED,
            planned_s=now_s,
            progressed_s=now_s,
            checkpoint=task.checkpoint,
        )
        task.add_run(run)
        task.last_run = max(task.last_run, number)
        drop_ready(self.ready, task)
        job = job_of(task)
        self._mark_changed(job, is_urgent=True)
        run.planned_version = job.version
        return run

    def mark_started(self, run: Run, *, started_s: float, now_s: float) -> None:
        """Record that a worker has begun a run, at about ``started_s``."""
        if run.phase in {RunPhase.ORDERED, RunPhase.UNCERTAIN}:
            run.phase = RunPhase.RUNNING
        if run.started_s is None:
            run.started_s = started_s
            run.confirmed_s = now_s
            run.progressed_s = started_s
        run.task.has_begun = True
        job = job_of(run.task)
        if not job.has_begun:
            job.has_begun = True
            self._mark_changed(job)

    def end_run(
        self,
        run: Run,
        how: RunEnd,
        *,
        checkpoint: str,
        max_attempts: int,
        now_s: float,
    ) -> None:
        """Record the end of a run and its checkpoint, and update its job."""
        task = run.task
        waited_since_s = task.away_since_s
        task.remove_run(run)
        run.phase = RunPhase.ENDED
        job = job_of(task)
        if checkpoint:
            _save_checkpoint(task, checkpoint)
        if how is RunEnd.DONE:
            _record_progress_rate(run, now_s)
        if how is RunEnd.DONE and not task.step.request.is_lasting:
            self._mark_done(task)
            if task.step.is_done:
                job.stage_times.add(run, now_s=now_s)
        elif how is RunEnd.FAILED:
            task.failed_workers.add(run.worker_id)
            self._count_failure(run, max_attempts, now_s)
        self._mark_changed(job)
        self._advance_job(task, now_s)
        if how is RunEnd.VANISHED:
            task.away_since_s = _last_at_work_s(run, waited_since_s)

    def cancel(self, job_id: JobId, *, now_s: float) -> Job | None:
        """Cancel an open job and return it; the caller has to stop its runs."""
        job = self.jobs.get(job_id)
        if job is None or not job.is_open:
            return job
        self._finish(job, JobPhase.CANCELLED, now_s)
        return job

    def fail(self, job: Job, *, now_s: float) -> None:
        """Mark a job as failed, after the last attempt of a task."""
        self._finish(job, JobPhase.FAILED, now_s)

    def forget(self, job_id: JobId) -> None:
        """Remove a finished job."""
        self.jobs.pop(job_id, None)
        self._repeating.pop(job_id, None)
        self.unstored.pop(job_id, None)

    def waiting_count(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue that have not begun."""
        return sum(
            1
            for job in self.jobs.values()
            if job.is_open and not job.has_begun and job.request.queue == queue
        )

    def find_run(self, name: TaskId, number: int) -> Run | None:
        """Return a live run by its number, ``None`` if there is none."""
        task = self.find_task(name)
        return None if task is None else task.runs.get(number)

    def find_task(self, name: TaskId) -> Task | None:
        """Return a task by its name, ``None`` if there is none."""
        job_id, _, rest = name.partition('.')
        job = self.jobs.get(JobId(job_id))
        numbers = rest.split('.')
        if job is None or len(numbers) != 3:
            return None
        if not all(number.isdecimal() for number in numbers):
            return None
        occurrence, step, index = (int(number) for number in numbers)
        return job.find(occurrence, step, index)

    def live_runs(self) -> Iterator[Run]:
        """Return the runs of all jobs that have not ended, planned or not."""
        for job in self.jobs.values():
            yield from job.live_runs()

    def surplus_runs(self, job: Job) -> list[Run]:
        """Return the live runs of a finished job, else those of done tasks."""
        return [
            run
            for run in job.live_runs()
            if not job.is_open or run.task.is_done
        ]

    def _open_due(self, job: Job, now_s: float, now_ms: int) -> None:
        """Open the due occurrences of a job in order, as many as may be."""
        number = next_occurrence_number(job)
        while number is not None:
            due_ms = next_due_ms(job)
            if due_ms is None or due_ms > now_ms + _EARLY_START_MS:
                return
            if job.unopened:
                job.unopened.popleft()
            self._create(job, number, now_s, now_ms)
            number = next_occurrence_number(job)
        self._repeating.pop(job.job_id, None)

    def _create(self, job: Job, number: int, now_s: float, now_ms: int) -> None:
        occurrence = job.create_occurrence(number)
        occurrence.is_due = now_ms + _EARLY_START_MS >= occurrence.due_ms
        self._update_ready(occurrence, now_s)
        self._mark_changed(job)

    def _mark_done(self, task: Task) -> None:
        for member in gang_of(task):
            if not member.is_done:
                member.is_done = True
                member.step.done_count += 1
                drop_ready(self.ready, member)

    def _count_failure(self, run: Run, max_attempts: int, now_s: float) -> None:
        """Count a failed attempt of a task, or of its gang as a whole.

        The members of a gang share the number of their runs. Several of them
        may fail in the same attempt, so a number counts once; the next one is
        planned only after all of them have ended.
        """
        task = run.task
        counted = gang_of(task)[0]
        if task.step.request.is_gang and run.number <= counted.last_failed_run:
            return
        counted.last_failed_run = run.number
        counted.failures_count += 1
        exhausted = counted.failures_count >= max_attempts
        job = job_of(task)
        if exhausted and not task.step.request.is_lasting and job.is_open:
            self._finish(job, JobPhase.FAILED, now_s)

    def _advance_job(self, task: Task, now_s: float) -> None:
        """Update the ready tasks after the end of a run, or finish the job."""
        job = job_of(task)
        self._remove_if_over(task.step.occurrence)
        if not job.is_open:
            return
        self._update_ready_after(task, now_s)
        if next_occurrence_number(job) is None:
            if all(found.is_done for found in job.occurrences.values()):
                self._finish(job, JobPhase.DONE, now_s)

    def _remove_if_over(self, occurrence: Occurrence) -> None:
        """Remove an occurrence if nothing of it runs or may start."""
        job = occurrence.job
        is_over = occurrence.is_done or not job.is_open
        if is_over and not occurrence.runs_count:
            job.occurrences.pop(occurrence.number, None)

    def _finish(self, job: Job, phase: JobPhase, now_s: float) -> None:
        job.phase = phase
        job.finished_s = now_s
        job.unopened.clear()
        self._repeating.pop(job.job_id, None)
        for task in job.tasks():
            drop_ready(self.ready, task)
        for occurrence in tuple(job.occurrences.values()):
            self._remove_if_over(occurrence)
        self._mark_changed(job, is_urgent=True)

    def _update_ready(self, occurrence: Occurrence, now_s: float) -> None:
        """Add the tasks of an occurrence that may start now to ``ready``."""
        if not occurrence.is_due:
            return
        for step in occurrence.steps:
            if not step.is_done and step.is_unblocked:
                add_ready(self.ready, step, step.tasks, now_s)

    def _update_ready_after(self, task: Task, now_s: float) -> None:
        """Add what may start after the end of a run to ``ready``.

        That is its task or gang, and what waited for the end of its step.
        """
        step = task.step
        if step.is_done:
            self._update_ready(step.occurrence, now_s)
        elif step.occurrence.is_due and step.is_unblocked:
            add_ready(self.ready, step, gang_of(task), now_s)

    def _mark_changed(self, job: Job, *, is_urgent: bool = False) -> None:
        job.mark_changed(is_urgent=is_urgent)
        self.unstored[job.job_id] = job


def surplus_runs_beside(task: Task) -> list[Run]:
    """Return the live runs that the end of a task's run made surplus."""
    if not task.is_done:
        return []
    return [run for member in gang_of(task) for run in member.runs.values()]


def _save_checkpoint(task: Task, checkpoint: str) -> None:
    for member in gang_of(task):
        member.checkpoint = checkpoint


def _last_at_work_s(run: Run, waited_since_s: float) -> float:
    """Return when a run that vanished, or another one before, was at work.

    A run that no worker is known to have begun doesn't interrupt the wait.
    """
    if run.started_s is None:
        return waited_since_s
    return max(run.planned_s, run.progress_read_s)


def _record_progress_rate(run: Run, now_s: float) -> None:
    if run.started_s is not None:
        elapsed_s = max(now_s - run.started_s, _MIN_RUN_S)
        done = _FULL_PERCENT - run.resumed_percent
        run.task.step.ended_progress_rates.append(done / elapsed_s)


def job_of(task: Task) -> Job:
    """Return the job that a task belongs to."""
    return task.step.occurrence.job


def gang_of(task: Task) -> Sequence[Task]:
    """Return all tasks of a task's gang in order, else the task alone."""
    if task.step.request.is_gang:
        return task.step.tasks
    return (task,)
