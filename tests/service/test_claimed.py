"""Dispatch of requests with an idempotency key: at most one run of each."""

from __future__ import annotations

import trio

from marjoramwharf.errors import Reason
from marjoramwharf.machines.calls import WorkerRefusal
from marjoramwharf.service.request import NotRun, Outcome, Unknown
from tests.service.claimed_case import ANSWER, ClaimedCase
from tests.service.fakes import (
    Entry,
    make_request,
    run_with_entries,
)


class ClaimedTests(ClaimedCase):
    """Guards against a second run of a non-idempotent request."""

    def test_repeat_returns_the_recorded_answer(self) -> None:
        """Guards against a second run by a repeat at another entry."""

        async def scenario(entry: Entry, other: Entry) -> None:
            outcome = await entry.dispatcher.serve(make_request(key='k'))
            self.assertEqual(outcome, ANSWER)
            await entry.claims.wait_until_drained()
            self.first.is_unreachable = True
            outcome = await other.dispatcher.serve(make_request(key='k'))
            self.assertEqual(outcome, ANSWER)

        self._assert_runs_once(scenario)

    def test_another_request_with_the_key_is_refused(self) -> None:
        """Guards against an answer that belongs to another request."""

        async def scenario(entry: Entry, other: Entry) -> None:
            await entry.dispatcher.serve(make_request(key='k'))
            outcome = await other.dispatcher.serve(
                make_request(b'other', key='k'),
            )
            assert isinstance(outcome, NotRun)
            self.assertIs(outcome.reason, Reason.KEY_REUSED)

        self._assert_runs_once(scenario)

    def test_key_is_required(self) -> None:
        """Guards against a request whose outcome can't be looked up."""

        async def scenario(entry: Entry, _other: Entry) -> None:
            outcome = await entry.dispatcher.serve(make_request(key=''))
            assert isinstance(outcome, NotRun)
            self.assertIs(outcome.reason, Reason.BAD_REQUEST)

        run_with_entries(self.fleet, scenario)

    def test_cut_answer_is_settled(self) -> None:
        """Guards against "unknown" while the worker has the answer."""
        self.first.truncates_answers = True

        async def scenario(entry: Entry, _other: Entry) -> None:
            outcome = await entry.dispatcher.serve(make_request(key='k'))
            self.assertEqual(outcome, ANSWER)

        self._assert_runs_once(scenario)

    def test_entry_dies_after_the_claim(self) -> None:
        """Guards against a claim that blocks its request forever."""

        async def scenario(entry: Entry, other: Entry) -> None:
            await self._create_claim(entry)
            outcome = await other.dispatcher.serve(make_request(key='k'))
            self.assertEqual(outcome, ANSWER)
            self.assertNotEqual(self.fleet.ran()[0].call_id, 'never-sent')

        self._assert_runs_once(scenario)

    def test_paused_entry_finds_the_outcome_of_the_repeat(self) -> None:
        """Guards against a second run by an entry that was paused."""
        self.first.delays_s = [5]

        async def scenario(entry: Entry, other: Entry) -> None:
            outcomes: list[Outcome] = []

            async def pausing() -> None:
                request = make_request(key='k', timeout_s=20)
                outcomes.append(await entry.dispatcher.serve(request))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(pausing)
                await trio.sleep(1)
                outcomes.append(
                    await other.dispatcher.serve(make_request(key='k')),
                )
            self.assertEqual(outcomes, [ANSWER, ANSWER])

        self._assert_runs_once(scenario)

    def test_paused_entry_does_not_run_what_was_called_not_run(self) -> None:
        """Guards against a run after a look-up returned "not run"."""
        self.first.delays_s = [5]

        async def scenario(entry: Entry, other: Entry) -> None:
            outcomes: list[Outcome | None] = []

            async def pausing() -> None:
                request = make_request(key='k', timeout_s=20)
                outcomes.append(await entry.dispatcher.serve(request))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(pausing)
                await trio.sleep(1)
                outcomes.append(await self._look_up(other, 'k'))
            for outcome in outcomes:
                self.assertIsInstance(outcome, NotRun)

        run_with_entries(self.fleet, scenario)
        self.assertFalse(self.fleet.ran())

    def test_lookup_loses_against_a_repeat(self) -> None:
        """Guards against "not run" while a repeat runs the request."""
        self.first.settle_delays_s = [0, 0.3]

        async def scenario(entry: Entry, other: Entry) -> None:
            await self._create_claim(entry)
            outcomes: list[Outcome | None] = []

            async def look_up() -> None:
                outcomes.append(await self._look_up(entry, 'k'))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(look_up)
                await trio.sleep(0.1)
                await other.dispatcher.serve(make_request(key='k'))
            self.assertEqual(outcomes, [ANSWER])

        self._assert_runs_once(scenario)

    def test_lookup_of_an_outcome(self) -> None:
        """Guards against a look-up that guesses an outcome or runs a call."""

        async def scenario(entry: Entry, other: Entry) -> None:
            self.assertIsNone(await self._look_up(other, 'k'))
            await entry.dispatcher.serve(make_request(key='k'))
            self.assertEqual(await self._look_up(other, 'k'), ANSWER)
            self.fleet.store.is_down = True
            self.assertIsInstance(await self._look_up(other, 'k'), Unknown)

        self._assert_runs_once(scenario)

    def test_entry_dies_while_the_call_runs(self) -> None:
        """Guards against a second run while the first still runs."""
        self.first.run_s = 5

        async def scenario(entry: Entry, other: Entry) -> None:
            with trio.move_on_after(0.5):
                await entry.dispatcher.serve(
                    make_request(key='k', timeout_s=10),
                )
            outcome = await other.dispatcher.serve(make_request(key='k'))
            self.assertEqual(
                outcome,
                Unknown(Reason.DEADLINE, 'the call still runs', 'k'),
            )
            self.assertEqual(len(self.fleet.permits_in_use), 1)
            self.first.finish(self.first.ran[0])
            outcome = await other.dispatcher.serve(make_request(key='k'))
            self.assertEqual(outcome, ANSWER)
            await trio.sleep(10)
            self.assertFalse(self.fleet.permits_in_use)

        self._assert_runs_once(scenario)

    def test_repeats_at_both_entries_at_once(self) -> None:
        """Guards against a second run when repeats race at two entries."""

        async def scenario(entry: Entry, other: Entry) -> None:
            outcomes = []

            async def serve(serving_entry: Entry) -> None:
                outcomes.append(
                    await serving_entry.dispatcher.serve(make_request(key='k')),
                )

            async with trio.open_nursery() as nursery:
                for _ in range(5):
                    nursery.start_soon(serve, entry)
                    nursery.start_soon(serve, other)
            self.assertEqual(len(outcomes), 10)
            self.assertEqual(set(outcomes), {ANSWER})

        self._assert_runs_once(scenario)


class ClaimedFaultTests(ClaimedCase):
    """Guards against guessed outcomes when the store or a worker fails."""

    def test_lost_store_answer(self) -> None:
        """Guards against an entry that mistakes its own claim for another."""
        self.fleet.store.answers_to_lose = 2

        async def scenario(entry: Entry, _other: Entry) -> None:
            outcome = await entry.dispatcher.serve(make_request(key='k'))
            self.assertEqual(outcome, ANSWER)

        self._assert_runs_once(scenario)

    def test_first_attempt_in_an_outage_is_not_run(self) -> None:
        """Guards against a run without a claim."""
        self.fleet.store.is_down = True

        async def scenario(entry: Entry, _other: Entry) -> None:
            outcome = await entry.dispatcher.serve(
                make_request(key='k', is_first_attempt=True),
            )
            assert isinstance(outcome, NotRun)
            self.assertIs(outcome.reason, Reason.STORE_UNAVAILABLE)
            self.assertIsNotNone(outcome.retry_after_s)
            self.assertFalse(self.fleet.ran() or self.fleet.permits_in_use)

        run_with_entries(self.fleet, scenario)

    def test_repeat_in_an_outage_is_unknown(self) -> None:
        """Guards against "not run" for a request that ran at another entry."""

        async def scenario(entry: Entry, other: Entry) -> None:
            await entry.dispatcher.serve(make_request(key='k'))
            self.fleet.store.is_down = True
            for has_capacity in (True, False):
                self.fleet.has_capacity = has_capacity
                outcome = await other.dispatcher.serve(make_request(key='k'))
                self._assert_unknown(outcome, Reason.STORE_UNAVAILABLE)

        self._assert_runs_once(scenario)

    def test_repeat_at_a_slow_store_is_unknown(self) -> None:
        """Guards against "not run" when claiming exceeds the deadline."""

        async def scenario(entry: Entry, other: Entry) -> None:
            await entry.dispatcher.serve(make_request(key='k'))
            await entry.claims.wait_until_drained()
            self.fleet.store.delay_s = 30
            for has_capacity in (True, False):
                self.fleet.has_capacity = has_capacity
                outcome = await other.dispatcher.serve(make_request(key='k'))
                self._assert_unknown(outcome, Reason.DEADLINE)

        self._assert_runs_once(scenario)

    def _assert_unknown(self, outcome: Outcome, reason: Reason) -> None:
        assert isinstance(outcome, Unknown)
        self.assertIs(outcome.reason, reason)
        self.assertEqual(outcome.outcome_key, 'k')

    def test_refused_call_moves_to_another_worker(self) -> None:
        """Guards against a refusal that ends a request too early."""
        self.first.refusal = WorkerRefusal.REVOKED_GRANT

        async def scenario(entry: Entry, _other: Entry) -> None:
            outcome = await entry.dispatcher.serve(make_request(key='k'))
            self.assertEqual(outcome, ANSWER)

        self._assert_runs_once(scenario)

    def test_not_run_withdraws_the_claim(self) -> None:
        """Guards against a later run after the answer "not run"."""
        self.first.refusal = WorkerRefusal.FULL
        self.second.refusal = WorkerRefusal.FULL

        async def scenario(entry: Entry, _other: Entry) -> None:
            outcome = await entry.dispatcher.serve(make_request(key='k'))
            self.assertIsInstance(outcome, NotRun)
            self.assertFalse(self.fleet.store.state.values_below('/once/'))
            self.assertFalse(self.fleet.permits_in_use)

        run_with_entries(self.fleet, scenario)

    def test_repeat_without_capacity_is_not_called_not_run(self) -> None:
        """Guards against "not run" for a request that ran before."""

        async def scenario(entry: Entry, other: Entry) -> None:
            await entry.dispatcher.serve(make_request(key='k'))
            self.fleet.has_capacity = False
            outcome = await other.dispatcher.serve(make_request(key='k'))
            self.assertEqual(outcome, ANSWER)

        self._assert_runs_once(scenario)

    def test_unreachable_worker_leaves_it_unknown(self) -> None:
        """Guards against a guess about a call on a lost worker."""
        self.first.truncates_answers = True
        self.first.is_unreachable = True

        async def scenario(entry: Entry, other: Entry) -> None:
            for serving_entry in (entry, other):
                outcome = await serving_entry.dispatcher.serve(
                    make_request(key='k'),
                )
                assert isinstance(outcome, Unknown)
                self.assertEqual(outcome.outcome_key, 'k')
            self.assertEqual(len(self.fleet.permits_in_use), 1)

        self._assert_runs_once(scenario)


class RestartTests(ClaimedCase):
    """Guards against trust in a restarted worker, which lost its calls."""

    def test_restart_after_the_run_leaves_it_unknown(self) -> None:
        """Guards against a second run after a lost answer."""
        self.first.truncates_answers = True
        self.first.is_unreachable = True

        async def scenario(entry: Entry, other: Entry) -> None:
            await entry.dispatcher.serve(make_request(key='k'))
            self.first.restart()
            self.first.is_unreachable = False
            for serving_entry in (entry, other):
                outcome = await serving_entry.dispatcher.serve(
                    make_request(key='k'),
                )
                assert isinstance(outcome, Unknown)
                self.assertIs(outcome.reason, Reason.WORKER_RESTARTED)
            self.assertIsInstance(await self._look_up(other, 'k'), Unknown)
            # The process that held the slot is gone.
            await trio.sleep(5)
            self.assertFalse(self.fleet.permits_in_use)

        self._assert_runs_once(scenario)

    def test_restart_before_the_call_arrives(self) -> None:
        """Guards against a run by an incarnation other than the claimed one."""
        self.first.delays_s = [0.2]

        async def scenario(entry: Entry, _other: Entry) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._assert_answered, entry)
                await trio.sleep(0.1)
                self.first.restart()

        self._assert_runs_once(scenario)
        self.assertEqual(len(self.second.ran), 1)

    def test_worker_without_incarnation_is_avoided(self) -> None:
        """Guards against a claim that no worker can settle."""
        self.first.is_down = True

        async def scenario(entry: Entry, _other: Entry) -> None:
            await self._assert_answered(entry)
            self.assertFalse(self.fleet.permits_in_use)

        self._assert_runs_once(scenario)

    async def _assert_answered(self, entry: Entry) -> None:
        outcome = await entry.dispatcher.serve(make_request(key='k'))
        self.assertEqual(outcome, ANSWER)
