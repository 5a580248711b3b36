"""An HTTP server on loopback that answers every request with the same body.

It runs in a thread of its own. The caller measures the processor time of its
own thread, so that the time of the server is not counted.
"""

from __future__ import annotations

import socket
import threading

_CHUNK_BYTES = 65_536


def serve_body(body: bytes) -> str:
    """Start a daemon thread that serves one connection; return the base URL."""
    listener = socket.create_server(('127.0.0.1', 0))
    port = listener.getsockname()[1]
    threading.Thread(
        target=_serve_connection,
        args=(listener, body),
        daemon=True,
    ).start()
    return f'http://127.0.0.1:{port}'


def _serve_connection(listener: socket.socket, body: bytes) -> None:
    head = (
        f'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    answer = head.encode() + body
    connection, _ = listener.accept()
    with connection:
        while _read_request(connection):
            connection.sendall(answer)


def _read_request(connection: socket.socket) -> bool:
    """Read one request, whose JSON body ends with a brace.

    Returns ``False`` if the caller has closed the connection.
    """
    received = b''
    while not received.endswith(b'}'):
        chunk = connection.recv(_CHUNK_BYTES)
        if not chunk:
            return False
        received += chunk
    return True
