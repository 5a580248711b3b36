"""The answers to a submitted release note.

``NotRun`` and ``Unknown`` come from the request path: the note was certainly
not accepted, or it is not known whether it was.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from marjoramwharf.contracts.release_note import Problem
from marjoramwharf.errors import Reason
from marjoramwharf.service.request import NotRun, Unknown


@dataclass(frozen=True, slots=True)
class Accepted:
    """The note is in force from this revision on."""

    revision: int
    is_repeat: bool = False


@dataclass(frozen=True, slots=True)
class NoteConflict:
    """Another note, accepted after the base, sets the same fields."""

    note_id: str
    author: str
    revision: int
    fields: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NoteRefused:
    """The note doesn't fit the configuration, or its base is not usable."""

    reason: Reason
    message: str
    problems: tuple[Problem, ...] = ()


Answer: TypeAlias = Accepted | NoteConflict | NoteRefused | NotRun | Unknown
