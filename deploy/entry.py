"""Starts the daemon of an entry from a checkout, without installing it."""

from __future__ import annotations

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'src'))

from marjoramwharf.programs.platform_entry import main  # noqa: E402

if __name__ == '__main__':
    main()
