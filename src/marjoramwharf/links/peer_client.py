"""Calls to one peer entry over one connection, which is kept up by one task."""

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
    make_hello,
    read_identity,
    pack,
    compute_proof,
    verify_proof,
    decode_refusal,
    unpack,
)
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.logs import part_logger
from marjoramwharf.tracing import start_span, trace_headers

_LOG = part_logger('peer')
_CONNECT_TIMEOUT_S = 2
_FIRST_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 2

# Calls in a row without any reply after which the connection is reopened: a
# link that drops all packets gives no error for many minutes.
_SILENT_CALLS_COUNT = 3


@dataclass(slots=True)
class _Pending:
    """A call that waits; without a reply the connection was cut."""

    done: trio.Event = field(default_factory=trio.Event)
    reply: Message | None = None


class PeerClient:
    """Sends messages to one peer and matches the replies by call id.

    ``connect`` opens a stream to the peer; it may raise ``OSError``.
    ``on_failure`` is told why a connection could not be opened.
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
        """Start without a connection."""
        self._on_failure = on_failure
        self.peer: PeerIdentity | None = None
        self._connect = connect
        self._identity = identity
        self._secret = secret
        self._rng = rng
        self._frames: FrameStream | None = None
        self._pending: dict[int, _Pending] = {}
        self._silent_count = 0
        self._call_ids = itertools.count(1)

    async def run(self) -> None:
        """Keep the connection up until cancelled."""
        backoff_s: float = _FIRST_BACKOFF_S
        while True:
            if await self._serve_once():
                backoff_s = _FIRST_BACKOFF_S
            # Full jitter: peers that lost a link together return spread out.
            await trio.sleep(self._rng.uniform(0, backoff_s))
            backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)

    async def call(self, message: Message, *, timeout_s: float) -> Message:
        """Send a message and return the reply.

        Raises ``PeerUnreachable`` without a connection or an answer in time
        (the peer may still have acted) and ``PeerRefused`` on a refusal. The
        call is never repeated here.
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
            raise PeerUnreachable(message='not connected')
        call_id = next(self._call_ids)
        pending = _Pending()
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
            await self._count_silence(frames)
            raise PeerUnreachable(message=f'no answer within {timeout_s} s')
        return pending.reply

    async def _count_silence(self, frames: FrameStream) -> None:
        self._silent_count += 1
        if self._silent_count >= _SILENT_CALLS_COUNT:
            await frames.aclose()

    async def _serve_once(self) -> bool:
        """Connect and read replies; tell whether the peer was reached."""
        try:
            frames = await self._open()
        except (OSError, Failure) as failure:
            _LOG.info('connection failed', error=repr(failure))
            if self._on_failure is not None:
                self._on_failure(failure)
            return False
        self._frames = frames
        self._silent_count = 0
        try:
            await self._read_replies(frames)
        except (PeerUnreachable, BadFrame) as failure:
            _LOG.info('connection lost', error=str(failure))
        finally:
            await self._drop(frames)
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
        raise PeerUnreachable(message='no connection in time')

    async def _shake_hands(self, frames: FrameStream) -> PeerIdentity:
        """Answer the server's nonce and check its own proof."""
        challenge = _as_hello(await frames.receive())
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
        answer = _as_hello(await frames.receive())
        if not verify_proof(answer, self._secret, 'server', nonces):
            raise PeerRefused(message='the peer did not prove its identity')
        frames.limit_bytes = MAX_FRAME_BYTES
        return read_identity(answer)

    async def _read_replies(self, frames: FrameStream) -> None:
        while True:
            envelope = await frames.receive()
            self._silent_count = 0
            pending = self._pending.get(envelope.call_id)
            # A reply that comes after its call has timed out is dropped.
            if pending is not None and envelope.is_reply:
                pending.reply = unpack(envelope)
                pending.done.set()

    async def _drop(self, frames: FrameStream) -> None:
        self._frames = None
        self.peer = None
        for pending in self._pending.values():
            pending.done.set()
        await frames.aclose()


def _as_hello(envelope: ttypes.Envelope) -> Message:
    message = unpack(envelope)
    if isinstance(message, ttypes.Refusal):
        raise decode_refusal(message)
    if not isinstance(message, ttypes.Hello):
        raise BadFrame(message='expected Hello')
    return message
