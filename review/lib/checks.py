"""Checks of rules over a record, from what workers have seen."""

from __future__ import annotations

import math

from review.lib.record import Event, Record


def parallel_runs(record: Record, job_id: str) -> list[tuple[Event, Event]]:
    """Return the pairs of runs of one task of a job at work at the same time."""
    spans = [
        (event, _end_s(record, event))
        for event in record.of('started')
        if str(event.fields['task']).startswith(job_id)
    ]
    return [
        (first, second)
        for number, (first, first_end_s) in enumerate(spans)
        for second, _second_end_s in spans[number + 1 :]
        if first.fields['task'] == second.fields['task'] and second.at_s < first_end_s
    ]


def _end_s(record: Record, started: Event) -> float:
    ends = record.of(
        'ended',
        worker=started.fields['worker'],
        task=started.fields['task'],
        run=started.fields['run'],
    )
    return min((end.at_s for end in ends if end.at_s >= started.at_s), default=math.inf)
