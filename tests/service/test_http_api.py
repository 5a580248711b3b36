"""HTTP API: outcomes map to the documented statuses and bodies."""

from __future__ import annotations

import json
import unittest
from typing import Any

import structlog
import trio
from quart_trio import QuartTrio

from marjoramwharf.errors import Reason
from marjoramwharf.ids import TeamId
from marjoramwharf.metrics import Metrics
from marjoramwharf.service.drain import DrainGate, DrainState
from marjoramwharf.service.http_api import (
    ServiceDependencies,
    service_blueprint,
)
from marjoramwharf.service.request import (
    Done,
    NotRun,
    Outcome,
    ServiceRequest,
    Unknown,
)
from marjoramwharf.settings import ServiceSettings

_URL = '/v1/services/notice'
_IDEMPOTENT = {'X-Idempotent': 'true'}


class HttpApiTests(unittest.TestCase):
    """Guards against statuses that do not show whether the request ran."""

    def setUp(self) -> None:
        """Build an application around a fixed outcome."""
        self.outcome: Outcome = Done(200, 'text/plain', b'whole')
        self.gate = DrainGate()
        self.requests: list[ServiceRequest] = []
        self.app = QuartTrio('test')
        self.app.register_blueprint(
            service_blueprint(
                ServiceDependencies(
                    serve=self._serve,
                    look_up=self._look_up,
                    services=lambda: frozenset(('notice',)),
                    clock=lambda: 100,
                    gate=self.gate,
                    metrics=Metrics(),
                    settings=ServiceSettings(),
                ),
            ),
        )

    def test_done_passes_the_answer_on(self) -> None:
        """Guards against an answer that is changed on its way to the caller."""
        status, body, _headers = self._post(_IDEMPOTENT)
        self.assertEqual((status, body), (200, b'whole'))
        self.assertEqual(self.requests[0].deadline_s, 102)

    def test_first_attempt_is_declared_by_a_header(self) -> None:
        """Guards against a first attempt that the caller did not declare."""
        self._post(_IDEMPOTENT)
        self._post({**_IDEMPOTENT, 'X-First-Attempt': 'true'})
        declared = [request.is_first_attempt for request in self.requests]
        self.assertEqual(declared, [False, True])

    def test_log_lines_carry_the_request_id(self) -> None:
        """Guards against log lines without the request id."""
        self._post({**_IDEMPOTENT, 'X-Request-Id': 'r-7'})
        self.assertEqual(self.log_context, {'request_id': 'r-7'})

    def test_not_run_has_reason_and_retry_after(self) -> None:
        """Guards against a refusal that does not say when to retry."""
        self.outcome = NotRun(Reason.QUEUE_FULL, 'full', 1.5)
        status, body, headers = self._post(_IDEMPOTENT)
        self.assertEqual(status, 429)
        self.assertEqual(headers['Retry-After'], '2')
        self.assertEqual(json.loads(body)['outcome'], 'not_run')

    def test_unknown_has_the_location_of_the_outcome(self) -> None:
        """Guards against an unknown outcome that reads as a refusal."""
        self.outcome = Unknown(Reason.ANSWER_CUT, 'cut', 'k1')
        status, body, headers = self._post({'Idempotency-Key': 'k1'})
        self.assertEqual(status, 202)
        self.assertEqual(headers['Location'], '/v1/outcomes/k1')
        self.assertEqual(json.loads(body)['reason'], 'answer_cut')

    def test_bad_headers_are_refused(self) -> None:
        """Guards against a non-idempotent request without a key."""
        for headers in (
            {},
            {**_IDEMPOTENT, 'X-Timeout-Ms': 'soon'},
            {**_IDEMPOTENT, 'X-Timeout-Ms': '0'},
            {**_IDEMPOTENT, 'X-Priority': 'top'},
            {'Idempotency-Key': 'k' * 200},
        ):
            status, _body, _headers = self._post(headers)
            self.assertEqual(status, 400)
        self.assertEqual(self.requests, [])

    def test_refusing_gate_proves_not_run(self) -> None:
        """Guards against work that is accepted during a shutdown."""
        self.gate.state = DrainState.REFUSING
        status, body, _headers = self._post(_IDEMPOTENT)
        self.assertEqual(status, 503)
        self.assertEqual(json.loads(body)['reason'], 'shutting_down')

    def test_repeat_at_a_refusing_entry_is_unknown(self) -> None:
        """Guards against "not run" for a key that may have run elsewhere."""
        self.gate.state = DrainState.REFUSING
        repeat = {'Idempotency-Key': 'k1'}
        status, body, headers = self._post(repeat)
        self.assertEqual(status, 202)
        self.assertEqual(json.loads(body)['outcome'], 'unknown')
        self.assertEqual(headers['Location'], '/v1/outcomes/k1')
        first = {**repeat, 'X-First-Attempt': 'true'}
        self.assertEqual(self._post(first)[0], 503)

    async def _serve(self, request: ServiceRequest) -> Outcome:
        self.requests.append(request)
        self.log_context = structlog.contextvars.get_contextvars()
        return self.outcome

    async def _look_up(self, _team: TeamId, _key: str) -> Outcome:
        return self.outcome

    def _post(self, headers: dict[str, str]) -> tuple[int, bytes, Any]:
        async def scenario() -> tuple[int, bytes, Any]:
            response = await self.app.test_client().post(
                _URL,
                headers=headers,
                data=b'{}',
            )
            return (
                response.status_code,
                await response.get_data(as_text=False),
                response.headers,
            )

        return trio.run(scenario)


class DrainTests(unittest.TestCase):
    """Guards against a shutdown that aborts requests in flight."""

    def test_drain_waits_for_requests_in_flight(self) -> None:
        """Guards against a shutdown before the last answer."""

        async def scenario() -> None:
            gate = DrainGate()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._serve_slowly, gate)
                await trio.sleep(0)
                is_empty = await gate.drain(grace_s=0, timeout_s=60)
                self.assertTrue(is_empty)
                self.assertTrue(self.is_answered)

        self.is_answered = False
        trio.run(scenario)

    async def _serve_slowly(self, gate: DrainGate) -> None:
        with gate.track_request():
            await trio.sleep(0.05)
            self.is_answered = True
