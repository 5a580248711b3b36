"""Reads request bodies and checks header values for the HTTP interfaces."""

from __future__ import annotations

from quart import request


async def read_body(max_bytes: int) -> bytes | None:
    """Read the body of the current request; return ``None`` if too large.

    The declared length may be missing or wrong, so the received bytes are
    counted, and reading stops at the limit to save memory.
    """
    if (request.content_length or 0) > max_bytes:
        return None
    body = bytearray()
    async for chunk in request.body:
        body.extend(chunk)
        if len(body) > max_bytes:
            return None
    return bytes(body)


def is_header_safe(text: str) -> bool:
    """Return whether a text can be a header value without encoding.

    >>> is_header_safe('k-1'), is_header_safe('cl\u00e9')
    (True, False)
    """
    return text.isascii() and text.isprintable()
