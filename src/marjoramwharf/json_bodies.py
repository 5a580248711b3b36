"""Decodes JSON that comes from outside the process."""

from __future__ import annotations

from typing import TypeVar

import msgspec

_Model = TypeVar('_Model')


def decode_json(raw: bytes | str, model: type[_Model]) -> _Model:
    """Decode a body into a model; raises ``msgspec.DecodeError`` only.

    msgspec itself also raises ``RecursionError`` for a text that is nested
    too deeply and ``UnicodeError`` for some malformed texts.

    >>> decode_json(b'[1]', list[int])
    [1]
    """
    try:
        decoded: _Model = msgspec.json.decode(raw, type=model)
    except (RecursionError, UnicodeError) as failure:
        message = f'unreadable: {type(failure).__name__}'
        raise msgspec.DecodeError(message) from failure
    return decoded
