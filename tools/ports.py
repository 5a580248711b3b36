"""TCP ports for the child processes of a local run.

The ports lie below those that the system gives to outgoing connections, and
each run locks the ones that it draws, so that runs side by side never share a
port. A lock ends with the process that holds it.
"""

from __future__ import annotations

import fcntl
import os
import pathlib
import random
import socket
import tempfile
from collections.abc import Sequence

_FIRST_PORT = 12_000
_END_PORT = 32_000
_BLOCK_PORTS_COUNT = 16
_HOSTS = ('127.0.0.1', '127.0.0.2', '127.0.0.3')
_ATTEMPTS_COUNT = 1_000

# Open descriptors of the lock files, kept until the process ends.
_locks: list[int] = []


class NoFreePorts(Exception):
    """No range of free ports was found."""


def free_ports(count: int) -> list[int]:
    """Return consecutive ports that no process listens on, and keep them.

    They are free on the loopback addresses that local runs use. Raises
    ``NoFreePorts``.
    """
    blocks_count = -(-count // _BLOCK_PORTS_COUNT)
    last_start = (_END_PORT - _FIRST_PORT) // _BLOCK_PORTS_COUNT - blocks_count
    for _ in range(_ATTEMPTS_COUNT):
        start = random.randint(0, last_start)
        first = _FIRST_PORT + start * _BLOCK_PORTS_COUNT
        ports = list(range(first, first + count))
        if _lock_blocks(range(start, start + blocks_count)):
            if all(_is_free(host, port) for host in _HOSTS for port in ports):
                return ports
    raise NoFreePorts(f'no {count} free ports in a row')


def _lock_blocks(blocks: Sequence[int]) -> bool:
    """Lock all blocks; return false, with none locked, if one is taken."""
    descriptors: list[int] = []
    for block in blocks:
        descriptor = os.open(_lock_path(block), os.O_RDWR | os.O_CREAT)
        descriptors.append(descriptor)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            for opened in descriptors:
                os.close(opened)
            return False
    _locks.extend(descriptors)
    return True


def _lock_path(block: int) -> pathlib.Path:
    folder = pathlib.Path(tempfile.gettempdir()) / 'marjoramwharf-ports'
    folder.mkdir(exist_ok=True)
    return folder / str(block)


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as candidate:
        try:
            candidate.bind((host, port))
        except OSError:
            return False
    return True
