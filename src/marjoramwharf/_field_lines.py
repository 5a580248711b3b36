"""Finds the line numbers of the fields in a JSON text with comments.

The parser of :mod:`jsonc` keeps no positions, but without them it is hard to
correct a note of some hundred lines. The scanner accepts every text that the
parser accepts; for other texts the result is incomplete.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from contextlib import suppress

_COMMENT = r'//[^\n]*|/\*.*?\*/'
_STRING = r'"(?:\\.|[^"\\])*"|\'(?:\\.|[^\'\\])*\''
_SYMBOL = r'[\[\]{}:,]'
_WORD = r'[^\s\[\]{}:,"\'/]+'
_TOKEN = re.compile(
    f'{_COMMENT}|(?P<token>{_STRING}|{_SYMBOL}|{_WORD})',
    re.DOTALL,
)


def find_field_lines(text: str) -> dict[str, int]:
    """Map the path of each field, such as ``$.limits.team``, to its line.

    >>> find_field_lines('{"a": [1, 2]}')['$.a[1]']
    1
    """
    lines = {'$': 1}
    scanner = _Scanner(_tokenize(text), lines)
    # The parser rejects a text nested this deeply; missing lines don't matter.
    with suppress(RecursionError):
        scanner.read_value('$')
    return lines


def find_line(lines: dict[str, int], path: str) -> int:
    """Return the line of a path, or else of its nearest parent in ``lines``."""
    while path not in lines and len(path) > 1:
        path = path[: max(path.rfind('.'), path.rfind('['), 1)]
    return lines.get(path, 1)


def _tokenize(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    counted_end = 0
    for match in _TOKEN.finditer(text):
        line += text.count('\n', counted_end, match.start())
        counted_end = match.start()
        token = match.group('token')
        if token is not None:
            yield token, line


class _Scanner:
    """Records the line of each field name and array item, recursively."""

    def __init__(
        self,
        tokens: Iterator[tuple[str, int]],
        lines: dict[str, int],
    ) -> None:
        self._tokens = tokens
        self._lines = lines

    def read_value(self, path: str) -> None:
        """Read the next value and record its lines under ``path``."""
        token, line = self._next()
        self._read_from(token, line, path)

    def _read_from(self, token: str, line: int, path: str) -> None:
        self._lines.setdefault(path, line)
        if token == '{':
            self._read_object(path)
        elif token == '[':
            self._read_array(path)

    def _read_object(self, path: str) -> None:
        token, line = self._next()
        while token not in {'}', ''}:
            if token == ',':
                token, line = self._next()
                continue
            name = token.strip('"\'')
            field = f'{path}.{name}'
            self._lines.setdefault(field, line)
            self._next()
            self.read_value(field)
            token, line = self._next()

    def _read_array(self, path: str) -> None:
        index = 0
        token, line = self._next()
        while token not in {']', ''}:
            if token != ',':
                self._read_from(token, line, f'{path}[{index}]')
                index += 1
            token, line = self._next()

    def _next(self) -> tuple[str, int]:
        return next(self._tokens, ('', 1))
