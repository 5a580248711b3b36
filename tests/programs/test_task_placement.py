"""Placement of tasks at the own desk and at peers."""

from __future__ import annotations

import random
import unittest
from functools import partial
from typing import Any

import trio
from trio.testing import MockClock

from marjoramwharf.batch.capacity import (
    NoWorkerFound,
    Reservation,
    ReservationRequest,
)
from marjoramwharf.batch.job import JobPriority
from marjoramwharf.contracts.allocator import AttemptRequest, CapacityAllocator
from marjoramwharf.contracts.ledger import WorkerLedger
from marjoramwharf.errors import PeerUnreachable, Reason
from marjoramwharf.ids import (
    DataCentreId,
    EntryId,
    Epoch,
    RackId,
    TaskId,
    WorkerId,
)
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.machines.calls import (
    Demand,
    LeaseReply,
    TaskPhase,
    TaskReport,
)
from marjoramwharf.machines.worker import Capacity, Worker
from marjoramwharf.programs._task_placement import (
    EntryCapacity,
    IndexedWorkerSelector,
)

_HERE = EntryId('e1')
_PEER = EntryId('e2')
_WORKER = WorkerId('w1')


class _Peer:
    """Refuses to answer and keeps what it was asked."""

    def __init__(self) -> None:
        self.asked: list[Any] = []

    async def call(self, message: Any, *, timeout_s: float) -> Any:
        self.asked.append(message)
        raise PeerUnreachable(message=f'no answer within {timeout_s} s')


def _ask(number: int, **changes: Any) -> ReservationRequest:
    fields: dict[str, Any] = {
        'task_id': TaskId(f'0-a.{number}'),
        'fence': (1, number),
        'demand': Demand(3000, 100),
        'task_class': 'wear',
        'priority': JobPriority.NORMAL,
    }
    return ReservationRequest(**{**fields, **changes})


class EntryCapacityTests(unittest.TestCase):
    """Guards against work beyond a worker's size and leaked room."""

    def setUp(self) -> None:
        """Own one worker with four processors and know one peer."""
        worker = Worker(
            _WORKER,
            'http://127.0.0.1:1',
            DataCentreId('d'),
            RackId('r'),
            Capacity(8, 64, 4000, 8000),
            frozenset(),
        )
        self.ledger = WorkerLedger(
            worker,
            Epoch(1),
            grant_ttl_s=3,
            connections_per_session=5,
        )
        self.choice = IndexedWorkerSelector(
            lambda _worker: Demand(0, 0), seed=1
        )
        self.allocator = CapacityAllocator(self.choice.choose)
        self.allocator.on_released = self.choice.on_released
        self.allocator.ledgers[_WORKER] = self.ledger
        self.peer = _Peer()
        self.capacity = EntryCapacity(
            _HERE,
            self.allocator,
            peers=lambda: {_PEER: self.peer},
            owner_of=lambda _worker: _HERE,
            sizes=lambda: {Demand(4000, 8000)},
            rng=random.Random(1),
            now=trio.current_time,
        )

    def test_released_room_is_used_again(self) -> None:
        """Guards against an index that forgets what was released."""
        first = self._reserve(_ask(1))
        self.assertIsInstance(first, Reservation)
        self.assertIsInstance(self._reserve(_ask(2)), NoWorkerFound)
        trio.run(self.capacity.release, first.reservation_id)
        self.assertIsInstance(self._reserve(_ask(3)), Reservation)

    def test_repeat_returns_the_same_room(self) -> None:
        """Guards against two reservations after a lost answer."""
        self._heartbeat()
        asked = AttemptRequest(
            TaskId('0-a.1'), (1, 1), Demand(3000, 1), 'wear', 1
        )
        for _ in range(2):
            self.assertIs(self.allocator.reserve(asked, 0), self.ledger)
        self.assertEqual(self.ledger.reservations.free.cpu_millicores, 1000)

    def test_report_of_the_attempt_is_its_reservation(self) -> None:
        """Guards against a running attempt that is counted twice."""
        ask = _ask(1)
        self._reserve(ask)
        report = TaskReport(
            ask.task_id,
            ask.fence,
            TaskPhase.RUNNING,
            0,
            ask.demand,
        )
        self._heartbeat(report)
        self.assertEqual(self.ledger.reservations.free.cpu_millicores, 1000)

    def test_release_of_a_former_owner_frees_nothing_else(self) -> None:
        """Guards against a late release by a paused job owner."""
        former = self._reserve(_ask(1))
        later = self._reserve(_ask(1, fence=(2, 1), demand=Demand(1000, 1)))
        trio.run(self.capacity.release, former.reservation_id)
        self.assertNotEqual(former, later)
        self.assertEqual(self.ledger.reservations.free.cpu_millicores, 3000)

    def test_too_large_for_every_worker(self) -> None:
        """Guards against endless asks for a job that can never run."""
        found = self._reserve(_ask(1, demand=Demand(5000, 1)))
        self.assertEqual(found, NoWorkerFound(Reason.NEVER_FITS))

    def test_silent_peer_is_not_asked_again(self) -> None:
        """Guards against a storm of asks to a peer that does not answer."""
        news = ttypes.Summary(free_millicores=1_000_000)
        self.capacity.on_peer_summary(_PEER, news)
        self._reserve(_ask(1))
        for number in range(2, 5):
            self.assertIsInstance(self._reserve(_ask(number)), NoWorkerFound)
        self.assertEqual(len(self.peer.asked), 1)

    def _reserve(self, ask: ReservationRequest) -> Any:
        async def reserve() -> Any:
            self._heartbeat()
            self.capacity.update_own_capacity()
            return await self.capacity.reserve(ask)

        return trio.run(reserve, clock=MockClock(autojump_threshold=0))

    def _heartbeat(self, *reports: TaskReport) -> None:
        reply = LeaseReply(Epoch(1), False, (), reports, ())
        beat = partial(self.ledger.record_fence, reply, 0)
        beat()
        self.choice.update_index(self.ledger)
