"""Requests and cancellations that the owner of a cell reads from the store."""

from __future__ import annotations

import unittest
from functools import partial

import trio

from marjoramwharf.cells.inbox import Inbox
from marjoramwharf.cells.records import cancel_key, encode, request_key
from marjoramwharf.links.store import StoredValue, StoreEvent, WatchBatch
from marjoramwharf.scheduling.job_table import JobTable
from tests.cells.cluster import CELL, job_request

_REQUEST = job_request('aa')
_JOB_ID = _REQUEST.job_id


def _event(key: str, body: bytes, revision: int) -> StoreEvent:
    return StoreEvent(key, StoredValue(key, body, revision, revision))


def _request_event(revision: int) -> StoreEvent:
    return _event(request_key(CELL, _JOB_ID), encode(_REQUEST), revision)


def _cancel_event(revision: int) -> StoreEvent:
    return _event(cancel_key(CELL, _JOB_ID), b'1', revision)


def _new_inbox(job_table: JobTable) -> Inbox:
    return Inbox(
        cell=CELL,
        job_table=job_table,
        on_cancelled=lambda _job: None,
        on_change=lambda: None,
    )


class CancellationTests(unittest.TestCase):
    """Guards against a cancellation that hits another job, or misses its own."""

    def test_order_of_revisions(self) -> None:
        """Guards against a job cancelled by what was removed before it.

        The pages of a read aren't of one moment, so both may be read.
        """
        for cancel_revision, request_revision in ((7, 5), (7, 9)):
            events = (
                _cancel_event(cancel_revision),
                _request_event(request_revision),
            )
            for batch in (events, reversed(events)):
                job_table = JobTable()
                inbox = _new_inbox(job_table)
                trio.run(inbox.apply, WatchBatch(9, tuple(batch)))
                self.assertIs(
                    request_revision > cancel_revision,
                    job_table.jobs[_JOB_ID].is_open,
                )


class RemovedJobTests(unittest.TestCase):
    """Guards against a job that runs again after it has ended and was removed."""

    def setUp(self) -> None:
        """Add a job, end it, and remove it at revision 20."""
        self.job_table = JobTable()
        self.inbox = _new_inbox(self.job_table)
        self._apply(5, _request_event(5))
        job = self.job_table.jobs[_JOB_ID]
        self.job_table.cancel(_JOB_ID, now_s=0)
        self.inbox.forget(job, removed_by_revision=20)

    def test_late_read(self) -> None:
        """Guards against a read that was answered before the removal."""
        self._apply(19, _request_event(5), restarted=True)
        self.assertFalse(self.job_table.jobs)
        self.assertFalse(self.job_table.ready)

    def test_late_cancellation(self) -> None:
        """Guards against a cancellation that hits a later job of the id."""
        self._apply(19, _cancel_event(7), restarted=True)
        self._apply(25, _request_event(25))
        self.assertTrue(self.job_table.jobs[_JOB_ID].is_open)

    def test_same_id_again(self) -> None:
        """Guards against a new job that is taken for the removed one."""
        self._apply(30, _request_event(30))
        self.assertIn(_JOB_ID, self.job_table.jobs)

    def test_nothing_is_kept(self) -> None:
        """Guards against memory that grows with the jobs ever removed."""
        self._apply(21)
        self.assertFalse(self.inbox._removed)

    def _apply(
        self, revision: int, *events: StoreEvent, restarted: bool = False
    ) -> None:
        batch = WatchBatch(revision, events, restarted=restarted)
        trio.run(partial(self.inbox.apply, batch))
