"""Decodes the bodies of job requests and encodes those of the answers."""

from __future__ import annotations

from typing import Annotated

from msgspec import DecodeError, Meta, Struct, json

from marjoramwharf.cells.job_status import PublicJobState
from marjoramwharf.errors import BadJob
from marjoramwharf.ids import JobId
from marjoramwharf.json_bodies import SignedAmount, decode_json
from marjoramwharf.scheduling.accepted_policy import accepted_policy
from marjoramwharf.scheduling.open_occurrences import MAX_OPEN_TASKS_COUNT
from marjoramwharf.scheduling.policy import QueuePolicy
from marjoramwharf.scheduling.workload import JobRequest, StepRequest

_MAX_TASKS = 5_000
_MAX_STEPS = 64

_MAX_SIZE = 2_000_000_000
_Size = Annotated[int, Meta(ge=0, le=_MAX_SIZE)]

_STATE_BODIES = {
    PublicJobState.QUEUED: b'{"State":"queued"}',
    PublicJobState.RUNNING: b'{"State":"running"}',
    PublicJobState.DONE: b'{"State":"completed"}',
    PublicJobState.FAILED: b'{"State":"failed"}',
    PublicJobState.CANCELLED: b'{"State":"cancelled"}',
}


class _Step(Struct, frozen=True, rename='pascal'):
    """``Cpu`` is in millicores; ``Requirements`` is a single label.

    Tasks of a step with ``Fills`` use the resources that others leave unused;
    ``TargetMs`` is the tail latency that a lasting task has to keep.
    ``AntiAffinity`` limits the tasks on a worker, and ``MayMiss`` the number of
    tasks that may be unavailable.
    """

    count: Annotated[int, Meta(ge=1, le=_MAX_TASKS)]
    cpu: _Size = 0
    mem_mb: _Size = 0
    gpu: _Size = 0
    estimate_ms: _Size = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str | None = None
    data_rack: str | None = None
    anti_affinity: _Size = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str | None = None
    target_ms: Annotated[float, Meta(ge=0, le=_MAX_SIZE)] = 0
    fills: bool = False
    may_miss: _Size = 0


class _Job(Struct, frozen=True, rename='pascal'):
    """``InitialMs`` is the Unix time at which the first occurrence is due."""

    steps: Annotated[
        tuple[_Step, ...],
        Meta(min_length=1, max_length=_MAX_STEPS),
    ]
    task_spec: str = ''
    repeat_count: _Size = 0
    initial_ms: SignedAmount = 0
    interval_ms: SignedAmount = 0


def decode_job(
    raw: bytes,
    *,
    job_id: JobId,
    queue: QueuePolicy,
    now_ms: int,
) -> JobRequest:
    """Decode the body of a submission; raises ``BadJob``.

    A step's ``After`` may only name steps that are listed before it.
    """
    try:
        job = decode_json(raw, _Job)
    except DecodeError as failure:
        raise BadJob(message=f'unreadable job: {failure}') from failure
    _check_job(job)
    return JobRequest(
        job_id=job_id,
        queue=queue.name,
        service=queue.service,
        payload=job.task_spec,
        steps=tuple(_to_step_request(step) for step in job.steps),
        accepted_at_ms=now_ms,
        repeat_count=job.repeat_count,
        first_due_ms=job.initial_ms,
        interval_ms=job.interval_ms,
        policy=accepted_policy(queue),
    )


def _check_job(job: _Job) -> None:
    """Check what concerns several fields; raises ``BadJob``."""
    for number, step in enumerate(job.steps):
        if any(not 0 <= before < number for before in step.after):
            raise BadJob(
                message=f'step {number}: After must name earlier steps'
            )
    if sum(step.count for step in job.steps) > MAX_OPEN_TASKS_COUNT:
        raise BadJob(message=f'more than {MAX_OPEN_TASKS_COUNT} tasks')


def encode_state(state: PublicJobState) -> bytes:
    """Return the body of an answer with a job's state."""
    return _STATE_BODIES[state]


def encode_error(text: str) -> bytes:
    """Return the body of a refusal, with a text for people."""
    return json.encode({'Error': text})


def encode_waiting_count(count: int) -> bytes:
    """Return the body of an answer with the number of jobs not yet begun."""
    return b'{"Waiting":%d}' % count


def _to_step_request(step: _Step) -> StepRequest:
    return StepRequest(
        count=step.count,
        cpu_millicores=step.cpu,
        memory_mb=step.mem_mb,
        accelerators_count=step.gpu,
        estimate_ms=step.estimate_ms,
        after=step.after,
        has_checkpoints=step.checkpointing,
        is_gang=step.gang,
        needs_one_rack=step.same_rack,
        required_label=step.requirements or '',
        data_rack=step.data_rack or '',
        per_worker_limit=step.anti_affinity,
        may_duplicate=step.allow_duplicates,
        is_lasting=step.long_running,
        image=step.image or '',
        target_tail_ms=round(step.target_ms),
        fills=step.fills,
        max_unavailable_count=step.may_miss,
    )
