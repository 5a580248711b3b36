"""The callers' interface of the platform: paths, statuses and headers."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

import trio

from marjoramwharf.cells.clocks import wall_ms
from marjoramwharf.cells.intake import Intake
from marjoramwharf.cells.intake_outcomes import Submission
from marjoramwharf.errors import BadJob, Failure
from marjoramwharf.ids import JobId
from marjoramwharf.links.http_server import HttpReply, HttpRequest
from marjoramwharf.logs import part_logger
from marjoramwharf.platform import job_bodies
from marjoramwharf.scheduling.policy import Configuration, QueuePolicy

_LOG = part_logger('front')
_DEADLINE_HEADER = 'x-marjoramwharf-deadline-ms'
_JOB_ID = re.compile('[0-9a-f]{16}')
_MS_PER_S = 1_000

# Time of a caller's deadline that is kept for the way back.
_RETURN_S = 0.1

_ACCEPTED = HttpReply(200, b'{}')
_CANCELLED = HttpReply(200, b'{}')
_NO_QUEUE = HttpReply(404, b'{"Error":"no such queue"}')
_NO_JOB = HttpReply(410, b'{"Error":"no such job"}')
_BAD_METHOD = HttpReply(405, b'{"Error":"method not allowed"}')
_UNKNOWN = HttpReply(504, b'{"Error":"outcome unknown"}')
_UNREAD = HttpReply(503, b'{"Error":"state can not be read"}')
_NOT_READY = HttpReply(
    503,
    b'{"Error":"no configuration yet"}',
    (('Retry-After', '1'),),
)
_NOT_STORED = HttpReply(
    503,
    b'{"Error":"not stored and not run"}',
    (('Retry-After', '1'),),
)
_UNSERVABLE = HttpReply(
    429,
    b'{"Error":"no worker is large enough"}',
    (('Retry-After', '60'),),
)
_SUBMITTED = {
    Submission.ACCEPTED: _ACCEPTED,
    Submission.REFUSED: _NOT_STORED,
    Submission.UNKNOWN: _UNKNOWN,
    Submission.UNSERVABLE: _UNSERVABLE,
}


@dataclass(frozen=True, slots=True)
class JobApi:
    """Translates HTTP requests of callers to the intake of a cell."""

    intake: Intake
    configuration: Callable[[], Configuration | None]

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one request."""
        reply = await self._answer(request)
        took_s = trio.current_time() - request.arrived_s
        self.intake.counters.answer_samples_s.append(took_s)
        return reply

    async def _answer(self, request: HttpRequest) -> HttpReply:
        configuration = self.configuration()
        if configuration is None:
            return _NOT_READY
        host = request.headers.get('host', '').partition(':')[0]
        path = request.target.partition('?')[0]
        queue = configuration.queue_at(host, path)
        if queue is None:
            return _NO_QUEUE
        rest = path.removeprefix(queue.prefix)
        if not rest:
            return await self._count(request, queue)
        if _JOB_ID.fullmatch(rest) is None:
            return _NO_QUEUE
        return await self._serve_job(request, queue, JobId(rest))

    async def _serve_job(
        self,
        request: HttpRequest,
        queue: QueuePolicy,
        job_id: JobId,
    ) -> HttpReply:
        deadline_s = _deadline_s(request, queue)
        try:
            if request.method == 'POST':
                return await self._submit(request, queue, job_id, deadline_s)
            if request.method == 'GET':
                return await self._status(job_id)
            if request.method == 'DELETE':
                return await self._cancel(job_id, deadline_s)
        except BadJob as bad:
            _LOG.info('job malformed', job=job_id, error=str(bad))
            return HttpReply(400, b'{"Error":"malformed job"}')
        except Failure as failure:
            _LOG.info(
                'request not served',
                job=job_id,
                method=request.method,
                error=str(failure),
            )
            return _UNREAD
        return _BAD_METHOD

    async def _submit(
        self,
        request: HttpRequest,
        queue: QueuePolicy,
        job_id: JobId,
        deadline_s: float,
    ) -> HttpReply:
        job = job_bodies.decode_job(
            request.body,
            job_id=job_id,
            queue=queue,
            now_ms=wall_ms(),
        )
        outcome = await self.intake.submit(job, deadline_s=deadline_s)
        return _SUBMITTED[outcome]

    async def _status(self, job_id: JobId) -> HttpReply:
        state = await self.intake.status(job_id)
        if state is None:
            return _NO_JOB
        return HttpReply(200, job_bodies.encode_state(state))

    async def _cancel(self, job_id: JobId, deadline_s: float) -> HttpReply:
        known = await self.intake.cancel(job_id, deadline_s=deadline_s)
        return _CANCELLED if known else _NO_JOB

    async def _count(
        self,
        request: HttpRequest,
        queue: QueuePolicy,
    ) -> HttpReply:
        if request.method != 'GET':
            return _BAD_METHOD
        try:
            count = await self.intake.waiting_count(queue.name)
        except Failure as failure:
            _LOG.info('count not read', queue=queue.name, error=str(failure))
            return _UNREAD
        return HttpReply(200, job_bodies.encode_waiting_count(count))


def _deadline_s(request: HttpRequest, queue: QueuePolicy) -> float:
    """Return the time by which the caller needs an answer."""
    allowed_ms = float(queue.timeout_ms)
    stated = request.headers.get(_DEADLINE_HEADER, '')
    if stated.isdecimal():
        allowed_ms = min(allowed_ms, float(stated))
    return request.arrived_s + max(0, allowed_ms / _MS_PER_S - _RETURN_S)


async def answer_readiness(
    is_ready: Callable[[], bool],
    _request: HttpRequest,
) -> HttpReply:
    """Answer the platform's question whether this entry takes callers."""
    await trio.lowlevel.checkpoint()
    return HttpReply(200 if is_ready() else 503, b'{}')
