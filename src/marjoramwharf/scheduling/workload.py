"""What a caller asks for: a job of steps, each of several equal tasks.

The structs are also the stored form of a job, so fields are only added at the
end, with a default.

    >>> task_name(JobId('5c0e7a21d94b36f8'), occurrence=0, step=1, index=17)
    '5c0e7a21d94b36f8.0.1.17'
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from marjoramwharf.ids import JobId, TaskId


class StepRequest(Struct, frozen=True, array_like=True):
    """``count`` equal tasks that may start when the steps ``after`` are done.

    ``estimate_ms`` is the caller's rough guess of a task's run time.
    ``data_rack`` is where a task runs fastest, ``required_label`` what its
    worker must have, and ``per_worker_limit`` how many tasks of the step one
    worker may run (0: any number). ``fills`` means that the task takes the
    processors that other tasks leave unused, and isn't counted against the
    worker's. ``max_unavailable_count`` tasks of a lasting step may be away at a time
    by our own doing.
    """

    count: int
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators_count: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    has_checkpoints: bool = False
    is_gang: bool = False
    needs_one_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    per_worker_limit: int = 0
    may_duplicate: bool = False
    is_lasting: bool = False
    image: str = ''
    target_tail_ms: int = 0
    fills: bool = False
    max_unavailable_count: int = 0


class JobRequest(Struct, frozen=True, array_like=True):
    """A job as its caller sent it, with the queue that took it.

    ``payload`` is passed to each task unread. A job with a ``repeat_count``
    runs its steps that many times; occurrence K is due at ``first_due_ms`` +
    K x ``interval_ms`` of wall-clock time.
    """

    job_id: JobId
    queue: str
    service: str
    payload: str
    steps: tuple[StepRequest, ...]
    accepted_at_ms: int
    repeat_count: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences_count(self) -> int:
        """How often the steps run."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> int:
        """Wall-clock time before which no task of an occurrence starts."""
        if not self.repeat_count:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


def task_name(
    job_id: JobId,
    *,
    occurrence: int,
    step: int,
    index: int,
) -> TaskId:
    """Return the name of a task, unique among all jobs."""
    return TaskId(f'{job_id}.{occurrence}.{step}.{index}')


def critical_paths_ms(steps: Sequence[StepRequest]) -> list[int]:
    """Return for each step the longest estimate from its start to the end.

    >>> first = StepRequest(1, estimate_ms=100)
    >>> second = StepRequest(1, estimate_ms=50, after=(0,))
    >>> critical_paths_ms([first, second])
    [150, 50]
    """
    lengths_ms = [step.estimate_ms for step in steps]
    # A step comes only after earlier ones, so the last step is final first.
    for number in range(len(steps) - 1, -1, -1):
        for before in steps[number].after:
            longer_ms = steps[before].estimate_ms + lengths_ms[number]
            lengths_ms[before] = max(lengths_ms[before], longer_ms)
    return lengths_ms
