"""Writes that the store may have applied, as callers and the owner see them."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from itertools import repeat

import trio

from marjoramwharf.cells.intake import Intake
from marjoramwharf.cells.owner_link import OwnerLink
from marjoramwharf.cells.owner_view import OwnerView
from marjoramwharf.cells.progress_writer import ProgressWriter
from marjoramwharf.cells.records import owner_key
from marjoramwharf.cells.submission_outcome import SubmissionOutcome
from marjoramwharf.errors import BadFrame, StoreAnswerLost, StoreUnavailable
from marjoramwharf.ids import (
    DataCentreId,
    EntryId,
    Incarnation,
    JobId,
    LeaseId,
)
from marjoramwharf.links.http_client import HttpClient
from marjoramwharf.links.http_server import HttpRequest
from marjoramwharf.links.peer_messages import PeerIdentity
from marjoramwharf.links.store import Committed, Conflict, Guard, Write
from marjoramwharf.platform.job_api import JobApi
from marjoramwharf.platform.kv_store import KvStore
from marjoramwharf.scheduling.job_state import JobPhase
from marjoramwharf.scheduling.job_table import JobTable
from standins.polling_store import PollingMemoryStore
from tests.cells.cluster import CELL, Cluster, job_request, run_with_clock
from tests.links.raw_server import raw_server
from tests.platform.serving import scripted

_TIMEOUT_S = 2
_DEADLINE_S = 0.3
_BUSY: tuple[int, dict[str, str]] = (503, {})
_MISSING: tuple[int, dict[str, str]] = (404, {})
_BODY = b'{"TaskSpec":"t","Steps":[{"Count":1,"Cpu":500}]}'
_JOB_ID = JobId('5c0e7a21d94b36f8')
_STORED: tuple[int, dict[str, object]] = (
    200,
    {
        'Key': 'mw/0/in/job/5c0e7a21d94b36f8',
        'Value': '',
        'Revision': 3,
        'Created': 3,
        'Lease': 0,
    },
)
_OWNER_RECORD = [Write(owner_key(CELL), b'e1')]


def _intake(store: KvStore | PollingMemoryStore) -> Intake:
    identity = PeerIdentity(
        EntryId('e1'), Incarnation('1'), DataCentreId('ruse')
    )
    link = OwnerLink(OwnerView(), CELL, identity, 0.3)
    return Intake(store, CELL, link, lambda: None)


async def _submit(store: KvStore) -> SubmissionOutcome:
    deadline_s = trio.current_time() + _DEADLINE_S
    return await _intake(store).submit(job_request('a'), deadline_s=deadline_s)


async def _cancel(store: KvStore) -> bool:
    deadline_s = trio.current_time() + _DEADLINE_S
    return await _intake(store).cancel(_JOB_ID, deadline_s=deadline_s)


class _VagueStore(PollingMemoryStore):
    """Applies commits and answers the next few with something unreadable."""

    def __init__(self, *, unreadable_answers_count: int) -> None:
        """Answer that many commits with something unreadable."""
        super().__init__()
        self.unreadable_answers_count = unreadable_answers_count

    async def commit(
        self, guards: Sequence[Guard], writes: Sequence[Write]
    ) -> Committed | Conflict:
        """Apply the writes; raises ``BadFrame``."""
        outcome = await super().commit(guards, writes)
        if not self.unreadable_answers_count:
            return outcome
        self.unreadable_answers_count -= 1
        raise BadFrame(message='an answer that can not be read')


async def _ask(store: PollingMemoryStore, method: str, body: bytes) -> int:
    """Send a request to a front on this store, and return the status."""
    front = JobApi(_intake(store), lambda: Cluster.configuration)
    answer = await front.handle(
        HttpRequest(
            method=method,
            target='/recipes/5c0e7a21d94b36f8',
            headers={'host': 'a.example'},
            body=body,
            arrived_s=trio.current_time(),
        )
    )
    return answer.status


class UnansweredWriteTests(unittest.TestCase):
    """Guards against "not stored and not run" for a job that runs."""

    def test_cut_off_and_refused(self) -> None:
        """Guards against a refusal after a cut connection.

        The store applies the write and goes down: its connections are reset,
        and new ones are refused.
        """
        trio.run(self._cut_off_and_refused)

    def test_cut_off_and_busy(self) -> None:
        """Guards against a refusal of the repeat that counts for the first.

        The store applies the write, cuts the connection and is busy from then.
        """
        trio.run(self._cut_off_and_busy)

    def test_unreadable_conflict(self) -> None:
        """Guards against a refusal of a job that the store has already."""
        trio.run(self._unreadable_conflict)

    def test_unexpected_failure(self) -> None:
        """Guards against a failure that is taken for a proof of no write."""
        run_with_clock(self._unexpected_failure)

    def test_cancellation_cut_off_and_refused(self) -> None:
        """Guards against "not stored" for a cancellation that may be.

        The store cuts the connection of the write and refuses the repeats.
        """
        trio.run(self._cancellation_cut_off_and_refused)

    def test_refused_cancellation(self) -> None:
        """Guards against "unknown" for a cancellation that never was."""
        trio.run(self._refused_cancellation)

    def test_progress_is_recognised(self) -> None:
        """Guards against an owner that takes its own write for another's."""
        run_with_clock(self._progress_is_recognised)

    async def _cut_off_and_refused(self) -> None:
        async with raw_server() as server:
            store = KvStore(
                HttpClient(),
                f'127.0.0.1:{server.port}',
                timeout_s=_TIMEOUT_S,
            )
            await store.keep_alive(LeaseId(1))
            server.is_silent = True
            await server.listener.aclose()
            outcome = await _submit(store)
        self.assertIs(SubmissionOutcome.UNKNOWN, outcome)

    async def _cut_off_and_busy(self) -> None:
        async with scripted(_MISSING, None, *repeat(_BUSY, 50)) as script:
            store = KvStore(HttpClient(), script.address, timeout_s=_TIMEOUT_S)
            await store.read('x')
            self.assertIs(SubmissionOutcome.UNKNOWN, await _submit(store))

    async def _cancellation_cut_off_and_refused(self) -> None:
        async with scripted(_STORED, None, *repeat(_BUSY, 50)) as script:
            store = KvStore(HttpClient(), script.address, timeout_s=_TIMEOUT_S)
            with self.assertRaises(StoreAnswerLost):
                await _cancel(store)

    async def _refused_cancellation(self) -> None:
        async with scripted(_STORED, *repeat(_BUSY, 50)) as script:
            store = KvStore(HttpClient(), script.address, timeout_s=_TIMEOUT_S)
            with self.assertRaises(StoreUnavailable):
                await _cancel(store)

    async def _unreadable_conflict(self) -> None:
        async with scripted(*repeat((412, []), 50)) as script:
            store = KvStore(HttpClient(), script.address, timeout_s=_TIMEOUT_S)
            self.assertIs(SubmissionOutcome.UNKNOWN, await _submit(store))
            with self.assertRaises(StoreAnswerLost):
                await store.commit([Guard('a', 0)], [])

    async def _unexpected_failure(self) -> None:
        store = _VagueStore(unreadable_answers_count=1_000)
        self.assertEqual(504, await _ask(store, 'POST', _BODY))
        self.assertEqual(1, len(store.state.stored))
        self.assertEqual(504, await _ask(store, 'DELETE', b''))
        self.assertEqual(2, len(store.state.stored))

    async def _progress_is_recognised(self) -> None:
        store = _VagueStore(unreadable_answers_count=1)
        owned = Guard(owner_key(CELL), store.state.apply(_OWNER_RECORD))
        job_table = JobTable()
        job = job_table.add(job_request('a'), now_s=0, now_ms=0)
        job_table.cancel(job.job_id, now_s=0)
        writer = ProgressWriter(
            store, CELL, job_table, owned, on_stored=lambda _job: None
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            await writer.flush()
            nursery.cancel_scope.cancel()
        self.assertIs(JobPhase.CANCELLED, job.stored_phase)
