"""``marjoramwharf-job`` against entries simulated by an HTTP transport."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from typing import Any

import httpx

from marjoramwharf.programs import job

_ENTRIES = ('--entry', 'http://10.0.0.1:80', '--entry', 'http://10.0.0.2:80')


class JobTests(unittest.TestCase):
    """Guards against repeated jobs and misleading exit codes."""

    def setUp(self) -> None:
        """Start without answers."""
        self.requests: list[httpx.Request] = []
        self.answers: list[httpx.Response | Exception] = []
        self.now_s: float = 0
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / 'job.json'
        self.file.write_text('{"class": "quote-run"} // a job')

    def test_submit_asks_next_entry_if_nothing_was_sent(self) -> None:
        """Guards against failing although another entry would answer."""
        self.answers = [
            httpx.ConnectError('refused'),
            httpx.Response(503, json={'outcome': 'not_run'}),
            httpx.Response(202, json={'job_id': 'j-1'}),
        ]
        code, text = self._run(
            'submit',
            str(self.file),
            '--team',
            'press',
            '--entry',
            'http://10.0.0.3:80',
            *_ENTRIES,
        )
        self.assertEqual((code, text), (0, 'j-1\n'))
        sent = self.requests[2]
        self.assertEqual(sent.headers['X-Team'], 'press')
        self.assertEqual(json.loads(sent.content), {'class': 'quote-run'})
        keys = {sent.headers['Idempotency-Key'] for sent in self.requests}
        self.assertEqual(len(keys), 1)

    def test_submit_is_not_sent_again_after_a_lost_answer(self) -> None:
        """Guards against a job that is submitted twice."""
        self.answers = [httpx.ReadTimeout('cut')]
        code, _text = self._run('submit', str(self.file), *_ENTRIES)
        self.assertEqual((code, len(self.requests)), (4, 1))

    def test_submit_stops_at_a_load_balancers_refusal(self) -> None:
        """Guards against a second submission where "not run" isn't proved."""
        self.answers = [httpx.Response(503, text='no back end')]
        code, _text = self._run('submit', str(self.file), *_ENTRIES)
        self.assertEqual((code, len(self.requests)), (4, 1))

    def test_wait_survives_a_replacement_of_all_entries(self) -> None:
        """Guards against a wait that ends when its entry is replaced."""
        self.answers = [
            httpx.Response(200, json={'state': 'running'}),
            httpx.ConnectError('refused'),
            httpx.ReadTimeout('cut'),
            httpx.Response(200, json={'state': 'done'}),
        ]
        code, text = self._run('wait', 'j/1', *_ENTRIES)
        self.assertEqual(code, 0)
        self.assertIn('done', text)
        self.assertEqual(self.requests[0].url.raw_path[:14], b'/v1/jobs/j%2F1')

    def test_exit_codes_tell_the_outcomes_apart(self) -> None:
        """Guards against scripts that treat a failed job as done."""
        for answer, expected in (
            (httpx.Response(200, json={'state': 'failed'}), 1),
            (httpx.Response(404, json={'reason': 'unknown_job'}), 1),
            (httpx.Response(400, json={'reason': 'bad_request'}), 2),
            (httpx.Response(202, json={'outcome': 'unknown'}), 4),
            (httpx.Response(502, text='bad gateway'), 4),
        ):
            with self.subTest(status=answer.status_code):
                self.answers = [answer]
                code, _text = self._run('wait', 'j-1', *_ENTRIES)
                self.assertEqual(code, expected)

    def test_wait_ends_at_its_timeout(self) -> None:
        """Guards against a wait that ignores its timeout."""
        self.answers = [
            httpx.Response(200, json={'state': 'queued'}) for _ in range(4)
        ]
        code, _text = self._run('wait', 'j-1', '--timeout-s', '2', *_ENTRIES)
        self.assertEqual((code, len(self.requests)), (4, 3))

    def test_lost_answer_is_not_settled_by_a_refusal(self) -> None:
        """Guards against reporting "not run" when an entry may have acted."""
        self.answers = [
            httpx.ReadTimeout('cut'),
            httpx.Response(503, json={'outcome': 'not_run'}),
        ]
        self.assertEqual(self._run('cancel', 'j-1', *_ENTRIES)[0], 4)
        self.answers = [
            httpx.Response(503, json={'outcome': 'not_run'}),
            httpx.Response(503, text='no back end'),
        ]
        self.assertEqual(self._run('cancel', 'j-1', *_ENTRIES)[0], 4)

    def test_list_names_the_team_and_what_is_missing(self) -> None:
        """Guards against rows of other teams and a silently partial list."""
        partial = {'jobs': [], 'failed_shards': {'3': {}}}
        self.answers = [httpx.Response(200, json=partial)]
        code, _text = self._run('list', '--team', 'sales', *_ENTRIES)
        self.assertEqual(code, 4)
        self.assertEqual(self.requests[0].url.params['team'], 'sales')

    def test_wait_ends_for_an_impossible_job(self) -> None:
        """Guards against a wait for a worker that may never join."""
        self.answers = [httpx.Response(200, json={'state': 'impossible'})]
        self.assertEqual(self._run('wait', 'j-1', *_ENTRIES)[0], 1)

    def test_unreachable_entries(self) -> None:
        """Guards against exit code 4 (unknown) when nothing was sent."""
        self.answers = [httpx.ConnectError('no'), httpx.ConnectTimeout('no')]
        self.assertEqual(self._run('list', *_ENTRIES)[0], 3)

    def test_bad_input(self) -> None:
        """Guards against sending a request for invalid input."""
        self.file.write_text('[')
        self.assertEqual(self._run('submit', str(self.file), *_ENTRIES)[0], 2)
        self.assertEqual(self._run('list')[0], 2)
        self.assertEqual(self.requests, [])

    def _run(self, *argv: str) -> tuple[int, str]:
        out = io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            code = job.main(
                argv,
                transport=httpx.MockTransport(self._answer),
                clock=job.Clock(lambda: self.now_s, self._sleep),
            )
        return code, out.getvalue()

    def _sleep(self, duration_s: float) -> None:
        self.now_s += duration_s

    def _answer(self, request: httpx.Request) -> Any:
        self.requests.append(request)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer
