"""Job calls between an entry and the owner of a shard, and their answers.

Calls and answers are JSON. ``answer_job_call`` serves a call at the owner,
whether it comes from a peer or from this entry's HTTP interface.
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
    """Accept a job."""

    spec: JobSpec


class StatusCall(Struct, frozen=True, tag='status'):
    """Report a job, at once or when it is final."""

    job_id: JobId
    wait_s: float = 0


class CancelCall(Struct, frozen=True, tag='cancel'):
    """Cancel jobs of one shard."""

    job_ids: tuple[JobId, ...]


class ListCall(Struct, frozen=True, tag='list'):
    """List the latest jobs of one shard."""

    team: TeamId | None = None
    state: JobState | None = None
    limit: int = 100


JobCallBody: TypeAlias = SubmitCall | StatusCall | CancelCall | ListCall

# A union is no class for the type checker; msgspec decodes into it.
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
    """Return the answer for a failure; a lost answer is "unknown"."""
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
    """Return a typed error with the status of its reason."""
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
        raise NotOwner(message='the shard has no owner here', retry_after_s=1)
    match call:
        case SubmitCall():
            job_id = await shard.submit(call.spec, now_ms)
            return 201, json.encode({'job_id': job_id})
        case StatusCall():
            status = await shard.wait(call.job_id, max(call.wait_s, 0))
            return 200, json.encode(status_fields(status))
        case CancelCall():
            known = await shard.cancel(call.job_ids)
            return 200, json.encode({'cancelled': known})
        case ListCall():
            found = await shard.list_jobs(
                team=call.team,
                state=call.state,
                limit=call.limit,
            )
            jobs = [status_fields(status) for status in found]
            return 200, json.encode({'jobs': jobs})


def status_fields(status: JobStatus) -> dict[str, Any]:
    """Return the JSON fields of a job's status."""
    fields = asdict(status)
    fields['task_counts'] = {
        state.value: count for state, count in status.task_counts.items()
    }
    return fields
