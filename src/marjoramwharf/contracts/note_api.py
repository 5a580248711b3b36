"""HTTP endpoints for release notes: current, history and submission.

Every endpoint needs the operator token. Errors have the form ``{"outcome",
"reason", "message", "retry_after_s"}``; a refusal because of another note
also has ``conflict`` with its id, author, revision and fields.
"""

from __future__ import annotations

import functools
import hmac
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeAlias

import msgspec
from quart import Blueprint, Response, request

from marjoramwharf.contracts.note_answers import (
    Accepted,
    Answer,
    NoteConflict,
    NoteRefused,
)
from marjoramwharf.contracts.note_registry import NoteRegistry
from marjoramwharf.contracts.release_note import ReleaseNote
from marjoramwharf.errors import (
    Failure,
    Reason,
    StoreBudgetSpent,
    StoreUnavailable,
)
from marjoramwharf.http_bodies import read_body
from marjoramwharf.http_errors import error_response, json_response
from marjoramwharf.json_bodies import decode_json
from marjoramwharf.service.request import NotRun, Unknown

TokenCheck: TypeAlias = Callable[[str | None], bool]

# Largest accepted body. A note that admits every worker of the two-year target
# has about 150 KB.
MAX_NOTE_BYTES = 524_288

DEFAULT_HISTORY_COUNT = 20
MAX_HISTORY_COUNT = 200

_REFUSED_STATUS = {
    Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
}


def bearer_check(token: str) -> TokenCheck:
    """Return a check of the ``Authorization`` header in constant time."""
    return functools.partial(_is_bearer, f'Bearer {token}'.encode())


def _is_bearer(expected: bytes, header: str | None) -> bool:
    return hmac.compare_digest((header or '').encode(), expected)


def note_blueprint(
    registry: NoteRegistry, is_operator: TokenCheck
) -> Blueprint:
    """Return the endpoints below ``/v1/notes``."""
    blueprint = Blueprint('notes', __name__, url_prefix='/v1/notes')

    @blueprint.before_request
    async def check_token() -> Response | None:  # noqa: WPS430
        if is_operator(request.headers.get('Authorization')):
            return None
        return _unauthorized()

    async def current() -> Response:  # noqa: WPS430
        return json_response(HTTPStatus.OK, current_response_body(registry))

    async def history() -> Response:  # noqa: WPS430
        return await _history(registry)

    async def submit() -> Response:  # noqa: WPS430
        return await _submit(registry)

    blueprint.add_url_rule('/current', view_func=current)
    blueprint.add_url_rule('/history', view_func=history)
    blueprint.add_url_rule('', view_func=submit, methods=['POST'])
    return blueprint


def current_response_body(registry: NoteRegistry) -> dict[str, Any]:
    """Return the JSON body of ``GET /v1/notes/current``."""
    active = registry.current
    return {
        'entry': registry.entry,
        'revision': active.revision,
        'since_ms': active.since_ms,
        'is_synchronised': registry.is_synchronised,
        'configuration': active.configuration,
    }


async def _history(registry: NoteRegistry) -> Response:
    limit = request.args.get('limit', str(DEFAULT_HISTORY_COUNT))
    if not limit.isdecimal() or not 1 <= int(limit) <= MAX_HISTORY_COUNT:
        return error_response(
            HTTPStatus.BAD_REQUEST,
            Reason.BAD_REQUEST,
            f'limit must be a number from 1 to {MAX_HISTORY_COUNT}',
        )
    try:
        found = await registry.history(limit=int(limit))
    except (StoreUnavailable, StoreBudgetSpent) as failure:
        return _store_failure_response(failure)
    return json_response(HTTPStatus.OK, {'notes': found})


async def _submit(registry: NoteRegistry) -> Response:
    body = await read_body(MAX_NOTE_BYTES)
    if body is None:
        return error_response(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            Reason.BODY_TOO_LARGE,
            f'a note has at most {MAX_NOTE_BYTES} bytes',
        )
    try:
        note = decode_json(body, ReleaseNote)
    except (msgspec.MsgspecError, UnicodeDecodeError) as failure:
        return error_response(
            HTTPStatus.BAD_REQUEST,
            Reason.BAD_REQUEST,
            str(failure),
        )
    return answer_response(note, await registry.accept(note))


def answer_response(note: ReleaseNote, answer: Answer) -> Response:
    """Return the HTTP response for the answer to a submitted note."""
    if isinstance(answer, Accepted):
        return json_response(
            HTTPStatus.OK,
            {
                'outcome': 'done',
                'note_id': note.note_id,
                'revision': answer.revision,
                'is_repeat': answer.is_repeat,
            },
        )
    if isinstance(answer, NoteConflict):
        return _conflict_response(answer)
    if isinstance(answer, NoteRefused):
        return error_response(
            _REFUSED_STATUS.get(answer.reason, HTTPStatus.CONFLICT),
            answer.reason,
            answer.message,
            details={'problems': answer.problems},
        )
    return _not_accepted_response(answer)


def _not_accepted_response(answer: NotRun | Unknown) -> Response:
    if isinstance(answer, Unknown):
        return error_response(
            HTTPStatus.ACCEPTED,
            answer.reason,
            f'{answer.message}; submit the same note again',
            outcome='unknown',
        )
    return error_response(
        HTTPStatus.SERVICE_UNAVAILABLE,
        answer.reason,
        answer.message,
        retry_after_s=answer.retry_after_s,
    )


def _conflict_response(answer: NoteConflict) -> Response:
    return error_response(
        HTTPStatus.CONFLICT,
        Reason.NOTE_CONFLICT,
        f'note {answer.note_id} of {answer.author} touches the same fields',
        details={
            'conflict': {
                'note_id': answer.note_id,
                'author': answer.author,
                'revision': answer.revision,
                'fields': answer.fields,
            },
        },
    )


def _store_failure_response(failure: Failure) -> Response:
    return error_response(
        HTTPStatus.SERVICE_UNAVAILABLE,
        failure.reason,
        failure.message,
        retry_after_s=failure.retry_after_s or 2,
    )


def _unauthorized() -> Response:
    response = error_response(
        HTTPStatus.UNAUTHORIZED,
        Reason.UNAUTHORIZED,
        'the operator token is missing or wrong',
    )
    response.headers['WWW-Authenticate'] = 'Bearer'
    return response
