"""Reads JSON files with comments into validated models.

The syntax is JSON with comments and trailing commas. A model is a
``msgspec.Struct``; its annotations state the allowed ranges.
"""

from __future__ import annotations

import pathlib
from typing import TypeVar

import json5
import msgspec

from marjoramwharf.errors import BadSettings

# Larger files are refused before they are parsed.
MAX_FILE_BYTES = 1_000_000

_Model = TypeVar('_Model', bound=msgspec.Struct)


def load_file(path: pathlib.Path, model: type[_Model]) -> _Model:
    """Read and validate a file.

    Raises ``BadSettings`` with a message that names the file, the field and
    the allowed range or type.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as failure:
        raise BadSettings(message=f'{path}: {failure}') from failure
    return load_text(text, model, origin=str(path))


def load_text(text: str, model: type[_Model], *, origin: str) -> _Model:
    """Parse and validate a text; ``origin`` is its name in error messages."""
    if len(text) > MAX_FILE_BYTES:
        raise BadSettings(
            message=f'{origin}: file is larger than {MAX_FILE_BYTES} bytes',
        )
    try:
        tree = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as failure:
        raise BadSettings(message=f'{origin}: {failure}') from failure
    try:
        return msgspec.convert(tree, model)
    except (msgspec.ValidationError, UnicodeError) as failure:
        raise BadSettings(message=f'{origin}: {failure}') from failure
