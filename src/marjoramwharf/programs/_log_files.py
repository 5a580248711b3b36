"""Reading of the logs of several entries."""

from __future__ import annotations

import pathlib
import sys
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Annotated, Any, TypeAlias

import cappa
from msgspec import DecodeError

from marjoramwharf.errors import BadSettings
from marjoramwharf.json_bodies import decode_json

TIME_FIELD = 'timestamp'
EVENT_FIELD = 'event'

FilesArg: TypeAlias = Annotated[
    list[pathlib.Path],
    cappa.Arg(default=(), help='Log files; none: standard input.'),
]


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log, with the name of its file."""

    source: str
    fields: Mapping[str, Any]

    @property
    def time(self) -> str:
        """The timestamp as text that sorts in order of time."""
        return str(self.fields.get(TIME_FIELD, ''))

    @property
    def event(self) -> str:
        """The event text, with the prefix of the logging component."""
        return str(self.fields.get(EVENT_FIELD, ''))


@dataclass
class LogReader:
    """Parses log lines, and counts those that can't be read."""

    unreadable_count: int = 0

    def parse(self, sources: Mapping[str, Iterable[str]]) -> Iterator[LogLine]:
        """Return the readable lines; text before the JSON is skipped."""
        for source, lines in sources.items():
            for text in lines:
                start = text.find('{')
                try:
                    fields = decode_json(text[max(0, start) :], dict[str, Any])
                except DecodeError:
                    self.unreadable_count += bool(text.strip())
                    continue
                yield LogLine(source, fields)

    def print_unreadable(self) -> None:
        """Say on standard error how many lines were left out, if any."""
        if self.unreadable_count:
            sys.stderr.write(f'{self.unreadable_count} lines not readable\n')


def read_sources(files: Sequence[pathlib.Path]) -> Mapping[str, Iterable[str]]:
    """Return the lines of each file, or of standard input if there is none.

    Raises ``BadSettings`` for a file that can't be read.
    """
    if not files:
        return {'stdin': sys.stdin}
    try:
        return {
            path.name: path.read_text(errors='replace').splitlines()
            for path in files
        }
    except OSError as failure:
        raise BadSettings(message=str(failure)) from failure
