"""The HTTP application of an entry."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from aioprometheus.renderer import render
from quart import Blueprint, Response, request
from quart_trio import QuartTrio

from marjoramwharf.contracts.note_api import TokenCheck
from marjoramwharf.errors import Reason
from marjoramwharf.http_errors import not_run_response
from marjoramwharf.metrics import Metrics
from marjoramwharf.service.drain import DrainGate, DrainState

# Above this size a body is refused before it is read; the routes have their
# own, smaller limits.
_MAX_BODY_BYTES = 16_777_216


@dataclass(frozen=True, slots=True, kw_only=True)
class WebDependencies:
    """What the routes for health, metrics, status and drain use."""

    gate: DrainGate
    metrics: Metrics
    collect: Callable[[], None]
    is_operator: TokenCheck
    is_ready: Callable[[], bool]
    status: Callable[[], dict[str, Any]]


def build_app(deps: WebDependencies, *blueprints: Blueprint) -> QuartTrio:
    """Build the application from the entry's own routes and ``blueprints``."""
    app = QuartTrio('marjoramwharf')
    app.config['MAX_CONTENT_LENGTH'] = _MAX_BODY_BYTES
    app.register_blueprint(_entry_blueprint(deps))
    for blueprint in blueprints:
        app.register_blueprint(blueprint)
    return app


def _entry_blueprint(deps: WebDependencies) -> Blueprint:
    blueprint = Blueprint('entry', __name__)

    @blueprint.get('/healthz')
    async def is_alive() -> Response:
        return _json({'alive': True})

    @blueprint.get('/readyz')
    async def is_ready() -> Response:
        serving = deps.gate.state is DrainState.SERVING
        ready = serving and deps.is_ready()
        body = {'ready': ready, 'state': deps.gate.state.value}
        return _json(body, status=200 if ready else 503)

    @blueprint.get('/metrics')
    async def show_metrics() -> Response:
        deps.collect()
        accepts = request.headers.getlist('Accept')
        content, headers = render(deps.metrics.registry, accepts)
        return Response(content, headers=headers)

    @blueprint.get('/v1/status')
    async def show_status() -> Response:
        return _refuse_unless_operator(deps) or _json(deps.status())

    @blueprint.post('/v1/drain')
    async def drain() -> Response:
        refused = _refuse_unless_operator(deps)
        if refused is None:
            deps.gate.request_shutdown()
        return refused or _json({'draining': True}, status=202)

    return blueprint


def _refuse_unless_operator(deps: WebDependencies) -> Response | None:
    if deps.is_operator(request.headers.get('Authorization')):
        return None
    return not_run_response(
        Reason.UNAUTHORIZED,
        'the operator token is missing or wrong',
    )


def _json(body: object, *, status: int = 200) -> Response:
    return Response(
        msgspec.json.encode(body),
        status=status,
        content_type='application/json',
    )
