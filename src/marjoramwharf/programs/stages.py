"""``marjoramwharf-stages``: what jobs waited for, from logs of all entries.

    marjoramwharf-stages entry-*.log

Prints a row for each queue and stage with the median and the 90th percentile
over the finished jobs of the queue. The stages of a job are: until its owner
knows of it (``accept``), attempts that failed or were moved (``retry``), waiting
for room (``wait``), storing the plan and starting (``start``), running (``run``),
and what is left (``rest``). Unreadable lines are counted and reported.
"""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import cappa

from marjoramwharf.programs._command_line import JsonOption, run_command
from marjoramwharf.programs._log_files import (
    FilesArg,
    LogLine,
    LogReader,
    read_sources,
)
from marjoramwharf.programs._output import Row, print_rows

_FINISHED_EVENT = 'cell: job finished'
_DONE_PHASE = 'done'
_P90 = 0.9
_MEDIAN = 0.5

# The logged times of a job that its stages are named after.
_LOGGED_STAGES = (
    ('retry', 'retried_s'),
    ('wait', 'waited_s'),
    ('start', 'started_s'),
    ('run', 'ran_s'),
)


def build_rows(lines: Iterable[LogLine]) -> list[Row]:
    """Return a row for each queue and stage, over the jobs that are done."""
    times: dict[str, dict[str, list[float]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for line in lines:
        if line.event != _FINISHED_EVENT:
            continue
        if line.fields.get('phase') != _DONE_PHASE:
            continue
        queue = str(line.fields.get('queue', ''))
        for stage, passed_s in _stages_of(line.fields).items():
            times[queue][stage].append(passed_s)
    return [
        {
            'queue': queue,
            'stage': stage,
            'jobs': len(values),
            'median_s': _quantile(values, _MEDIAN),
            'p90_s': _quantile(values, _P90),
        }
        for queue, stages in sorted(times.items())
        for stage, values in stages.items()
    ]


def _stages_of(fields: Mapping[str, object]) -> dict[str, float]:
    """Return the seconds that a job spent in each stage, and in all."""
    total_s = _seconds(fields, 'accepted_s')
    known_s = _seconds(fields, 'known_s')
    stages = {'accept': max(0, total_s - known_s)}
    for stage, name in _LOGGED_STAGES:
        stages[stage] = _seconds(fields, name)
    stages['rest'] = max(0, total_s - sum(stages.values()))
    stages['all'] = total_s
    return stages


def _seconds(fields: Mapping[str, object], name: str) -> float:
    """Return a logged time, 0 if an older version has not logged it."""
    logged = fields.get(name)
    return float(logged) if isinstance(logged, int | float) else 0


def _quantile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * share))
    return round(ordered[index], 3)


@cappa.command(name='marjoramwharf-stages')
@dataclass
class Stages:
    """Print what the jobs of each queue waited for."""

    files: FilesArg
    as_json: JsonOption = False

    def run(self) -> int:
        """Print the rows; returns 1 if no line tells of a finished job."""
        reader = LogReader()
        rows = build_rows(reader.parse(read_sources(self.files)))
        if rows:
            print_rows(rows, as_json=self.as_json)
        else:
            sys.stderr.write('no finished job in the logs\n')
        reader.print_unreadable()
        return 0 if rows else 1


def main() -> int:
    """Run the command line."""
    command = cappa.parse(Stages)
    return run_command(command.run)


if __name__ == '__main__':
    sys.exit(main())
