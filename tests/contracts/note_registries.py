"""Note registries on an in-memory store, for tests."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from marjoramwharf.contracts.note_registry import NoteRegistry
from marjoramwharf.contracts.release_note import ReleaseNote
from marjoramwharf.ids import EntryId
from marjoramwharf.logs import configure_logs
from standins.memory_store import MemoryStore
from tests.contracts.notes import note_of


def quiet_logs() -> None:
    """Suppress the expected warnings in the output of the tests."""
    configure_logs(as_json=False, level=logging.CRITICAL)


def _mock_now_ms() -> int:
    return round(trio.current_time() * 1000)


def registry_on(
    store: MemoryStore,
    name: str = 'entry-1',
    now_ms: Callable[[], int] = _mock_now_ms,
) -> NoteRegistry:
    """Return a registry with a fixed jitter."""
    return NoteRegistry(
        store,
        entry=EntryId(name),
        now_ms=now_ms,
        jitter=lambda: 0.5,
    )


def run_test(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test with a mock clock that skips idle time."""
    trio.run(test, clock=MockClock(autojump_threshold=0))


def admit(worker: str, note_id: str | None = None) -> ReleaseNote:
    """Return a note that admits a worker."""
    return note_of(
        f'"instances": {{"admitted": ["{worker}"]}}',
        note_id=note_id or f'admit-{worker}',
        author=f'author of {worker}',
    )
