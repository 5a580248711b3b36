"""Keys and values under which a cell's state is stored.

A job's request is written once, by the entry that accepts it. Its progress is
written only by the owner of the cell, before the owner acts on it.

    >>> progress_key(CellId(0), JobId('5c0e7a21d94b36f8'))
    'mw/0/run/5c0e7a21d94b36f8'
"""

from __future__ import annotations

from typing import NewType, TypeVar

from msgspec import DecodeError, Struct, msgpack

from marjoramwharf.errors import JournalDamaged
from marjoramwharf.ids import Incarnation, JobId, WorkerId
from marjoramwharf.json_bodies import Port, Ratio
from marjoramwharf.scheduling.interference import KnownWeight
from marjoramwharf.scheduling.job_state import (
    Job,
    JobPhase,
    Run,
    RunPhase,
    Task,
)
from marjoramwharf.scheduling.workload import JobRequest

CellId = NewType('CellId', int)

OWNERS_PREFIX = 'mw/own/'
ENTRIES_PREFIX = 'mw/entry/'

_LAPSING_SUFFIX = '/lapsing'
_GIVING_WAY_SUFFIX = '/giving-way'
_FASTEST_SUFFIX = '/fastest'

_INCARNATION_LENGTH = 8

_Model = TypeVar('_Model')  # any record, not an interference model


class EntryRecord(Struct, frozen=True, array_like=True):
    """An entry, such as the owner of a cell, and its address for messages.

    The ``nonce`` of an owner's record identifies the write that stored it.
    ``cpu_share`` is the speed of the entry in cores.
    """

    entry_id: str
    host: str
    port: Port
    secret: str
    nonce: str = ''
    cpu_share: Ratio = 1

    @property
    def incarnation(self) -> Incarnation:
        """The process of the entry, as it names itself to peers."""
        return incarnation_of(self.secret)


class FastestRecord(Struct, frozen=True, array_like=True):
    """The speed in cores of the fastest entry that an owner has known."""

    cpu_share: Ratio


class RunRecord(Struct, frozen=True, array_like=True):
    """A run that has not ended; ``born_ms`` is its worker's incarnation."""

    number: int
    worker_id: str
    born_ms: int
    has_started: bool = False


class TaskRecord(Struct, frozen=True, array_like=True):
    """State of a task for which at least one run has been planned.

    An older build leaves ``last_failed_run`` out.
    """

    occurrence: int
    step: int
    index: int
    is_done: bool = False
    last_run: int = 0
    failures_count: int = 0
    checkpoint: str = ''
    runs: tuple[RunRecord, ...] = ()
    last_failed_run: int = 0


class ModelRecord(Struct, frozen=True, array_like=True):
    """Weights of the interference between images that the owner learned."""

    weights: tuple[KnownWeight, ...] = ()


class LapsingMark(Struct, frozen=True, array_like=True):
    """A worker at which the leases of runs are left to lapse.

    ``fence`` and ``number`` tell which owner set the mark, and which of its
    marks it is, so that no other mark is equal.
    """

    worker_id: str
    fence: int
    number: int


class LapsingRecord(Struct, frozen=True, array_like=True):
    """All such workers of a cell, as the owner with this fence vouches for."""

    fence: int
    marks: tuple[LapsingMark, ...] = ()


class ProgressRecord(Struct, frozen=True, array_like=True):
    """Progress of a job: its phase, open occurrences and tasks with runs."""

    phase: JobPhase
    has_begun: bool = False
    next_occurrence: int = 0
    open_occurrences: tuple[int, ...] = ()
    tasks: tuple[TaskRecord, ...] = ()


def incarnation_of(secret: str) -> Incarnation:
    """Return the name of the process that made a secret for itself.

    >>> incarnation_of('5c0e7a21d94b36f8')
    '5c0e7a21'
    """
    return Incarnation(secret[:_INCARNATION_LENGTH])


def owner_key(cell: CellId) -> str:
    """Key of the leased record that names the owner of a cell."""
    return f'{OWNERS_PREFIX}{cell}'


def parse_owner_key(key: str) -> CellId:
    """Return the cell of an owner's key; raises ``JournalDamaged``.

    >>> parse_owner_key('mw/own/3')
    3
    """
    number = key.removeprefix(OWNERS_PREFIX)
    if not (number.isascii() and number.isdecimal()):
        raise JournalDamaged(message=f'{key}: no number of a cell')
    return CellId(int(number))


def lapsing_key(cell: CellId) -> str:
    """Key of the record of the workers at which leases are left to lapse.

    It is next to the owner's key, which every entry watches.
    """
    return f'{owner_key(cell)}{_LAPSING_SUFFIX}'


def is_lapsing_key(key: str) -> bool:
    """Whether a key next to the owners' keys is one of ``lapsing_key``.

    >>> is_lapsing_key(lapsing_key(CellId(3)))
    True
    """
    return key.endswith(_LAPSING_SUFFIX)


def parse_owner_related_key(key: str) -> CellId:
    """Return the cell of a key next to an owner's; raises ``JournalDamaged``.

    >>> parse_owner_related_key(lapsing_key(CellId(3)))
    3
    """
    return parse_owner_key(key.rpartition('/')[0])


def giving_way_key(cell: CellId) -> str:
    """Key that an owner writes before it gives the cell up to others."""
    return f'{owner_key(cell)}{_GIVING_WAY_SUFFIX}'


def is_giving_way_key(key: str) -> bool:
    """Whether a key next to the owners' keys is one of ``giving_way_key``."""
    return key.endswith(_GIVING_WAY_SUFFIX)


def fastest_key(cell: CellId) -> str:
    """Key of the record of the fastest entry's speed."""
    return f'{owner_key(cell)}{_FASTEST_SUFFIX}'


def is_fastest_key(key: str) -> bool:
    """Whether a key next to the owners' keys is one of ``fastest_key``."""
    return key.endswith(_FASTEST_SUFFIX)


def entry_key(slot: int) -> str:
    """Key of the leased record of an entry."""
    return f'{ENTRIES_PREFIX}{slot}'


def inbox_prefix(cell: CellId) -> str:
    """Prefix of the requests and cancellations for the owner of a cell."""
    return f'mw/{cell}/in/'


def request_key(cell: CellId, job_id: JobId) -> str:
    """Key of a job's request."""
    return f'{inbox_prefix(cell)}job/{job_id}'


def cancel_key(cell: CellId, job_id: JobId) -> str:
    """Key that exists once a job has been cancelled."""
    return f'{inbox_prefix(cell)}cancel/{job_id}'


def model_key(cell: CellId) -> str:
    """Key of the interference model that the owner saves."""
    return f'mw/{cell}/model'


def roster_prefix(cell: CellId) -> str:
    """Prefix of the records of the workers that the owner knows."""
    return f'mw/{cell}/worker/'


def roster_key(cell: CellId, part: int) -> str:
    """Key of one part of the known workers."""
    return f'{roster_prefix(cell)}{part}'


def list_position_key(cell: CellId) -> str:
    """Key that tells how far the owner has followed the list of workers."""
    return f'{roster_prefix(cell)}position'


def progress_prefix(cell: CellId) -> str:
    """Prefix of the progress of all jobs of a cell."""
    return f'mw/{cell}/run/'


def progress_key(cell: CellId, job_id: JobId) -> str:
    """Key of a job's progress."""
    return f'{progress_prefix(cell)}{job_id}'


def encode(record: Struct) -> bytes:
    """Serialize a record for the store."""
    return msgpack.encode(record)


def decode(raw: bytes, record_type: type[_Model], *, key: str) -> _Model:
    """Deserialize a value from the store or from another entry.

    Raises ``JournalDamaged`` with ``key``, its origin, if it can't be decoded.
    """
    try:
        return msgpack.decode(raw, type=record_type)
    except (DecodeError, RecursionError, UnicodeError) as failure:
        raise JournalDamaged(message=f'{key}: {failure}') from failure


def build_progress_record(job: Job) -> ProgressRecord:
    """Return the progress record to store for a job."""
    return ProgressRecord(
        phase=job.phase,
        has_begun=job.has_begun,
        next_occurrence=job.next_occurrence,
        open_occurrences=(*job.occurrences, *job.unopened),
        tasks=tuple(
            _build_task_record(task) for task in job.tasks() if task.last_run
        ),
    )


def restore_job(
    request: JobRequest,
    progress: ProgressRecord | None,
    *,
    revision: int,
    now_s: float,
) -> Job:
    """Restore a job from its request and its progress record, if any.

    The runs are ``UNCERTAIN`` until their workers report on them.
    """
    job = Job(request, known_since_s=now_s, finished_s=now_s)
    if progress is None:
        if not request.repeat_count:
            job.create_occurrence(0)
        return job
    job.phase = progress.phase
    job.stored_phase = progress.phase
    job.has_begun = progress.has_begun
    job.stored_revision = revision
    job.next_occurrence = progress.next_occurrence
    _restore_occurrences(job, progress)
    for record in progress.tasks:
        task = job.find(record.occurrence, record.step, record.index)
        if task is not None:
            _restore_task(task, record, now_s)
    return job


def _restore_occurrences(job: Job, progress: ProgressRecord) -> None:
    """Open the occurrences that have begun, and leave the others unopened.

    A former owner may have had many of them open. Those at the end count as
    not opened by it, so that they need no place in the record.
    """
    has_begun = {record.occurrence for record in progress.tasks}
    for number in sorted(progress.open_occurrences):
        if number in has_begun or not job.request.repeat_count:
            job.create_occurrence(number)
        else:
            job.unopened.append(number)
    while job.unopened and job.unopened[-1] == job.next_occurrence - 1:
        job.next_occurrence = job.unopened.pop()


def _build_task_record(task: Task) -> TaskRecord:
    step = task.step
    return TaskRecord(
        occurrence=step.occurrence.number,
        step=step.number,
        index=task.index,
        is_done=task.is_done,
        last_run=task.last_run,
        failures_count=task.failures_count,
        checkpoint=task.checkpoint,
        runs=tuple(
            RunRecord(
                run.number,
                run.worker_id,
                run.born_ms,
                run.started_s is not None,
            )
            for run in task.runs.values()
        ),
        last_failed_run=task.last_failed_run,
    )


def _restore_task(task: Task, record: TaskRecord, now_s: float) -> None:
    task.is_done = record.is_done
    task.step.done_count += record.is_done
    task.last_run = record.last_run
    task.failures_count = record.failures_count
    task.last_failed_run = record.last_failed_run
    task.checkpoint = record.checkpoint
    # A planned run may have begun without the former owner's knowledge.
    task.has_begun = bool(record.last_run)
    # What was before this owner is not in its times.
    task.ready_since_s = now_s
    task.away_since_s = now_s
    task.step.ready_since_s = now_s
    for run_record in record.runs:
        task.add_run(
            Run(
                task=task,
                number=run_record.number,
                worker_id=WorkerId(run_record.worker_id),
                born_ms=run_record.born_ms,
                phase=RunPhase.UNCERTAIN,
                planned_s=now_s,
                progressed_s=now_s,
                checkpoint=record.checkpoint,
            )
        )
