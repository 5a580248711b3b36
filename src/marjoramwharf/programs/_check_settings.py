"""The command line of the daemon on the platform: a check of its settings.

It is imported only when there are arguments, since the daemon itself takes
none and has to start fast.
"""

from __future__ import annotations

import pathlib
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from marjoramwharf.platform import settings_file
from marjoramwharf.programs._command_line import run_command


@cappa.command(name='marjoramwharf-platform-entry')
@dataclass
class Check:
    """Read a settings file of the platform and say what it means."""

    check: Annotated[
        pathlib.Path,
        cappa.Arg(long='--check', help='The settings file.'),
    ]

    def run(self) -> int:
        """Print the place that the file describes."""
        place = settings_file.load_instance_settings(self.check)
        sys.stdout.write(
            f'{place.entry_id} in {place.data_centre}: front {place.front}, '
            f'peers {place.peer_ports}, store {place.store_address}, '
            f'{place.cpu_share:.2f} cores\n',
        )
        return 0


def check_settings() -> int:
    """Run the command line and return the exit code."""
    return run_command(cappa.parse(Check).run)
