"""Placement of tasks on workers of this entry and of its peers."""

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
    """A peer that records the requests and never answers."""

    def __init__(self) -> None:
        self.received: list[Any] = []

    async def call(self, message: Any, *, timeout_s: float) -> Any:
        self.received.append(message)
        raise PeerUnreachable(message=f'no answer within {timeout_s} s')


def _request(number: int, **changes: Any) -> ReservationRequest:
    fields: dict[str, Any] = {
        'task_id': TaskId(f'0-a.{number}'),
        'fence': (1, number),
        'demand': Demand(3000, 100),
        'task_class': 'wear',
        'priority': JobPriority.NORMAL,
    }
    return ReservationRequest(**{**fields, **changes})


class EntryCapacityTests(unittest.TestCase):
    """Guards against overbooked workers and leaked reservations."""

    def setUp(self) -> None:
        """Create one owned worker with four processors, and one peer."""
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
        self.selector = IndexedWorkerSelector(
            lambda _worker: Demand(0, 0), seed=1
        )
        self.allocator = CapacityAllocator(self.selector.choose)
        self.allocator.on_released = self.selector.on_released
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

    def test_released_capacity_is_used_again(self) -> None:
        """Guards against an index that misses a released reservation."""
        first = self._reserve(_request(1))
        self.assertIsInstance(first, Reservation)
        self.assertIsInstance(self._reserve(_request(2)), NoWorkerFound)
        trio.run(self.capacity.release, first.reservation_id)
        self.assertIsInstance(self._reserve(_request(3)), Reservation)

    def test_repeat_returns_the_same_reservation(self) -> None:
        """Guards against a second reservation when a request is repeated.

        The job owner repeats the request after a lost answer.
        """
        self._heartbeat()
        attempt_request = AttemptRequest(
            TaskId('0-a.1'), (1, 1), Demand(3000, 1), 'wear', 1
        )
        for _ in range(2):
            self.assertIs(
                self.allocator.reserve(attempt_request, 0), self.ledger
            )
        self.assertEqual(self.ledger.reservations.free.cpu_millicores, 1000)

    def test_report_of_the_attempt_is_its_reservation(self) -> None:
        """Guards against counting a reported attempt and its reservation."""
        request = _request(1)
        self._reserve(request)
        report = TaskReport(
            request.task_id,
            request.fence,
            TaskPhase.RUNNING,
            0,
            request.demand,
        )
        self._heartbeat(report)
        self.assertEqual(self.ledger.reservations.free.cpu_millicores, 1000)

    def test_release_of_a_former_owner_frees_nothing_else(self) -> None:
        """Guards against a late release by a former, paused job owner."""
        former = self._reserve(_request(1))
        later = self._reserve(_request(1, fence=(2, 1), demand=Demand(1000, 1)))
        trio.run(self.capacity.release, former.reservation_id)
        self.assertNotEqual(former, later)
        self.assertEqual(self.ledger.reservations.free.cpu_millicores, 3000)

    def test_too_large_for_every_worker(self) -> None:
        """Guards against endless requests for a task that fits no worker."""
        found = self._reserve(_request(1, demand=Demand(5000, 1)))
        self.assertEqual(found, NoWorkerFound(Reason.NEVER_FITS))

    def test_silent_peer_is_not_asked_again(self) -> None:
        """Guards against a flood of requests to a peer that does not answer."""
        summary = ttypes.Summary(free_millicores=1_000_000)
        self.capacity.on_peer_summary(_PEER, summary)
        self._reserve(_request(1))
        for number in range(2, 5):
            self.assertIsInstance(
                self._reserve(_request(number)), NoWorkerFound
            )
        self.assertEqual(len(self.peer.received), 1)

    def _reserve(self, request: ReservationRequest) -> Any:
        async def reserve() -> Any:
            self._heartbeat()
            self.capacity.update_own_capacity()
            return await self.capacity.reserve(request)

        return trio.run(reserve, clock=MockClock(autojump_threshold=0))

    def _heartbeat(self, *reports: TaskReport) -> None:
        reply = LeaseReply(Epoch(1), False, (), reports, ())
        record_reply = partial(self.ledger.record_fence, reply, 0)
        record_reply()
        self.selector.update_index(self.ledger)
