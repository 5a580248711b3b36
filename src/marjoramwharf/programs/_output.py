"""Output of the command line programs: JSON for machines, tables for people."""

from __future__ import annotations

import datetime
import json
import os
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from marjoramwharf.programs._client import ExitCode, Reply

Row = Mapping[str, Any]


def print_json(body: object) -> None:
    """Print a value as indented JSON."""
    sys.stdout.write(f'{json.dumps(body, indent=2, sort_keys=True)}\n')


def print_rows(rows: Sequence[Row], *, as_json: bool) -> None:
    """Print rows as JSON or as an aligned table.

    The columns are those of all rows, in the order of their first use.
    """
    if as_json:
        print_json(rows)
        return
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [[name.upper() for name in names]]
    lines.extend([_cell(row.get(name)) for name in names] for row in rows)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        sys.stdout.write('{0}\n'.format('  '.join(cells).rstrip()))


def print_error(message: str) -> None:
    """Print a message to standard error."""
    sys.stderr.write(f'error: {message}\n')


def print_reply(reply: Reply, text: str, *, as_json: bool) -> ExitCode:
    """Print ``text`` for a successful reply, else the reason of the refusal.

    As JSON, the body of the reply is printed in both cases.
    """
    if as_json:
        print_json(reply.body)
    elif reply.exit_code is ExitCode.DONE:
        sys.stdout.write(f'{text}\n')
    else:
        print_refusal(reply)
    return reply.exit_code


def print_refusal(reply: Reply) -> None:
    """Print the reason of a refusal, the conflict and the retry time."""
    body = reply.body
    reason = body.get('reason', reply.status)
    print_error(f'{reply.entry}: {reason}: {body.get("message", "")}')
    conflict = body.get('conflict')
    if conflict:
        fields = ', '.join(conflict['fields'])
        sys.stderr.write(
            'conflict with note {0} of {1}, revision {2}: {3}\n'.format(
                conflict['note_id'],
                conflict['author'],
                conflict['revision'],
                fields,
            ),
        )
    if body.get('retry_after_s') is not None:
        sys.stderr.write(f'try again after {body["retry_after_s"]} s\n')


def abandon_output() -> ExitCode:
    """Discard further output after its reader has closed the pipe.

    The interpreter would report a second error when it flushes the stream.
    """
    with open(os.devnull, 'wb') as sink:
        os.dup2(sink.fileno(), sys.stdout.fileno())
    return ExitCode.UNKNOWN


def utc_text(time_ms: int) -> str:
    """Format a Unix time in milliseconds as UTC.

    >>> utc_text(0)
    '1970-01-01T00:00:00Z'
    """
    moment = datetime.datetime.fromtimestamp(time_ms / 1000, datetime.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')


def _cell(value: object) -> str:
    if value is None:
        return '-'
    if isinstance(value, str):
        return value
    if isinstance(value, list | tuple) and all(
        isinstance(part, str) for part in value
    ):
        return ','.join(value)
    return json.dumps(value, sort_keys=True)
