"""What jobs waited for, from the logs of several entries."""

from __future__ import annotations

import json
import unittest

from marjoramwharf.programs._log_files import LogReader
from marjoramwharf.programs._output import Row
from marjoramwharf.programs.stages import build_rows

_TIMES = {
    'accepted_s': 4.0,
    'known_s': 3.5,
    'retried_s': 1.0,
    'waited_s': 0.75,
    'started_s': 0.25,
    'ran_s': 1.0,
}


def _line(**fields: object) -> str:
    return json.dumps(
        {'event': 'cell: job finished', 'phase': 'done', **fields}
    )


def _rows(*lines: str) -> dict[tuple[str, str], Row]:
    rows = build_rows(LogReader().parse({'e1': lines}))
    return {(row['queue'], row['stage']): row for row in rows}


class StagesTests(unittest.TestCase):
    """Guards against a table that blames the wrong stage."""

    def test_stages_add_up(self) -> None:
        """Guards against time that no stage accounts for."""
        rows = _rows(_line(queue='q', **_TIMES))
        medians = {stage: row['median_s'] for (_, stage), row in rows.items()}
        expected = {
            'accept': 0.5,
            'retry': 1.0,
            'wait': 0.75,
            'start': 0.25,
            'run': 1.0,
            'rest': 0.5,
            'all': 4.0,
        }
        self.assertEqual(expected, medians)

    def test_queues_are_apart(self) -> None:
        """Guards against jobs that count for another queue, or twice."""
        rows = _rows(
            *(_line(queue='q', accepted_s=number) for number in range(10)),
            _line(queue='r', accepted_s=100),
            _line(queue='r', accepted_s=5, phase='failed'),
            json.dumps({'event': 'cell: runs planned', 'queue': 'q'}),
            'not json',
        )
        self.assertEqual(10, rows['q', 'all']['jobs'])
        self.assertEqual(5, rows['q', 'all']['median_s'])
        self.assertEqual(9, rows['q', 'all']['p90_s'])
        self.assertEqual(1, rows['r', 'all']['jobs'])

    def test_line_of_an_older_version(self) -> None:
        """Guards against a failure on logs without these times."""
        rows = _rows(_line(job='j', known_s=2.0))
        self.assertEqual(0, rows['', 'all']['median_s'])

    def test_nothing_finished(self) -> None:
        """Guards against a table that is made up."""
        self.assertFalse(_rows('{"event": "main: started"}'))
