"""The HTTP API for requests to latency-critical services."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import quote

import structlog
from opentelemetry.trace import SpanKind
from quart import Blueprint, Response, request

from marjoramwharf.errors import Reason
from marjoramwharf.http_bodies import is_header_safe, read_body
from marjoramwharf.http_errors import not_run_response, unknown_response
from marjoramwharf.ids import ServiceId, TeamId, random_id
from marjoramwharf.metrics import Metrics
from marjoramwharf.service.drain import DrainGate
from marjoramwharf.service.request import (
    Done,
    NotRun,
    Outcome,
    Priority,
    ServiceRequest,
    Unknown,
)
from marjoramwharf.settings import ServiceSettings
from marjoramwharf.tracing import start_span

_MAX_NAME_LENGTH = 128
_MS_PER_S = 1_000
_DEFAULT_CONTENT_TYPE = 'application/octet-stream'


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceDependencies:
    """The collaborators and callbacks of the HTTP API.

    ``serve`` runs a request, ``look_up`` returns the outcome of the request
    with a team's idempotency key, and ``services`` returns the names of the
    services in the configuration. ``clock`` returns monotonic seconds.
    """

    serve: Callable[[ServiceRequest], Awaitable[Outcome]]
    look_up: Callable[[TeamId, str], Awaitable[Outcome]]
    services: Callable[[], frozenset[str]]
    clock: Callable[[], float]
    gate: DrainGate
    metrics: Metrics
    settings: ServiceSettings


def service_blueprint(deps: ServiceDependencies) -> Blueprint:
    """Build the routes for requests and for outcome look-ups."""
    blueprint = Blueprint('service', __name__)

    @blueprint.post('/v1/services/<service>')
    async def run_service(service: str) -> Response:
        if not deps.gate.is_accepting:
            return _refuse_unread(
                Reason.SHUTTING_DOWN,
                'this entry is shutting down',
            )
        with deps.gate.track_request():
            return await _serve_request(deps, service)

    @blueprint.get('/v1/outcomes/<path:key>')
    async def look_up_outcome(key: str) -> Response:
        team = TeamId(request.headers.get('X-Team', 'default'))
        return _build_response(await deps.look_up(team, key))

    return blueprint


async def _serve_request(deps: ServiceDependencies, service: str) -> Response:
    started_s = deps.clock()
    if service not in deps.services():
        return not_run_response(
            Reason.UNKNOWN_SERVICE,
            f'no service {service!r} is in force',
        )
    body = await read_body(deps.settings.max_body_bytes)
    if body is None:
        limit = deps.settings.max_body_bytes
        message = f'a body has at most {limit} bytes'
        return not_run_response(Reason.BODY_TOO_LARGE, message)
    parsed = _parse_request(deps, service, body, started_s)
    if isinstance(parsed, NotRun):
        return _build_response(parsed)
    structlog.contextvars.bind_contextvars(request_id=parsed.request_id)
    headers = dict(request.headers.items())
    with start_span(
        'entry.request', kind=SpanKind.SERVER, headers=headers
    ) as span:
        span.set_attribute('request_id', parsed.request_id)
        outcome = await deps.serve(parsed)
    _record_metrics(deps, service, outcome, started_s)
    response = _build_response(outcome)
    response.headers['X-Request-Id'] = parsed.request_id
    return response


def _parse_request(
    deps: ServiceDependencies,
    service: str,
    body: bytes,
    now_s: float,
) -> ServiceRequest | NotRun:
    """Build the request from its headers; refuse malformed ones."""
    headers = request.headers
    try:
        timeout_ms = int(
            headers.get('X-Timeout-Ms', deps.settings.default_timeout_ms),
        )
        priority = Priority[headers.get('X-Priority', 'normal').upper()]
    except (ValueError, KeyError):
        return _refuse_malformed('X-Timeout-Ms or X-Priority is malformed')
    if not 0 < timeout_ms <= deps.settings.max_timeout_ms:
        limit = deps.settings.max_timeout_ms
        return _refuse_malformed(f'X-Timeout-Ms is not between 1 and {limit}')
    is_idempotent = _is_header_true('X-Idempotent')
    key = headers.get('Idempotency-Key')
    if key is None and not is_idempotent:
        return _refuse_malformed(
            'Idempotency-Key is missing and X-Idempotent is not true'
        )
    names = (key or '', headers.get('X-Team', 'default'))
    if max(map(len, names)) > _MAX_NAME_LENGTH:
        return _refuse_malformed(
            f'a name is longer than {_MAX_NAME_LENGTH} characters'
        )
    content_type = headers.get('Content-Type', _DEFAULT_CONTENT_TYPE)
    request_id = headers.get('X-Request-Id', random_id())[:64]
    if not all(map(is_header_safe, (*names, content_type, request_id))):
        return _refuse_malformed(
            'a header has characters other than printable ASCII'
        )
    return ServiceRequest(
        request_id=request_id,
        service=ServiceId(service),
        team=TeamId(names[1]),
        body=body,
        content_type=content_type,
        arrived_at_s=now_s,
        deadline_s=now_s + timeout_ms / _MS_PER_S,
        priority=priority,
        is_idempotent=is_idempotent,
        idempotency_key=key,
        is_first_attempt=_is_header_true('X-First-Attempt'),
    )


def _is_header_true(header: str) -> bool:
    return request.headers.get(header, 'false').lower() == 'true'


def _refuse_unread(reason: Reason, message: str) -> Response:
    """Refuse a request before its body is read.

    The claim of the idempotency key, if there is a key, is not looked up. The
    request may be a repeat of one that ran at another entry, so the answer is
    "unknown" unless the caller declares a first attempt.
    """
    key = request.headers.get('Idempotency-Key')
    is_first = request.headers.get('X-First-Attempt', '').lower() == 'true'
    if key is None or is_first:
        return _build_response(NotRun(reason, message, 1))
    return _build_response(Unknown(reason, message, key))


def _refuse_malformed(message: str) -> NotRun:
    return NotRun(Reason.BAD_REQUEST, message)


def _build_response(outcome: Outcome) -> Response:
    if isinstance(outcome, Done):
        return Response(
            outcome.body,
            status=outcome.status,
            content_type=outcome.content_type,
        )
    if isinstance(outcome, Unknown):
        location = None
        if outcome.outcome_key is not None:
            key = quote(outcome.outcome_key, safe='')
            location = f'/v1/outcomes/{key}'
        return unknown_response(
            outcome.reason,
            outcome.message,
            location=location,
        )
    return not_run_response(
        outcome.reason,
        outcome.message,
        retry_after_s=outcome.retry_after_s,
    )


def _record_metrics(
    deps: ServiceDependencies,
    service: str,
    outcome: Outcome,
    started_s: float,
) -> None:
    labels = {'service': service, 'outcome': 'done', 'reason': 'none'}
    if not isinstance(outcome, Done):
        is_not_run = isinstance(outcome, NotRun)
        labels['outcome'] = 'not_run' if is_not_run else 'unknown'
        labels['reason'] = outcome.reason.value
    deps.metrics.requests_total.inc(labels)
    deps.metrics.request_duration_seconds.observe(
        {'service': service},
        deps.clock() - started_s,
    )
