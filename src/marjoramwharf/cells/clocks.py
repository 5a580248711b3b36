"""The clocks of an entry.

Leases are compared with the boot clock, which also counts the time for which
the machine was suspended; a steady clock stands still then, and would make a
lapsed lease look valid.
"""

from __future__ import annotations

import time

_MS_PER_S = 1_000


def boot_s() -> float:
    """Return the seconds since the machine started, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the Unix time in milliseconds."""
    return int(time.time() * _MS_PER_S)
