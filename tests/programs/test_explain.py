"""The timeline of a job from the logs of several entries."""

from __future__ import annotations

import json
import unittest

from marjoramwharf.programs.explain import build_timeline, describe

_JOB = '5c0e7a21d94b36f8'


def _line(second: int, event: str, **fields: object) -> str:
    clock = str(second).zfill(2)
    body = {'timestamp': f'2026-01-01T00:00:{clock}Z', 'event': event}
    return json.dumps({**body, **fields})


class ExplainTests(unittest.TestCase):
    """Guards against a timeline without the cause of a delay."""

    def test_job_delayed_by_a_worker(self) -> None:
        """Guards against lines of other jobs and omitted context events."""
        first = [
            _line(1, 'intake: job accepted', job=_JOB),
            _line(1, 'intake: job accepted', job='other'),
            'not json',
            _line(9, 'cell: job finished', job=_JOB, phase='failed'),
        ]
        second = [
            _line(2, 'cell: runs planned', job=_JOB, workers=['w1']),
            _line(3, 'worker: worker lost', worker='w1'),
            _line(3, 'worker: worker lost', worker='w2'),
            _line(4, 'owner: ownership taken', fence=7),
            _line(5, 'cell: run ended', task=f'{_JOB}.0.0.1', how='vanished'),
            _line(20, 'worker: worker reached', worker='w1'),
        ]
        timeline = build_timeline(_JOB, {'e1': first, 'e2': second})
        events = [line.event for line in timeline.lines]
        self.assertEqual(
            [
                'intake: job accepted',
                'cell: runs planned',
                'worker: worker lost',
                'owner: ownership taken',
                'cell: run ended',
                'cell: job finished',
            ],
            events,
        )
        self.assertEqual(1, timeline.reader.unreadable_count)
        self.assertIn('worker=w1', describe(timeline.lines[2]))

    def test_unfinished_job(self) -> None:
        """Guards against a job that waits without the lines that say why."""
        waiting = [{'task': 'other.0.0.0', 'outcome': 'ruled_out'}]
        lines = [
            _line(1, 'intake: job accepted', job=_JOB),
            _line(9, 'cell: tasks wait', tasks=waiting),
        ]
        timeline = build_timeline(_JOB, {'e1': lines})
        self.assertEqual(2, len(timeline.lines))
        self.assertEqual(1, len(build_timeline('other', {'e1': lines}).lines))
        finished = _line(5, 'cell: job finished', job=_JOB)
        timeline = build_timeline(_JOB, {'e1': lines, 'e2': [finished]})
        self.assertEqual(2, len(timeline.lines))

    def test_unknown_job(self) -> None:
        """Guards against context events for a job that no line names."""
        timeline = build_timeline('none', {'e1': [_line(1, 'main: started')]})
        self.assertFalse(timeline.lines)
