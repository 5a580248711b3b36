"""TCP connections to IP addresses, without name resolution."""

from __future__ import annotations

import errno
import socket

import trio


async def open_stream(host: str, port: int) -> trio.SocketStream:
    """Connect to an IPv4 address; raises the ``OSError`` of the system call.

    ``trio.open_tcp_stream`` doesn't tell ``ConnectionRefusedError`` from other
    failures. An address that can't exist raises ``OSError`` too, since it may
    come from another process.
    """
    connection_socket = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await connection_socket.connect((host, port))
    except (OverflowError, ValueError) as failure:
        connection_socket.close()
        raise OSError(errno.EINVAL, f'no address: {host}:{port}') from failure
    except BaseException:
        connection_socket.close()
        raise
    return trio.SocketStream(connection_socket)
