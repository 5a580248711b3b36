"""Which occurrences of a scheduled job are open at a time.

Thousands of due times may have passed when a job is accepted, or while nothing
could run. Their occurrences are opened one by one in the order of due times, as
earlier ones begin and end, so that the work of a plan, a write or the end of a
run doesn't grow with their number.
"""

from __future__ import annotations

from marjoramwharf.scheduling.job_state import Job

# Bounds the memory of a job, whose owner holds each of its open tasks.
MAX_OPEN_TASKS_COUNT = 20_000

# Occurrences overlap while their runs take longer than the interval; this bounds
# the progress record, which names each run.
_MAX_OPEN_OCCURRENCES_COUNT = 4_000

# No occurrence is opened while as many steps of its job wait for room.
_MAX_READY_STEPS_COUNT = 100


def next_occurrence_number(job: Job) -> int | None:
    """Return the number of the next occurrence to open, ``None`` if all are."""
    if job.unopened:
        return job.unopened[0]
    if job.next_occurrence < job.request.occurrences_count:
        return job.next_occurrence
    return None


def next_due_ms(job: Job) -> int | None:
    """Return when the next occurrence of a job is due.

    Returns ``None`` if there is none, or if it can't be opened before others
    have begun or ended.
    """
    number = next_occurrence_number(job)
    if number is None or not _may_open_occurrence(job):
        return None
    return job.request.due_ms(number)


def _may_open_occurrence(job: Job) -> bool:
    open_count = len(job.occurrences)
    tasks_count = open_count * job.request.tasks_count
    return (
        tasks_count < MAX_OPEN_TASKS_COUNT
        and open_count < _MAX_OPEN_OCCURRENCES_COUNT
        and job.ready_steps_count < _MAX_READY_STEPS_COUNT
    )
