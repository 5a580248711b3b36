"""``marjoramwharf-explain``: the timeline of one job from logs of all entries.

    marjoramwharf-explain 5c0e7a21d94b36f8 entry-*.log

Printed in order of time are the lines that name the job or one of its tasks.
Between the first and the last of them, changes of the job's workers, of owners
and of the store are printed too. Unreadable lines are counted and reported.
"""

from __future__ import annotations

import pathlib
import sys
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any

import cappa
from msgspec import DecodeError

from marjoramwharf.errors import BadSettings
from marjoramwharf.json_bodies import decode_json
from marjoramwharf.programs._command_line import run_command

_TIME = 'timestamp'
_EVENT = 'event'
_HIDDEN = frozenset((_TIME, _EVENT, 'level'))

# Events that explain a job's delay without naming it.
_CONTEXT_PREFIXES = ('owner:', 'main:', 'store:')
_CONTEXT_EVENTS = frozenset(
    (
        'cell: cell loaded',
        'worker: worker lost',
        'worker: worker reached',
        'worker: worker restarted',
        'worker: worker gone',
        'progress: write failed',
        'progress: writes succeed again',
    ),
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log, with the name of its file."""

    source: str
    fields: Mapping[str, Any]

    @property
    def time(self) -> str:
        """The timestamp as text that sorts in order of time."""
        return str(self.fields.get(_TIME, ''))

    @property
    def event(self) -> str:
        """The event text, with the prefix of the logging component."""
        return str(self.fields.get(_EVENT, ''))


@dataclass
class JobTimeline:
    """The log lines that explain one job."""

    lines: list[LogLine] = field(default_factory=list)
    unreadable_count: int = 0


def build_timeline(
    job_id: str, sources: Mapping[str, Iterable[str]]
) -> JobTimeline:
    """Return the lines of a job and the context events between them."""
    timeline = JobTimeline()
    all_lines = sorted(
        _parse_lines(sources, timeline),
        key=lambda line: (line.time, line.source),
    )
    job_lines = [line for line in all_lines if _names_job(line, job_id)]
    if not job_lines:
        return timeline
    workers = {
        str(worker)
        for line in job_lines
        for worker in (
            line.fields.get('worker'),
            *line.fields.get('workers', ()),
        )
    }
    first, last = job_lines[0].time, job_lines[-1].time
    timeline.lines = [
        line
        for line in all_lines
        if _names_job(line, job_id)
        or (first <= line.time <= last and _is_context(line, workers))
    ]
    return timeline


def describe(line: LogLine) -> str:
    """Format a log line for people."""
    details = ' '.join(
        f'{name}={content}'
        for name, content in line.fields.items()
        if name not in _HIDDEN
    )
    return f'{line.time} {line.source}: {line.event} {details}'


def _parse_lines(
    sources: Mapping[str, Iterable[str]],
    timeline: JobTimeline,
) -> Iterator[LogLine]:
    for source, lines in sources.items():
        for text in lines:
            start = text.find('{')
            try:
                fields = decode_json(text[max(0, start) :], dict[str, Any])
            except DecodeError:
                timeline.unreadable_count += bool(text.strip())
                continue
            yield LogLine(source, fields)


def _names_job(line: LogLine, job_id: str) -> bool:
    job = str(line.fields.get('job', ''))
    task = str(line.fields.get('task', ''))
    return job == job_id or task.partition('.')[0] == job_id


def _is_context(line: LogLine, workers: set[str]) -> bool:
    if line.event.startswith(_CONTEXT_PREFIXES):
        return True
    if line.event not in _CONTEXT_EVENTS:
        return False
    worker = line.fields.get('worker')
    return worker is None or str(worker) in workers


@cappa.command(name='marjoramwharf-explain')
@dataclass
class Explain:
    """Print a timeline of one job from log files or standard input."""

    job_id: Annotated[str, cappa.Arg(help='Id of the job.')]
    files: Annotated[
        list[pathlib.Path],
        cappa.Arg(default=(), help='Log files; none: standard input.'),
    ]

    def run(self) -> int:
        """Print the lines; returns 1 if none of them names the job."""
        sources = self._sources()
        timeline = build_timeline(self.job_id, sources)
        for line in timeline.lines:
            sys.stdout.write(f'{describe(line)}\n')
        if timeline.unreadable_count:
            sys.stderr.write(
                f'{timeline.unreadable_count} lines not readable\n'
            )
        return 0 if timeline.lines else 1

    def _sources(self) -> Mapping[str, Iterable[str]]:
        if not self.files:
            return {'stdin': sys.stdin}
        try:
            return {
                path.name: path.read_text(errors='replace').splitlines()
                for path in self.files
            }
        except OSError as failure:
            raise BadSettings(message=str(failure)) from failure


def main() -> int:
    """Run the command line."""
    command = cappa.parse(Explain)
    return run_command(command.run)


if __name__ == '__main__':
    sys.exit(main())
