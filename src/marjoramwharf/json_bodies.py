"""Decodes JSON that comes from outside the process.

Numbers of models that are decoded from outside have a range: one that is too
large for a float or for the stored form of a record would fail far from here.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

from msgspec import DecodeError, Meta, json

# Integers up to this one are exact as floats.
_MAX_EXACT = 2**53
_MAX_STORED = 2**63 - 1

Amount = Annotated[int, Meta(ge=0, le=_MAX_EXACT)]
SignedAmount = Annotated[int, Meta(ge=-_MAX_EXACT, le=_MAX_EXACT)]
Ratio = Annotated[float, Meta(ge=0, le=_MAX_EXACT)]
Serial = Annotated[int, Meta(ge=0, le=_MAX_STORED)]
Port = Annotated[int, Meta(ge=1, le=65_535)]

_Model = TypeVar('_Model')


def decode_json(raw: bytes | str, model: type[_Model]) -> _Model:
    """Decode a body into a model; raises ``msgspec.DecodeError`` only.

    msgspec itself also raises ``RecursionError`` for a text that is nested
    too deeply and ``UnicodeError`` for some malformed texts.

    >>> decode_json(b'[1]', list[int])
    [1]
    """
    try:
        decoded: _Model = json.decode(raw, type=model)
    except (RecursionError, UnicodeError) as failure:
        message = f'unreadable: {type(failure).__name__}'
        raise DecodeError(message) from failure
    return decoded
