"""Compares the speeds of entries, in cores, for the ownership of a cell.

A cell may need more than a small entry has, and how much it needs shows only
once the entry is late. So entries are compared with each other: one is
*outclassed* by another that is more than twice as fast.

    >>> is_outclassed(0.5, 2.0)
    True
    >>> is_outclassed(1.9, 2.0)
    False
"""

from __future__ import annotations

_OUTCLASSED_SHARE = 0.5

# After an owner has given way, perhaps in vain, an outclassed one keeps the cell
# for this long, and twice as long with each further time.
_REPEATED_PATIENCE_S = 10.0


def is_outclassed(cpu_share: float, other_cpu_share: float) -> bool:
    """Whether an entry should leave the cell to another one."""
    return cpu_share < _OUTCLASSED_SHARE * other_cpu_share


def patience_s(given_way_count: int) -> float:
    """Return for how long an outclassed owner keeps the cell in any case.

    Owners have given way ``given_way_count`` times lately.

    >>> patience_s(0), patience_s(1), patience_s(3)
    (0, 10.0, 40.0)
    """
    if not given_way_count:
        return 0
    return _REPEATED_PATIENCE_S * 2.0 ** (given_way_count - 1)
