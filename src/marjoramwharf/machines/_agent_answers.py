"""Reading of the answers and replies of a worker's agent.

The answer of a run is the service's own body. It is accepted only if the call
id, the length and the digest in its headers match.
"""

from __future__ import annotations

import hashlib
from dataclasses import replace
from typing import TypeVar

import httpx
import msgspec

from marjoramwharf.errors import Reason, WorkerUnreachable
from marjoramwharf.http_bodies import is_header_safe
from marjoramwharf.ids import CallId, Incarnation
from marjoramwharf.json_bodies import decode_json
from marjoramwharf.machines.agent_messages import (
    INCARNATION_HEADER,
    RefusalReply,
)
from marjoramwharf.machines.calls import (
    CallAnswer,
    CallInDoubt,
    CallOutcome,
    CallRefused,
    WorkerRefusal,
)

_REFUSED_STATUS = 409
_VALID_STATUSES = range(200, 600)
_DEFAULT_CONTENT_TYPE = 'application/octet-stream'
_MAX_ANSWER_BYTES = 16_777_216
_LENGTH_DIGITS = len(str(_MAX_ANSWER_BYTES))

_Reply = TypeVar('_Reply')


async def read_answer(
    call_id: CallId,
    response: httpx.Response,
) -> CallOutcome:
    """Read the answer of a run; an invalid one leaves the call in doubt."""
    if response.headers.get('X-Call-Id') != call_id:
        return CallInDoubt(call_id, Reason.ANSWER_CROSSED)
    # A truncated or otherwise invalid answer is reported as ``ANSWER_CUT``.
    length = response.headers.get('Content-Length', '')
    if not length.isdecimal() or not length.isascii():
        return CallInDoubt(call_id, Reason.ANSWER_CUT)
    if len(length) > _LENGTH_DIGITS or int(length) > _MAX_ANSWER_BYTES:
        return CallInDoubt(call_id, Reason.BODY_TOO_LARGE)
    # Read raw: a small compressed body could exceed the limit when decoded.
    body = await read_limited(response, int(length))
    digest = hashlib.sha256(body).hexdigest()
    expected = (int(length), response.headers.get('X-Body-Sha256'))
    if (len(body), digest) != expected:
        return CallInDoubt(call_id, Reason.ANSWER_CUT)
    refusal = parse_refusal(response.status_code, body)
    if refusal is not None:
        return CallRefused(call_id, refusal)
    return sanitize_answer(
        CallAnswer(
            call_id,
            response.status_code,
            response.headers.get('Content-Type', ''),
            body,
        ),
    )


async def read_limited(response: httpx.Response, limit_bytes: int) -> bytes:
    """Read a body, up to and with the first chunk that exceeds the limit.

    The result is then too long; the caller checks this.
    """
    body = bytearray()
    async for chunk in response.aiter_raw():
        body.extend(chunk)
        if len(body) > limit_bytes:
            break
    return bytes(body)


def sanitize_answer(answer: CallAnswer) -> CallOutcome:
    """Return an answer that can be forwarded to a caller.

    With an invalid status the call is in doubt, as after a truncated answer.
    An invalid content type is replaced by the default.
    """
    if answer.status not in _VALID_STATUSES:
        return CallInDoubt(answer.call_id, Reason.ANSWER_CUT)
    if answer.content_type and is_header_safe(answer.content_type):
        return answer
    return replace(answer, content_type=_DEFAULT_CONTENT_TYPE)


def read_incarnation(response: httpx.Response) -> Incarnation | None:
    """Return the incarnation that answered, ``None`` if it isn't named."""
    incarnation = response.headers.get(INCARNATION_HEADER, '')
    if not incarnation or not is_header_safe(incarnation):
        return None
    return Incarnation(incarnation)


def parse_refusal(status: int, body: bytes) -> WorkerRefusal | None:
    """Parse a refusal; ``None`` if the service itself sent the response."""
    if status != _REFUSED_STATUS:
        return None
    try:
        return decode_json(body, RefusalReply).refused
    except msgspec.MsgspecError:
        return None


def decode_reply(reply: httpx.Response, model: type[_Reply]) -> _Reply:
    """Decode a successful reply; raises ``WorkerUnreachable`` otherwise."""
    try:
        return decode_json(reply.raise_for_status().content, model)
    except (httpx.HTTPError, msgspec.MsgspecError) as failure:
        raise WorkerUnreachable(
            message=f'invalid reply of the worker: {failure}'
        ) from failure
