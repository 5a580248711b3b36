"""Log output that is rate-limited and never blocks."""

from __future__ import annotations

import json
import os
import unittest

from marjoramwharf.log_output import BoundedOutput


class BoundedOutputTests(unittest.TestCase):
    """Guards against logging that blocks, or drops lines without a report."""

    def setUp(self) -> None:
        """Log into a pipe."""
        reader, writer = os.pipe()
        self.reader = reader
        os.set_blocking(self.reader, False)
        self.output = BoundedOutput(writer)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)

    def test_full_pipe(self) -> None:
        """Guards against blocking on a pipe that nobody reads."""
        for _ in range(500):
            self.output.warning('x' * 1_000)
        self.assertGreater(self.output.dropped_lines_count, 0)
        text = self._read_text()
        self.output.warning('after')
        lines = (text + self._read_text()).splitlines()
        self.assertEqual('after', lines[-1])
        reports = [line for line in lines if line.startswith('{')]
        reported_count = sum(json.loads(report)['count'] for report in reports)
        self.assertEqual(self.output.dropped_lines_count, reported_count)
        others = set(lines) - set(reports)
        self.assertEqual({'x' * 1_000, 'after'}, others)

    def test_rate_limit(self) -> None:
        """Guards against a burst of info lines that displaces an error."""
        for _ in range(5_000):
            self.output.info('usual')
        self.output.error('urgent')
        lines = self._read_text().splitlines()
        self.assertLess(len(lines), 1_500)
        self.assertEqual('urgent', lines[-1])

    def _read_text(self) -> str:
        text = b''
        while True:
            try:
                text += os.read(self.reader, 65_536)
            except BlockingIOError:
                return text.decode()
