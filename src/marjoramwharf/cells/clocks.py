"""The clocks of an entry.

Leases are compared with the boot clock, which also counts the time for which
the machine was suspended; a steady clock stands still then, and would make a
lapsed lease look valid.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

_MS_PER_S = 1_000

ClockSource = Callable[[], float]


def _read_boot_clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# The last source is the one in use; tests push their own.
_boot_sources: list[ClockSource] = [_read_boot_clock]
_wall_sources: list[ClockSource] = [time.time]


def boot_s() -> float:
    """Return the seconds since the machine started, suspensions included."""
    return _boot_sources[-1]()


def wall_ms() -> int:
    """Return the Unix time in milliseconds."""
    return int(_wall_sources[-1]() * _MS_PER_S)


@contextmanager
def replaced_clocks(source: ClockSource) -> Iterator[None]:
    """Read both clocks from another source within a ``with`` block."""
    _boot_sources.append(source)
    _wall_sources.append(source)
    try:
        yield
    finally:
        _boot_sources.pop()
        _wall_sources.pop()
