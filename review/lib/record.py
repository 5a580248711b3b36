"""The record of what was sent, answered and run, with one clock for all."""

from __future__ import annotations

import pathlib
import time
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Event:
    """Something that a stand-in saw, at a time since the start of the case."""

    at_s: float
    kind: str
    fields: dict[str, object]


@dataclass
class Record:
    """Collects events; ``save`` writes them as lines of text."""

    events: list[Event] = field(default_factory=list)
    _began_s: float = field(default_factory=time.monotonic)

    def now_s(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._began_s

    def add(self, kind: str, **fields: object) -> None:
        """Add an event that happens now."""
        self.events.append(Event(self.now_s(), kind, fields))

    def of(self, kind: str, **wanted: object) -> list[Event]:
        """Return the events of a kind whose fields have the wanted values."""
        return [
            event
            for event in self.events
            if event.kind == kind
            and all(event.fields.get(name) == text for name, text in wanted.items())
        ]

    def save(self, path: pathlib.Path) -> None:
        """Write the events, one line each."""
        lines = [
            f'{event.at_s:9.3f} {event.kind:10} '
            + ' '.join(f'{name}={text}' for name, text in event.fields.items())
            for event in self.events
        ]
        path.write_text('\n'.join(lines) + '\n', encoding='utf-8')
