"""Slopes of the admission queue, the configuration and the job shards."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import trio
from msgspec import json, msgpack

from marjoramwharf.batch.events import (
    Event,
    JobSubmitted,
    ShardState,
    TaskStarted,
    UndoLog,
    apply_event,
)
from marjoramwharf.batch.job import Job, JobSpec, Placement, TaskSpec
from marjoramwharf.batch.journal import Journal, Proposal
from marjoramwharf.contracts.configuration import Configuration, apply_note
from marjoramwharf.contracts.release_note import (
    Quota,
    QuotaChange,
    QuotaChanges,
    ReleaseNote,
    Service,
    ServiceChange,
    ServiceChanges,
)
from marjoramwharf.ids import Epoch, JobId, ServiceId, ShardId, TeamId, WorkerId
from marjoramwharf.links.store import Guard, Urgency, Write
from marjoramwharf.service.admission_queue import AdmissionQueue, QueuedRequest
from marjoramwharf.service.request import ServiceRequest
from standins.memory_store import MemoryStore
from tools import placement_cost
from tools.slope_measuring import Case, Figures, resident_bytes, time_us

_TEAMS_COUNT = 74
_NEVER_EXPIRES_S = 1e9
_TASKS_PER_JOB = 3
_OWNER_KEY = '/own/jobs/3'


def measure_admission(waiting_count: int) -> Figures:
    """Measure the admission queue with this many requests of 74 teams."""
    before = resident_bytes()
    queue = AdmissionQueue(limit=2 * waiting_count, team_share=0.5)
    for number in range(waiting_count):
        _offer(queue, number)
    held_bytes = resident_bytes() - before
    numbers = itertools.count(waiting_count)
    popped: list[QueuedRequest] = []

    def offer_and_pop() -> None:
        _offer(queue, next(numbers))
        queued = queue.pop(1, service_time_s=0)
        assert queued is not None
        popped.append(queued)

    def discard() -> None:
        queue.discard(popped[0])

    return {
        'resident_bytes': held_bytes,
        'offer_and_pop_us': time_us(offer_and_pop, count=100),
        'discard_us': time_us(discard, count=100),
    }


def _offer(queue: AdmissionQueue, number: int) -> None:
    request = ServiceRequest(
        request_id=f'{number:032x}',
        service=ServiceId('notice'),
        team=TeamId(f'team-{number % _TEAMS_COUNT}'),
        body=b'',
        content_type='application/json',
        arrived_at_s=0,
        deadline_s=_NEVER_EXPIRES_S,
    )
    queue.offer(
        QueuedRequest(request), now_s=0, service_time_s=0, release_rate_per_s=0
    )


def _make_services(count: int) -> tuple[Service, ...]:
    return tuple(
        Service(
            name=f'service-{number:04}',
            latency_objective_ms=250,
            reserved_processors_count=16,
            timeout_ms=2_000,
        )
        for number in range(count)
    )


def _measure_configuration(
    configuration: Configuration,
    note: ReleaseNote,
) -> Figures:
    body = json.encode(configuration)
    return {
        'wire_bytes': len(body),
        'note_bytes': len(json.encode(note)),
        'apply_us': time_us(lambda: apply_note(configuration, note)),
        'encode_us': time_us(lambda: json.encode(configuration)),
        'decode_us': time_us(lambda: json.decode(body, type=Configuration)),
    }


def _make_service_note() -> ReleaseNote:
    change = ServiceChange(name='service-0000', timeout_ms=2_500)
    return ReleaseNote(
        note_id='note-00001',
        author='operator',
        summary='A longer timeout',
        services=ServiceChanges(changed=(change,)),
    )


def measure_services(services_count: int) -> Figures:
    """Measure a configuration that holds this many services only."""
    return _measure_configuration(
        Configuration(services=_make_services(services_count)),
        _make_service_note(),
    )


def measure_instances(instances_count: int) -> Figures:
    """Measure a configuration of this many instances and one service."""
    return _measure_configuration(
        Configuration(
            services=_make_services(1),
            instances=tuple(
                f'worker-{number:05}' for number in range(instances_count)
            ),
        ),
        _make_service_note(),
    )


def measure_quotas(quotas_count: int) -> Figures:
    """Measure a configuration of this many quotas and one service."""
    quotas = tuple(
        Quota(
            team=f'team-{number:05}',
            service='service-0000',
            slots_count=40,
            weight=2,
        )
        for number in range(quotas_count)
    )
    change = QuotaChange(
        team='team-00000',
        service='service-0000',
        slots_count=50,
    )
    return _measure_configuration(
        Configuration(services=_make_services(1), quotas=quotas),
        ReleaseNote(
            note_id='note-00001',
            author='operator',
            summary='A larger quota',
            quotas=QuotaChanges(changed=(change,)),
        ),
    )


def _make_job(number: int, tasks_count: int = _TASKS_PER_JOB) -> JobSubmitted:
    spec = JobSpec(
        team=TeamId(f'team-{number % _TEAMS_COUNT}'),
        idempotency_key=f'order-{number:08}',
        tasks=(TaskSpec(500, 2_000, 60_000, task_class='quote'),) * tasks_count,
    )
    return JobSubmitted(JobId(f'3-{number:018x}'), spec, 1_700_000_000_000)


def _make_start(submitted: JobSubmitted, attempt: int) -> TaskStarted:
    job = Job(submitted.job_id, submitted.spec, submitted.submitted_at_ms)
    worker_id = WorkerId(f'worker-{attempt % 5_200:05}')
    task_id = job.task_ids[0]
    reservation_id = f'{attempt}@{task_id}@{worker_id}'
    placement = Placement(worker_id, Epoch(7), reservation_id, Epoch(4))
    return TaskStarted(task_id, attempt, placement)


def measure_shard(tasks_count: int) -> Figures:
    """Measure the state of a shard whose one-task jobs have all started."""
    before = resident_bytes()
    state = ShardState()
    for number in range(tasks_count):
        submitted = _make_job(number, 1)
        apply_event(state, submitted, UndoLog(state))
        apply_event(state, _make_start(submitted, number + 1), UndoLog(state))
    held_bytes = resident_bytes() - before
    return {
        'resident_bytes': held_bytes,
        'snapshot_bytes': len(state.encode_snapshot()),
        'snapshot_us': time_us(state.encode_snapshot),
    }


async def _open_journal(store: MemoryStore) -> Journal:
    owner = await store.read(_OWNER_KEY, urgency=Urgency.OWNERSHIP)
    if owner is None:
        await store.commit(
            [],
            [Write(_OWNER_KEY, b'{}')],
            urgency=Urgency.OWNERSHIP,
        )
        owner = await store.read(_OWNER_KEY, urgency=Urgency.OWNERSHIP)
    assert owner is not None
    journal = Journal(
        store,
        ShardId(3),
        owner=Guard(_OWNER_KEY, owner.mod_revision),
    )
    await journal.recover()
    return journal


async def _commit_groups(
    store: MemoryStore,
    groups: Sequence[Sequence[Event]],
) -> None:
    journal = await _open_journal(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(journal.run)
        for group in groups:
            await journal.commit(_propose(group))
        nursery.cancel_scope.cancel()


def _propose(events: Sequence[Event]) -> Proposal:
    return lambda state: events


def measure_commit(events_count: int) -> Figures:
    """Measure the commit of one log entry with this many events.

    The store is in memory, so that its own time does not count; the time to
    open the journal is subtracted.
    """
    store = MemoryStore()
    submitted = [_make_job(number, 1) for number in range(events_count)]
    trio.run(_commit_groups, store, [list(submitted)])
    starts: list[Event] = [
        _make_start(job, number + 1) for number, job in enumerate(submitted)
    ]
    before = len(store.state.stored)
    whole_us = time_us(
        lambda: trio.run(_commit_groups, MemoryStore(), [list(submitted)]),
    )
    opening_us = time_us(lambda: trio.run(_commit_groups, MemoryStore(), []))
    trio.run(_commit_groups, store, [starts])
    assert len(store.state.stored) == before + 1
    body = max(store.state.values_below('/jobs/'), key=_get_key).body
    return {
        'start_entry_bytes': len(body),
        'submit_bytes': len(msgpack.encode(submitted)),
        'commit_us': whole_us - opening_us,
    }


def _get_key(stored: object) -> str:
    return str(getattr(stored, 'key', ''))


def measure_recovery(jobs_count: int) -> Figures:
    """Measure how a new owner recovers a shard from its snapshot and log."""
    store = MemoryStore()
    jobs = [_make_job(number) for number in range(jobs_count)]
    group_size = max(1, jobs_count // 230)
    groups: list[list[Event]] = [
        list(jobs[start : start + group_size])
        for start in range(0, jobs_count, group_size)
    ]
    trio.run(_commit_groups, store, groups)
    calls_before = store.reads_count
    stored_values = store.state.values_below('/jobs/')

    def recover() -> None:
        trio.run(_open_journal, store)

    before = resident_bytes()
    journal = trio.run(_open_journal, store)
    held_bytes = resident_bytes() - before
    assert len(journal.state.jobs) == jobs_count
    calls_count = store.reads_count - calls_before
    return {
        # One of these calls reads the ownership record.
        'store_calls': calls_count,
        'keys': len(stored_values),
        'read_bytes': sum(len(stored.body) for stored in stored_values),
        'resident_bytes': held_bytes,
        'recovery_us': time_us(recover),
    }


def measure_placement(workers_count: int) -> Figures:
    """Measure a placement decision among workers with 23 tasks on each."""
    before = resident_bytes()
    index = placement_cost.build_filled_index(workers_count)
    held_bytes = resident_bytes() - before
    decision_us = placement_cost.measure_decision_us(index)
    return {'resident_bytes': held_bytes, 'decision_us': decision_us}


CASES = {
    'admission': Case(
        measure_admission, 'request', (512, 2_048, 8_192), (512,)
    ),
    'services': Case(measure_services, 'service', (10, 100, 400), (40,)),
    'instances': Case(
        measure_instances,
        'instance',
        (330, 1_300, 5_200),
        (5_200,),
    ),
    'quotas': Case(measure_quotas, 'quota', (74, 740, 2_960), (888,)),
    'shard': Case(measure_shard, 'task', (1_000, 7_500, 30_000), (7_500,)),
    'commit': Case(measure_commit, 'event', (2, 16, 64, 256), (14,)),
    'recovery': Case(
        measure_recovery, 'job', (1_000, 10_000, 50_000), (3_125,)
    ),
    'placement': Case(
        measure_placement, 'worker', (87, 325, 1_300), (87, 5_200)
    ),
}
