"""The room that is held back from lasting tasks for short ones."""

from __future__ import annotations

import unittest

from marjoramwharf.cells.records import restore_job
from marjoramwharf.scheduling.interference import InterferenceModel
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.planner import Planner
from tests.scheduling.fixtures import (
    QUEUES,
    add_job,
    make_fleet,
    make_step,
    make_worker,
)

_DAY_MS = 86_400_000
_LATER_S = 30.0


class ShortWorkTests(unittest.TestCase):
    """Guards against room held for work that doesn't come any more."""

    def setUp(self) -> None:
        """Start without jobs."""
        self.job_table = JobTable()

    def test_entry_with_a_clock_ahead(self) -> None:
        """Guards against arrivals that are kept until another clock's time."""
        ahead = add_job(
            self.job_table,
            'ahead',
            make_step(2, cpu_millicores=32_000),
            accepted_at_ms=_DAY_MS,
        )
        self.job_table.cancel(ahead.job_id, now_s=0)
        self.assertEqual(1, self._lasting_starts(now_s=_LATER_S))

    def test_work_of_long_ago(self) -> None:
        """Guards against a new owner that holds room for all jobs it reads."""
        sample = add_job(
            JobTable(), 'old', make_step(cpu_millicores=32_000)
        ).request
        now_ms = int(_LATER_S * 1_000)
        add_job(
            self.job_table,
            'recent',
            make_step(cpu_millicores=100),
            accepted_at_ms=now_ms,
            now_s=_LATER_S,
        )
        restored = restore_job(sample, None, revision=0, now_s=_LATER_S)
        self.job_table.add_restored(restored, now_s=_LATER_S, now_ms=now_ms)
        self.job_table.cancel(restored.job_id, now_s=_LATER_S)
        self.assertEqual(1, self._lasting_starts(now_s=_LATER_S))

    def _lasting_starts(self, *, now_s: float) -> int:
        """Return how many of one lasting task start beside the short work."""
        lasting = add_job(
            self.job_table,
            'last',
            make_step(is_lasting=True),
            accepted_at_ms=int(now_s * 1_000),
            now_s=now_s,
        )
        planner = Planner(
            self.job_table,
            make_fleet(make_worker('w1'), make_worker('w2')),
            InterferenceModel(),
            lambda _step: None,
        )
        planner.plan(QUEUES, now_s=now_s, now_ms=int(now_s * 1_000))
        return sum(1 for _ in lasting.live_runs())
