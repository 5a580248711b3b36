"""Each step of a request has a trace span with the right parent."""

from __future__ import annotations

import hashlib
import random
import unittest
from unittest.mock import patch

import httpx
import trio
from opentelemetry import trace
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)
from trio.testing import memory_stream_pair

from marjoramwharf.contracts.permits import Permit
from marjoramwharf.ids import DataCentreId, EntryId, Incarnation, WorkerId
from marjoramwharf.links.peer_client import PeerClient
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.peer_server import PeerServer
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.machines.agent import HttpWorkerAgent
from marjoramwharf.machines.calls import WorkerAgent
from marjoramwharf.service.request import Done, NotRun, ServiceRequest
from tests.service.fakes import Entry, Fleet, make_request, run_with_entries

_SECRET = 'a-secret-of-16-bytes'


class _RemoteFleet(Fleet):
    """A worker behind HTTP whose permits need a call to a peer."""

    def __init__(self) -> None:
        super().__init__('w1')
        self.parents: list[str] = []
        self.client: PeerClient | None = None
        self._worker_agent = HttpWorkerAgent(
            'http://worker',
            EntryId('e1'),
            connections_count=2,
            transport=httpx.MockTransport(self._answer),
        )

    async def acquire(
        self,
        request: ServiceRequest,
        excluded: frozenset[WorkerId],
    ) -> Permit | NotRun:
        assert self.client is not None
        await self.client.call(ttypes.NoteHint(revision=1), timeout_s=1)
        return await super().acquire(request, excluded)

    def get_agent(self, worker_id: WorkerId) -> WorkerAgent:
        return self._worker_agent

    async def _answer(self, request: httpx.Request) -> httpx.Response:
        self.parents.append(request.headers['traceparent'])
        return httpx.Response(
            200,
            headers={
                'X-Call-Id': request.headers['X-Call-Id'],
                'X-Body-Sha256': hashlib.sha256(b'').hexdigest(),
                'Content-Length': '0',
                'Content-Type': 'text/plain',
            },
            stream=httpx.ByteStream(b''),
        )


class TracingTests(unittest.TestCase):
    """Guards against missing spans and spans with a wrong parent."""

    def test_spans_of_a_request(self) -> None:
        """Guards against a trace that breaks between caller and worker."""
        exporter = InMemorySpanExporter()
        provider = TracerProvider()
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        tracer = provider.get_tracer('test')
        fleet = _RemoteFleet()
        with patch('marjoramwharf.tracing._TRACER', tracer):
            run_with_entries(fleet, lambda entry, _other: _serve(fleet, entry))
        spans = {_name(span): span for span in exporter.get_finished_spans()}
        parents = {
            name: _parent_name(span, spans) for name, span in spans.items()
        }
        self.assertEqual(
            parents,
            {
                'dispatch': None,
                'peer NoteHint CLIENT': 'dispatch',
                'peer NoteHint SERVER': 'peer NoteHint CLIENT',
                'dispatch.attempt': 'dispatch',
                'worker.run CLIENT': 'dispatch.attempt',
            },
        )
        for name in ('dispatch', 'dispatch.attempt', 'worker.run CLIENT'):
            attributes = spans[name].attributes or {}
            self.assertEqual(attributes['request_id'], 'r1')
        sent = spans['worker.run CLIENT'].context
        assert sent is not None
        self.assertIn(trace.format_span_id(sent.span_id), fleet.parents[0])


async def _serve(fleet: _RemoteFleet, entry: Entry) -> None:
    near, far = memory_stream_pair()

    async def connect() -> trio.abc.Stream:
        await trio.lowlevel.checkpoint()
        return near

    identity = PeerIdentity(EntryId('e1'), Incarnation('i'), DataCentreId('d'))
    server = PeerServer(
        {ttypes.NoteHint: _acknowledge},
        identity=identity,
        secret=_SECRET,
    )
    fleet.client = PeerClient(
        connect,
        identity=identity,
        secret=_SECRET,
        rng=random.Random(1),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, far)
        nursery.start_soon(fleet.client.run)
        await trio.sleep(0.5)
        outcome = await entry.dispatcher.serve(make_request())
        assert isinstance(outcome, Done), outcome
        nursery.cancel_scope.cancel()


async def _acknowledge(_sender: PeerIdentity, _message: Message) -> Message:
    await trio.lowlevel.checkpoint()
    return ttypes.Ack()


def _name(span: ReadableSpan) -> str:
    if span.kind is trace.SpanKind.INTERNAL:
        return span.name
    kind = span.kind.name
    return f'{span.name} {kind}'


def _parent_name(
    span: ReadableSpan,
    spans: dict[str, ReadableSpan],
) -> str | None:
    if span.parent is None:
        return None
    for name, other in spans.items():
        context = other.context
        if context is not None and context.span_id == span.parent.span_id:
            return name
    return 'unknown'
