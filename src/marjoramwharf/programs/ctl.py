"""``marjoramwharf-ctl``: release notes, drain, status and diagnosis.

Exit codes: 0 done, 1 refused, 2 bad input, 3 unreachable, 4 unknown.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

import cappa
import httpx

from marjoramwharf.errors import BadSettings, EntryUnreachable
from marjoramwharf.programs._client import (
    TOKEN_FILE_VARIABLE,
    TOKEN_VARIABLE,
    EntryClient,
    ExitCode,
    Reply,
    entry_urls,
    operator_headers,
)
from marjoramwharf.programs._command_line import (
    EntryOption,
    JsonOption,
    TokenFileOption,
    run_command,
)
from marjoramwharf.programs._ctl_notes import (
    EntryRefused,
    Note,
    worst_exit_code,
)
from marjoramwharf.programs._output import (
    print_refusal,
    print_reply,
    print_rows,
)
from marjoramwharf.programs._settings_reference import settings_reference

_HTTP_UNAUTHORIZED = 401

_ADVICE_UNREACHABLE = (
    'check that the process runs and that its address and port are those of '
    'the settings; if all entries are unreachable, check the network'
)
_ADVICE_NOT_READY = (
    'an entry that starts or drains is not ready; if this lasts for more than '
    'a minute, look for "store:" and "notes:" in its log'
)
_ADVICE_NOTE_NOT_READ = 'check that the entry reaches the store (store.url)'
_ADVICE_OUTDATED_NOTE = (
    "a note must be in force within 11 s; if this lasts, check the entry's "
    'connection to the store and restart the entry'
)
_ADVICE_TOKEN = (
    f'set {TOKEN_VARIABLE} or {TOKEN_FILE_VARIABLE} to the operator_token of '
    'the entries'
)
_ADVICE_REFUSED = 'look at the log of the entry at this time'


@cappa.command(name='drain')
@dataclass
class Drain:
    """Let one entry finish its requests and hand over its shards."""

    def run(self, client: EntryClient, *, as_json: bool) -> ExitCode:
        """Send the drain request to exactly one entry."""
        if len(client.urls) != 1:
            raise BadSettings(message='drain needs exactly one --entry URL')
        reply = client.send_to(client.urls[0], 'POST', '/v1/drain')
        return print_reply(
            reply,
            f'{reply.entry}: draining; it stops when "readyz" answers 503 '
            'and no request is left',
            as_json=as_json,
        )


@cappa.command(name='status')
@dataclass
class Status:
    """Show the state of each entry."""

    def run(self, client: EntryClient, *, as_json: bool) -> ExitCode:
        """Print a row for each entry."""
        outcomes = client.send_to_all('GET', '/v1/status')
        rows = [
            _status_row(url, answer, as_json=as_json)
            for url, answer in zip(client.urls, outcomes, strict=True)
        ]
        print_rows(rows, as_json=as_json)
        return worst_exit_code(outcomes)


@cappa.command(name='doctor')
@dataclass
class Doctor:
    """Report problems of the entries and what to do about them."""

    def run(self, client: EntryClient, *, as_json: bool) -> ExitCode:
        """Print the findings; returns 1 (refused) if there are any."""
        ready = client.send_to_all('GET', '/readyz')
        notes = client.send_to_all('GET', '/v1/notes/current')
        rows = [
            *_ready_findings(client.urls, ready),
            *_note_findings(client.urls, notes),
        ]
        if rows or as_json:
            print_rows(rows, as_json=as_json)
        else:
            sys.stdout.write(f'{len(client.urls)} entries, nothing wrong\n')
        if any(isinstance(answer, EntryUnreachable) for answer in ready):
            return ExitCode.UNREACHABLE
        return ExitCode.REFUSED if rows else ExitCode.DONE


@cappa.command(name='settings-reference')
@dataclass
class SettingsReference:
    """Print all settings with type, range and default as Markdown."""

    def run(self, client: EntryClient, *, as_json: bool) -> ExitCode:
        """Print the reference; no request is sent."""
        sys.stdout.write(settings_reference())
        return ExitCode.DONE


@cappa.command(
    name='marjoramwharf-ctl',
    help='Release notes, drain, status and diagnosis of entries.',
    description=(
        f'The operator token is read from {TOKEN_VARIABLE} or from a file. '
        'Exit codes: 0 done, 1 refused, 2 bad input, 3 unreachable, '
        '4 unknown.'
    ),
)
@dataclass
class Ctl:
    """The options and subcommands of ``marjoramwharf-ctl``."""

    command: cappa.Subcommands[
        Note | Drain | Status | Doctor | SettingsReference
    ]
    entry: EntryOption
    token_file: TokenFileOption = None
    as_json: JsonOption = False


def main(
    argv: Sequence[str] | None = None,
    *,
    transport: httpx.BaseTransport | None = None,
) -> int:
    """Run one command and return its exit code."""
    arguments = sys.argv[1:] if argv is None else argv
    options = cappa.parse(Ctl, argv=list(arguments))
    return run_command(partial(_run, options, transport))


def _run(options: Ctl, transport: httpx.BaseTransport | None) -> ExitCode:
    client = EntryClient(
        entry_urls(options.entry),
        headers=operator_headers(options.token_file),
        transport=transport,
    )
    try:
        return options.command.run(client, as_json=options.as_json)
    except EntryRefused as refusal:
        print_refusal(refusal.reply)
        return refusal.reply.exit_code


def _status_row(
    url: str,
    answer: Reply | EntryUnreachable,
    *,
    as_json: bool,
) -> dict[str, Any]:
    if isinstance(answer, EntryUnreachable):
        return {'url': url, 'state': 'unreachable'}
    if answer.exit_code is not ExitCode.DONE:
        print_refusal(answer)
        return {'url': url, 'state': answer.body.get('reason', 'refused')}
    if as_json:
        return {'url': url, **answer.body}
    flat = {
        name: content
        for name, content in answer.body.items()
        if not isinstance(content, dict | list)
    }
    return {'url': url, **flat}


def _ready_findings(
    urls: Sequence[str],
    outcomes: list[Reply | EntryUnreachable],
) -> Iterator[dict[str, str]]:
    for url, answer in zip(urls, outcomes, strict=True):
        if isinstance(answer, EntryUnreachable):
            yield _finding(url, answer.message, _ADVICE_UNREACHABLE)
        elif answer.exit_code is not ExitCode.DONE:
            reason = answer.body.get('message', answer.status)
            yield _finding(url, f'not ready: {reason}', _ADVICE_NOT_READY)


def _note_findings(
    urls: Sequence[str],
    outcomes: list[Reply | EntryUnreachable],
) -> Iterator[dict[str, str]]:
    # An unreachable entry is reported only once, by the readiness findings.
    replies = [
        (url, answer)
        for url, answer in zip(urls, outcomes, strict=True)
        if isinstance(answer, Reply)
    ]
    revisions = [reply.body.get('revision', 0) for _url, reply in replies]
    newest = max(revisions, default=0)
    for url, reply in replies:
        problem, advice = _note_problem(reply, newest)
        if problem:
            yield _finding(url, problem, advice)


def _note_problem(reply: Reply, newest: int) -> tuple[str, str]:
    if reply.status == _HTTP_UNAUTHORIZED:
        return 'the token is refused', _ADVICE_TOKEN
    if reply.exit_code is not ExitCode.DONE:
        return f'notes: status {reply.status}', _ADVICE_REFUSED
    if not reply.body['is_synchronised']:
        return (
            'the release note in force was not read yet',
            _ADVICE_NOTE_NOT_READ,
        )
    revision = reply.body['revision']
    if revision < newest:
        return (
            f'revision {revision}, others have {newest}',
            _ADVICE_OUTDATED_NOTE,
        )
    return '', ''


def _finding(url: str, problem: str, advice: str) -> dict[str, str]:
    return {'entry': url, 'problem': problem, 'what_to_do': advice}


if __name__ == '__main__':
    sys.exit(main())
