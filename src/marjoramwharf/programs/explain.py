"""``marjoramwharf-explain``: the timeline of one job from logs of all entries.

    marjoramwharf-explain 5c0e7a21d94b36f8 entry-*.log

Printed in order of time are the lines that name the job or one of its tasks.
Between the first and the last of them, changes of the job's workers, of owners
and of the store are printed too, and what the owner says of tasks that wait.
For a job without an end, these go on to the end of the logs. Unreadable lines
are counted and reported.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Annotated

import cappa

from marjoramwharf.programs._command_line import run_command
from marjoramwharf.programs._log_files import (
    EVENT_FIELD,
    TIME_FIELD,
    FilesArg,
    LogLine,
    LogReader,
    read_sources,
)

_HIDDEN = frozenset((TIME_FIELD, EVENT_FIELD, 'level'))

_WAITING_EVENT = 'cell: tasks wait'

# Events that explain a job's delay without naming it.
_CONTEXT_PREFIXES = ('owner:', 'main:', 'store:')
_CONTEXT_EVENTS = frozenset(
    (
        'cell: cell loaded',
        _WAITING_EVENT,
        'worker: worker lost',
        'worker: worker reached',
        'worker: worker first polled',
        'worker: worker restarted',
        'worker: leases lapsed',
        'worker: worker unlisted',
        'progress: write failed',
        'progress: writes succeed again',
    ),
)

_END_EVENTS = frozenset(('cell: job finished', 'inbox: job cancelled'))


@dataclass
class JobTimeline:
    """The log lines that explain one job."""

    lines: list[LogLine] = field(default_factory=list)
    reader: LogReader = field(default_factory=LogReader)


def build_timeline(
    job_id: str, sources: Mapping[str, Iterable[str]]
) -> JobTimeline:
    """Return the lines of a job and the context events between them."""
    timeline = JobTimeline()
    all_lines = sorted(
        timeline.reader.parse(sources),
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
    if not any(line.event in _END_EVENTS for line in job_lines):
        last = all_lines[-1].time
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


def _names_job(line: LogLine, job_id: str) -> bool:
    job = str(line.fields.get('job', ''))
    tasks = [str(line.fields.get('task', ''))]
    if line.event == _WAITING_EVENT:
        tasks.extend(
            str(waiting['task']) for waiting in line.fields.get('tasks', ())
        )
    names = {job, *(task.partition('.')[0] for task in tasks)}
    return job_id in names


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
    files: FilesArg

    def run(self) -> int:
        """Print the lines; returns 1 if none of them names the job."""
        timeline = build_timeline(self.job_id, read_sources(self.files))
        for line in timeline.lines:
            sys.stdout.write(f'{describe(line)}\n')
        timeline.reader.print_unreadable()
        return 0 if timeline.lines else 1


def main() -> int:
    """Run the command line."""
    command = cappa.parse(Explain)
    return run_command(command.run)


if __name__ == '__main__':
    sys.exit(main())
