"""Peer links: only proved senders, and each reply goes to its own call."""

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
    """Answer the later calls first."""
    await trio.sleep(1 / message.shard)
    return ttypes.JobReply(status=message.shard, body=sender.entry_id.encode())


async def _handle_release(sender: PeerIdentity, message: Message) -> Message:
    raise NotOwner(message='shard 4')


async def _handle_note_hint(sender: PeerIdentity, message: Message) -> Message:
    """Never answer, as over a link that drops all packets."""
    await trio.sleep_forever()


_HANDLERS = {
    ttypes.NoteHint: _handle_note_hint,
    ttypes.JobCall: _handle_job_call,
    ttypes.Release: _handle_release,
}


def _job_call(number: int) -> Message:
    return ttypes.JobCall(method='get', shard=number, body=b'')


class _Link:
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
async def _link(secret: str = _SECRET) -> AsyncIterator[_Link]:
    async with trio.open_nursery() as nursery:
        link = _Link(nursery, secret)
        nursery.start_soon(link.client.run)
        await trio.sleep(0.5)
        yield link
        nursery.cancel_scope.cancel()


def _run(scenario: Callable[[], Awaitable[Any]]) -> Any:
    return trio.run(scenario, clock=MockClock(autojump_threshold=0))


class PeerTests(unittest.TestCase):
    """Guards against crossed replies and unproved senders."""

    def test_replies_are_matched_by_call_id(self) -> None:
        """Guards against a reply that reaches another call."""
        replies: dict[int, int] = {}

        async def ask(link: _Link, number: int) -> None:
            reply = await link.client.call(_job_call(number), timeout_s=5)
            replies[number] = reply.status

        async def scenario() -> None:
            async with _link() as link, trio.open_nursery() as nursery:
                for number in range(1, 30):
                    nursery.start_soon(ask, link, number)

        _run(scenario)
        self.assertEqual(replies, {number: number for number in range(1, 30)})

    def test_late_reply_is_dropped(self) -> None:
        """Guards against a late reply taken for that of the next call."""

        async def scenario() -> Any:
            async with _link() as link:
                with self.assertRaises(PeerUnreachable):
                    await link.client.call(_job_call(1), timeout_s=0.9)
                return await link.client.call(_job_call(2), timeout_s=5)

        self.assertEqual(_run(scenario).status, 2)

    def test_wrong_secret_is_refused(self) -> None:
        """Guards against calls of an unknown sender."""

        async def scenario() -> None:
            async with _link('another-secret-of-16') as link:
                self.assertIsNone(link.client.peer)
                with self.assertRaises(PeerUnreachable):
                    await link.client.call(_job_call(1), timeout_s=5)

        _run(scenario)

    def test_server_without_the_secret_is_refused(self) -> None:
        """Guards against a process that poses as an owner."""

        async def pose(stream: trio.abc.Stream) -> None:
            frames = FrameStream(stream)
            greeting = make_hello(_identity('e2'), nonce='n', proof='')
            await frames.send(pack(0, greeting))
            await frames.receive()
            await frames.send(pack(0, greeting, is_reply=True))

        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                link = _Link(nursery, _SECRET)
                link.serve = pose
                nursery.start_soon(link.client.run)
                await trio.sleep(0.5)
                self.assertIsNone(link.client.peer)
                self.assertTrue(link.streams)
                nursery.cancel_scope.cancel()

        _run(scenario)

    def test_call_before_hello_is_refused(self) -> None:
        """Guards against a sender that skips the proof."""

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
        """Guards against a handler's failure that cuts the connection."""

        async def scenario() -> None:
            async with _link() as link:
                for message, reason in (
                    (ttypes.Release(reservation_id='x'), 'not_owner: shard 4'),
                    (ttypes.Leaving(entry_id='e1'), 'Leaving is not served'),
                ):
                    await self._is_refused(link, message, reason)

        _run(scenario)

    def test_cut_connection_is_reopened(self) -> None:
        """Guards against a peer that stays lost after one cut."""

        async def scenario() -> Any:
            async with _link() as link:
                await trio.aclose_forcefully(link.streams[0])
                with self.assertRaises(PeerUnreachable):
                    await link.client.call(_job_call(1), timeout_s=5)
                await trio.sleep(3)
                return await link.client.call(_job_call(2), timeout_s=5)

        self.assertEqual(_run(scenario).body, b'e1')

    def test_silent_connection_is_reopened(self) -> None:
        """Guards against a dead link that gives no error for minutes."""

        async def scenario() -> None:
            async with _link() as link:
                for _ in range(3):
                    await self._is_not_answered(link)
                await trio.sleep(3)
                await link.client.call(_job_call(2), timeout_s=5)
                self.assertEqual(len(link.streams), 2)

        _run(scenario)

    def test_idle_connection_is_closed(self) -> None:
        """Guards against tasks of vanished peers that never end."""

        async def scenario() -> None:
            async with _link() as link:
                await trio.sleep(33)
                self.assertEqual(len(link.streams), 2)

        _run(scenario)

    async def _is_not_answered(self, link: _Link) -> None:
        hint = ttypes.NoteHint(revision=1)
        with self.assertRaises(PeerUnreachable):
            await link.client.call(hint, timeout_s=1)

    async def _is_refused(
        self,
        link: _Link,
        message: Message,
        reason: str,
    ) -> None:
        with self.assertRaisesRegex(PeerRefused, reason):
            await link.client.call(message, timeout_s=5)


class FrameTests(unittest.TestCase):
    """Guards against frames that exhaust the memory or crash the reader."""

    def test_too_large_is_not_sent(self) -> None:
        """Guards against a frame that the peer would refuse."""
        body = bytes(MAX_FRAME_BYTES)
        message = ttypes.JobCall(method='get', shard=1, body=body)
        with self.assertRaises(BadFrame):
            encode_frame(pack(1, message))

    def test_malformed_frames_are_refused(self) -> None:
        """Guards against untyped errors of the generated code."""
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
