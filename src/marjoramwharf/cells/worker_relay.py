"""Calls to workers through other entries, and those made for others."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol, TypeVar

from marjoramwharf.cells.worker_calls import (
    HoldCall,
    OrderCall,
    PaceCall,
    StartCall,
    StopCall,
    WorkerCall,
    decode_call,
    decode_reply,
    encode_call,
    encode_reply,
    execute_call,
)
from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    HoldReport,
    OrderAnswer,
    OrderOutcome,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerAddress,
    WorkerClient,
)
from marjoramwharf.errors import BadFrame, Failure, PeerUnreachable
from marjoramwharf.ids import EntryId
from marjoramwharf.links.peer_client import PeerClient
from marjoramwharf.links.peer_messages import Message
from marjoramwharf.links.relay_peers import RelayPeers
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.logs import part_logger

_LOG = part_logger('relay')

WORKER_METHOD = 'worker'
_STATUS_DONE = 200

# The answer of an entry may arrive this much after the call's own timeout.
RELAY_MARGIN_S = 0.3

_Reply = TypeVar('_Reply', HoldReport, OrderAnswer)


class PeerNotConnected(PeerUnreachable):
    """No peer is connected; the call was not sent."""


@dataclass(frozen=True, slots=True)
class RelayingEntry:
    """An entry that can be asked to call workers, and its speed in cores."""

    client: WorkerClient
    cpu_share: float


class WorkerRelay(Protocol):
    """The entries through which workers can be called."""

    def entries(self) -> Mapping[EntryId, RelayingEntry]:
        """Return the entries that can be asked now."""


@dataclass(frozen=True, slots=True)
class PeerWorkerRelay:
    """Implements ``WorkerRelay`` on connected peers."""

    relay_peers: RelayPeers

    def entries(self) -> Mapping[EntryId, RelayingEntry]:
        """Return the connected peers."""
        return {
            peer.entry_id: RelayingEntry(
                PeerWorkerClient(client), peer.cpu_share
            )
            for peer, client in self.relay_peers.connected().items()
        }


@dataclass(frozen=True, slots=True)
class PeerWorkerClient:
    """Implements ``WorkerClient`` by calls that a peer makes."""

    client: PeerClient

    async def start(
        self, worker: WorkerAddress, order: StartOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Start a run."""
        return await self._order(StartCall(worker, order, timeout_s))

    async def stop(
        self, worker: WorkerAddress, order: StopOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Stop a run."""
        return await self._order(StopCall(worker, order, timeout_s))

    async def pace(
        self, worker: WorkerAddress, order: PaceOrder, *, timeout_s: float
    ) -> OrderAnswer:
        """Change the speed of a run."""
        return await self._order(PaceCall(worker, order, timeout_s))

    async def hold(
        self, worker: WorkerAddress, order: HoldOrder, *, timeout_s: float
    ) -> HoldReport:
        """Extend the leases of all runs, and return the report on them."""
        call = HoldCall(worker, order, timeout_s)
        try:
            return await self._send(call, HoldReport)
        except Failure as failure:
            return HoldReport(_outcome_of(failure))

    async def _order(self, call: OrderCall) -> OrderAnswer:
        try:
            return await self._send(call, OrderAnswer)
        except Failure as failure:
            return OrderAnswer(_outcome_of(failure))

    async def _send(self, call: WorkerCall, reply_type: type[_Reply]) -> _Reply:
        """Let the peer make a call; raises ``Failure``."""
        if self.client.peer is None:
            raise PeerNotConnected(message='the peer is not connected')
        reply = await self.client.call(
            ttypes.JobCall(
                method=WORKER_METHOD, shard=0, body=encode_call(call)
            ),
            timeout_s=call.timeout_s + RELAY_MARGIN_S,
        )
        if reply.status != _STATUS_DONE:
            raise BadFrame(message=f'status {reply.status} of a worker call')
        return decode_reply(reply.body, reply_type)


async def answer_worker_call(client: WorkerClient, call: Message) -> Message:
    """Make a call to a worker for another entry; raises ``BadFrame``."""
    reply = await execute_call(client, decode_call(call.body))
    return ttypes.JobReply(status=_STATUS_DONE, body=encode_reply(reply))


def _outcome_of(failure: Failure) -> OrderOutcome:
    """Return the outcome of a call without a reply from the peer.

    Anything but a missing connection may have reached the worker.
    """
    _LOG.debug('call through a peer failed', error=str(failure))
    if isinstance(failure, PeerNotConnected):
        return OrderOutcome.NOT_SENT
    return OrderOutcome.UNKNOWN
