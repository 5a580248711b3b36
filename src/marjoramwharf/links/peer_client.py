"""Client of one peer entry; one task keeps its connection open."""

from __future__ import annotations

import itertools
import random
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass, field

import trio
from opentelemetry.trace import SpanKind

from marjoramwharf.errors import (
    BadFrame,
    Failure,
    PeerRefused,
    PeerUnreachable,
)
from marjoramwharf.ids import random_id
from marjoramwharf.links.frames import MAX_FRAME_BYTES, FrameStream
from marjoramwharf.links.peer_messages import (
    Message,
    PeerIdentity,
    compute_proof,
    decode_refusal,
    make_hello,
    pack,
    read_identity,
    unpack,
    verify_proof,
)
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.logs import part_logger
from marjoramwharf.tracing import start_span, trace_headers

_LOG = part_logger('peer')
_CONNECT_TIMEOUT_S = 2
_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 2

# Consecutive calls without a reply after which the connection is reopened: a
# network that drops all packets causes no error for many minutes.
_MAX_UNANSWERED_CALLS = 3


@dataclass(slots=True)
class _PendingCall:
    """A call in flight; it ends without a reply if the connection is lost."""

    done: trio.Event = field(default_factory=trio.Event)
    reply: Message | None = None


class PeerClient:
    """Sends messages to one peer and matches the replies by call id.

    ``connect`` opens a stream to the peer; it may raise ``OSError``.
    ``on_failure`` is called with the reason why a connection could not be
    opened.
    """

    def __init__(
        self,
        connect: Callable[[], Awaitable[trio.abc.Stream]],
        *,
        identity: PeerIdentity,
        secret: str,
        rng: random.Random,
        on_failure: Callable[[Exception], None] | None = None,
    ) -> None:
        """Prepare the client; ``run`` opens the connection."""
        self._on_failure = on_failure
        self.peer: PeerIdentity | None = None
        self._connect = connect
        self._identity = identity
        self._secret = secret
        self._rng = rng
        self._frames: FrameStream | None = None
        self._pending: dict[int, _PendingCall] = {}
        self._unanswered_count = 0
        self._call_ids = itertools.count(1)

    async def run(self) -> None:
        """Keep the connection open until cancelled."""
        backoff_s: float = _INITIAL_BACKOFF_S
        while True:
            if await self._run_connection():
                backoff_s = _INITIAL_BACKOFF_S
            # Full jitter, so that peers disconnected together don't all
            # reconnect at once.
            await trio.sleep(self._rng.uniform(0, backoff_s))
            backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)

    async def call(self, message: Message, *, timeout_s: float) -> Message:
        """Send a message and return the reply.

        Raises ``PeerUnreachable`` without a connection or a reply in time
        (the peer may still have acted) and ``PeerRefused`` if the peer
        refuses. The call is never retried here.
        """
        name = type(message).__name__
        with start_span(f'peer {name}', kind=SpanKind.CLIENT):
            reply = await self._exchange(message, timeout_s)
        if isinstance(reply, ttypes.Refusal):
            raise decode_refusal(reply)
        return reply

    async def _exchange(self, message: Message, timeout_s: float) -> Message:
        frames = self._frames
        if frames is None:
            raise PeerUnreachable(message='not connected to the peer')
        call_id = next(self._call_ids)
        pending = _PendingCall()
        self._pending[call_id] = pending
        envelope = pack(
            call_id,
            message,
            traceparent=trace_headers().get('traceparent'),
        )
        with ExitStack() as stack:
            stack.callback(self._pending.pop, call_id, None)
            with trio.move_on_after(timeout_s):
                await frames.send(envelope)
                await pending.done.wait()
        if pending.reply is None:
            await self._count_unanswered(frames)
            raise PeerUnreachable(
                message=f'no reply from the peer within {timeout_s} s'
            )
        return pending.reply

    async def _count_unanswered(self, frames: FrameStream) -> None:
        self._unanswered_count += 1
        if self._unanswered_count >= _MAX_UNANSWERED_CALLS:
            await frames.aclose()

    async def _run_connection(self) -> bool:
        """Connect and read replies until the connection ends.

        Return whether the connection could be opened.
        """
        try:
            frames = await self._open()
        except (OSError, Failure) as failure:
            _LOG.info('connection failed', error=repr(failure))
            if self._on_failure is not None:
                self._on_failure(failure)
            return False
        self._frames = frames
        self._unanswered_count = 0
        try:
            await self._read_replies(frames)
        except (PeerUnreachable, BadFrame) as failure:
            _LOG.info('connection lost', error=str(failure))
        finally:
            await self._close(frames)
        return True

    async def _open(self) -> FrameStream:
        with trio.move_on_after(_CONNECT_TIMEOUT_S):
            frames = FrameStream(await self._connect())
            try:
                self.peer = await self._shake_hands(frames)
            except BaseException:
                await frames.aclose()
                raise
            return frames
        raise PeerUnreachable(message='connecting to the peer timed out')

    async def _shake_hands(self, frames: FrameStream) -> PeerIdentity:
        """Prove this entry's identity to the server and verify the server's."""
        challenge = _unpack_hello(await frames.receive())
        nonces = (challenge.nonce, random_id())
        proof = compute_proof(
            self._secret,
            'client',
            self._identity,
            nonces,
        )
        message = make_hello(
            self._identity,
            nonce=nonces[1],
            proof=proof,
        )
        await frames.send(pack(0, message))
        answer = _unpack_hello(await frames.receive())
        if not verify_proof(answer, self._secret, 'server', nonces):
            raise PeerRefused(message='the peer did not prove its identity')
        frames.limit_bytes = MAX_FRAME_BYTES
        return read_identity(answer)

    async def _read_replies(self, frames: FrameStream) -> None:
        while True:
            envelope = await frames.receive()
            self._unanswered_count = 0
            pending = self._pending.get(envelope.call_id)
            # A reply to a call that has timed out is dropped.
            if pending is not None and envelope.is_reply:
                pending.reply = unpack(envelope)
                pending.done.set()

    async def _close(self, frames: FrameStream) -> None:
        self._frames = None
        self.peer = None
        for pending in self._pending.values():
            pending.done.set()
        await frames.aclose()


async def fetch_identity(
    connect: Callable[[], Awaitable[trio.abc.Stream]],
) -> PeerIdentity:
    """Return who the process at an address says it is, without any proof.

    Raises ``OSError`` or a ``Failure`` if none answers.
    """
    frames = FrameStream(await connect())
    try:
        return read_identity(_unpack_hello(await frames.receive()))
    finally:
        await frames.aclose()


def _unpack_hello(envelope: ttypes.Envelope) -> Message:
    message = unpack(envelope)
    if isinstance(message, ttypes.Refusal):
        raise decode_refusal(message)
    if not isinstance(message, ttypes.Hello):
        raise BadFrame(message='expected a Hello message')
    return message
