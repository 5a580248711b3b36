"""Fuzzes what others write for the cells: listings, records and answers.

Whatever is decoded must be usable: its numbers fit a float and the stored form
of a record, and its addresses can be connected to.
"""

from __future__ import annotations

import unittest
from collections.abc import Mapping
from contextlib import suppress
from typing import Any

import trio
from hypothesis import given
from hypothesis import strategies as st
from msgspec import json, msgpack
from msgspec import to_builtins as as_builtins

from marjoramwharf.cells.advice import Advice
from marjoramwharf.cells.records import (
    EntryRecord,
    ModelRecord,
    ProgressRecord,
    RunRecord,
    TaskRecord,
    decode,
    encode,
    restore_job,
)
from marjoramwharf.cells.worker_messages import (
    HoldOrder,
    StartOrder,
    WorkerAddress,
)
from marjoramwharf.errors import (
    AdviceUnavailable,
    BadFrame,
    BadJob,
    BadListing,
    BadNote,
    Failure,
    JournalDamaged,
    StoreAnswerLost,
    StoreUnavailable,
)
from marjoramwharf.ids import JobId, LeaseId, TaskId, WorkerId
from marjoramwharf.links.http_responses import ClientResponse
from marjoramwharf.links.store import Guard, Write
from marjoramwharf.links.store_calls import decode_call, decode_reply
from marjoramwharf.links.tcp import open_stream
from marjoramwharf.platform.advice_client import PlatformAdviceClient
from marjoramwharf.platform.job_bodies import decode_job
from marjoramwharf.platform.kv_store import KvStore
from marjoramwharf.platform.operator_config import decode_configuration
from marjoramwharf.platform.worker_client import PlatformWorkerClient
from marjoramwharf.platform.worker_listings import decode_listing
from marjoramwharf.scheduling.job_state import JobPhase
from marjoramwharf.scheduling.job_table import JobTable
from marjoramwharf.scheduling.ordering import step_rank
from marjoramwharf.scheduling.policy import QueuePolicy
from standins.platform_process import odd_listings
from tests.fuzz.inputs import FUZZ, bytes_like, variants_of

_ID = JobId('5c0e7a21d94b36f8')
_QUEUE = QueuePolicy('q', 'a.example', '/', 's', max_attempts=2)
_NOW_MS = 1_800_000_000_000

_LISTING = {
    'Service': 's',
    'Address': '127.0.0.1:9',
    'State': 'draining',
    'Zone': 'z',
    'Labels': ['a', 'r1'],
    'Capacity': {'Cpu': 32_000, 'MemMb': 125_000, 'Gpu': 1},
    'RemainingMs': 900,
    'born': 1_700_000_000_000,
    'Machine': 'm',
}
_ROUTE = {
    'Name': 'q',
    'Host': 'a.example',
    'Prefix': '/q/',
    'Service': 's',
    'TimeoutMs': 3_000,
    'TargetLatencyMs': 250,
    'Priority': 1,
    'MaxAttempts': 4,
    'Stretch': 1.5,
    'Advice': {'DecisionMs': 9, 'PeriodMs': 1, 'ValidMs': 900},
}
_CONFIG = {
    'Version': 3,
    'Routes': [_ROUTE],
    'Services': [{'Name': 's', 'RejectsOverload': True}],
    'Limits': {'MaxHeaderBytes': 9, 'IdleTimeoutMs': 9},
}
_JOB = {
    'TaskSpec': 't',
    'Steps': [
        {'Count': 2, 'Cpu': 500, 'EstimateMs': 9, 'TargetMs': 5.5},
        {'Count': 1, 'After': [0], 'LongRunning': True},
    ],
    'RepeatCount': 3,
    'InitialMs': 1_700_000_000_000,
    'IntervalMs': 60_000,
}
_HOLD = {
    'ClockMs': 5_000,
    'born': 1_700_000_000_000,
    'Running': [[f'{_ID}.0.0.0', 1, 'c', 41, 17]],
    'Ended': [[58, f'{_ID}.0.0.1', 1, 'done', '']],
    'Reason': 'room',
}
_STORED = {'Key': 'k', 'Value': 'YQ==', 'Revision': 4, 'Created': 3}
_ANSWER = {
    **_STORED,
    'items': [_STORED],
    'events': [_STORED],
    'HasMore': False,
    'CurrentRev': 9,
    'Lease': 7,
}
_ADVICE = {'Good': [['i-1', 'ticket']], 'ValidMs': 900}
_PROGRESS = ProgressRecord(
    JobPhase.OPEN,
    open_occurrences=(0,),
    tasks=(TaskRecord(0, 0, 0, runs=(RunRecord(1, 'i-1', 5),)),),
)
_STATUSES = st.sampled_from((200, 200, 200, 404, 409, 412, 503, 999))


class _Answers:
    """Stands for the HTTP client; answers each request alike."""

    def __init__(self, status: int, body: bytes) -> None:
        """Answer with this status and body."""
        self._response = ClientResponse(status, {}, body)

    async def request(self, *_where: str, **_options: object) -> ClientResponse:
        """Return the answer."""
        await trio.lowlevel.checkpoint()
        return self._response


def _check_numbers(tree: Any) -> None:
    """Check that all numbers of a value can be stored and computed with."""
    if isinstance(tree, Mapping):
        tree = list(tree.values())
    if isinstance(tree, (list, tuple)):
        for part in tree:
            _check_numbers(part)
    if isinstance(tree, (int, float)):
        assert float(tree) / 1_000 < 1e18, tree
    msgpack.encode(tree)


class ListingTests(unittest.TestCase):
    """Guards against an odd entry that stops those who read the list."""

    def test_odd_entries(self) -> None:
        """Guards against an entry of another writer that names a worker."""
        for odd in odd_listings():
            with self.assertRaises(BadListing):
                decode_listing(odd.key, odd.body or b'')

    @FUZZ
    @given(variants_of(_LISTING) | bytes_like(_LISTING))
    def test_listing(self, raw: bytes) -> None:
        """Guards against a listing with numbers or addresses of no worker."""
        with suppress(BadListing):
            listing = decode_listing('servers/i-1', raw)
            _check_numbers(as_builtins(listing))
            trio.run(_connect, listing.host, listing.port)

    @FUZZ
    @given(variants_of(_CONFIG) | bytes_like(_CONFIG))
    def test_configuration(self, raw: bytes) -> None:
        """Guards against a configuration that nothing can be computed with."""
        with suppress(BadNote):
            _check_numbers(as_builtins(decode_configuration(raw)))

    @FUZZ
    @given(variants_of(_JOB) | bytes_like(_JOB))
    def test_job(self, raw: bytes) -> None:
        """Guards against an accepted job that stops the owner of the cell."""
        try:
            request = decode_job(raw, job_id=_ID, queue=_QUEUE, now_ms=_NOW_MS)
        except BadJob:
            return
        _check_numbers(
            as_builtins(decode(encode(request), type(request), key=''))
        )
        job_table = JobTable()
        job_table.add(request, now_s=1, now_ms=_NOW_MS)
        _check_numbers(job_table.next_due_ms() or 0)
        for task in tuple(job_table.ready.values())[:5]:
            step_rank(task.step, _QUEUE, now_ms=_NOW_MS)


async def _connect(host: str, port: int) -> None:
    with suppress(OSError):
        with trio.move_on_after(0.01):
            stream = await open_stream(host, port)
            await stream.aclose()


class AnswerTests(unittest.TestCase):
    """Guards against answers that end a task of the owner."""

    @FUZZ
    @given(variants_of(_HOLD) | bytes_like(_HOLD), _STATUSES)
    def test_worker(self, body: bytes, status: int) -> None:
        """Guards against a worker's answer that can't be handled."""
        client = PlatformWorkerClient(
            _Answers(status, body)  # type: ignore[arg-type]
        )
        worker = WorkerAddress(WorkerId('i-1'), '127.0.0.1', 9)
        task = TaskId(f'{_ID}.0.0.0')
        start = StartOrder(task, 1, '', 9, 1, '')

        async def main() -> None:
            report = await client.hold(
                worker, HoldOrder(1, 0, 9, 0), timeout_s=1
            )
            _check_numbers(as_builtins(report))
            answer = await client.start(worker, start, timeout_s=1)
            _check_numbers(answer.clock_ms or 0)

        trio.run(main)

    @FUZZ
    @given(variants_of(_ANSWER) | bytes_like(_ANSWER), _STATUSES)
    def test_store(self, body: bytes, status: int) -> None:
        """Guards against a failure that the store's interface doesn't have."""
        store = KvStore(
            _Answers(status, body),  # type: ignore[arg-type]
            '127.0.0.1:9',
            timeout_s=1,
        )

        async def main() -> None:
            with suppress(StoreUnavailable):
                _check_numbers(as_builtins(await store.read('k')))
            with suppress(StoreUnavailable):
                await store.poll('k', after_revision=1, wait_ms=1)
            with suppress(StoreUnavailable, StoreAnswerLost, Failure):
                outcome = await store.commit([Guard('k', 0)], [Write('k', b'')])
                msgpack.encode(as_builtins(outcome))
            with suppress(StoreUnavailable, StoreAnswerLost):
                msgpack.encode(await store.grant_lease(1))
            with suppress(StoreUnavailable, StoreAnswerLost):
                await store.keep_alive(LeaseId(1))

        trio.run(main)

    @FUZZ
    @given(variants_of(_ADVICE) | bytes_like(_ADVICE), _STATUSES)
    def test_advice(self, body: bytes, status: int) -> None:
        """Guards against advice that ends the requests for all steps."""
        client = PlatformAdviceClient(
            _Answers(status, body),  # type: ignore[arg-type]
            '127.0.0.1:9',
        )

        async def main() -> Advice:
            return await client.advise('s', [WorkerId('i-1')], timeout_s=1)

        with suppress(AdviceUnavailable):
            _check_numbers(as_builtins(trio.run(main)))


class RecordTests(unittest.TestCase):
    """Guards against a record in the store that ends a process."""

    @FUZZ
    @given(variants_of(as_builtins(_PROGRESS)) | st.binary(max_size=60))
    def test_progress(self, raw: bytes) -> None:
        """Guards against progress that can't be restored."""
        job = decode_job(
            b'{"Steps":[{"Count":2}]}', job_id=_ID, queue=_QUEUE, now_ms=_NOW_MS
        )
        for record in _as_records(raw):
            with suppress(JournalDamaged):
                progress = decode(record, ProgressRecord, key='k')
                restored = restore_job(job, progress, revision=1, now_s=1)
                JobTable().add_restored(restored, now_s=1, now_ms=_NOW_MS)

    @FUZZ
    @given(variants_of(['e1', '127.0.0.1', 9, 'secret']))
    def test_entry(self, raw: bytes) -> None:
        """Guards against an address that no process can have."""
        for record in _as_records(raw):
            with suppress(JournalDamaged):
                entry = decode(record, EntryRecord, key='k')
                trio.run(_connect, entry.host, entry.port)

    @FUZZ
    @given(st.sampled_from((b'\x91', b'\x81\x01')), st.integers(0, 60_000))
    def test_depth(self, opening: bytes, depth: int) -> None:
        """Guards against a value that is nested too deeply."""
        raw = opening * depth
        for model in (ProgressRecord, EntryRecord, ModelRecord):
            with suppress(JournalDamaged):
                decode(raw, model, key='k')
        for decode_message in (decode_call, decode_reply):
            with suppress(BadFrame):
                decode_message(raw)


def _as_records(raw: bytes) -> list[bytes]:
    """Return the stored forms that stand for a JSON body, and the bytes."""
    found = [raw]
    with suppress(Exception):
        found.append(msgpack.encode(json.decode(raw)))
    return found
