"""Store calls of an entry that the store turns away."""

from __future__ import annotations

import random
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from functools import partial

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
from marjoramwharf.links.relayed_store import RelayedStore
from marjoramwharf.links.store import Committed, Guard, Write
from marjoramwharf.links.store_calls import decode_call, decode_reply
from marjoramwharf.links.store_reachability import StoreReachability
from marjoramwharf.links.store_relay import (
    PeerAddress,
    StoreRelay,
    handle_store_call,
)
from marjoramwharf.links.thrift_types.peer import ttypes
from standins.polling_store import PollingMemoryStore

_SECRET = 'a-secret-of-16-bytes'


def _identity(name: str) -> PeerIdentity:
    return PeerIdentity(EntryId(name), Incarnation('i'), DataCentreId('dc'))


@dataclass
class _Pair:
    """An entry ``e1`` and its peer ``e2``, which share the store's state."""

    own: PollingMemoryStore
    of_peer: PollingMemoryStore
    peer_reachability: StoreReachability
    store: RelayedStore

    async def turn_away(self) -> None:
        """Let the store refuse e1 until its peer is connected."""
        self.own.is_down = True
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
async def _pair() -> AsyncIterator[_Pair]:
    own = PollingMemoryStore()
    of_peer = PollingMemoryStore(own.state)
    peer_reachability = StoreReachability()

    async def answer(_sender: PeerIdentity, call: Message) -> Message:
        return await handle_store_call(of_peer, peer_reachability, call)

    server = PeerServer(
        {ttypes.JobCall: answer},
        identity=_identity('e2'),
        secret=_SECRET,
    )
    listener = await open_listener('127.0.0.1', 0)
    port = listener.socket.getsockname()[1]
    reachability = StoreReachability()
    peers = (
        PeerAddress('e1', '127.0.0.1', 1, 'its own'),
        PeerAddress('e2', '127.0.0.1', port, _SECRET),
    )
    relay = StoreRelay(
        lambda: peers,
        _identity('e1'),
        reachability,
        random.Random(1),
    )
    store = RelayedStore(own, relay, reachability)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            partial(trio.serve_listeners, server.serve, [listener])
        )
        nursery.start_soon(relay.run)
        nursery.start_soon(store.run_probe)
        yield _Pair(own, of_peer, peer_reachability, store)
        nursery.cancel_scope.cancel()


class RelayTests(unittest.TestCase):
    """Guards against an entry that is of no use while the store refuses it."""

    def test_every_call_goes_through_a_peer(self) -> None:
        """Guards against a call that only works directly."""
        trio.run(self._every_call)

    def test_failures_keep_their_meaning(self) -> None:
        """Guards against "not done" of what a peer may have done."""
        trio.run(self._failures)

    def test_store_down_for_all(self) -> None:
        """Guards against an entry that waits for peers without a store."""
        trio.run(self._down_for_all)

    def test_store_is_back(self) -> None:
        """Guards against calls that go through a peer for good."""
        trio.run(self._back)

    def test_one_lost_answer(self) -> None:
        """Guards against a detour after a single failure."""
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
        async with _pair() as pair:
            await pair.turn_away()
            store = pair.store
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
        async with _pair() as pair:
            await pair.turn_away()
            pair.of_peer.answers_to_lose = 1
            with self.assertRaises(StoreAnswerLost):
                await pair.store.commit([], [Write('b', b'1')])
            gone = LeaseId(77)
            with self.assertRaises(LeaseEnded):
                await pair.store.commit([], [Write('b', b'1', gone)])
            pair.own.state.compact()
            with self.assertRaises(HistoryLost):
                await pair.store.poll('b', after_revision=0, wait_ms=10)

    async def _down_for_all(self) -> None:
        async with _pair() as pair:
            await pair.turn_away()
            pair.of_peer.is_down = True
            with trio.fail_after(5):
                await self._read_until_away(pair.store)
            pair.own.is_down = False
            pair.of_peer.is_down = False
            await pair.store.read('x')
            self.assertTrue(pair.store.is_reachable)

    async def _read_until_away(self, store: RelayedStore) -> None:
        while store.is_reachable:
            with self.assertRaises(StoreUnavailable):
                await store.read('x')
            await trio.sleep(0.05)

    async def _back(self) -> None:
        async with _pair() as pair:
            await pair.turn_away()
            pair.own.is_down = False
            with trio.fail_after(5):
                while pair.store.reachability.is_unreachable:
                    await trio.sleep(0.05)
            before = pair.of_peer.reads_count
            await pair.store.read('x')
            self.assertEqual(before, pair.of_peer.reads_count)


class InputTests(unittest.TestCase):
    """Guards against a peer's bytes that end the process."""

    @given(st.binary(max_size=60))
    def test_unreadable_calls(self, raw: bytes) -> None:
        """Guards against failures without a type."""
        for decode in (decode_call, decode_reply):
            with suppress(BadFrame):
                decode(raw)
