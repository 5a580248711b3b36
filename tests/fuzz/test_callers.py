"""Fuzzes the headers and bodies that callers send."""

from __future__ import annotations

import json
import unittest
from typing import Any

import trio
from hypothesis import example, given
from hypothesis import strategies as st
from quart_trio import QuartTrio

from marjoramwharf.batch.http_api import jobs_blueprint
from marjoramwharf.batch.job_calls import answer_job_call
from marjoramwharf.contracts.permits import Permit
from marjoramwharf.errors import Reason
from marjoramwharf.ids import (
    CallId,
    EntryId,
    Epoch,
    GrantId,
    ShardId,
    TeamId,
    WorkerId,
)
from marjoramwharf.machines.agent import HttpWorkerAgent
from marjoramwharf.machines.calls import Call
from marjoramwharf.metrics import Metrics
from marjoramwharf.service.drain import DrainGate
from marjoramwharf.service.http_api import (
    ServiceDependencies,
    service_blueprint,
)
from marjoramwharf.service.request import Outcome, ServiceRequest, Unknown
from marjoramwharf.settings import ServiceSettings
from tests.fuzz.inputs import FUZZ, bytes_like

_LIMIT_BYTES = 300
_JOB = {
    'tasks': [
        {
            'demand': {'cpu_millicores': 1_000, 'memory_mb': 100},
            'task_class': 'batch',
            'run_ms': 5,
        },
    ],
    'exclusive_key': 'k',
    'priority': 'high',
    'max_failures_count': 3,
}
_NAMES = (
    'X-Team',
    'X-Priority',
    'X-Timeout-Ms',
    'X-Request-Id',
    'X-Idempotent',
    'X-First-Attempt',
    'Idempotency-Key',
    'Content-Type',
    'traceparent',
)
_VALUES = st.one_of(
    st.sampled_from(('true', 'high', '1', '100', '9' * 5_000, 'a/b', '\u0663')),
    st.text(st.characters(max_codepoint=255), max_size=20),
).map(lambda text: text.replace('\r', '').replace('\n', ''))
_HEADERS = st.dictionaries(st.sampled_from(_NAMES), _VALUES, max_size=4)
_ACCENTED = {'Idempotency-Key': 'cl\u00e9'}


class CallerTests(unittest.TestCase):
    """Guards against caller input that raises an undeclared error."""

    def setUp(self) -> None:
        """Serve requests with an agent whose worker refuses connections."""
        self.agent = HttpWorkerAgent(
            'http://127.0.0.1:1',
            EntryId('e1'),
            connections_count=2,
        )
        self.app = QuartTrio('test')
        self.app.register_blueprint(
            service_blueprint(
                ServiceDependencies(
                    serve=self._serve,
                    look_up=self._look_up,
                    services=lambda: frozenset(('notice',)),
                    clock=lambda: 100,
                    gate=DrainGate(),
                    metrics=Metrics(),
                    settings=ServiceSettings(max_body_bytes=_LIMIT_BYTES),
                ),
            ),
        )
        self.app.register_blueprint(
            jobs_blueprint(
                self._route,
                shard_count=4,
                max_body_bytes=_LIMIT_BYTES,
            ),
        )

    @FUZZ
    @example(_ACCENTED, b'')
    @example({'Idempotency-Key': 'a/b'}, b'')
    @example({'X-Idempotent': 'true'}, b'x' * (_LIMIT_BYTES + 1))
    @given(_HEADERS, st.binary(max_size=2 * _LIMIT_BYTES))
    def test_request(self, headers: dict[str, str], body: bytes) -> None:
        """Guards against a request that can't be passed on to a worker."""
        status, fields, location = self._post(
            '/v1/services/notice',
            headers,
            body,
        )
        self.assertIn(status, {202, 400, 413})
        self.assertIn(fields['outcome'], {'not_run', 'unknown'})
        if location is not None:
            found = trio.run(self._get, location)
            self.assertEqual(found['message'], headers['Idempotency-Key'])

    @FUZZ
    @example(_ACCENTED, json.dumps(_JOB).encode())
    @given(_HEADERS, bytes_like(_JOB))
    def test_job(self, headers: dict[str, str], body: bytes) -> None:
        """Guards against a job that can't be passed on to its shard."""
        for path in ('/v1/jobs', '/v1/jobs/cancel'):
            status, fields, _location = self._post(path, headers, body)
            self.assertIn(status, {200, 400, 413, 503})
            if status != 200:
                self.assertIn(fields['outcome'], {'not_run', 'unknown'})

    def _post(
        self,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> tuple[int, dict[str, Any], str | None]:
        async def main() -> tuple[int, dict[str, Any], str | None]:
            client = self.app.test_client()
            answer = await client.post(path, headers=headers, data=body)
            fields = json.loads(await answer.get_data())
            return answer.status_code, fields, answer.headers.get('Location')

        return trio.run(main)

    async def _get(self, path: str) -> dict[str, Any]:
        answer = await self.app.test_client().get(path)
        fields: dict[str, Any] = json.loads(await answer.get_data())
        return fields

    async def _serve(self, request: ServiceRequest) -> Outcome:
        permit = Permit(GrantId('1-1'), WorkerId('w1'), Epoch(1), 1, 1e9)
        await self.agent.run(
            Call(
                CallId('c1'),
                request.service,
                request.body,
                request.content_type,
                1_000,
                permit,
                request.idempotency_key,
                request.request_id,
            ),
        )
        key = request.idempotency_key or None
        return Unknown(Reason.DEADLINE, 'late', key)

    async def _look_up(self, _team: TeamId, key: str) -> Outcome:
        return Unknown(Reason.DEADLINE, key, key)

    async def _route(
        self,
        _shard: ShardId,
        _method: str,
        body: bytes,
    ) -> tuple[int, bytes]:
        return await answer_job_call(None, body, 0)
