"""HTTP calls of the command line programs to entries, and their exit codes.

The token is read from a file or an environment variable. It is not an option,
since other users of a machine can see the command line of a process.
"""

from __future__ import annotations

import enum
import os
import pathlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import httpx
import json5

from marjoramwharf.errors import BadSettings, EntryUnreachable
from marjoramwharf.jsonc import MAX_FILE_BYTES

ENTRIES_VARIABLE = 'MARJORAMWHARF_ENTRIES'
TOKEN_VARIABLE = 'MARJORAMWHARF_TOKEN'  # noqa: S105
TOKEN_FILE_VARIABLE = 'MARJORAMWHARF_TOKEN_FILE'  # noqa: S105

CONNECT_TIMEOUT_S = 3

# Accepting a release note, with all its rebases, takes at most about 5 s.
READ_TIMEOUT_S = 15

_GATEWAY_STATUSES = frozenset(
    (
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    ),
)
_BAD_INPUT_STATUSES = frozenset(
    (HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
)


@enum.unique
class ExitCode(enum.IntEnum):
    """The exit status of a command line program."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    UNKNOWN = 4


@dataclass(frozen=True, slots=True)
class Reply:
    """The response of one entry; ``body`` is the decoded JSON object."""

    entry: str
    status: int
    body: Mapping[str, Any]

    @property
    def exit_code(self) -> ExitCode:
        """The exit code for this response."""
        # A response from a proxy instead of an entry has no "outcome" field.
        default = 'unknown' if self.status in _GATEWAY_STATUSES else ''
        if self.body.get('outcome', default) == 'unknown':
            return ExitCode.UNKNOWN
        if self.status < HTTPStatus.BAD_REQUEST:
            return ExitCode.DONE
        if self.status in _BAD_INPUT_STATUSES:
            return ExitCode.BAD_INPUT
        return ExitCode.REFUSED


class AnswerLost(EntryUnreachable):
    """A request was sent, but no complete response arrived."""


class EntryClient:
    """HTTP client for a list of entries, which are tried in this order."""

    def __init__(
        self,
        urls: Sequence[str],
        *,
        headers: Mapping[str, str],
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        """Prepare the HTTP client; nothing is sent yet."""
        self.urls = tuple(url.rstrip('/') for url in urls)
        self._client = httpx.Client(
            headers=dict(headers),
            timeout=httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            transport=transport,
        )

    @property
    def team(self) -> str:
        """The team named in the requests, or an empty string."""
        return self._client.headers.get('X-Team', '')

    def send_to(
        self,
        url: str,
        method: str,
        path: str,
        **options: Any,
    ) -> Reply:
        """Send one request to one entry.

        Raises ``EntryUnreachable`` when nothing was sent and ``AnswerLost``
        when the entry may have acted on the request.
        """
        try:
            answer = self._client.request(method, f'{url}{path}', **options)
        except (httpx.ConnectError, httpx.ConnectTimeout) as failure:
            raise EntryUnreachable(message=f'{url}: {failure}') from failure
        except (httpx.InvalidURL, httpx.UnsupportedProtocol) as failure:
            raise BadSettings(message=f'--entry {url}: {failure}') from failure
        except httpx.HTTPError as failure:
            raise AnswerLost(message=f'{url}: {failure!r}') from failure
        return Reply(url, answer.status_code, _decode(answer))

    def send_to_any(
        self,
        method: str,
        path: str,
        *,
        is_repeatable: bool = True,
        **options: Any,
    ) -> Reply:
        """Send a request to the entries in turn until one acts on it.

        The next entry is tried if one is unreachable or answers 503. A
        request that isn't repeatable is not sent again after a lost response
        or a 503 that doesn't state "not run", such as a load balancer's.
        If none acts on it, raises ``AnswerLost`` when a response was lost,
        else returns the worst refusal, or raises ``EntryUnreachable``.
        """
        self.require_entries()
        outcomes: list[Reply | EntryUnreachable] = []
        for url in self.urls:
            answer = self._send_or_failure(url, method, path, options)
            outcomes.append(answer)
            if not _may_try_next(answer, is_repeatable=is_repeatable):
                break
        return _select_outcome(outcomes)

    def send_to_all(
        self,
        method: str,
        path: str,
    ) -> list[Reply | EntryUnreachable]:
        """Send a request to every entry; return a reply or failure for each."""
        self.require_entries()
        return [
            self._send_or_failure(url, method, path, {}) for url in self.urls
        ]

    def require_entries(self) -> None:
        """Raise ``BadSettings`` if there is no entry to send to."""
        if not self.urls:
            raise BadSettings(
                message=(
                    f'no entry is named: use --entry URL or {ENTRIES_VARIABLE}'
                ),
            )

    def _send_or_failure(
        self,
        url: str,
        method: str,
        path: str,
        options: Mapping[str, Any],
    ) -> Reply | EntryUnreachable:
        try:
            return self.send_to(url, method, path, **options)
        except EntryUnreachable as failure:
            return failure


def exit_code_of(failure: Exception) -> ExitCode:
    """Return the exit code for a failure."""
    if isinstance(failure, AnswerLost):
        return ExitCode.UNKNOWN
    if isinstance(failure, EntryUnreachable):
        return ExitCode.UNREACHABLE
    return ExitCode.BAD_INPUT


def entry_urls(urls: Sequence[str]) -> tuple[str, ...]:
    """Return the given URLs, or those of the environment variable."""
    if urls:
        return tuple(urls)
    listed = os.environ.get(ENTRIES_VARIABLE, '').split(',')
    return tuple(url.strip() for url in listed if url.strip())


def operator_headers(token_file: pathlib.Path | None) -> dict[str, str]:
    """Return the header with the operator token; empty without a token.

    Raises ``BadSettings`` if the file can't be read.
    """
    path = token_file or os.environ.get(TOKEN_FILE_VARIABLE)
    token = os.environ.get(TOKEN_VARIABLE, '')
    if path:
        token = read_text(pathlib.Path(path))
    token = token.strip()
    return {'Authorization': f'Bearer {token}'} if token else {}


def read_text(path: pathlib.Path) -> str:
    """Read a text file; raises ``BadSettings`` that names its path."""
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as failure:
        raise BadSettings(message=f'{path}: {failure}') from failure


def read_object(path: pathlib.Path) -> dict[str, Any]:
    """Read a JSON object with comments; raises ``BadSettings``."""
    text = read_text(path)
    if len(text) > MAX_FILE_BYTES:
        raise BadSettings(message=f'{path}: larger than {MAX_FILE_BYTES} bytes')
    try:
        tree = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as failure:
        raise BadSettings(message=f'{path}: {failure}') from failure
    if isinstance(tree, dict):
        return tree
    raise BadSettings(message=f'{path}: $: expected an object')


def _may_try_next(
    answer: Reply | EntryUnreachable,
    *,
    is_repeatable: bool,
) -> bool:
    if isinstance(answer, Reply):
        is_outcome_known = answer.exit_code is not ExitCode.UNKNOWN
        is_unavailable = answer.status == HTTPStatus.SERVICE_UNAVAILABLE
        return is_unavailable and (is_repeatable or is_outcome_known)
    return is_repeatable or not isinstance(answer, AnswerLost)


def _select_outcome(outcomes: Sequence[Reply | EntryUnreachable]) -> Reply:
    # After a lost response, an entry may have acted on the request. A later
    # "not run" of another entry doesn't rule that out; a final response does.
    last = outcomes[-1]
    if isinstance(last, Reply) and not _may_try_next(last, is_repeatable=True):
        return last
    for answer in outcomes:
        if isinstance(answer, AnswerLost):
            raise answer
    replies = [reply for reply in outcomes if isinstance(reply, Reply)]
    if replies:
        return max(replies, key=lambda reply: reply.exit_code)
    raise EntryUnreachable(message='; '.join(map(str, outcomes)))


def _decode(answer: httpx.Response) -> Mapping[str, Any]:
    try:
        body = answer.json()
    except ValueError:
        body = None
    if isinstance(body, dict):
        return body
    return {'message': f'status {answer.status_code} without a JSON object'}
