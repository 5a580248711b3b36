"""For how long the store keeps a finished job, and a cancellation without a job.

Both keep a write of the job's submission that is carried out late from storing
the job anew, so they have to outlast every such write.

    >>> retention_s(120_000)
    150.0
"""

from __future__ import annotations

# An entry stops to repeat the write of a submission after this time.
LONGEST_SUBMISSION_S = 60.0

# The store carries out a write at most so long after the entry sent it.
_LATEST_WRITE_S = 60.0

# A finished job is kept for this much longer than callers are promised.
_RETENTION_MARGIN_S = 30.0

_MS_PER_S = 1_000


def retention_s(status_ms: int) -> float:
    """Return the time to keep a job whose state has to be shown ``status_ms``."""
    promised_s = status_ms / _MS_PER_S + _RETENTION_MARGIN_S
    return max(promised_s, LONGEST_SUBMISSION_S + _LATEST_WRITE_S)
