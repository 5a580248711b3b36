"""Entries and workers as real processes on the stand-in platform."""

from __future__ import annotations

import unittest

import trio

from tools.platform_demo import run_demo


class PlatformPathTests(unittest.TestCase):
    """Guards against jobs lost or run twice when the owner is killed."""

    def test_owner_is_killed(self) -> None:
        """Guards against faults that show only between real processes."""
        report = trio.run(run_demo)
        self.assertEqual(40, len(report.accepted))
        self.assertEqual({'completed': 40}, dict(report.states))
        self.assertFalse(report.doubled_tasks)
