"""TCP connections to an address without a name lookup."""

from __future__ import annotations

import socket

import trio


async def open_stream(host: str, port: int) -> trio.SocketStream:
    """Connect to an IPv4 address; raises ``OSError`` as the system does.

    Unlike ``trio.open_tcp_stream`` it keeps ``ConnectionRefusedError`` apart
    from other failures.
    """
    opened = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await opened.connect((host, port))
    except BaseException:
        opened.close()
        raise
    return trio.SocketStream(opened)
