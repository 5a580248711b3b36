"""Calls that an entry lets another one execute while its own path is cut off.

An entry may be unable to reach the advice service, or the owner of the cell,
while the other entries can. Such a call is forwarded once at most.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio
from msgspec import Struct

from marjoramwharf.cells.advice import Advice, AdviceClient
from marjoramwharf.cells.records import CellId, decode, encode
from marjoramwharf.errors import AdviceUnavailable, PeerUnreachable
from marjoramwharf.ids import WorkerId
from marjoramwharf.links.peer_messages import Message
from marjoramwharf.links.thrift_types.peer import ttypes

ADVICE_METHOD = 'advice'
COUNT_METHOD = 'count'
ENTRY_METHODS = frozenset((ADVICE_METHOD, COUNT_METHOD))

_STATUS_OK = 200
_MS_PER_S = 1_000

# Sends a ``JobCall`` to another entry and returns its ``JobReply`` within a
# number of seconds; raises a ``Failure``.
AskPeer = Callable[[Message, float], Awaitable[Message]]


class AdviceCall(Struct, frozen=True, array_like=True):
    """Ask the advice service for tickets."""

    step: str
    workers: tuple[WorkerId, ...]
    timeout_ms: int


class AdviceReply(Struct, frozen=True, array_like=True):
    """The tickets by worker, valid from the start of the call."""

    tickets: dict[WorkerId, str]
    valid_ms: int


async def ask_no_peer(_call: Message, _timeout_s: float) -> Message:
    """Raise ``PeerUnreachable``, since no other entry can be asked."""
    await trio.lowlevel.checkpoint()
    raise PeerUnreachable(message='no other entry can be asked')


@dataclass(frozen=True, slots=True)
class EntryCallHandler:
    """Executes the calls of other entries by this entry's own paths.

    ``count_waiting`` returns the number of waiting jobs of a queue, without
    asking a further entry.
    """

    advice_client: AdviceClient | None
    count_waiting: Callable[[str], Awaitable[int]]

    async def answer(self, call: Message) -> Message:
        """Answer a call of ``ENTRY_METHODS``; raises a ``Failure``."""
        if call.method == ADVICE_METHOD:
            body = await self._advise(call.body)
        else:
            count = await self.count_waiting(call.body.decode())
            body = str(count).encode()
        return ttypes.JobReply(status=_STATUS_OK, body=body)

    async def _advise(self, raw: bytes) -> bytes:
        if self.advice_client is None:
            raise AdviceUnavailable(message='no advice service is configured')
        asked = decode(raw, AdviceCall, key='advice call')
        advice = await self.advice_client.advise(
            asked.step,
            asked.workers,
            timeout_s=asked.timeout_ms / _MS_PER_S,
        )
        return encode(AdviceReply(advice.tickets, advice.valid_ms))


def make_advice_call(
    cell: CellId, step: str, workers: tuple[WorkerId, ...], *, timeout_s: float
) -> Message:
    """Return the call that asks another entry for advice."""
    asked = AdviceCall(step, workers, round(timeout_s * _MS_PER_S))
    return ttypes.JobCall(method=ADVICE_METHOD, shard=cell, body=encode(asked))


def read_advice(reply: Message) -> Advice:
    """Return the advice in a reply; raises a ``Failure``."""
    advised = decode(reply.body, AdviceReply, key='advice reply')
    return Advice(advised.tickets, advised.valid_ms)


def make_count_call(cell: CellId, queue: str) -> Message:
    """Return the call that asks another entry how many jobs wait."""
    return ttypes.JobCall(method=COUNT_METHOD, shard=cell, body=queue.encode())
