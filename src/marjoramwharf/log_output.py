"""Output of log lines that is bounded and never blocks.

A line that would exceed the budget, or that a full pipe doesn't take, is left
out and counted; the count is logged once there is room again. Warnings and
errors have a budget of their own.
"""

from __future__ import annotations

import json
import os
import time
from dataclasses import dataclass, field

_LINES_PER_S = 200.0
_BURST_LINES = 600.0


@dataclass(slots=True)
class _Budget:
    """A token bucket of lines."""

    tokens: float = _BURST_LINES
    filled_s: float = 0

    def take(self, now_s: float) -> bool:
        """Take one line, if there is one."""
        gained = (now_s - self.filled_s) * _LINES_PER_S
        self.tokens = min(_BURST_LINES, self.tokens + gained)
        self.filled_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class BoundedOutput:
    """A logger for structlog that writes whole lines to a descriptor."""

    descriptor: int
    dropped_lines_count: int = 0
    _unreported_count: int = 0
    _rest: bytes = b''
    _usual: _Budget = field(default_factory=_Budget)
    _urgent: _Budget = field(default_factory=_Budget)

    def __post_init__(self) -> None:
        """Let writes fail rather than wait."""
        os.set_blocking(self.descriptor, False)

    def debug(self, line: str) -> None:
        """Write a line of little importance."""
        self._offer(line, self._usual)

    def info(self, line: str) -> None:
        """Write a usual line."""
        self._offer(line, self._usual)

    def warning(self, line: str) -> None:
        """Write an urgent line."""
        self._offer(line, self._urgent)

    def error(self, line: str) -> None:
        """Write an urgent line."""
        self._offer(line, self._urgent)

    def critical(self, line: str) -> None:
        """Write an urgent line."""
        self._offer(line, self._urgent)

    def _offer(self, line: str, budget: _Budget) -> None:
        if not budget.take(time.monotonic()):
            self._leave_out()
            return
        if self._unreported_count and self._write(self._report()):
            self._unreported_count = 0
        if not self._write(line):
            self._leave_out()

    def _report(self) -> str:
        return json.dumps(
            {
                'event': 'logs: lines left out',
                'count': self._unreported_count,
                'level': 'warning',
            },
        )

    def _leave_out(self) -> None:
        self.dropped_lines_count += 1
        self._unreported_count += 1

    def _write(self, line: str) -> bool:
        """Write a line after the rest of the one before; tell if it went."""
        if self._rest and not self._flush():
            return False
        self._rest = f'{line}\n'.encode()
        before = len(self._rest)
        self._flush()
        # A line that was begun is finished before the next one.
        if len(self._rest) == before:
            self._rest = b''
            return False
        return True

    def _flush(self) -> bool:
        try:
            written = os.write(self.descriptor, self._rest)
        except OSError:
            return False
        self._rest = self._rest[written:]
        return not self._rest
