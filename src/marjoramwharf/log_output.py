"""Rate-limited, non-blocking output of log lines.

A line over the rate limit, or for which a pipe has no space, is dropped and
counted; the count is logged before the next line that can be written.
Warnings and errors have a rate limit of their own.
"""

from __future__ import annotations

import json
import os
import time
from dataclasses import dataclass, field

_LINES_PER_S = 200.0
_MAX_BURST_LINES = 600.0


@dataclass(slots=True)
class _LineBucket:
    """A token bucket that limits the rate of lines."""

    tokens: float = _MAX_BURST_LINES
    filled_s: float = 0

    def take(self, now_s: float) -> bool:
        """Take the token of one line; return false if there is none."""
        refilled = (now_s - self.filled_s) * _LINES_PER_S
        self.tokens = min(_MAX_BURST_LINES, self.tokens + refilled)
        self.filled_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class BoundedOutput:
    """A structlog logger that writes whole lines to a file descriptor."""

    descriptor: int
    dropped_lines_count: int = 0
    _unreported_count: int = 0
    _unwritten: bytes = b''
    _normal_bucket: _LineBucket = field(default_factory=_LineBucket)
    _urgent_bucket: _LineBucket = field(default_factory=_LineBucket)

    def __post_init__(self) -> None:
        """Make the descriptor non-blocking: writes fail if a pipe is full."""
        os.set_blocking(self.descriptor, False)

    def debug(self, line: str) -> None:
        """Write a line at the normal rate limit."""
        self._write_or_drop(line, self._normal_bucket)

    def info(self, line: str) -> None:
        """Write a line at the normal rate limit."""
        self._write_or_drop(line, self._normal_bucket)

    def warning(self, line: str) -> None:
        """Write a line at the rate limit of warnings and errors."""
        self._write_or_drop(line, self._urgent_bucket)

    def error(self, line: str) -> None:
        """Write a line at the rate limit of warnings and errors."""
        self._write_or_drop(line, self._urgent_bucket)

    def critical(self, line: str) -> None:
        """Write a line at the rate limit of warnings and errors."""
        self._write_or_drop(line, self._urgent_bucket)

    def _write_or_drop(self, line: str, bucket: _LineBucket) -> None:
        if not bucket.take(time.monotonic()):
            self._count_dropped()
            return
        if self._unreported_count and self._write(self._format_notice()):
            self._unreported_count = 0
        if not self._write(line):
            self._count_dropped()

    def _format_notice(self) -> str:
        return json.dumps(
            {
                'event': 'logs: lines left out',
                'count': self._unreported_count,
                'level': 'warning',
            },
        )

    def _count_dropped(self) -> None:
        self.dropped_lines_count += 1
        self._unreported_count += 1

    def _write(self, line: str) -> bool:
        """Write a line after the rest of the previous one.

        Return false if no byte of the line could be written.
        """
        if self._unwritten and not self._flush():
            return False
        self._unwritten = f'{line}\n'.encode()
        size_bytes = len(self._unwritten)
        self._flush()
        # The rest of a partly written line is written before the next line.
        if len(self._unwritten) == size_bytes:
            self._unwritten = b''
            return False
        return True

    def _flush(self) -> bool:
        try:
            written = os.write(self.descriptor, self._unwritten)
        except OSError:
            return False
        self._unwritten = self._unwritten[written:]
        return not self._unwritten
