"""Child processes of a local run that end too early."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from tools.processes import Process, ProcessExited


class ProcessTests(unittest.TestCase):
    """Guards against a wait for a process that has ended."""

    def test_ended_process(self) -> None:
        """Guards against an error that doesn't say why the process ended."""
        with tempfile.TemporaryDirectory() as folder:
            log = pathlib.Path(folder) / 'child.log'
            child = Process('child', ('no_such_module',), log)
            child.popen.wait()
            with self.assertRaisesRegex(ProcessExited, 'no_such_module'):
                child.raise_if_ended()
