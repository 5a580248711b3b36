"""Serves the messages of peer entries, with one task for each connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import TypeAlias

import trio
from opentelemetry.trace import SpanKind

from marjoramwharf.errors import (
    BadFrame,
    Failure,
    PeerRefused,
    PeerUnreachable,
)
from marjoramwharf.ids import random_id
from marjoramwharf.isolation import log_unexpected, run_isolated
from marjoramwharf.links.frames import MAX_FRAME_BYTES, FrameStream
from marjoramwharf.links.peer_messages import (
    Message,
    PeerIdentity,
    compute_proof,
    make_hello,
    make_refusal,
    pack,
    read_identity,
    unpack,
    verify_proof,
)
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.logs import part_logger
from marjoramwharf.tracing import start_span

Handler: TypeAlias = Callable[[PeerIdentity, Message], Awaitable[Message]]

_LOG = part_logger('peer')
_HELLO_TIMEOUT_S = 2

# Every peer sends a summary each second, so a connection without any message
# for this long is dead.
_IDLE_TIMEOUT_S = 30

# Concurrent calls of one peer; further frames wait in the connection. A peer
# may poll all workers through this entry, one call for each.
_MAX_CONCURRENT_CALLS = 2_048


class PeerServer:
    """Dispatches the messages of authenticated peers to handlers."""

    def __init__(
        self,
        handlers: Mapping[type, Handler],
        *,
        identity: PeerIdentity,
        secret: str,
    ) -> None:
        """Take the handler of each message type; other types are refused."""
        self._handlers = handlers
        self._identity = identity
        self._secret = secret

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection to its end, for ``trio.serve_listeners``.

        The handlers of one connection run concurrently, so that a slow job
        call does not delay the renewal of grants. An error in one of them is
        answered with a refusal, and any other error ends this connection only.
        """
        await run_isolated('peer connection', self._serve_stream, stream)

    async def _serve_stream(self, stream: trio.abc.Stream) -> None:
        frames = FrameStream(stream)
        try:
            await self._serve_peer(frames)
        except* (PeerUnreachable, PeerRefused, BadFrame) as failures:
            _LOG.info('connection ended', error=str(failures.exceptions[0]))
        finally:
            await frames.aclose()

    async def _serve_peer(self, frames: FrameStream) -> None:
        sender: PeerIdentity | None = None
        with trio.move_on_after(_HELLO_TIMEOUT_S):
            sender = await self._shake_hands(frames)
        if sender is None:
            raise PeerUnreachable(
                message='no valid Hello within the time limit'
            )
        frames.limit_bytes = MAX_FRAME_BYTES
        limiter = trio.Semaphore(_MAX_CONCURRENT_CALLS)
        async with trio.open_nursery() as nursery:
            while True:
                envelope = await self._receive(frames)
                await limiter.acquire()
                nursery.start_soon(
                    self._answer,
                    frames,
                    sender,
                    envelope,
                    limiter,
                )

    async def _receive(self, frames: FrameStream) -> ttypes.Envelope:
        with trio.move_on_after(_IDLE_TIMEOUT_S):
            return await frames.receive()
        raise PeerUnreachable(
            message='the peer sent nothing within the idle timeout'
        )

    async def _shake_hands(self, frames: FrameStream) -> PeerIdentity:
        """Send a nonce and return the identity that the client proves.

        Raises ``PeerRefused`` for a client without a valid proof.
        """
        nonce = random_id()
        challenge = make_hello(self._identity, nonce=nonce, proof='')
        await frames.send(pack(0, challenge))
        message = unpack(await frames.receive())
        if not isinstance(message, ttypes.Hello):
            raise BadFrame(message='expected a Hello message')
        nonces = (nonce, message.nonce)
        if not verify_proof(message, self._secret, 'client', nonces):
            refused = PeerRefused(message='no valid proof of identity')
            reply = make_refusal(refused)
            await frames.send(pack(0, reply, is_reply=True))
            raise refused
        proof = compute_proof(
            self._secret,
            'server',
            self._identity,
            nonces,
        )
        answer = make_hello(
            self._identity,
            nonce=nonce,
            proof=proof,
        )
        await frames.send(pack(0, answer, is_reply=True))
        return read_identity(message)

    async def _answer(
        self,
        frames: FrameStream,
        sender: PeerIdentity,
        envelope: ttypes.Envelope,
        limiter: trio.Semaphore,
    ) -> None:
        reply = await self._handle(sender, envelope)
        limiter.release()
        await frames.send(
            pack(envelope.call_id, reply, is_reply=True),
        )

    async def _handle(
        self,
        sender: PeerIdentity,
        envelope: ttypes.Envelope,
    ) -> Message:
        message = unpack(envelope)
        name = type(message).__name__
        handler = self._handlers.get(type(message))
        if handler is None:
            return make_refusal(
                PeerRefused(message=f'{name} is not served here'),
            )
        headers = {'traceparent': envelope.traceparent or ''}
        with start_span(f'peer {name}', kind=SpanKind.SERVER, headers=headers):
            try:
                return await handler(sender, message)
            except Failure as failure:
                return make_refusal(failure)
            except Exception:
                log_unexpected(f'peer call {name}')
                return make_refusal(
                    PeerRefused(message=f'unexpected error in {name}'),
                )
