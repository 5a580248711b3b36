"""The ``note`` commands of ``marjoramwharf-ctl``."""

from __future__ import annotations

import pathlib
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Annotated, Any

import cappa
import msgspec

from marjoramwharf.contracts.configuration import (
    Configuration,
    IncompatibleNote,
    apply_note,
)
from marjoramwharf.contracts.release_note import NoteFile, load_note
from marjoramwharf.errors import BadNote, EntryUnreachable
from marjoramwharf.programs._client import EntryClient, ExitCode, Reply
from marjoramwharf.programs._output import (
    print_json,
    print_refusal,
    print_reply,
    print_rows,
    utc_text,
)

_CURRENT = '/v1/notes/current'


@cappa.command(name='check')
@dataclass
class Check:
    """Check a note, and with --entry also that it fits what is in force."""

    file: pathlib.Path

    def run(self, client: EntryClient, *, as_json: bool) -> ExitCode:
        """Print that the note is valid; raises ``BadNote`` if it isn't."""
        loaded = load_note(self.file)
        comparison = 'not compared with the configuration in force'
        if client.urls:
            before = _fetch_configuration(client)
            _apply(loaded, before)
            comparison = f'fits revision {before.revision}'
        if as_json:
            print_json({'note_id': loaded.note.note_id, 'message': comparison})
        else:
            sys.stdout.write(f'{self.file}: note is valid, {comparison}\n')
        return ExitCode.DONE


@cappa.command(name='diff')
@dataclass
class Diff:
    """Show which values a note would change in the configuration in force."""

    file: pathlib.Path

    def run(self, client: EntryClient, *, as_json: bool) -> ExitCode:
        """Print each changed field with the value before and after."""
        loaded = load_note(self.file)
        before = _fetch_configuration(client)
        rows = list(diff_configurations(before, _apply(loaded, before)))
        print_rows(rows, as_json=as_json)
        return ExitCode.DONE


@cappa.command(name='accept')
@dataclass
class Accept:
    """Submit a note; submitting the same note again has no further effect."""

    file: pathlib.Path
    based_on: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help='Revision that the author saw; replaces based_on of the file.',
        ),
    ] = None

    def run(self, client: EntryClient, *, as_json: bool) -> ExitCode:
        """Print the revision, or the conflict."""
        note = load_note(self.file).note
        if self.based_on is not None:
            note = msgspec.structs.replace(note, based_on=self.based_on)
        reply = client.send_to_any(
            'POST',
            '/v1/notes',
            content=msgspec.json.encode(note),
            headers={'Content-Type': 'application/json'},
        )
        revision = reply.body.get('revision')
        return print_reply(
            reply,
            f'{note.note_id}: accepted as revision {revision}',
            as_json=as_json,
        )


@cappa.command(name='status')
@dataclass
class NoteStatus:
    """Show the revision in force on each entry, and since when."""

    def run(self, client: EntryClient, *, as_json: bool) -> ExitCode:
        """Print a row for each entry."""
        found = client.send_to_all('GET', _CURRENT)
        rows = [
            _status_row(url, answer)
            for url, answer in zip(client.urls, found, strict=True)
        ]
        newest = max(row['revision'] or 0 for row in rows)
        for row in rows:
            if row['revision'] is not None and row['revision'] < newest:
                row['state'] = f'behind {newest}'
        print_rows(rows, as_json=as_json)
        return worst_exit_code(found)


@cappa.command(name='history')
@dataclass
class History:
    """List the latest accepted notes, the newest first."""

    limit: Annotated[int, cappa.Arg(long=True)] = 20

    def run(self, client: EntryClient, *, as_json: bool) -> ExitCode:
        """Print a row for each note."""
        path = f'/v1/notes/history?limit={self.limit}'
        reply = client.send_to_any('GET', path)
        if reply.exit_code is not ExitCode.DONE:
            return print_reply(reply, '', as_json=as_json)
        rows = [
            {
                'revision': found['revision'],
                'note': found['note']['note_id'],
                'author': found['note']['author'],
                'accepted': utc_text(found['accepted_at_ms']),
                'entry': found['accepted_by'],
                'summary': found['note']['summary'],
            }
            for found in reply.body['notes']
        ]
        print_rows(rows, as_json=as_json)
        return ExitCode.DONE


@cappa.command(name='show')
@dataclass
class Show:
    """Show the whole configuration in force as JSON."""

    def run(self, client: EntryClient, *, as_json: bool) -> ExitCode:
        """Print the configuration of the first entry that answers."""
        reply = client.send_to_any('GET', _CURRENT)
        if reply.exit_code is ExitCode.DONE:
            print_json(reply.body)
            return ExitCode.DONE
        return print_reply(reply, '', as_json=as_json)


@cappa.command(name='note')
@dataclass
class Note:
    """Check, compare and submit release notes."""

    command: cappa.Subcommands[
        Check | Diff | Accept | NoteStatus | History | Show
    ] = field()

    def run(self, client: EntryClient, *, as_json: bool) -> ExitCode:
        """Run the chosen command."""
        return self.command.run(client, as_json=as_json)


class EntryRefused(Exception):
    """An entry refused a request that a command depends on."""

    def __init__(self, reply: Reply) -> None:
        """Store the reply, which the caller prints."""
        super().__init__(reply.status)
        self.reply = reply


def diff_configurations(
    before: Configuration,
    after: Configuration,
) -> Iterator[dict[str, Any]]:
    """Yield each field that differs, with its value before and after."""
    old = _flatten(before)
    new = _flatten(after)
    for name in sorted({*old, *new}):
        values = old.get(name), new.get(name)
        if values[0] != values[1]:
            yield {'field': name, 'before': values[0], 'after': values[1]}


def worst_exit_code(found: list[Reply | EntryUnreachable]) -> ExitCode:
    """Return the highest exit code of the replies of several entries."""
    return max(
        ExitCode.UNREACHABLE
        if isinstance(answer, EntryUnreachable)
        else answer.exit_code
        for answer in found
    )


def _fetch_configuration(client: EntryClient) -> Configuration:
    reply = client.send_to_any('GET', _CURRENT)
    if reply.exit_code is not ExitCode.DONE:
        raise EntryRefused(reply)
    try:
        return msgspec.convert(reply.body.get('configuration'), Configuration)
    except msgspec.ValidationError as failure:
        raise EntryUnreachable(
            message=(
                f'{reply.entry}: the entry has another version than this '
                f'program: {failure}'
            ),
        ) from failure


def _apply(loaded: NoteFile, before: Configuration) -> Configuration:
    try:
        return apply_note(before, loaded.note)
    except IncompatibleNote as failure:
        lines = map(loaded.format_problem, failure.problems)
        raise BadNote(message='\n'.join(lines)) from failure


def _flatten(configuration: Configuration) -> dict[str, Any]:
    flat: dict[str, Any] = {
        f'instances.{worker}': 'admitted' for worker in configuration.instances
    }
    for section in ('limits', 'policy'):
        _add_fields(flat, section, getattr(configuration, section))
    for listed in ('services', 'quotas', 'task_classes'):
        for item in getattr(configuration, listed):
            _add_fields(flat, f'{listed}.{item.identity}', item)
    return flat


def _add_fields(flat: dict[str, Any], prefix: str, item: Any) -> None:
    for name, setting in msgspec.structs.asdict(item).items():
        if name not in {'name', 'team', 'service'}:
            flat[f'{prefix}.{name}'] = setting


def _status_row(url: str, answer: Reply | EntryUnreachable) -> dict[str, Any]:
    row: dict[str, Any] = {
        'entry': url,
        'revision': None,
        'note': None,
        'since': None,
    }
    if isinstance(answer, EntryUnreachable):
        return {**row, 'state': 'unreachable'}
    if answer.exit_code is not ExitCode.DONE:
        print_refusal(answer)
        return {**row, 'state': answer.body.get('reason', answer.status)}
    body = answer.body
    return {
        'entry': body['entry'],
        'revision': body['revision'],
        'note': body['configuration'].get('note_id'),
        'since': utc_text(body['since_ms']),
        'state': 'in force' if body['is_synchronised'] else 'not read yet',
    }
