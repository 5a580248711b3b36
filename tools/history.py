"""Checks the history of a concurrent run against the system's guarantees.

The inputs are the records of the callers and of the workers, and never the
counters of the scheduler itself. Each check counts violations; zero means that
the guarantee held in this run. Times are seconds of the monotonic clock of one
machine.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

# A worker in state leaving may still receive new calls for this long.
LEAVING_LIMIT_S = 3.0


@enum.unique
class CallerOutcome(enum.Enum):
    """What a caller knew about its request after the last attempt."""

    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    NO_ANSWER = 'no_answer'


class CallerRecord(msgspec.Struct, frozen=True):
    """One request as its caller saw it.

    ``is_own_answer`` is false if the body differed from the complete answer to
    this request. ``was_cut`` is true if the connection broke while the entry
    carried out a planned stop.
    """

    request_id: str
    is_idempotent: bool
    outcome: CallerOutcome
    is_own_answer: bool = True
    was_cut: bool = False


class WorkerCall(msgspec.Struct, frozen=True):
    """One call that a worker accepted; ``end_s`` is ``None`` while it runs."""

    call_id: str
    request_id: str | None
    start_s: float
    end_s: float | None
    state: str


class WorkerTask(msgspec.Struct, frozen=True):
    """One attempt of a task that a worker started."""

    task_id: str
    fence: tuple[int, int]
    exclusive_key: str | None
    start_s: float
    end_s: float | None
    phase: str
    resumed_from: int = 0


class WorkerRecord(msgspec.Struct, frozen=True):
    """The capacity of one worker and all calls and tasks that it ran."""

    worker_id: str
    slots_count: int
    connections_count: int
    peak_slots_count: int
    peak_connections_count: int
    refused_calls_count: int = 0
    refused_connections_count: int = 0
    leaving_since_s: float | None = None
    calls: tuple[WorkerCall, ...] = ()
    tasks: tuple[WorkerTask, ...] = ()


class Violations(msgspec.Struct, frozen=True):
    """The number of violations of each guarantee for service requests."""

    overcommitted: int
    lost_answers: int
    crossed_answers: int
    doubled_runs: int
    false_not_run: int
    cut_in_flight: int
    late_to_leaving: int

    @property
    def total(self) -> int:
        """The sum of all counts."""
        return sum(msgspec.structs.astuple(self))


def parse_worker_record(tree: dict[str, Any]) -> WorkerRecord:
    """Convert the JSON history of a worker stand-in to a record.

    The stand-in nests the start message of each attempt in the field ``start``;
    its fields are moved up to the attempt.
    """
    tasks = [
        {
            **task['start'],
            **task,
            'resumed_from': task['start']['checkpoint'],
        }
        for task in tree['tasks']
    ]
    return msgspec.convert({**tree, 'tasks': tasks}, WorkerRecord)


def count_violations(
    callers: Sequence[CallerRecord],
    workers: Sequence[WorkerRecord],
) -> Violations:
    """Count the violations of each guarantee for service requests in a run."""
    runs = count_runs_by_request(workers)
    return Violations(
        overcommitted=sum(map(count_overcommitments, workers)),
        lost_answers=count_lost_answers(callers, runs),
        crossed_answers=sum(
            record.outcome is CallerOutcome.DONE and not record.is_own_answer
            for record in callers
        ),
        doubled_runs=sum(
            runs[record.request_id] > 1
            for record in callers
            if not record.is_idempotent
        ),
        false_not_run=sum(
            runs[record.request_id] > 0
            for record in callers
            if record.outcome is CallerOutcome.NOT_RUN
        ),
        cut_in_flight=sum(record.was_cut for record in callers),
        late_to_leaving=sum(map(count_late_calls, workers)),
    )


def count_runs_by_request(workers: Iterable[WorkerRecord]) -> Counter[str]:
    """Count the calls that workers accepted for each request."""
    return Counter(
        call.request_id
        for worker in workers
        for call in worker.calls
        if call.request_id is not None
    )


def count_lost_answers(
    callers: Iterable[CallerRecord],
    runs: Counter[str],
) -> int:
    """Count requests that have no answer, or one though no worker ran them."""
    return sum(
        record.outcome is CallerOutcome.NO_ANSWER
        or (
            record.outcome is CallerOutcome.DONE and not runs[record.request_id]
        )
        for record in callers
    )


def count_overcommitments(worker: WorkerRecord) -> int:
    """Count calls and connections beyond the capacity of a worker.

    Refusals count too: a correct scheduler never sends more than the capacity,
    so a worker never has to refuse.
    """
    excess_calls_count = max(
        0, find_peak_concurrency(worker.calls) - worker.slots_count
    )
    excess_slots_count = max(0, worker.peak_slots_count - worker.slots_count)
    excess_connections_count = (
        worker.peak_connections_count - worker.connections_count
    )
    return (
        max(excess_calls_count, excess_slots_count)
        + max(0, excess_connections_count)
        + worker.refused_calls_count
        + worker.refused_connections_count
    )


def find_peak_concurrency(calls: Iterable[WorkerCall]) -> int:
    """Return the highest number of calls that ran at the same time."""
    changes = []
    for call in calls:
        changes.append((call.start_s, 1))
        if call.end_s is not None:
            changes.append((call.end_s, -1))
    running = 0
    peak = 0
    # At the same time, ends (-1) sort before starts (1), so that a freed slot
    # counts as free.
    for _time_s, change in sorted(changes):
        running += change
        peak = max(peak, running)
    return peak


def count_late_calls(worker: WorkerRecord) -> int:
    """Count the calls accepted over 3 s after the worker began to leave."""
    since_s = worker.leaving_since_s
    if since_s is None:
        return 0
    limit_s = since_s + LEAVING_LIMIT_S
    return sum(call.start_s > limit_s for call in worker.calls)


def count_exclusive_overlaps(workers: Iterable[WorkerRecord]) -> int:
    """Count attempts that started while another of their exclusive key ran."""
    tasks_by_key: dict[str, list[WorkerTask]] = {}
    for worker in workers:
        for task in worker.tasks:
            if task.exclusive_key is not None:
                tasks_by_key.setdefault(task.exclusive_key, []).append(task)
    return sum(map(_count_overlaps, tasks_by_key.values()))


def count_repeated_starts(workers: Iterable[WorkerRecord]) -> int:
    """Count the attempts that a task should not have had.

    These are repeats of an attempt under the same fence, attempts that start
    while another one of the task runs, and attempts after the task finished.
    """
    attempts: dict[str, list[WorkerTask]] = {}
    for worker in workers:
        for task in worker.tasks:
            attempts.setdefault(task.task_id, []).append(task)
    return sum(map(_count_repeats, attempts.values()))


def count_finished_runs(workers: Iterable[WorkerRecord]) -> Counter[str]:
    """Count the finished attempts of each task."""
    return Counter(
        task.task_id
        for worker in workers
        for task in worker.tasks
        if task.phase == 'finished'
    )


def _count_repeats(attempts: list[WorkerTask]) -> int:
    repeats_count = 0
    fences: set[tuple[int, int]] = set()
    busy_until_s = float('-inf')
    for attempt in sorted(attempts, key=_get_start_s):
        is_repeat = attempt.fence in fences
        repeats_count += is_repeat or attempt.start_s < busy_until_s
        fences.add(attempt.fence)
        has_stopped = attempt.end_s is not None and attempt.phase != 'finished'
        end_s = attempt.end_s if has_stopped else None
        busy_until_s = max(
            busy_until_s, float('inf') if end_s is None else end_s
        )
    return repeats_count


def _count_overlaps(tasks: list[WorkerTask]) -> int:
    overlaps_count = 0
    busy_until_s = float('-inf')
    for task in sorted(tasks, key=_get_start_s):
        overlaps_count += task.start_s < busy_until_s
        end_s = float('inf') if task.end_s is None else task.end_s
        busy_until_s = max(busy_until_s, end_s)
    return overlaps_count


def _get_start_s(task: WorkerTask) -> float:
    return task.start_s
