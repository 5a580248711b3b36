"""Failures for the gateway's error responses, and key ranges of prefixes."""

from __future__ import annotations

import unittest
from typing import Any

import httpx
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramwharf.errors import (
    Failure,
    StoreAnswerLost,
    StoreRefused,
    StoreUnavailable,
)
from marjoramwharf.links import _etcd_wire as wire
from marjoramwharf.links.etcd import EtcdStore
from marjoramwharf.links.store import Urgency, Write


class ResponseTests(unittest.TestCase):
    """Guards against failures that claim more than the response proves."""

    def test_writes(self) -> None:
        """Guards against ``StoreUnavailable`` for a possibly applied write."""
        no_leader = {'message': 'etcdserver: no leader'}
        timed_out = {'message': 'etcdserver: request timed out'}
        for response, expected in (
            (httpx.Response(503, json=no_leader), StoreUnavailable),
            (httpx.Response(503, json=timed_out), StoreAnswerLost),
            (httpx.Response(502, text='bad gateway'), StoreAnswerLost),
            (httpx.Response(429, json={'message': 'slow'}), StoreRefused),
            (httpx.Response(200, text='{"header":'), StoreAnswerLost),
            (httpx.Response(200, json={}), StoreAnswerLost),
            (httpx.ReadError('cut'), StoreAnswerLost),
            (httpx.WriteError('cut'), StoreAnswerLost),
            (httpx.ConnectTimeout('slow'), StoreUnavailable),
        ):
            with self.subTest(response=response):
                raised = trio.run(_failure_of_write, response)
                self.assertIs(type(raised), expected)

    def test_reads(self) -> None:
        """Guards against a lost answer as the failure of a read.

        A failed read has no outcome that the caller has to determine.
        """
        for response in (
            httpx.Response(502, text='bad gateway'),
            httpx.Response(200, text='{"header":'),
            httpx.Response(200, json={'header': {}, 'kvs': [{'key': '!'}]}),
            httpx.ReadError('cut'),
        ):
            with self.subTest(response=response):
                raised = trio.run(_failure_of_read, response)
                self.assertIs(type(raised), StoreUnavailable)


class PrefixTests(unittest.TestCase):
    """Guards against key ranges that differ from the keys of a prefix."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        prefix=st.text(min_size=1, max_size=4),
        key=st.text(max_size=8),
    )
    def test_range_is_the_prefix(self, prefix: str, key: str) -> None:
        """Guards against a wrong range end for prefixes with high bytes."""
        fields = wire.encode_range(prefix)
        start, end = map(wire.decode, fields.values())
        for candidate in (key, prefix + key):
            raw = candidate.encode()
            self.assertEqual(
                start <= raw < end,
                candidate.startswith(prefix),
            )


async def _failure_of_write(answer: Any) -> Failure | None:
    async with _client(answer) as client:
        try:
            await EtcdStore(client, timeout_s=1).commit(
                (),
                (Write('/a', b'1'),),
                urgency=Urgency.JOB,
            )
        except Failure as failure:
            return failure
    return None


async def _failure_of_read(answer: Any) -> Failure | None:
    async with _client(answer) as client:
        try:
            await EtcdStore(client, timeout_s=1).read_prefix(
                '/a',
                urgency=Urgency.JOB,
            )
        except Failure as failure:
            return failure
    return None


def _client(answer: Any) -> httpx.AsyncClient:
    async def respond(_request: httpx.Request) -> httpx.Response:
        await trio.lowlevel.checkpoint()
        if isinstance(answer, Exception):
            raise answer
        assert isinstance(answer, httpx.Response)
        return answer

    return httpx.AsyncClient(
        transport=httpx.MockTransport(respond),
        base_url='http://store',
    )
