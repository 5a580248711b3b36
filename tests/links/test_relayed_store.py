"""Store calls of an entry whose calls the store rejects."""

from __future__ import annotations

import random
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from functools import partial
from unittest.mock import patch

import trio
from hypothesis import given
from hypothesis import strategies as st

from marjoramwharf.errors import (
    BadFrame,
    HistoryLost,
    LeaseEnded,
    StoreAnswerLost,
    StoreUnavailable,
)
from marjoramwharf.ids import DataCentreId, EntryId, Incarnation, LeaseId
from marjoramwharf.links.http_server import open_listener
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.peer_server import PeerServer
from marjoramwharf.links.relay_peers import PeerAddress
from marjoramwharf.links.relayed_store import RelayedStore
from marjoramwharf.links.store import Committed, Guard, Write
from marjoramwharf.links.store_calls import (
    StoreReply,
    decode_call,
    decode_reply,
)
from marjoramwharf.links.store_reachability import StoreReachability
from marjoramwharf.links.store_relay import StoreRelay, handle_store_call
from marjoramwharf.links.thrift_types.peer import ttypes
from standins.polling_store import PollingMemoryStore

_SECRET = 'a-secret-of-16-bytes'
_ENCODE_REPLY = 'marjoramwharf.links.store_relay.encode_reply'


def _encode_junk(_reply: StoreReply) -> bytes:
    return b'\x9d' * 300


def _identity(name: str) -> PeerIdentity:
    return PeerIdentity(EntryId(name), Incarnation('i'), DataCentreId('dc'))


@dataclass
class _Entries:
    """An entry ``e1`` and its peer ``e2``, which share the store's state."""

    own_store: PollingMemoryStore
    peer_store: PollingMemoryStore
    peer_reachability: StoreReachability
    store: RelayedStore

    async def make_unreachable(self) -> None:
        """Let the store reject the calls of e1; wait until e2 is connected."""
        self.own_store.is_down = True
        with trio.fail_after(5):
            while not (
                self.store.reachability.is_unreachable
                and self.store.is_reachable
            ):
                try:
                    await self.store.read('x')
                except StoreUnavailable:
                    await trio.sleep(0.05)


@asynccontextmanager
async def _open_entries() -> AsyncIterator[_Entries]:
    own_store = PollingMemoryStore()
    peer_store = PollingMemoryStore(own_store.state)
    peer_reachability = StoreReachability()

    async def handle(_sender: PeerIdentity, call: Message) -> Message:
        return await handle_store_call(peer_store, peer_reachability, call)

    server = PeerServer(
        {ttypes.JobCall: handle},
        identity=_identity('e2'),
        secret=_SECRET,
    )
    listener = await open_listener('127.0.0.1', 0)
    port = listener.socket.getsockname()[1]
    reachability = StoreReachability()
    peers = (
        PeerAddress(EntryId('e1'), '127.0.0.1', 1, 'its own'),
        PeerAddress(EntryId('e2'), '127.0.0.1', port, _SECRET),
    )
    relay = StoreRelay(
        lambda: peers,
        _identity('e1'),
        reachability,
        random.Random(1),
    )
    store = RelayedStore(own_store, relay, reachability)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            partial(trio.serve_listeners, server.serve, [listener])
        )
        nursery.start_soon(relay.run)
        nursery.start_soon(store.run_probe)
        yield _Entries(own_store, peer_store, peer_reachability, store)
        nursery.cancel_scope.cancel()


class RelayTests(unittest.TestCase):
    """Guards against an entry that stops working when the store rejects it."""

    def test_every_call_goes_through_a_peer(self) -> None:
        """Guards against a call that can't be relayed through a peer."""
        trio.run(self._every_call)

    def test_failures_keep_their_meaning(self) -> None:
        """Guards against "not applied" for a call that a peer may have made."""
        trio.run(self._failures)

    def test_unreadable_reply(self) -> None:
        """Guards against "not applied" for a call whose reply is unreadable."""
        trio.run(self._unreadable_reply)

    def test_store_down_for_all(self) -> None:
        """Guards against relaying to peers that can't reach the store."""
        trio.run(self._down_for_all)

    def test_store_is_back(self) -> None:
        """Guards against relaying after the store is reachable again."""
        trio.run(self._back)

    def test_one_lost_answer(self) -> None:
        """Guards against relaying after a single failure or a short burst."""
        reachability = StoreReachability()
        reachability.record_answer(now_s=1)
        reachability.record_failure(now_s=5)
        self.assertFalse(reachability.is_unreachable)
        reachability.record_answer(now_s=5.1)
        reachability.record_failure(now_s=5.2)
        reachability.record_failure(now_s=5.3)
        self.assertFalse(reachability.is_unreachable)
        reachability.record_failure(now_s=5.5)
        self.assertTrue(reachability.is_unreachable)

    async def _every_call(self) -> None:
        async with _open_entries() as entries:
            await entries.make_unreachable()
            store = entries.store
            lease = await store.grant_lease(60_000)
            first = await store.commit([], [Write('a/1', b'\x00\xff', lease)])
            self.assertIsInstance(first, Committed)
            conflict = await store.commit([Guard('a/1', 0)], [])
            self.assertNotIsInstance(conflict, Committed)
            stored = await store.read('a/1')
            self.assertEqual(b'\x00\xff', stored and stored.body)
            reading = await store.read_prefix('a/')
            self.assertEqual(1, len(reading.found))
            self.assertTrue(await store.keep_alive(lease))
            await store.revoke_lease(lease)
            batch = await store.poll(
                'a/',
                after_revision=reading.revision,
                wait_ms=100,
            )
            self.assertEqual([None], [event.stored for event in batch.events])

    async def _failures(self) -> None:
        async with _open_entries() as entries:
            await entries.make_unreachable()
            entries.peer_store.answers_to_lose = 1
            with self.assertRaises(StoreAnswerLost):
                await entries.store.commit([], [Write('b', b'1')])
            ended_lease = LeaseId(77)
            with self.assertRaises(LeaseEnded):
                await entries.store.commit([], [Write('b', b'1', ended_lease)])
            entries.own_store.state.compact()
            with self.assertRaises(HistoryLost):
                await entries.store.poll('b', after_revision=0, wait_ms=10)

    async def _unreadable_reply(self) -> None:
        async with _open_entries() as entries:
            await entries.make_unreachable()
            with patch(_ENCODE_REPLY, _encode_junk):
                with self.assertRaises(StoreAnswerLost):
                    await entries.store.commit([], [Write('b', b'1')])
            self.assertIn('b', entries.peer_store.state.stored)

    async def _down_for_all(self) -> None:
        async with _open_entries() as entries:
            await entries.make_unreachable()
            entries.peer_store.is_down = True
            with trio.fail_after(5):
                await self._read_until_unreachable(entries.store)
            entries.own_store.is_down = False
            entries.peer_store.is_down = False
            await entries.store.read('x')
            self.assertTrue(entries.store.is_reachable)

    async def _read_until_unreachable(self, store: RelayedStore) -> None:
        while store.is_reachable:
            with self.assertRaises(StoreUnavailable):
                await store.read('x')
            await trio.sleep(0.05)

    async def _back(self) -> None:
        async with _open_entries() as entries:
            await entries.make_unreachable()
            entries.own_store.is_down = False
            with trio.fail_after(5):
                while entries.store.reachability.is_unreachable:
                    await trio.sleep(0.05)
            reads_count = entries.peer_store.reads_count
            await entries.store.read('x')
            self.assertEqual(reads_count, entries.peer_store.reads_count)


class InputTests(unittest.TestCase):
    """Guards against bytes from a peer that crash the process."""

    @given(st.binary(max_size=60))
    def test_unreadable_calls(self, raw: bytes) -> None:
        """Guards against exceptions other than ``BadFrame``."""
        for decode in (decode_call, decode_reply):
            with suppress(BadFrame):
                decode(raw)
