"""The settings check of the daemon on the platform.

This module is imported only when there are command line arguments, since the
daemon itself takes none and has to start fast.
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
    """Check a settings file of the platform and print what it configures."""

    check: Annotated[
        pathlib.Path,
        cappa.Arg(long='--check', help='The settings file.'),
    ]

    def run(self) -> int:
        """Print the identity, addresses and cores that the file sets."""
        settings = settings_file.load_instance_settings(self.check)
        sys.stdout.write(
            f'{settings.entry_id} in {settings.data_centre}: '
            f'front {settings.front}, peers {settings.peer_ports}, '
            f'store {settings.store_address}, {settings.cpu_share:.2f} cores\n',
        )
        return 0


def check_settings() -> int:
    """Run the command line and return the exit code."""
    return run_command(cappa.parse(Check).run)
