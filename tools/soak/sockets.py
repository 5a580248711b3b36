"""Tells which of the soak's processes opened a connection on loopback."""

from __future__ import annotations

import pathlib
from contextlib import suppress

_PROC = pathlib.Path('/proc')

# Columns of /proc/PID/net/tcp: the local address, and the inode of the socket.
_LOCAL_ADDRESS_FIELD = 1
_INODE_FIELD = 9


def has_port(pid: int, port: int) -> bool:
    """Whether a process has a connection from a local port.

    A process that has ended has none.
    """
    with suppress(OSError):
        inodes = _inodes_of(pid, port)
        return any(
            _links_to(descriptor, inodes)
            for descriptor in (_PROC / str(pid) / 'fd').iterdir()
        )
    return False


def _inodes_of(pid: int, port: int) -> frozenset[str]:
    table = (_PROC / str(pid) / 'net' / 'tcp').read_text()
    rows = [line.split() for line in table.splitlines()[1:]]
    return frozenset(
        f'socket:[{row[_INODE_FIELD]}]'
        for row in rows
        if row[_LOCAL_ADDRESS_FIELD].endswith(f':{port:04X}')
    )


def _links_to(descriptor: pathlib.Path, inodes: frozenset[str]) -> bool:
    with suppress(OSError):
        return str(descriptor.readlink()) in inodes
    return False
