"""Child processes of a local fleet, with their processor time and memory."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field

_KB_BYTES = 1_024
_LOG_TAIL_CHARS = 600
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
# Index of ``utime`` after the name in /proc/PID/stat; ``stime`` follows it.
_USER_TICKS_FIELD = 11


class ProcessExited(Exception):
    """A child process exited before it answered requests."""


@dataclass(slots=True)
class Process:
    """One child process; ``environment`` is added to that of the parent."""

    name: str
    arguments: tuple[str, ...]
    log_path: pathlib.Path
    environment: Mapping[str, str] = field(default_factory=dict)
    popen: subprocess.Popen[bytes] = field(init=False)
    _cpu_mark_s: float = 0

    def __post_init__(self) -> None:
        """Start the process."""
        self.start()

    def start(self) -> None:
        """Start the process, or restart it after its end."""
        with self.log_path.open('ab') as log:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', *self.arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={
                    **os.environ,
                    # The child finds the modules that this process finds.
                    'PYTHONPATH': os.pathsep.join(sys.path),
                    **self.environment,
                },
            )

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            self.popen.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process, also a suspended one, and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.popen.wait()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen.poll() is None

    def raise_if_ended(self) -> None:
        """Raise ``ProcessExited``, with the end of the log, once it ended."""
        if not self.is_running:
            tail = self.log_path.read_text()[-_LOG_TAIL_CHARS:]
            raise ProcessExited(f'{self.name} ended: {tail}')

    def mark_cpu(self) -> None:
        """Record the processor time that ``cpu_since_mark_s`` counts from."""
        self._cpu_mark_s = self.cpu_s()

    def cpu_since_mark_s(self) -> float:
        """Return the processor time since the mark, in seconds."""
        return max(0, self.cpu_s() - self._cpu_mark_s)

    def cpu_s(self) -> float:
        """Return the processor time of the process, 0 after its end."""
        path = pathlib.Path(f'/proc/{self.popen.pid}/stat')
        try:
            fields = path.read_text().rsplit(')', 1)[1].split()
        except (OSError, IndexError):
            return 0
        ticks = sum(map(int, fields[_USER_TICKS_FIELD : _USER_TICKS_FIELD + 2]))
        return ticks / _TICKS_PER_S

    def resident_bytes(self) -> int:
        """Return the resident memory of the process, 0 after its end."""
        path = pathlib.Path(f'/proc/{self.popen.pid}/status')
        try:
            lines = path.read_text().splitlines()
        except OSError:
            return 0
        for line in lines:
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * _KB_BYTES
        return 0
