"""Tests of the HTTP endpoints for release notes."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio
from quart_trio import QuartTrio
from trio.testing import MockClock

from marjoramwharf.contracts.note_api import (
    MAX_NOTE_BYTES,
    bearer_check,
    note_blueprint,
)
from marjoramwharf.contracts.note_registry import NoteRegistry
from marjoramwharf.ids import EntryId
from standins.memory_store import MemoryStore
from tests.contracts.notes import note_of

_TOKEN = 'a-token-of-16-bytes'  # noqa: S105
_OPERATOR = {'Authorization': f'Bearer {_TOKEN}'}


class NoteApiTests(unittest.TestCase):
    """Guards against answers from which an operator can't tell the outcome."""

    def setUp(self) -> None:
        """Serve a note registry on an empty store."""
        self.store = MemoryStore()
        registry = NoteRegistry(
            self.store,
            entry=EntryId('entry-1'),
            now_ms=lambda: 5,
        )
        app = QuartTrio('notes')
        app.register_blueprint(note_blueprint(registry, bearer_check(_TOKEN)))
        self.client = app.test_client()

    def test_token_is_needed(self) -> None:
        """Guards against unauthorised notes, and a crash on non-ASCII."""

        async def check() -> None:
            for header in ({}, {'Authorization': 'Bearer no\u00e9'}):
                answer = await self.client.post('/v1/notes', headers=header)
                self.assertEqual(answer.status_code, 401)
                read = await self.client.get('/v1/notes/current')
                self.assertEqual(read.status_code, 401)

        _run(check)

    def test_accepted_note_is_current_and_in_history(self) -> None:
        """Guards against an accepted note that the endpoints don't show."""

        async def check() -> None:
            note = note_of('"limits": {"team_count": 100}')
            status, body = await self._post(msgspec.json.encode(note))
            self.assertEqual((status, body['revision']), (200, 1))
            current = await self._get('/v1/notes/current')
            self.assertEqual(current['since_ms'], 5)
            limits = current['configuration']['limits']
            self.assertEqual(limits['team_count'], 100)
            history = await self._get('/v1/notes/history?limit=3')
            self.assertEqual(history['notes'][0]['note']['author'], 'ana')
            wrong = await self._get('/v1/notes/history?limit=x')
            self.assertEqual(wrong['reason'], 'bad_request')

        _run(check)

    def test_conflict_names_note_author_and_fields(self) -> None:
        """Guards against a refusal that doesn't say what conflicts."""

        async def check() -> None:
            for note_id in ('n-1', 'n-2'):
                note = note_of(
                    '"based_on": 0, "policy": {"evictions": 1}',
                    note_id=note_id,
                )
                status, body = await self._post(msgspec.json.encode(note))
            self.assertEqual((status, body['outcome']), (409, 'not_run'))
            expected = {
                'note_id': 'n-1',
                'author': 'ana',
                'revision': 1,
                'fields': ['policy.evictions'],
            }
            self.assertEqual(body['conflict'], expected)

        _run(check)

    def test_bad_bodies_are_refused(self) -> None:
        """Guards against large or malformed bodies reaching the registry."""

        async def check() -> None:
            for body, expected in (
                (b'{', 400),
                (b'\xff', 400),
                (b' ' * (MAX_NOTE_BYTES + 1), 413),
            ):
                status, answer = await self._post(body)
                self.assertEqual(status, expected)
                self.assertEqual(answer['outcome'], 'not_run')

        _run(check)

    def test_outage_has_a_retry_time(self) -> None:
        """Guards against a store outage that is answered like a bad note."""

        async def check() -> None:
            self.store.is_down = True
            note = note_of('"policy": {"evictions": 1}')
            status, body = await self._post(msgspec.json.encode(note))
            self.assertEqual((status, body['outcome']), (503, 'not_run'))
            self.assertEqual(body['retry_after_s'], 2)

        _run(check)

    async def _post(self, body: bytes) -> tuple[int, Any]:
        answer = await self.client.post(
            '/v1/notes',
            data=body,
            headers=_OPERATOR,
        )
        return answer.status_code, await answer.get_json()

    async def _get(self, path: str) -> Any:
        answer = await self.client.get(path, headers=_OPERATOR)
        return await answer.get_json()


def _run(test: Callable[[], Awaitable[None]]) -> None:
    trio.run(test, clock=MockClock(autojump_threshold=0))
