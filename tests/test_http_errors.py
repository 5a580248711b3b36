"""The body and the headers that all error responses share."""

from __future__ import annotations

import json
import unittest

import trio

from marjoramwharf.batch.job_calls import error_answer
from marjoramwharf.contracts.note_api import answer_response
from marjoramwharf.contracts.release_note import ReleaseNote
from marjoramwharf.errors import Reason
from marjoramwharf.http_errors import encoded_response, not_run_response
from marjoramwharf.service.request import NotRun


class ErrorBodyTests(unittest.TestCase):
    """Guards against interfaces with different error responses."""

    def test_all_interfaces_return_the_same_error(self) -> None:
        """Guards against a retry header that isn't in whole seconds."""
        reason = Reason.STORE_BUDGET
        note = ReleaseNote(note_id='n1', author='a', summary='s')
        responses = (
            not_run_response(reason, 'shed', retry_after_s=1.2),
            answer_response(note, NotRun(reason, 'shed', 1.2)),
            encoded_response(
                *error_answer(reason, 'shed', retry_after_s=1.2),
                retry_after_s=1.2,
            ),
        )
        for response in responses:
            self.assertEqual(response.status_code, 503)
            self.assertEqual(response.headers['Retry-After'], '2')
            self.assertEqual(
                json.loads(trio.run(response.get_data)),
                {
                    'outcome': 'not_run',
                    'reason': 'store_budget',
                    'message': 'shed',
                    'retry_after_s': 1.2,
                },
            )
