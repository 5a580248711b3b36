"""The platform's HTTP API for jobs: paths, statuses and headers."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil

import trio

from marjoramwharf.cells.clocks import wall_ms
from marjoramwharf.cells.intake import Intake
from marjoramwharf.cells.submission_outcome import SubmissionOutcome
from marjoramwharf.errors import (
    BadJob,
    Failure,
    JobChanged,
    StoreUnavailable,
    TooManyTombstones,
)
from marjoramwharf.ids import JobId
from marjoramwharf.links.http_server import HttpRequest, HttpResponse
from marjoramwharf.logs import part_logger
from marjoramwharf.platform import job_bodies
from marjoramwharf.scheduling.policy import Configuration, QueuePolicy

_LOG = part_logger('front')
# Not a time: the ms after the request's arrival that the caller waits.
_DEADLINE_HEADER = 'x-marjoramwharf-deadline-ms'
_JOB_ID = re.compile('[0-9a-f]{16}')
_MS_PER_S = 1_000

# Reserved before a caller's deadline for the answer to reach the caller.
_ANSWER_MARGIN_S = 0.1

_ACCEPTED = HttpResponse(200, b'{}')
_CANCELLED = HttpResponse(200, b'{}')
_NO_QUEUE = HttpResponse(404, b'{"Error":"no such queue"}')
_NO_JOB = HttpResponse(410, b'{"Error":"no such job"}')
_MALFORMED = HttpResponse(400, b'{"Error":"malformed job"}')
_BAD_METHOD = HttpResponse(405, b'{"Error":"method not allowed"}')
_OUTCOME_UNKNOWN = HttpResponse(504, b'{"Error":"outcome unknown"}')
# Also the answer to a cancellation that was certainly not stored.
_STATE_UNAVAILABLE = HttpResponse(503, b'{"Error":"state can not be read"}')
_NOT_READY = HttpResponse(
    503,
    b'{"Error":"no configuration yet"}',
    (('Retry-After', '1'),),
)
_NOT_STORED = HttpResponse(
    503,
    b'{"Error":"not stored and not run"}',
    (('Retry-After', '1'),),
)
_UNSERVABLE = HttpResponse(
    429,
    b'{"Error":"no worker is large enough"}',
    (('Retry-After', '60'),),
)
_SUBMISSION_REPLIES = {
    SubmissionOutcome.ACCEPTED: _ACCEPTED,
    SubmissionOutcome.REFUSED: _NOT_STORED,
    SubmissionOutcome.UNKNOWN: _OUTCOME_UNKNOWN,
    SubmissionOutcome.UNSERVABLE: _UNSERVABLE,
}


@dataclass(frozen=True, slots=True)
class JobApi:
    """Answers the HTTP requests of callers through the intake of a cell."""

    intake: Intake
    configuration: Callable[[], Configuration | None]

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request and record how long that took."""
        reply = await self._route(request)
        answer_time_s = trio.current_time() - request.arrived_s
        self.intake.counters.answer_samples_s.append(answer_time_s)
        return reply

    async def _route(self, request: HttpRequest) -> HttpResponse:
        configuration = self.configuration()
        if configuration is None:
            return _NOT_READY
        host = request.headers.get('host', '').partition(':')[0]
        path = request.target.partition('?')[0]
        queue = configuration.queue_at(host, path)
        if queue is None:
            return _NO_QUEUE
        job_path = path.removeprefix(queue.prefix)
        if not job_path:
            return await self._answer_waiting_count(request, queue)
        if _JOB_ID.fullmatch(job_path) is None:
            return _NO_QUEUE
        return await self._route_job(request, queue, JobId(job_path))

    async def _route_job(
        self,
        request: HttpRequest,
        queue: QueuePolicy,
        job_id: JobId,
    ) -> HttpResponse:
        deadline_s = _deadline_s(request, queue)
        try:
            if request.method == 'POST':
                return await self._submit(request, queue, job_id, deadline_s)
            if request.method == 'GET':
                return await self._answer_status(job_id)
            if request.method == 'DELETE':
                return await self._cancel(job_id, deadline_s)
        except Failure as failure:
            return _answer_failure(request, job_id, failure)
        return _BAD_METHOD

    async def _submit(
        self,
        request: HttpRequest,
        queue: QueuePolicy,
        job_id: JobId,
        deadline_s: float,
    ) -> HttpResponse:
        job = job_bodies.decode_job(
            request.body,
            job_id=job_id,
            queue=queue,
            now_ms=wall_ms(),
        )
        outcome = await self.intake.submit(job, deadline_s=deadline_s)
        if outcome is SubmissionOutcome.CANCELLED:
            return _too_many(
                'cancelled before it was accepted, and not run',
                retry_after_s=self.intake.tombstone_limit.kept_s,
            )
        return _SUBMISSION_REPLIES[outcome]

    async def _answer_status(self, job_id: JobId) -> HttpResponse:
        state = await self.intake.status(job_id)
        if state is None:
            return _NO_JOB
        return HttpResponse(200, job_bodies.encode_state(state))

    async def _cancel(self, job_id: JobId, deadline_s: float) -> HttpResponse:
        is_known = await self.intake.cancel(job_id, deadline_s=deadline_s)
        return _CANCELLED if is_known else _NO_JOB

    async def _answer_waiting_count(
        self,
        request: HttpRequest,
        queue: QueuePolicy,
    ) -> HttpResponse:
        if request.method != 'GET':
            return _BAD_METHOD
        try:
            count = await self.intake.waiting_count(queue.name)
        except Failure as failure:
            _LOG.info(
                'waiting count unavailable',
                queue=queue.name,
                error=str(failure),
            )
            return _STATE_UNAVAILABLE
        return HttpResponse(200, job_bodies.encode_waiting_count(count))


def _too_many(error: str, *, retry_after_s: float) -> HttpResponse:
    """Return a refusal that tells when another attempt may succeed."""
    return HttpResponse(
        429,
        job_bodies.encode_error(error),
        (('Retry-After', str(ceil(retry_after_s))),),
    )


def _answer_failure(
    request: HttpRequest, job_id: JobId, failure: Failure
) -> HttpResponse:
    """Return the answer that says what is certain after a failure."""
    _LOG.info(
        'request for a job failed',
        job=job_id,
        method=request.method,
        error=str(failure),
    )
    if isinstance(failure, BadJob):
        return _MALFORMED
    if isinstance(failure, TooManyTombstones):
        return _too_many(
            failure.message, retry_after_s=failure.retry_after_s or 0
        )
    if isinstance(failure, (StoreUnavailable, JobChanged)):
        return _STATE_UNAVAILABLE
    return _OUTCOME_UNKNOWN


def _deadline_s(request: HttpRequest, queue: QueuePolicy) -> float:
    """Return the latest trio time at which the answer may be sent."""
    allowed_ms = float(queue.timeout_ms)
    caller_allows_ms = request.headers.get(_DEADLINE_HEADER, '')
    if caller_allows_ms.isdecimal():
        allowed_ms = min(allowed_ms, float(caller_allows_ms))
    return request.arrived_s + max(0, allowed_ms / _MS_PER_S - _ANSWER_MARGIN_S)


async def answer_readiness(
    is_ready: Callable[[], bool],
    _request: HttpRequest,
) -> HttpResponse:
    """Answer the platform's readiness check: 200 if ready, else 503."""
    await trio.lowlevel.checkpoint()
    return HttpResponse(200 if is_ready() else 503, b'{}')
