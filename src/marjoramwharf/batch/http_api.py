"""HTTP API of batch jobs.

Each call is routed to the owner of the job's shard. A job id contains its
shard. Listing jobs and cancelling many jobs call several shards.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Annotated, Any, Literal, TypeAlias

import trio
from msgspec import DecodeError, Meta, Struct, ValidationError, convert, json
from quart import Blueprint, Response, request
from werkzeug.exceptions import RequestEntityTooLarge

from marjoramwharf.batch import job_calls as calls
from marjoramwharf.batch.job import (
    JobPriority,
    JobSpec,
    JobState,
    TaskSpec,
    parse_shard_id,
    shard_of,
)
from marjoramwharf.errors import Failure, PeerUnreachable, Reason
from marjoramwharf.http_bodies import read_body
from marjoramwharf.http_errors import encoded_response
from marjoramwharf.ids import JobId, ShardId, TeamId, random_id
from marjoramwharf.json_bodies import decode_json

Route: TypeAlias = Callable[[ShardId, str, bytes], Awaitable[calls.Answer]]

_MAX_WAIT_S = 60.0
_MAX_LIST_COUNT = 1_000


class JobRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/jobs``; headers carry the team and the key."""

    tasks: Annotated[
        tuple[TaskSpec, ...],
        Meta(min_length=1, max_length=5_000),
    ]
    exclusive_key: str | None = None
    priority: Literal['low', 'normal', 'high', 'urgent'] = 'normal'
    max_failures_count: int = 3


class CancelRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/jobs/cancel``."""

    job_ids: Annotated[tuple[JobId, ...], Meta(max_length=20_000)]


class ListQuery(Struct, frozen=True):
    """Query parameters of ``GET /v1/jobs``."""

    team: TeamId | None = None
    state: JobState | None = None
    limit: Annotated[int, Meta(ge=1, le=_MAX_LIST_COUNT)] = 100


class StatusQuery(Struct, frozen=True):
    """Query parameters of ``GET /v1/jobs/<id>``."""

    wait_s: Annotated[float, Meta(ge=0, le=_MAX_WAIT_S)] = 0


@dataclass(frozen=True, slots=True)
class JobsApi:
    """Handlers of the job endpoints; ``route`` calls a shard's owner."""

    route: Route
    shard_count: int
    max_body_bytes: int

    async def submit(self) -> Response:
        """Submit a job and answer with its id once it is durable."""
        body = await _read_limited(self.max_body_bytes)
        parsed = decode_json(body, JobRequest)
        fields = {
            'team': request.headers.get('X-Team', ''),
            'idempotency_key': request.headers.get(
                'Idempotency-Key',
                random_id(),
            ),
            'tasks': parsed.tasks,
            'exclusive_key': parsed.exclusive_key,
            'priority': JobPriority[parsed.priority.upper()],
            'max_failures_count': parsed.max_failures_count,
        }
        spec = convert(fields, JobSpec)
        shard = shard_of(spec, self.shard_count)
        return _response(await self._call_owner(shard, calls.SubmitCall(spec)))

    async def status(self, job_id: str) -> Response:
        """Return the status of a job; wait up to ``wait_s`` for a final one."""
        query = convert(request.args.to_dict(), StatusQuery, strict=False)
        shard = self._shard_of_id(job_id)
        if shard is None:
            return _error(Reason.UNKNOWN_JOB, f'no job {job_id}')
        call = calls.StatusCall(JobId(job_id), query.wait_s)
        return _response(await self._call_owner(shard, call))

    async def cancel(self, job_id: str) -> Response:
        """Cancel one job, or answer that there is no job with the id."""
        shard = self._shard_of_id(job_id)
        if shard is None:
            return _error(Reason.UNKNOWN_JOB, f'no job {job_id}')
        call = calls.CancelCall((JobId(job_id),))
        http_status, body = await self._call_owner(shard, call)
        if http_status == 200 and not json.decode(body)['cancelled']:
            return _error(Reason.UNKNOWN_JOB, f'no job {job_id}')
        return _response((http_status, body))

    async def cancel_many(self) -> Response:
        """Cancel many jobs, with one call per shard; ignore malformed ids."""
        body = await _read_limited(self.max_body_bytes)
        parsed = decode_json(body, CancelRequest)
        by_shard: defaultdict[ShardId, list[JobId]] = defaultdict(list)
        for job_id in parsed.job_ids:
            shard = self._shard_of_id(job_id)
            if shard is not None:
                by_shard[shard].append(job_id)
        return await self._gather_from_shards(
            {
                shard: calls.CancelCall(tuple(job_ids))
                for shard, job_ids in by_shard.items()
            },
            'cancelled',
        )

    async def list_jobs(self) -> Response:
        """List the latest jobs of all shards."""
        query = convert(request.args.to_dict(), ListQuery, strict=False)
        call = calls.ListCall(query.team, query.state, query.limit)
        shards = map(ShardId, range(self.shard_count))
        return await self._gather_from_shards(
            dict.fromkeys(shards, call),
            'jobs',
            limit=query.limit,
        )

    def _shard_of_id(self, job_id: str) -> ShardId | None:
        shard = parse_shard_id(job_id)
        if shard is None or shard >= self.shard_count:
            return None
        return shard

    async def _call_owner(
        self,
        shard: ShardId,
        call: calls.JobCallBody,
    ) -> calls.Answer:
        method = type(call).__struct_config__.tag
        try:
            return await self.route(shard, str(method), json.encode(call))
        except PeerUnreachable as lost:
            # The owner may have served the call, so the outcome of a call that
            # changes jobs is unknown.
            return calls.error_answer(
                lost.reason,
                lost.message,
                retry_after_s=lost.retry_after_s,
                outcome=_outcome_of_lost_call(call),
            )
        except Failure as failure:
            return calls.failure_answer(failure)

    async def _gather_from_shards(
        self,
        calls_by_shard: dict[ShardId, Any],
        field: str,
        *,
        limit: int | None = None,
    ) -> Response:
        """Merge the answers of shards; put failures under ``failed_shards``."""
        found: list[Any] = []
        failed: dict[str, Any] = {}
        async with trio.open_nursery() as nursery:
            for shard, call in calls_by_shard.items():
                nursery.start_soon(
                    self._collect_answer,
                    shard,
                    call,
                    field,
                    found,
                    failed,
                )
        if field == 'jobs':
            found.sort(key=_submitted_at, reverse=True)
        merged = {field: found[:limit], 'failed_shards': failed}
        return _response((200, json.encode(merged)))

    async def _collect_answer(
        self,
        shard: ShardId,
        call: calls.JobCallBody,
        field: str,
        found: list[Any],
        failed: dict[str, Any],
    ) -> None:
        http_status, body = await self._call_owner(shard, call)
        answer = json.decode(body)
        if http_status == 200:
            found.extend(answer[field])
        else:
            failed[str(shard)] = answer


def jobs_blueprint(
    route: Route,
    *,
    shard_count: int,
    max_body_bytes: int,
) -> Blueprint:
    """Return a blueprint with the job endpoints.

    ``route(shard, method, body)`` sends a call to the shard's owner, which
    serves it with ``answer_job_call``.
    """
    api = JobsApi(route, shard_count, max_body_bytes)
    blueprint = Blueprint('jobs', __name__, url_prefix='/v1/jobs')
    blueprint.add_url_rule('', 'submit', api.submit, methods=['POST'])
    blueprint.add_url_rule('', 'list', api.list_jobs)
    blueprint.add_url_rule(
        '/cancel',
        'cancel_many',
        api.cancel_many,
        methods=['POST'],
    )
    blueprint.add_url_rule('/<job_id>', 'status', api.status)
    blueprint.add_url_rule(
        '/<job_id>/cancel',
        'cancel',
        api.cancel,
        methods=['POST'],
    )
    blueprint.register_error_handler(DecodeError, _bad_request)
    blueprint.register_error_handler(ValidationError, _bad_request)
    blueprint.register_error_handler(RequestEntityTooLarge, _too_large)
    return blueprint


async def _read_limited(max_bytes: int) -> bytes:
    body = await read_body(max_bytes)
    if body is None:
        raise RequestEntityTooLarge
    return body


def _outcome_of_lost_call(call: calls.JobCallBody) -> str:
    if isinstance(call, (calls.SubmitCall, calls.CancelCall)):
        return 'unknown'
    return 'not_run'


def _submitted_at(job: dict[str, Any]) -> int:
    return int(job['submitted_at_ms'])


async def _bad_request(error: Exception) -> Response:
    return _error(Reason.BAD_REQUEST, str(error))


async def _too_large(_error_raised: Exception) -> Response:
    return _error(Reason.BODY_TOO_LARGE, 'the body is above the limit')


def _error(reason: Reason, message: str) -> Response:
    return _response(calls.error_answer(reason, message))


def _response(answer: calls.Answer) -> Response:
    http_status, body = answer
    retry_after_s: float | None = None
    if http_status in {202, 429, 503}:
        retry_after_s = json.decode(body).get('retry_after_s')
    return encoded_response(http_status, body, retry_after_s=retry_after_s)
