"""``marjoramwharf-ctl`` against the note endpoints of simulated entries."""

from __future__ import annotations

import contextlib
import io
import json
import logging
import os
import pathlib
import tempfile
from typing import Any
from unittest import TestCase
from unittest.mock import patch

import httpx
import trio
from quart_trio import QuartTrio
from trio.testing import MockClock

from marjoramwharf.contracts.note_api import bearer_check, note_blueprint
from marjoramwharf.contracts.note_registry import NoteRegistry
from marjoramwharf.contracts.release_note import load_note
from marjoramwharf.ids import EntryId
from marjoramwharf.logs import configure_logs
from marjoramwharf.programs import ctl
from standins.kv_state import KeyValueState
from standins.memory_store import MemoryStore
from tests.contracts.notes import note_text

_ROOT = pathlib.Path(__file__).parents[2]
_TOKEN = 'a-token-of-16-bytes'  # noqa: S105
_ENTRIES = ('--entry', 'http://10.0.0.1:80', '--entry', 'http://10.0.0.2:80')


def setUpModule() -> None:  # noqa: N802
    """Keep the log of the entries out of the output of the commands."""
    configure_logs(as_json=False, level=logging.CRITICAL)


_COMMAND_LINE = 'marjoramwharf.programs._command_line'


class CtlTests(TestCase):
    """Guards against commands that hide what the entries answered."""

    def setUp(self) -> None:
        """Serve the note endpoints of two entries on one store."""
        state = KeyValueState()
        self.apps = {
            f'10.0.0.{number}': _app(MemoryStore(state), f'entry-{number}')
            for number in (1, 2)
        }
        self.failures: dict[str, Exception] = {}
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.file = self.folder / 'note.json'
        self.file.write_text(note_text('"limits": {"team_count": 100}'))
        self.enterContext(
            patch.dict(os.environ, {'MARJORAMWHARF_TOKEN': _TOKEN}),
        )

    def test_note_is_checked_compared_accepted_and_shown(self) -> None:
        """Guards against commands that show different states of one note."""
        path = str(self.file)
        checked = self._run('note', 'check', path, *_ENTRIES)
        self.assertEqual(
            (checked[0], 'fits revision 0' in checked[1]), (0, True)
        )
        diff = self._run('note', 'diff', path, '--json', *_ENTRIES)
        self.assertEqual(
            json.loads(diff[1]),
            [{'field': 'limits.team_count', 'before': 256, 'after': 100}],
        )
        accepted = self._run('note', 'accept', path, *_ENTRIES)
        self.assertEqual(accepted[:2], (0, 'n-1: accepted as revision 1\n'))
        history = self._run('note', 'history', *_ENTRIES)
        self.assertRegex(history[1], 'REVISION +NOTE +AUTHOR.*\n1 +n-1 +ana')
        shown = self._run('note', 'show', *_ENTRIES)
        self.assertEqual(json.loads(shown[1])['revision'], 1)
        status = self._run('note', 'status', *_ENTRIES)
        self.assertRegex(status[1], 'entry-1 +1 +n-1 +1970.*in force')
        self.assertRegex(status[1], 'entry-2 +0 .*behind 1')

    def test_conflict_is_explained(self) -> None:
        """Guards against a conflict that doesn't name the conflicting note."""
        self._run('note', 'accept', str(self.file), *_ENTRIES)
        self.file.write_text(
            note_text('"limits": {"team_count": 90}', note_id='n-2'),
        )
        code, _out, errors = self._run(
            'note',
            'accept',
            str(self.file),
            '--based-on',
            '0',
            *_ENTRIES,
        )
        self.assertEqual(code, 1)
        self.assertIn('note n-1 of ana, revision 1: limits.team_count', errors)

    def test_problems_name_file_line_and_field(self) -> None:
        """Guards against problems without the position in the note file."""
        self.file.write_text(note_text('"instances":\n{"withdrawn": ["w"]}'))
        code, _out, errors = self._run(
            'note',
            'check',
            str(self.file),
            *_ENTRIES,
        )
        self.assertEqual(code, 2)
        self.assertIn(f'{self.file}:6: $.instances.withdrawn[0]: ', errors)

    def test_token_file_and_wrong_token(self) -> None:
        """Guards against a token that is taken from the wrong place."""
        token = self.folder / 'token'
        token.write_text('wrong')
        options = ('--token-file', str(token), *_ENTRIES)
        self.assertEqual(self._run('note', 'show', *options)[0], 1)
        doctor = self._run('doctor', *options)
        self.assertEqual((doctor[0], 'token' in doctor[1]), (1, True))
        token.write_text(f'{_TOKEN}\n')
        self.assertEqual(self._run('note', 'show', *options)[0], 0)

    def test_unreachable_entries_are_named(self) -> None:
        """Guards against an entry that is left out of the output."""
        self.failures['10.0.0.2'] = httpx.ConnectError('refused')
        code, out, _errors = self._run('note', 'status', *_ENTRIES)
        self.assertEqual(code, 3)
        self.assertRegex(out, '10.0.0.2:80 .*unreachable')
        doctor = self._run('doctor', '--json', *_ENTRIES)
        self.assertEqual(doctor[0], 3)
        self.assertEqual(
            [found['entry'] for found in json.loads(doctor[1])],
            ['http://10.0.0.2:80', 'http://10.0.0.1:80'],
        )
        self.assertEqual(self._run('status', *_ENTRIES)[0], 3)

    def test_status_of_an_entry_that_refuses(self) -> None:
        """Guards against an HTML error page as the state of an entry."""
        code, out, errors = self._run('status', *_ENTRIES)
        self.assertEqual(code, 1)
        self.assertRegex(out, '10.0.0.2:80 +refused')
        self.assertIn('status 404 without a JSON object', errors)

    def test_closed_pipe(self) -> None:
        """Guards against a traceback when the reader of a pipe has ended."""
        with (
            patch(f'{_COMMAND_LINE}.abandon_output') as abandon,
            patch(
                'marjoramwharf.programs.ctl.settings_reference',
                side_effect=BrokenPipeError,
            ),
        ):
            self._run('settings-reference')
        abandon.assert_called_once_with()

    def test_drain_needs_one_entry(self) -> None:
        """Guards against draining all entries by one command."""
        self.assertEqual(self._run('drain', *_ENTRIES)[0], 2)
        self.assertEqual(self._run('drain', *_ENTRIES[:2])[0], 0)

    def test_settings_page_is_up_to_date(self) -> None:
        """Guards against a settings page that differs from the models."""
        page = (_ROOT / 'docs' / 'settings.md').read_text(encoding='utf-8')
        self.assertEqual(self._run('settings-reference')[1], page)

    def test_examples_fit_an_empty_deployment(self) -> None:
        """Guards against example notes that the check refuses."""
        for path in sorted((_ROOT / 'examples').glob('*-note.json')):
            with self.subTest(path=path.name):
                code, _out, errors = self._run(
                    'note',
                    'check',
                    str(path),
                    *_ENTRIES,
                )
                self.assertEqual((code, errors), (0, ''))
                self.assertTrue(load_note(path).note.quotas.added)

    def _run(self, *argv: str) -> tuple[int, str, str]:
        out, errors = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(errors),
        ):
            code = ctl.main(argv, transport=httpx.MockTransport(self._answer))
        return code, out.getvalue(), errors.getvalue()

    def _answer(self, request: httpx.Request) -> httpx.Response:
        failure = self.failures.get(request.url.host)
        if failure is not None:
            raise failure
        return trio.run(
            _forward,
            self.apps[request.url.host],
            request,
            clock=MockClock(autojump_threshold=0),
        )


def _app(store: MemoryStore, name: str) -> QuartTrio:
    registry = NoteRegistry(store, entry=EntryId(name), now_ms=int)
    app = QuartTrio(name)
    app.register_blueprint(note_blueprint(registry, bearer_check(_TOKEN)))

    @app.post('/v1/drain')
    @app.get('/readyz')
    async def done() -> dict[str, Any]:
        return {}

    return app


async def _forward(app: QuartTrio, request: httpx.Request) -> httpx.Response:
    client = app.test_client()
    send = client.post if request.method == 'POST' else client.get
    answer = await send(
        request.url.raw_path.decode(),
        headers=dict(request.headers),
        data=request.content,
    )
    body = await answer.get_data(as_text=False)
    return httpx.Response(answer.status_code, content=body)
