"""Reads requests and builds replies of the stand-in for a worker's agent."""

from __future__ import annotations

import hashlib
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec
from quart import Response, request

from marjoramwharf.ids import CallId, TaskId
from marjoramwharf.machines.agent_messages import RefusalReply
from marjoramwharf.machines.calls import (
    CallAnswer,
    Demand,
    TaskPhase,
    TaskReport,
    WorkerRefusal,
)

_NO_DEMAND = Demand(cpu_millicores=0, memory_mb=0)


def call_response(answer: CallAnswer) -> Response:
    """Return a call's answer with its id and the digest of its body."""
    response = Response(
        answer.body,
        status=answer.status,
        content_type=answer.content_type,
    )
    response.headers['X-Call-Id'] = answer.call_id
    digest = hashlib.sha256(answer.body).hexdigest()
    response.headers['X-Body-Sha256'] = digest
    return response


def refusal_answer(call_id: CallId, refusal: WorkerRefusal) -> CallAnswer:
    """Return the answer which proves that a call did not run."""
    body = msgspec.json.encode(RefusalReply(refusal))
    return CallAnswer(call_id, 409, 'application/json', body)


def as_json(body: object, *, status: int = 200) -> Response:
    """Return a message as JSON."""
    return Response(
        msgspec.json.encode(body),
        status=status,
        content_type='application/json',
    )


def unknown_task_report(task_id: str, fence: tuple[int, int]) -> TaskReport:
    """Return the report of an attempt that never ran."""
    return TaskReport(
        TaskId(task_id),
        fence,
        TaskPhase.UNKNOWN,
        0,
        _NO_DEMAND,
    )


async def read_request_body() -> bytes:
    """Return the body of the request that is being handled."""
    return b''.join([chunk async for chunk in request.body])


async def truncated_body(
    part: bytes,
    abort: Callable[[], Awaitable[None]],
) -> AsyncIterator[bytes]:
    """Send part of a body, then abort the connection."""
    yield part
    await abort()
