"""Job calls from an entry to the owner of a shard, and their answers.

Calls and answers are JSON. ``answer_job_call`` serves a call at the owner,
whether it comes from a peer or from this entry's own HTTP interface.
"""

from __future__ import annotations

from dataclasses import asdict
from typing import Any, TypeAlias

from msgspec import DecodeError, Struct, json

from marjoramwharf.batch.job import JobSpec, JobState
from marjoramwharf.batch.shard import JobShard, JobStatus
from marjoramwharf.errors import Failure, NotOwner, Reason
from marjoramwharf.http_errors import UNKNOWN_STATUS, ErrorBody, get_http_status
from marjoramwharf.ids import JobId, TeamId
from marjoramwharf.json_bodies import decode_json

Answer: TypeAlias = tuple[int, bytes]


class SubmitCall(Struct, frozen=True, tag='submit'):
    """Submits a job; the answer has the id of the job."""

    spec: JobSpec


class StatusCall(Struct, frozen=True, tag='status'):
    """Asks for the status of a job.

    The answer comes when the job is final, after ``wait_s`` at the latest.
    """

    job_id: JobId
    wait_s: float = 0


class CancelCall(Struct, frozen=True, tag='cancel'):
    """Cancels jobs of one shard; the answer lists those that exist."""

    job_ids: tuple[JobId, ...]


class ListCall(Struct, frozen=True, tag='list'):
    """Asks for the latest jobs of one shard."""

    team: TeamId | None = None
    state: JobState | None = None
    limit: int = 100


JobCallBody: TypeAlias = SubmitCall | StatusCall | CancelCall | ListCall

# The type checker does not accept a union as a class; msgspec decodes into it.
_JOB_CALL: type[JobCallBody] = JobCallBody  # type: ignore[assignment]


async def answer_job_call(
    shard: JobShard | None,
    body: bytes,
    now_ms: int,
) -> Answer:
    """Serve a call and return the HTTP status and the JSON body."""
    try:
        call = decode_json(body, _JOB_CALL)
    except DecodeError as error:
        return error_answer(Reason.BAD_REQUEST, str(error))
    try:
        return await _serve(shard, call, now_ms)
    except Failure as failure:
        return failure_answer(failure)


def failure_answer(failure: Failure) -> Answer:
    """Return the answer for a failure.

    Its outcome is "unknown" after a lost answer of the store.
    """
    return error_answer(
        failure.reason,
        failure.message,
        retry_after_s=failure.retry_after_s,
    )


def error_answer(
    reason: Reason,
    message: str,
    *,
    retry_after_s: float | None = None,
    outcome: str | None = None,
) -> Answer:
    """Return an error body with its reason and the matching HTTP status."""
    is_unknown = reason is Reason.STORE_ANSWER_LOST or outcome == 'unknown'
    body = ErrorBody(
        'unknown' if is_unknown else 'not_run',
        reason.value,
        message,
        retry_after_s,
    )
    status = UNKNOWN_STATUS if is_unknown else get_http_status(reason)
    return status, json.encode(body)


async def _serve(
    shard: JobShard | None,
    call: JobCallBody,
    now_ms: int,
) -> Answer:
    if shard is None:
        raise NotOwner(
            message='this entry does not own the shard of the job',
            retry_after_s=1,
        )
    match call:
        case SubmitCall():
            job_id = await shard.submit(call.spec, now_ms)
            return 201, json.encode({'job_id': job_id})
        case StatusCall():
            status = await shard.wait(call.job_id, max(call.wait_s, 0))
            return 200, json.encode(status_fields(status))
        case CancelCall():
            cancelled = await shard.cancel(call.job_ids)
            return 200, json.encode({'cancelled': cancelled})
        case ListCall():
            found = await shard.list_jobs(
                team=call.team,
                state=call.state,
                limit=call.limit,
            )
            jobs = [status_fields(status) for status in found]
            return 200, json.encode({'jobs': jobs})


def status_fields(status: JobStatus) -> dict[str, Any]:
    """Convert a job's status to the fields of its JSON object."""
    fields = asdict(status)
    fields['task_counts'] = {
        state.value: count for state, count in status.task_counts.items()
    }
    return fields
