"""Caller requests to an entry through the platform's HTTP front."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import trio

from marjoramwharf.cells.cell import Cell
from marjoramwharf.cells.job_status import PublicJobState, StatusAnswer
from marjoramwharf.cells.records import (
    ProgressRecord,
    encode,
    progress_key,
    request_key,
)
from marjoramwharf.ids import JobId
from marjoramwharf.links.store import Write
from marjoramwharf.scheduling.job_state import JobPhase
from tests.cells.cluster import (
    CELL,
    job_request,
    open_cluster,
    run_with_clock,
)
from tests.cells.fronts import (
    JOB_BODY,
    JOB_ID,
    JOB_PATH,
    decode_body,
    open_front,
)


def _is_never_reachable() -> bool:
    return False


class _FormerCell(Cell):
    """The cell of an owner whose own lease has lapsed."""

    def __init__(self) -> None:
        """Skip the components, which are not needed here."""
        self.is_loaded = True

    def answer_status(self, job_id: JobId) -> StatusAnswer | None:
        """Return the state of before."""
        return StatusAnswer(PublicJobState.RUNNING, may_be_outdated=True)


class FrontTests(unittest.TestCase):
    """Guards against answers that contradict what is stored."""

    def test_paths(self) -> None:
        """Guards against a queue that does not exist being served."""
        run_with_clock(self._paths)

    def test_accept_is_stored(self) -> None:
        """Guards against an accepted job that is lost or stored twice."""
        run_with_clock(self._accept_is_stored)

    def test_refused_while_down(self) -> None:
        """Guards against a late refusal, and the refusal of a stored job."""
        run_with_clock(self._refused_while_down)

    def test_lost_answer(self) -> None:
        """Guards against telling a caller that a stored job is refused."""
        run_with_clock(self._lost_answer)

    def test_unanswered_submission(self) -> None:
        """Guards against "not run" where the job may still be stored."""
        run_with_clock(self._unanswered_submission)

    def test_store_out_of_reach(self) -> None:
        """Guards against callers that wait at an entry without a store."""
        run_with_clock(self._store_out_of_reach)

    def test_repeat_while_store_is_away(self) -> None:
        """Guards against the refusal of a job that was accepted before."""
        run_with_clock(self._repeat_while_store_is_away)

    def test_state_without_owner(self) -> None:
        """Guards against a wrong state while the owner is unreachable."""
        run_with_clock(self._state_without_owner)

    def test_outdated_owner(self) -> None:
        """Guards against the state of an owner that was replaced."""
        run_with_clock(self._outdated_owner)

    def test_job_unknown_to_owner(self) -> None:
        """Guards against a stored job that the owner misses unseen."""
        run_with_clock(self._job_unknown_to_owner)

    def test_cancel(self) -> None:
        """Guards against a cancellation that is acknowledged but not stored."""
        run_with_clock(self._cancel)

    async def _outdated_owner(self) -> None:
        """The owner's state doesn't count, also if the store can't be read."""
        entry = open_front()
        await entry.ask('POST', body=JOB_BODY)
        entry.intake.local_cell = _FormerCell
        progress = Write(
            progress_key(CELL, JOB_ID), encode(ProgressRecord(JobPhase.DONE))
        )
        await entry.store.commit([], [progress])
        state = decode_body(await entry.ask('GET'))
        self.assertEqual({'State': 'completed'}, state)
        entry.store.is_down = True
        self.assertEqual(503, (await entry.ask('GET')).status)

    async def _job_unknown_to_owner(self) -> None:
        """Only a job that is open and wasn't just accepted is counted, once."""
        entry = open_front()
        counters = entry.intake.counters
        cancelled = JOB_PATH.replace('f8', 'f9')
        for path in (JOB_PATH, cancelled):
            await entry.ask('POST', path, body=JOB_BODY)
        await entry.ask('DELETE', cancelled)
        self.enterContext(
            patch.object(_FormerCell, 'answer_status', return_value=None)
        )
        entry.intake.local_cell = _FormerCell
        for passed_s, count in ((0, 0), (4, 1), (4, 1)):
            await trio.sleep(passed_s)
            await entry.ask('GET', cancelled)
            state = decode_body(await entry.ask('GET'))
            self.assertEqual({'State': 'queued'}, state)
            self.assertEqual(count, counters.jobs_unknown_to_owner_count)
        # A damaged request changes no answer.
        damaged = Write(request_key(CELL, JOB_ID), b'?')
        await entry.store.commit([], [damaged])
        self.assertEqual(200, (await entry.ask('GET')).status)

    async def _paths(self) -> None:
        entry = open_front()
        for path in ('/other/1', '/recipes/short', f'{JOB_PATH}0'):
            reply = await entry.ask('POST', path, body=JOB_BODY)
            self.assertEqual(404, reply.status, path)
        reply = await entry.ask('POST', host='b.example', body=JOB_BODY)
        self.assertEqual(404, reply.status)
        self.assertEqual(400, (await entry.ask('POST')).status)
        self.assertEqual(405, (await entry.ask('PUT')).status)
        self.assertEqual(410, (await entry.ask('GET')).status)
        self.assertEqual(410, (await entry.ask('DELETE')).status)
        entry.configuration = None
        self.assertEqual(503, (await entry.ask('GET')).status)

    async def _accept_is_stored(self) -> None:
        entry = open_front()
        for _ in range(2):
            reply = await entry.ask('POST', body=JOB_BODY)
            self.assertEqual(200, reply.status)
        keys = list(entry.store.state.stored)
        self.assertEqual([request_key(CELL, JOB_ID)], keys)
        state = await entry.ask('GET')
        self.assertEqual({'State': 'queued'}, decode_body(state))

    async def _refused_while_down(self) -> None:
        entry = open_front()
        entry.store.is_down = True
        began_s = trio.current_time()
        reply = await entry.ask('POST', body=JOB_BODY)
        self.assertEqual(503, reply.status)
        self.assertIn('Retry-After', dict(reply.headers))
        self.assertLess(trio.current_time() - began_s, 0.1)
        self.assertFalse(entry.store.state.stored)

    async def _lost_answer(self) -> None:
        entry = open_front()
        entry.store.answers_to_lose = 1
        reply = await entry.ask('POST', body=JOB_BODY)
        self.assertEqual(200, reply.status)

    async def _unanswered_submission(self) -> None:
        entry = open_front()
        entry.store.commits_to_delay = 1_000
        reply = await entry.ask('POST', body=JOB_BODY)
        self.assertEqual(504, reply.status)

    async def _store_out_of_reach(self) -> None:
        entry = open_front()
        entry.intake.is_store_reachable = _is_never_reachable
        before = entry.store.commits_count
        began_s = trio.current_time()
        reply = await entry.ask('POST', body=JOB_BODY)
        self.assertEqual(503, reply.status)
        self.assertIn('Retry-After', dict(reply.headers))
        # A job that may have been stored is given up as unknown.
        self.assertEqual(before, entry.store.commits_count)
        answers = iter((True, False))
        entry.intake.is_store_reachable = lambda: next(answers)
        entry.store.commits_to_delay = 1_000
        reply = await entry.ask('POST', body=JOB_BODY)
        self.assertEqual(504, reply.status)
        self.assertLess(trio.current_time() - began_s, 0.2)

    async def _repeat_while_store_is_away(self) -> None:
        entry = open_front()
        async with open_cluster() as (cluster, nursery):
            candidate = cluster.spawn(nursery, 'e1')
            request = job_request(JOB_ID)
            await cluster.submit(request)
            await cluster.wait_until(lambda: cluster.state(request) is not None)
            entry.intake.local_cell = lambda: candidate.cell
            entry.intake.is_store_reachable = _is_never_reachable
            reply = await entry.ask('POST', body=JOB_BODY)
            self.assertEqual(200, reply.status)

    async def _state_without_owner(self) -> None:
        entry = open_front()
        await entry.ask('POST', body=JOB_BODY)
        shown = {
            JobPhase.OPEN: 'running',
            JobPhase.DONE: 'completed',
            JobPhase.FAILED: 'failed',
            JobPhase.CANCELLED: 'cancelled',
        }
        for phase, name in shown.items():
            record = encode(ProgressRecord(phase, has_begun=True))
            key = progress_key(CELL, JOB_ID)
            await entry.store.commit([], [Write(key, record)])
            state = await entry.ask('GET')
            self.assertEqual({'State': name}, decode_body(state))
        self.assertEqual(503, (await entry.ask('GET', '/recipes/')).status)

    async def _cancel(self) -> None:
        entry = open_front()
        await entry.ask('POST', body=JOB_BODY)
        entry.store.answers_to_lose = 1
        self.assertEqual(200, (await entry.ask('DELETE')).status)
        state = await entry.ask('GET')
        self.assertEqual({'State': 'cancelled'}, decode_body(state))
        self.assertEqual(200, (await entry.ask('DELETE')).status)
