"""Fuzzes the frames and messages that peers send."""

from __future__ import annotations

import random
import unittest
from contextlib import suppress
from typing import Any

import trio
from hypothesis import example, given
from hypothesis import strategies as st
from thrift.Thrift import TType
from trio.testing import MockClock, memory_stream_pair

from marjoramwharf.contracts.allocator import CapacityAllocator
from marjoramwharf.contracts.ledger import WorkerLedger
from marjoramwharf.contracts.lending import CapacityManager
from marjoramwharf.contracts.permit_pool import PermitPool
from marjoramwharf.errors import BadFrame, Failure
from marjoramwharf.ids import (
    DataCentreId,
    EntryId,
    Epoch,
    Incarnation,
    RackId,
    WorkerId,
)
from marjoramwharf.links.frames import (
    HELLO_FRAME_BYTES,
    decode_body,
    encode_frame,
)
from marjoramwharf.links.peer_client import PeerClient
from marjoramwharf.links.peer_messages import PeerIdentity, pack, unpack
from marjoramwharf.links.peer_server import PeerServer
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.machines.calls import LeaseReply
from marjoramwharf.machines.worker import Capacity, Worker
from marjoramwharf.settings import CapacitySettings
from tests.fuzz.inputs import FUZZ

_SECRET = 'a-secret-of-16-bytes'
_WORKER = Worker(
    WorkerId('w1'),
    'http://10.0.0.1:80',
    DataCentreId('dc'),
    RackId('r'),
    Capacity(8, 64, 32_000, 125_000),
    frozenset(('notice',)),
)
_DIGITS = '9' * 5_000
_LONG_ID = f'{_DIGITS}@t@w1'
_INT_LIMIT = 2**31
_LONG_LIMIT = 2**63
_NAMES = st.one_of(
    st.sampled_from(('w1', 'e1', '1-1@w1', 'notice', _LONG_ID)),
    st.text(st.characters(codec='utf-8'), max_size=6),
)
_HELLO = encode_frame(
    pack(
        0,
        ttypes.Hello(
            entry_id='e1',
            incarnation='i',
            data_centre='dc',
            protocol_version=1,
            nonce='n',
            proof='p',
        ),
    ),
)


def _values(kind: int, detail: Any) -> st.SearchStrategy[Any]:
    if kind == TType.STRUCT:
        return _messages(detail[0])
    if kind == TType.LIST:
        return st.lists(_values(detail[0], detail[1]), max_size=3)
    if kind == TType.STRING:
        return st.binary(max_size=9) if detail == 'BINARY' else _NAMES
    if kind == TType.I64:
        return st.integers(-_LONG_LIMIT, _LONG_LIMIT - 1)
    if kind == TType.I32:
        return st.integers(-2, 9) | st.integers(-_INT_LIMIT, _INT_LIMIT - 1)
    return st.booleans() if kind == TType.BOOL else st.floats()


def _messages(model: type) -> st.SearchStrategy[Any]:
    """Return a strategy for messages with any values of the right types."""
    spec = [part for part in model.thrift_spec if part]  # type: ignore[attr-defined]
    return st.builds(
        model,
        **{part[2]: _values(part[1], part[3]) for part in spec},
    )


_ASKED = st.one_of(
    [
        _messages(model)
        for model in (
            ttypes.Borrow,
            ttypes.Renew,
            ttypes.GiveBack,
            ttypes.Revoke,
            ttypes.Summary,
            ttypes.Reserve,
            ttypes.Release,
            ttypes.NoteHint,
            ttypes.Leaving,
        )
    ],
)


def _changed(frame: bytes) -> st.SearchStrategy[bytes]:
    """Return a strategy: the frame with some bytes replaced, or any bytes."""
    positions = st.integers(0, len(frame) - 1)
    changes = st.dictionaries(positions, st.integers(0, 255), max_size=4)

    def change(found: dict[int, int]) -> bytes:
        body = bytearray(frame)
        for position, octet in found.items():
            body[position] = octet
        return bytes(body)

    return st.one_of(changes.map(change), st.binary(max_size=80))


def _identity(name: str) -> PeerIdentity:
    return PeerIdentity(EntryId(name), Incarnation('i'), DataCentreId('dc'))


def _capacity_manager() -> CapacityManager:
    """Return the capacity manager of an entry that owns one worker."""
    capacity_manager = CapacityManager(
        _identity('e2'),
        CapacitySettings(),
        PermitPool(lambda _worker_id: _WORKER.services),
        allocator=CapacityAllocator(),
        get_agent=lambda _worker_id: None,  # type: ignore[arg-type, return-value]
        peers=dict,
        rng=random.Random(1),
    )
    ledger = WorkerLedger(
        _WORKER, Epoch(1), grant_ttl_s=3, connections_per_session=5
    )
    ledger.record_fence(LeaseReply(Epoch(1), False, (), (), ()), 0)
    capacity_manager.allocator.ledgers[_WORKER.worker_id] = ledger
    return capacity_manager


class PeerTests(unittest.TestCase):
    """Guards against a peer whose input crashes the entry."""

    def setUp(self) -> None:
        """Make a server for peers of an entry that owns one worker."""
        self.capacity_manager = _capacity_manager()
        self.server = PeerServer(
            self.capacity_manager.handlers(),
            identity=_identity('e2'),
            secret=_SECRET,
        )

    @FUZZ
    @given(_changed(_HELLO[4:]))
    def test_body(self, body: bytes) -> None:
        """Guards against a failure other than ``BadFrame``."""
        with suppress(BadFrame):
            unpack(decode_body(body))

    @FUZZ
    @example((HELLO_FRAME_BYTES + 1).to_bytes(4, 'big'))
    @given(_changed(_HELLO))
    def test_before_hello(self, raw: bytes) -> None:
        """Guards against an unknown sender that ends or fills the entry."""

        async def main() -> None:
            near, far = memory_stream_pair()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.server.serve, far)
                await near.send_all(raw)
                await near.send_eof()
                await trio.sleep(3)
                await near.aclose()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    @FUZZ
    @example(
        ttypes.Reserve(
            task_id='t',
            attempt=1,
            demand=ttypes.Demand(
                cpu_millicores=-1,
                memory_mb=0,
                accelerators_count=0,
            ),
            task_class='batch',
            priority=0,
            avoid_racks=[],
        ),
    )
    @given(_ASKED)
    def test_message(self, message: Any) -> None:
        """Guards against values that end the entry or exceed a worker."""

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                client, _stream = await self._connect(nursery)
                with suppress(Failure):
                    await client.call(message, timeout_s=1)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))
        for ledger in self.capacity_manager.allocator.ledgers.values():
            free = ledger.reservations.free
            self.assertLessEqual(free.cpu_millicores, 32_000)
            self.assertLessEqual(free.memory_mb, 125_000)
            self.assertLessEqual(ledger.free_slots_count, 8)

    def test_long_number_in_a_release(self) -> None:
        """Guards against an id whose number exceeds the digit limit of ``int``.

        Hypothesis lifts the limit in its own tests, so this is a plain test.
        """
        self.capacity_manager.allocator.release(_LONG_ID)

    @FUZZ
    @given(_changed(encode_frame(pack(1, ttypes.Renew('e1', ['1-1@w1'])))))
    def test_after_hello(self, raw: bytes) -> None:
        """Guards against malformed frames of a proved sender."""

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                _client, stream = await self._connect(nursery)
                await stream.send_all(raw)
                await trio.sleep(40)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    async def _connect(
        self,
        nursery: trio.Nursery,
    ) -> tuple[PeerClient, trio.abc.Stream]:
        """Start a client that authenticates; return it with its stream."""
        near, far = memory_stream_pair()
        nursery.start_soon(self.server.serve, far)
        client = PeerClient(
            _connector(near),
            identity=_identity('e1'),
            secret=_SECRET,
            rng=random.Random(1),
        )
        nursery.start_soon(client.run)
        await trio.sleep(0.1)
        return client, near


def _connector(stream: trio.abc.Stream) -> Any:
    streams = [stream]

    async def connect() -> trio.abc.Stream:
        if not streams:
            raise OSError('refused')
        return streams.pop()

    return connect
