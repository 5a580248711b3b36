"""Job requests of callers: a job has steps, each of several equal tasks.

The structs are also the stored form of a job, so fields are only added at the
end, with a default.

    >>> task_name(JobId('5c0e7a21d94b36f8'), occurrence=0, step=1, index=17)
    '5c0e7a21d94b36f8.0.1.17'
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from marjoramwharf.ids import JobId, TaskId
from marjoramwharf.scheduling.accepted_policy import AcceptedPolicy


class StepRequest(Struct, frozen=True, array_like=True):
    """``count`` equal tasks that may start when the steps ``after`` are done.

    ``estimate_ms`` is the caller's rough estimate of a task's run time. A task
    runs fastest in ``data_rack``, its worker must have ``required_label``, and
    one worker may run ``per_worker_limit`` tasks of the step (0: any number).
    The tasks of a gang start together. A lasting task is never done; a serving
    one has a ``target_tail_ms`` for its tail latency. A task that ``fills``
    uses the CPU that others leave unused, and reserves none itself. At most
    ``max_unavailable_count`` lasting tasks may be made unavailable at a time.
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
    """A job as its caller sent it, with the queue that accepted it.

    ``payload`` is passed to each task unparsed. A job with a ``repeat_count``
    runs its steps that many times; occurrence K is due at ``first_due_ms`` +
    K x ``interval_ms`` of wall-clock time. ``policy`` applies when the queue
    has been withdrawn.
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
    policy: AcceptedPolicy = AcceptedPolicy()

    @property
    def occurrences_count(self) -> int:
        """How many times the steps run."""
        return max(1, self.repeat_count)

    @property
    def tasks_count(self) -> int:
        """How many tasks each occurrence has."""
        return sum(step.count for step in self.steps)

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
    """Return each step's critical path, from its start to the end of the job.

    >>> first = StepRequest(1, estimate_ms=100)
    >>> second = StepRequest(1, estimate_ms=50, after=(0,))
    >>> critical_paths_ms([first, second])
    [150, 50]
    """
    paths_ms = [step.estimate_ms for step in steps]
    # A step depends on earlier ones only, so later paths are final first.
    for number in range(len(steps) - 1, -1, -1):
        for before in steps[number].after:
            path_ms = steps[before].estimate_ms + paths_ms[number]
            paths_ms[before] = max(paths_ms[before], path_ms)
    return paths_ms
