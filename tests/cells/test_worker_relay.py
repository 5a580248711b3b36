"""Calls to workers that another entry makes for the owner of a cell."""

from __future__ import annotations

import random
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial

import trio

from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    OrderOutcome,
    StartOrder,
    StopOrder,
    WorkerAddress,
)
from marjoramwharf.cells.worker_relay import (
    PeerWorkerClient,
    answer_worker_call,
)
from marjoramwharf.errors import NotOwner
from marjoramwharf.ids import (
    DataCentreId,
    EntryId,
    Incarnation,
    TaskId,
    WorkerId,
)
from marjoramwharf.links.peer_client import PeerClient
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from marjoramwharf.links.peer_server import PeerServer
from marjoramwharf.links.thrift_types.peer import ttypes
from standins.simulated_worker import SimulatedWorker
from standins.simulated_worker_client import MemoryWorkerClient

_SECRET = 'a-secret-of-16-bytes'
_W1 = WorkerId('w1')
_ANYONE = WorkerAddress(_W1, 'w1', 1)
_PROBE = HoldOrder(5, 0, None, 0)
_START = StartOrder(TaskId('a.0.0.0'), 1, 'ms=60000', 3_000_000, 5)
_STOP = StopOrder(TaskId('a.0.0.0'), 1, 5)
_TIMEOUT_S = 0.2


def _identity(name: str) -> PeerIdentity:
    return PeerIdentity(EntryId(name), Incarnation('i'), DataCentreId('dc'))


@dataclass
class _Peer:
    """A peer that reaches a worker, and a connection to it."""

    worker: SimulatedWorker
    workers: MemoryWorkerClient
    connection: PeerClient
    serving: trio.CancelScope
    refuses: bool = False

    @property
    def client(self) -> PeerWorkerClient:
        """The client that calls the worker through the peer."""
        return PeerWorkerClient(self.connection)

    async def answer(self, _sender: PeerIdentity, call: Message) -> Message:
        """Answer like an entry, or like one of a build without the call."""
        if self.refuses:
            raise NotOwner(message='cell 0 is not owned here')
        return await answer_worker_call(self.workers, call)

    async def wait_connected(self, *, is_connected: bool) -> None:
        """Wait until the connection is open, or has ended."""
        with trio.fail_after(5):
            while (self.connection.peer is not None) is not is_connected:
                await trio.sleep(0.01)


@asynccontextmanager
async def _open_peer() -> AsyncIterator[_Peer]:
    worker = SimulatedWorker(born_s=trio.current_time())
    listener = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listener[0].socket.getsockname()[1]
    connection = PeerClient(
        partial(trio.open_tcp_stream, '127.0.0.1', port),
        identity=_identity('e1'),
        secret=_SECRET,
        rng=random.Random(1),
    )
    workers = MemoryWorkerClient({_W1: worker})
    peer = _Peer(worker, workers, connection, trio.CancelScope())
    server = PeerServer(
        {ttypes.JobCall: peer.answer}, identity=_identity('e2'), secret=_SECRET
    )

    async def serve() -> None:
        with peer.serving:
            await trio.serve_listeners(server.serve, listener)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        nursery.start_soon(connection.run)
        await peer.wait_connected(is_connected=True)
        yield peer
        nursery.cancel_scope.cancel()


class WorkerRelayTests(unittest.TestCase):
    """Guards against a call that means something else through a peer."""

    def test_orders_and_polls(self) -> None:
        """Guards against a call that a peer can't make."""
        trio.run(self._orders_and_polls)

    def test_other_incarnation(self) -> None:
        """Guards against an order that a peer sends to any incarnation."""
        trio.run(self._other_incarnation)

    def test_peer_gets_no_answer(self) -> None:
        """Guards against "not sent" for an order that may be carried out."""
        trio.run(self._no_answer)

    def test_peer_has_ended(self) -> None:
        """Guards against an order that is doubtful though it never left."""
        trio.run(self._peer_has_ended)

    def test_peer_of_an_older_build(self) -> None:
        """Guards against an error where a peer doesn't know the call."""
        trio.run(self._older_build)

    async def _orders_and_polls(self) -> None:
        async with _open_peer() as peer:
            started = await peer.client.start(
                _ANYONE, _START, timeout_s=_TIMEOUT_S
            )
            self.assertIs(OrderOutcome.ACCEPTED, started.outcome)
            report = await peer.client.hold(
                _ANYONE, _PROBE, timeout_s=_TIMEOUT_S
            )
            self.assertEqual(
                [_START.task], [run.task for run in report.running]
            )
            self.assertEqual(peer.worker.born_ms, report.born_ms)
            await peer.client.stop(_ANYONE, _STOP, timeout_s=_TIMEOUT_S)
            peer.worker.advance(trio.current_time() + 10)
            report = await peer.client.hold(
                _ANYONE, _PROBE, timeout_s=_TIMEOUT_S
            )
            self.assertEqual([_START.task], [end.task for end in report.ended])

    async def _other_incarnation(self) -> None:
        async with _open_peer() as peer:
            former = WorkerAddress(_W1, 'w1', 1, peer.worker.born_ms - 1)
            started = await peer.client.start(
                former, _START, timeout_s=_TIMEOUT_S
            )
            self.assertIs(OrderOutcome.NOT_CONNECTED, started.outcome)
            self.assertEqual([], peer.worker.starts)

    async def _no_answer(self) -> None:
        async with _open_peer() as peer:
            peer.workers.unreachable.add(_W1)
            started = await peer.client.start(
                _ANYONE, _START, timeout_s=_TIMEOUT_S
            )
            self.assertIs(OrderOutcome.UNKNOWN, started.outcome)
            report = await peer.client.hold(
                _ANYONE, _PROBE, timeout_s=_TIMEOUT_S
            )
            self.assertIs(OrderOutcome.UNKNOWN, report.outcome)

    async def _peer_has_ended(self) -> None:
        async with _open_peer() as peer:
            peer.serving.cancel()
            await peer.wait_connected(is_connected=False)
            started = await peer.client.start(
                _ANYONE, _START, timeout_s=_TIMEOUT_S
            )
            self.assertIs(OrderOutcome.NOT_SENT, started.outcome)

    async def _older_build(self) -> None:
        async with _open_peer() as peer:
            peer.refuses = True
            report = await peer.client.hold(
                _ANYONE, _PROBE, timeout_s=_TIMEOUT_S
            )
            self.assertIs(OrderOutcome.UNKNOWN, report.outcome)


if __name__ == '__main__':
    unittest.main()
