"""Fuzzes the answers of workers."""

from __future__ import annotations

import base64
import hashlib
import unittest
from contextlib import suppress

import httpx
import trio
from hypothesis import example, given
from hypothesis import strategies as st
from quart import Response

from marjoramwharf.errors import WorkerUnreachable
from marjoramwharf.ids import CallId, EntryId, Epoch
from marjoramwharf.machines.agent import HttpWorkerAgent
from marjoramwharf.machines.calls import CallAnswer, SettleReply
from tests.fuzz.inputs import FUZZ, bytes_like
from tests.machines.test_agent import make_call

_BODY = base64.b64encode(b'b').decode()
_REPLY = {
    'state': 'finished',
    'answer': {
        'call_id': 'a',
        'status': 200,
        'content_type': 'text/plain',
        'body': _BODY,
    },
    'refused': 'full',
    'epoch': 3,
    'leaving': False,
    'running': [{'call_id': 'a', 'grant_id': 'g'}],
    'tasks': [],
    'connections': [['e1', 3]],
    'age_ms': 3,
    'classes': [],
}
_VALUES = st.one_of(
    st.sampled_from((b'a', b'0', b'1', b'-1', b'9' * 5_000, b'gzip')),
    st.binary(max_size=20),
)
_NAMES = st.sampled_from(
    (
        b'X-Call-Id',
        b'Content-Length',
        b'Content-Type',
        b'Content-Encoding',
        b'X-Body-Sha256',
        b'X-Worker-Incarnation',
    ),
)
_HEADERS = st.dictionaries(_NAMES, _VALUES, max_size=4)


class WorkerTests(unittest.TestCase):
    """Guards against answers that crash a task or reach callers unchecked."""

    @FUZZ
    @example(b'', 200, {b'Content-Type': 'text/\u2192'.encode()}, True)
    @given(
        bytes_like(_REPLY),
        st.sampled_from((200, 204, 409, 500, 999)),
        _HEADERS,
        st.booleans(),
    )
    def test_answers(
        self,
        body: bytes,
        status: int,
        headers: dict[bytes, bytes],
        is_signed: bool,
    ) -> None:
        """Guards against a failure that the contract doesn't have."""

        async def answer(_request: httpx.Request) -> httpx.Response:
            given = _signed(body) if is_signed else {}
            return httpx.Response(
                status,
                headers=list({**given, **headers}.items()),
                stream=httpx.ByteStream(body),
            )

        async def main() -> None:
            agent = HttpWorkerAgent(
                'http://worker',
                EntryId('e1'),
                connections_count=2,
                transport=httpx.MockTransport(answer),
            )
            _check(await agent.run(make_call('a')))
            with suppress(WorkerUnreachable):
                _check(await agent.settle(CallId('a')))
            with suppress(WorkerUnreachable):
                await agent.lease(Epoch(1), revoked=(), lease_ms=1)
            with suppress(WorkerUnreachable):
                await agent.usage()
            with suppress(WorkerUnreachable):
                await agent.fetch_incarnation()

        trio.run(main)


def _signed(body: bytes) -> dict[bytes, bytes]:
    return {
        b'X-Call-Id': b'a',
        b'Content-Length': str(len(body)).encode(),
        b'X-Body-Sha256': hashlib.sha256(body).hexdigest().encode(),
    }


def _check(outcome: object) -> None:
    """Check that an answer can be passed on to a caller."""
    answer = outcome.answer if isinstance(outcome, SettleReply) else outcome
    if isinstance(answer, CallAnswer):
        response = Response(
            answer.body,
            status=answer.status,
            content_type=answer.content_type,
        )
        for name, text in response.headers.items():
            assert text.isascii() and text.isprintable(), name
        assert 100 <= response.status_code <= 599
