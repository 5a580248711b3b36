"""Maps failures to HTTP statuses and to one machine-readable error body.

The body has ``outcome``, ``reason``, ``message`` and ``retry_after_s``.
``outcome`` is ``not_run``, which proves that nothing ran, or ``unknown``.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec
from quart import Response

from marjoramwharf.errors import Reason

_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_JOB: 404,
    Reason.UNKNOWN_KEY: 404,
    Reason.KEY_REUSED: 409,
    Reason.NOTE_CONFLICT: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.TEAM_LIMIT: 429,
    Reason.QUEUE_FULL: 429,
    Reason.DEADLINE: 504,
    Reason.BAD_SETTINGS: 400,
}
_UNAVAILABLE = 503
# For an unknown outcome: the call may still run; the caller asks later.
UNKNOWN_STATUS = 202


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of every error response that no service produced itself."""

    outcome: str
    reason: str
    message: str
    retry_after_s: float | None = None


def get_http_status(reason: Reason) -> int:
    """Return the HTTP status for a request that did not run."""
    return _STATUS_BY_REASON.get(reason, _UNAVAILABLE)


def error_response(
    status: int,
    reason: Reason,
    message: str,
    *,
    outcome: str = 'not_run',
    retry_after_s: float | None = None,
    details: dict[str, Any] | None = None,
) -> Response:
    """Return an error response; ``details`` are merged into its body."""
    body = ErrorBody(outcome, reason.value, message, retry_after_s)
    if details:
        extended = {**msgspec.structs.asdict(body), **details}
        return json_response(status, extended, retry_after_s=retry_after_s)
    return json_response(status, body, retry_after_s=retry_after_s)


def not_run_response(
    reason: Reason,
    message: str,
    *,
    retry_after_s: float | None = None,
) -> Response:
    """Return an error response that proves that nothing ran."""
    return error_response(
        get_http_status(reason),
        reason,
        message,
        retry_after_s=retry_after_s,
    )


def unknown_response(
    reason: Reason,
    message: str,
    *,
    location: str | None,
) -> Response:
    """Return the response for an unknown outcome.

    ``location`` is the path under which the caller can ask for it later.
    """
    response = error_response(
        UNKNOWN_STATUS,
        reason,
        message,
        outcome='unknown',
        retry_after_s=1,
    )
    if location is not None:
        response.headers['Location'] = location
    return response


def json_response(
    status: int,
    body: object,
    *,
    retry_after_s: float | None = None,
) -> Response:
    """Encode a body as a JSON response.

    The ``Retry-After`` header has the retry hint in whole seconds.
    """
    return encoded_response(
        status,
        msgspec.json.encode(body),
        retry_after_s=retry_after_s,
    )


def encoded_response(
    status: int,
    body: bytes,
    *,
    retry_after_s: float | None = None,
) -> Response:
    """Return a response with a body that is already encoded as JSON."""
    response = Response(body, status=status, content_type='application/json')
    if retry_after_s is not None:
        seconds = max(1, math.ceil(retry_after_s))
        response.headers['Retry-After'] = str(seconds)
    return response
