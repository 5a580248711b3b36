"""Peer connections: authenticated senders only; replies match their calls."""

from __future__ import annotations

import functools
import random
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import trio
from trio.testing import MockClock, memory_stream_pair

from marjoramwharf.errors import (
    BadFrame,
    NotOwner,
    PeerRefused,
    PeerUnreachable,
)
from marjoramwharf.ids import DataCentreId, EntryId, Incarnation
from marjoramwharf.links.frames import (
    MAX_FRAME_BYTES,
    FrameStream,
    encode_frame,
)
from marjoramwharf.links.peer_client import PeerClient
from marjoramwharf.links.peer_messages import (
    Message,
    PeerIdentity,
    make_hello,
    pack,
)
from marjoramwharf.links.peer_server import PeerServer
from marjoramwharf.links.thrift_types.peer import ttypes

_SECRET = 'a-secret-of-16-bytes'


def _identity(name: str) -> PeerIdentity:
    return PeerIdentity(EntryId(name), Incarnation('i'), DataCentreId('dc'))


async def _handle_job_call(sender: PeerIdentity, message: Message) -> Message:
    """Reply after 1/shard seconds, so that calls are answered out of order."""
    await trio.sleep(1 / message.shard)
    return ttypes.JobReply(status=message.shard, body=sender.entry_id.encode())


async def _handle_release(sender: PeerIdentity, message: Message) -> Message:
    raise NotOwner(message='shard 4')


async def _handle_note_hint(sender: PeerIdentity, message: Message) -> Message:
    """Never reply, as if the network dropped all packets."""
    await trio.sleep_forever()


_HANDLERS = {
    ttypes.NoteHint: _handle_note_hint,
    ttypes.JobCall: _handle_job_call,
    ttypes.Release: _handle_release,
}


def _job_call(number: int) -> Message:
    return ttypes.JobCall(method='get', shard=number, body=b'')


class _Connection:
    """A server, a client and the stream between them."""

    def __init__(self, nursery: trio.Nursery, secret: str) -> None:
        self.streams: list[trio.abc.Stream] = []
        self._nursery = nursery
        self.server = PeerServer(
            _HANDLERS,
            identity=_identity('e2'),
            secret=_SECRET,
        )
        self.serve: Callable[[trio.abc.Stream], Awaitable[None]]
        self.serve = self.server.serve
        self.client = PeerClient(
            self._connect,
            identity=_identity('e1'),
            secret=secret,
            rng=random.Random(1),
        )

    async def _connect(self) -> trio.abc.Stream:
        near, far = memory_stream_pair()
        self.streams.append(far)
        self._nursery.start_soon(self.serve, far)
        return near


@asynccontextmanager
async def _open_connection(secret: str = _SECRET) -> AsyncIterator[_Connection]:
    async with trio.open_nursery() as nursery:
        connection = _Connection(nursery, secret)
        nursery.start_soon(connection.client.run)
        await trio.sleep(0.5)
        yield connection
        nursery.cancel_scope.cancel()


def _run(scenario: Callable[[], Awaitable[Any]]) -> Any:
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


class PeerTests(unittest.TestCase):
    """Guards against mixed up replies and unauthenticated senders."""

    def test_replies_are_matched_by_call_id(self) -> None:
        """Guards against a reply that is delivered to another call."""
        replies: dict[int, int] = {}

        async def ask(connection: _Connection, number: int) -> None:
            reply = await connection.client.call(_job_call(number), timeout_s=5)
            replies[number] = reply.status

        async def scenario() -> None:
            async with (
                _open_connection() as connection,
                trio.open_nursery() as nursery,
            ):
                for number in range(1, 30):
                    nursery.start_soon(ask, connection, number)

        _run(scenario)
        self.assertEqual(replies, {number: number for number in range(1, 30)})

    def test_late_reply_is_dropped(self) -> None:
        """Guards against a late reply that is taken for the next call's."""

        async def scenario() -> Any:
            async with _open_connection() as connection:
                with self.assertRaises(PeerUnreachable):
                    await connection.client.call(_job_call(1), timeout_s=0.9)
                return await connection.client.call(_job_call(2), timeout_s=5)

        self.assertEqual(_run(scenario).status, 2)

    def test_wrong_secret_is_refused(self) -> None:
        """Guards against calls of a sender without the shared secret."""

        async def scenario() -> None:
            async with _open_connection('another-secret-of-16') as connection:
                self.assertIsNone(connection.client.peer)
                with self.assertRaises(PeerUnreachable):
                    await connection.client.call(_job_call(1), timeout_s=5)

        _run(scenario)

    def test_server_without_the_secret_is_refused(self) -> None:
        """Guards against a server that impersonates a peer."""

        async def impersonate(stream: trio.abc.Stream) -> None:
            frames = FrameStream(stream)
            greeting = make_hello(_identity('e2'), nonce='n', proof='')
            await frames.send(pack(0, greeting))
            await frames.receive()
            await frames.send(pack(0, greeting, is_reply=True))

        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                connection = _Connection(nursery, _SECRET)
                connection.serve = impersonate
                nursery.start_soon(connection.client.run)
                await trio.sleep(0.5)
                self.assertIsNone(connection.client.peer)
                self.assertTrue(connection.streams)
                nursery.cancel_scope.cancel()

        _run(scenario)

    def test_call_before_hello_is_refused(self) -> None:
        """Guards against a sender that skips the authentication."""

        async def scenario() -> None:
            near, far = memory_stream_pair()
            server = PeerServer(
                _HANDLERS,
                identity=_identity('e2'),
                secret=_SECRET,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.serve, far)
                frames = FrameStream(near)
                await frames.receive()
                await frames.send(pack(1, _job_call(1)))
                with self.assertRaises(PeerUnreachable):
                    await frames.receive()

        _run(scenario)

    def test_failures_are_typed(self) -> None:
        """Guards against a handler's failure that closes the connection."""

        async def scenario() -> None:
            async with _open_connection() as connection:
                for message, reason in (
                    (ttypes.Release(reservation_id='x'), 'not_owner: shard 4'),
                    (ttypes.Leaving(entry_id='e1'), 'Leaving is not served'),
                ):
                    await self._is_refused(connection, message, reason)

        _run(scenario)

    def test_lost_connection_is_reopened(self) -> None:
        """Guards against a peer that stays disconnected."""

        async def scenario() -> Any:
            async with _open_connection() as connection:
                await trio.aclose_forcefully(connection.streams[0])
                with self.assertRaises(PeerUnreachable):
                    await connection.client.call(_job_call(1), timeout_s=5)
                await trio.sleep(3)
                return await connection.client.call(_job_call(2), timeout_s=5)

        self.assertEqual(_run(scenario).body, b'e1')

    def test_silent_connection_is_reopened(self) -> None:
        """Guards against a dead connection that causes no error for minutes."""

        async def scenario() -> None:
            async with _open_connection() as connection:
                for _ in range(3):
                    await self._is_not_answered(connection)
                await trio.sleep(3)
                await connection.client.call(_job_call(2), timeout_s=5)
                self.assertEqual(len(connection.streams), 2)

        _run(scenario)

    def test_idle_connection_is_closed(self) -> None:
        """Guards against connection tasks that outlive their peers."""

        async def scenario() -> None:
            async with _open_connection() as connection:
                await trio.sleep(33)
                self.assertEqual(len(connection.streams), 2)

        _run(scenario)

    async def _is_not_answered(self, connection: _Connection) -> None:
        hint = ttypes.NoteHint(revision=1)
        with self.assertRaises(PeerUnreachable):
            await connection.client.call(hint, timeout_s=1)

    async def _is_refused(
        self,
        connection: _Connection,
        message: Message,
        reason: str,
    ) -> None:
        with self.assertRaisesRegex(PeerRefused, reason):
            await connection.client.call(message, timeout_s=5)


class FrameTests(unittest.TestCase):
    """Guards against frames that exhaust the memory or crash the receiver."""

    def test_too_large_is_not_sent(self) -> None:
        """Guards against a frame that the peer would refuse."""
        body = bytes(MAX_FRAME_BYTES)
        message = ttypes.JobCall(method='get', shard=1, body=body)
        with self.assertRaises(BadFrame):
            encode_frame(pack(1, message))

    def test_malformed_frames_are_refused(self) -> None:
        """Guards against exceptions of the generated code that aren't typed."""
        for sent in (
            b'\xff\xff\xff\xff',
            b'\0\0\0\0',
            b'\0\0\0\4abcd',
            b'\0\0\0\1\0',
        ):
            with self.subTest(sent=sent), self.assertRaises(BadFrame):
                _run(functools.partial(self._receive, sent))

    def test_missing_nested_field_is_refused(self) -> None:
        """Guards against a list member without its required fields."""
        borrow = ttypes.Borrow(
            borrower='e1',
            incarnation='i',
            wants=[ttypes.SlotWant(worker_id='w1')],
            any_slots_count=1,
            service_id='notices',
        )
        frame = encode_frame(pack(1, borrow))
        with self.assertRaises(BadFrame):
            _run(functools.partial(self._receive, frame))

    async def _receive(self, sent: bytes) -> Any:
        near, far = memory_stream_pair()
        await near.send_all(sent)
        return await FrameStream(far).receive()
