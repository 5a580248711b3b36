"""Slopes of the capacity path: ledgers, permit pool, router, peer messages."""

from __future__ import annotations

import random
from typing import Any

from marjoramwharf.contracts.allocator import CapacityAllocator
from marjoramwharf.contracts.capacity_handlers import summary_message
from marjoramwharf.contracts.ledger import WorkerLedger
from marjoramwharf.contracts.permit_pool import PermitPool
from marjoramwharf.contracts.permits import Grant
from marjoramwharf.ids import (
    DataCentreId,
    EntryId,
    Epoch,
    GrantId,
    Incarnation,
    WorkerId,
)
from marjoramwharf.links.frames import decode_body, encode_frame
from marjoramwharf.links.peer_messages import PeerIdentity, pack
from marjoramwharf.links.thrift_types.peer import ttypes
from marjoramwharf.machines.calls import LeaseReply
from marjoramwharf.machines.worker import Capacity
from marjoramwharf.service.latency import LatencyEstimator
from marjoramwharf.service.router import Router
from tools.slope_measuring import Case, Figures, resident_bytes, time_us
from tools.slope_workers import SERVICE, WORKER_CAPACITY, make_worker

_INCARNATION = Incarnation('0123456789abcdef')
_IDLE = LeaseReply(
    Epoch(1), leaving=False, running=(), tasks=(), connections=()
)
_GRANTS_PER_WORKER = 3
_NEVER_EXPIRES_S = 1e9
_LENGTH_PREFIX_BYTES = 4


def _open_ledger(
    number: int, capacity: Capacity, connections_per_session: int
) -> WorkerLedger:
    ledger = WorkerLedger(
        make_worker(number, capacity),
        Epoch(1),
        grant_ttl_s=3,
        connections_per_session=connections_per_session,
    )
    ledger.record_fence(_IDLE, 0)
    return ledger


def _lend(ledger: WorkerLedger, number: int) -> GrantId:
    lent = ledger.lend(
        EntryId(f'entry-{number:02}'),
        1,
        incarnation=_INCARNATION,
    )
    assert isinstance(lent, Grant)
    return lent.grant_id


def measure_ledgers(workers_count: int) -> Figures:
    """Measure the ledgers of this many workers, with three grants each."""
    before = resident_bytes()
    allocator = CapacityAllocator()
    for number in range(workers_count):
        ledger = _open_ledger(number, WORKER_CAPACITY, 5)
        allocator.ledgers[ledger.worker.worker_id] = ledger
        for borrower in range(_GRANTS_PER_WORKER):
            _lend(ledger, borrower)
    held_bytes = resident_bytes() - before
    identity = PeerIdentity(
        EntryId('entry-00'), _INCARNATION, DataCentreId('dc')
    )
    return {
        'resident_bytes': held_bytes,
        'spread_us': time_us(lambda: allocator.spread(SERVICE, 8, 1), count=5),
        'summary_us': time_us(
            lambda: summary_message(identity, allocator), count=5
        ),
    }


def measure_ledger_grants(grants_count: int) -> Figures:
    """Measure one ledger by its grants; the target is 8, one for each slot."""
    capacity = Capacity(2 * grants_count, 1_000_000, 32_000, 125_000)
    before = resident_bytes()
    # 200 ledgers take much more memory than the resolution of the measurement.
    opened = [_open_ledger(number, capacity, 2_048) for number in range(200)]
    for ledger in opened:
        grant_ids = [_lend(ledger, count % 60) for count in range(grants_count)]
    held_bytes = (resident_bytes() - before) / len(opened)
    borrower = EntryId('entry-00')

    def lend_and_return() -> None:
        ledger.give_back(borrower, _lend(ledger, 0), 1)

    return {
        'resident_bytes': held_bytes,
        'lend_and_return_us': time_us(lend_and_return, count=100),
        'renew_us': time_us(
            lambda: ledger.renew(borrower, grant_ids[0]),
            count=100,
        ),
        'report_us': time_us(lambda: ledger.record_report(_IDLE, 0), count=100),
    }


def _fill_permit_pool(grants_count: int) -> PermitPool:
    running = frozenset((SERVICE,))
    permit_pool = PermitPool(lambda worker_id: running)
    for number in range(grants_count):
        worker_id = WorkerId(f'worker-{number:05}')
        permit_pool.add(
            Grant(
                grant_id=GrantId(f'1-{number}@{worker_id}'),
                worker_id=worker_id,
                epoch=Epoch(1),
                slots_count=4,
                connections_count=5,
                expires_at_s=_NEVER_EXPIRES_S,
            ),
            0,
        )
    return permit_pool


def measure_permit_pool(grants_count: int) -> Figures:
    """Measure a permit pool with one grant of four slots on each worker."""
    before = resident_bytes()
    permit_pool = _fill_permit_pool(grants_count)
    held_bytes = resident_bytes() - before

    def renew_all() -> None:
        permit_pool.drop_expired(1)
        permit_pool.withdraw_idle(1, idle_after_s=3)
        for grant_id in permit_pool.renewable_grants():
            permit_pool.renew(grant_id, _NEVER_EXPIRES_S)

    return {'resident_bytes': held_bytes, 'renewal_us': time_us(renew_all)}


def measure_worker_choice(workers_count: int) -> Figures:
    """Measure the choice of a worker and the return of the permit for it."""
    permit_pool = _fill_permit_pool(workers_count)
    latencies = LatencyEstimator()
    for number in range(workers_count):
        worker_id = WorkerId(f'worker-{number:05}')
        latencies.observe(SERVICE, worker_id, 5 + number % 7, 0)
    router = Router(
        permits=permit_pool,
        latencies=latencies,
        round_trip_ms=lambda worker_id: 2,
        rng=random.Random(1),
    )

    def choose() -> None:
        permit = router.choose(SERVICE, frozenset(), 1)
        assert permit is not None
        permit_pool.put_back(permit, 1)
        router.record_call_end(permit)

    return {'choice_us': time_us(choose, count=2_000)}


def _measure_frame(message: Any) -> Figures:
    frame = encode_frame(pack(1, message))
    body = frame[_LENGTH_PREFIX_BYTES:]
    return {
        'wire_bytes': len(frame),
        'encode_us': time_us(lambda: encode_frame(pack(1, message)), count=3),
        'decode_us': time_us(lambda: decode_body(body), count=3),
    }


def measure_summary(workers_count: int) -> Figures:
    """Measure the frame of a Summary of workers with free slots."""
    return _measure_frame(
        ttypes.Summary(
            entry_id='entry-00',
            incarnation=_INCARNATION,
            workers=[
                ttypes.WorkerSummary(
                    worker_id=f'worker-{number:05}',
                    free_slots_count=5,
                    leaving=False,
                    service_latency_ms=0,
                    interference_ratio=1,
                )
                for number in range(workers_count)
            ],
        ),
    )


def measure_borrow(workers_count: int) -> Figures:
    """Measure the frame of a Borrow that asks for slots of named workers."""
    return _measure_frame(
        ttypes.Borrow(
            borrower='entry-00',
            incarnation=_INCARNATION,
            wants=[
                ttypes.SlotWant(worker_id=f'worker-{number:05}', slots_count=4)
                for number in range(workers_count)
            ],
            any_slots_count=0,
            service_id=SERVICE,
        ),
    )


def measure_renewed(grants_count: int) -> Figures:
    """Measure the frame of the reply to a renewal of grants."""
    return _measure_frame(
        ttypes.Renewed(
            renewed=[
                ttypes.GrantMessage(
                    grant_id=f'1-{number}@worker-{number:05}',
                    worker_id=f'worker-{number:05}',
                    epoch=1,
                    slots_count=4,
                    connections_count=5,
                    ttl_ms=3_000,
                )
                for number in range(grants_count)
            ],
            refused=[],
        ),
    )


CASES = {
    'ledgers': Case(
        measure_ledgers, 'worker', (87, 330, 1_300, 5_200), (87, 5_200)
    ),
    'ledger_grants': Case(measure_ledger_grants, 'grant', (8, 32, 128), (8,)),
    'wallet': Case(
        measure_permit_pool, 'grant', (330, 1_300, 5_200), (330, 5_200)
    ),
    'choice': Case(
        measure_worker_choice, 'worker', (33, 330, 1_300, 5_200), (5_200,)
    ),
    'summary': Case(
        measure_summary, 'worker', (33, 330, 1_300, 5_200), (87, 5_200)
    ),
    'borrow': Case(measure_borrow, 'worker', (8, 64, 512), (8,)),
    'renewed': Case(measure_renewed, 'grant', (8, 64, 512), (8, 87)),
}
