"""Dispatch: complete answers, at most one run, and proofs of "not run"."""

from __future__ import annotations

import unittest

import trio

from marjoramwharf.errors import Reason
from marjoramwharf.ids import WorkerId
from marjoramwharf.machines.calls import WorkerRefusal
from marjoramwharf.service.request import Done, NotRun, Unknown
from tests.service.fakes import (
    Entry,
    Fleet,
    make_request,
    run_with_entries,
)

_ANSWER = Done(200, 'text/plain', b'answer to notice')


class IdempotentTests(unittest.TestCase):
    """Guards against lost answers and against retries without limit."""

    def setUp(self) -> None:
        """Start two healthy workers."""
        self.fleet = Fleet('w1', 'w2')
        self.first = self.fleet.agents[WorkerId('w1')]
        self.second = self.fleet.agents[WorkerId('w2')]

    def test_truncated_answer_is_retried(self) -> None:
        """Guards against a truncated answer that is forwarded as complete."""
        self.first.truncates_answers = True

        async def scenario(entry: Entry, _other: Entry) -> None:
            self.assertEqual(
                await entry.dispatcher.serve(make_request()),
                _ANSWER,
            )
            await trio.sleep(1)
            self.assertFalse(self.fleet.permits_in_use)

        run_with_entries(self.fleet, scenario)
        self.assertEqual(len(self.second.ran), 1)

    def test_call_in_doubt_is_never_answered_as_not_run(self) -> None:
        """Guards against "not run" after a call that may have run."""
        self.first.truncates_answers = True
        self.second.refusal = WorkerRefusal.FULL

        async def scenario(entry: Entry, _other: Entry) -> None:
            outcome = await entry.dispatcher.serve(make_request())
            self.assertEqual(
                outcome,
                Unknown(Reason.ANSWER_CUT, 'no whole answer arrived', None),
            )

        run_with_entries(self.fleet, scenario)

    def test_refused_everywhere_is_not_run(self) -> None:
        """Guards against "unknown" after refusals that prove "not run"."""
        self.first.refusal = WorkerRefusal.STALE_EPOCH
        self.second.refusal = WorkerRefusal.FULL

        async def scenario(entry: Entry, _other: Entry) -> None:
            outcome = await entry.dispatcher.serve(make_request())
            self.assertIsInstance(outcome, NotRun)
            self.assertFalse(self.fleet.permits_in_use)

        run_with_entries(self.fleet, scenario)

    def test_failing_worker_loses_its_load(self) -> None:
        """Guards against a worker that fails fast and so attracts requests."""
        self.first.status = 500
        self.first.run_s = 0

        async def scenario(entry: Entry, _other: Entry) -> None:
            for _ in range(60):
                await entry.dispatcher.serve(make_request())
            self.assertLessEqual(len(self.first.ran), 6)
            self.first.status = 200
            await trio.sleep(120)
            await entry.dispatcher.serve(make_request())
            self.assertFalse(
                entry.health.list_ejected(
                    trio.current_time(), allow_probes=False
                ),
            )

        run_with_entries(self.fleet, scenario)

    def test_hedge_wins_and_the_loser_is_cancelled(self) -> None:
        """Guards against a slower call that goes on and keeps its slot."""

        async def scenario(entry: Entry, _other: Entry) -> None:
            for _ in range(50):
                entry.policy.observe('notice', 0.02)
            self.first.run_s = 100
            outcome = await entry.dispatcher.serve(make_request(timeout_s=200))
            self.assertEqual(outcome, _ANSWER)
            await trio.sleep(1)
            self.assertEqual(
                self.first.cancelled,
                [self.first.ran[-1].call_id],
            )
            self.assertFalse(self.fleet.permits_in_use)

        run_with_entries(self.fleet, scenario)
        self.assertEqual(len(self.second.ran), 1)

    def test_cancelled_caller_frees_its_permit(self) -> None:
        """Guards against a slot that leaks when a caller disconnects."""
        self.first.run_s = 100

        async def scenario(entry: Entry, _other: Entry) -> None:
            with trio.move_on_after(0.5):
                await entry.dispatcher.serve(make_request(timeout_s=200))
            self.assertEqual(len(self.fleet.permits_in_use), 1)
            await trio.sleep(1)
            self.assertFalse(self.fleet.permits_in_use)
            self.assertEqual(len(self.first.cancelled), 1)

        run_with_entries(self.fleet, scenario)
