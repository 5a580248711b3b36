"""Fuzzes answers of the store and the directory, and release notes."""

from __future__ import annotations

import unittest
from contextlib import suppress

import httpx
import msgspec
import trio
from hypothesis import example, given
from hypothesis import strategies as st
from trio.testing import MockClock

from marjoramwharf.contracts.release_note import parse_note
from marjoramwharf.errors import (
    BadListing,
    BadNote,
    StoreAnswerLost,
    StoreUnavailable,
)
from marjoramwharf.ids import EntryId, LeaseId
from marjoramwharf.links.directory import read_listing
from marjoramwharf.links.etcd import EtcdStore
from marjoramwharf.links.store import Urgency
from marjoramwharf.machines.agent_pool import AgentPool
from marjoramwharf.machines.worker_table import WorkerTable
from tests.fuzz.inputs import FUZZ, bytes_like, texts_like

_PAIR = {'key': 'YQ==', 'value': 'YQ==', 'mod_revision': '3'}
_ANSWER = {
    'header': {'revision': '7'},
    'kvs': [_PAIR],
    'succeeded': True,
    'ID': '5',
    'TTL': '9',
    'result': {
        'header': {'revision': '7'},
        'ID': '5',
        'TTL': '9',
        'events': [{'kv': _PAIR}],
    },
}
_ODD = {
    **_ANSWER,
    'header': {'revision': 'x'},
    'ID': 'x',
    'result': {'ID': 'x', 'TTL': 'x'},
}
_WORKER = {
    'worker_id': 'w1',
    'url': 'http://10.0.0.1:80',
    'state': 'live',
    'rack': 'r1',
    'data_centre': 'dc1',
    'services': ['notice'],
    'capacity': {
        'slots_count': 8,
        'connections_count': 64,
        'cpu_millicores': 32_000,
        'memory_mb': 125_000,
        'accelerators_count': 0,
    },
}
_NOTE = {
    'note_id': 'n-1',
    'author': 'ana',
    'summary': 'a change',
    'limits': {'team_count': 3},
    'services': {'added': [{'name': 'notice'}]},
}


def _worker_with_url(url: str) -> bytes:
    return msgspec.json.encode({**_WORKER, 'url': url})


class StoreTests(unittest.TestCase):
    """Guards against store answers that crash a task of the entry."""

    @FUZZ
    @example(msgspec.json.encode(_ODD), 200)
    @given(bytes_like(_ANSWER), st.sampled_from((200, 200, 400, 503)))
    def test_calls(self, body: bytes, status: int) -> None:
        """Guards against a failure that the interface doesn't have."""

        async def answer(_request: httpx.Request) -> httpx.Response:
            return httpx.Response(status, content=body)

        async def main() -> None:
            async with httpx.AsyncClient(
                base_url='http://store',
                transport=httpx.MockTransport(answer),
            ) as client:
                store = EtcdStore(client, timeout_s=1)
                urgency = Urgency.CLAIM
                with suppress(StoreUnavailable):
                    await store.read('/a', urgency=urgency)
                with suppress(StoreUnavailable, StoreAnswerLost):
                    await store.commit((), (), urgency=urgency)
                with suppress(StoreUnavailable, StoreAnswerLost):
                    await store.grant_lease(5)
                with suppress(StoreUnavailable, StoreAnswerLost):
                    await store.keep_alive(LeaseId(5))
                with trio.move_on_after(1):
                    await _watch(store)

        trio.run(main, clock=MockClock(autojump_threshold=0))


async def _watch(store: EtcdStore) -> None:
    async with store.watch('/', from_revision=1) as batches:
        await anext(batches)


class DirectoryTests(unittest.TestCase):
    """Guards against a directory list that crashes the entry."""

    @FUZZ
    @example(_worker_with_url('http://w:x'))
    @example(_worker_with_url('http://a\0b'))
    @example(_worker_with_url('http://'))
    @given(bytes_like(_WORKER))
    def test_instance(self, instance: bytes) -> None:
        """Guards against a listed worker that no agent can be made for."""
        body = b'{"revision": 3, "instances": [%s]}' % instance
        for raw in (body, instance):
            with suppress(BadListing):
                listing = read_listing(raw)
                worker_table = WorkerTable()
                worker_table.apply(listing)
                pool = AgentPool(
                    worker_table, EntryId('e1'), connections_count=2
                )
                for worker in listing.instances:
                    pool.get_agent(worker.worker_id)


class NoteTests(unittest.TestCase):
    """Guards against a release note that crashes a program or can't be sent."""

    @FUZZ
    @given(texts_like(_NOTE))
    def test_text(self, text: str) -> None:
        """Guards against a failure other than ``BadNote``."""
        with suppress(BadNote):
            msgspec.json.encode(parse_note(text, origin='note.json').note)
