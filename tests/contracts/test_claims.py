"""Tests of claims: one holder for each key, despite store failures."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from marjoramwharf.contracts.claim_values import (
    Claim,
    ClaimExists,
    ClaimHeld,
    ClaimOutcome,
    ClaimWithdrawn,
)
from marjoramwharf.contracts.claims import ClaimStore, request_digest
from marjoramwharf.errors import StoreUnavailable
from marjoramwharf.ids import CallId, Incarnation, TeamId, WorkerId
from marjoramwharf.machines.calls import CallAnswer
from standins.memory_store import MemoryStore

_TEAM = TeamId('notices')
_TTL_S = 600
_Body = Callable[[ClaimStore, MemoryStore], Awaitable[None]]


async def _create(claims: ClaimStore, key: str, call_id: str) -> ClaimOutcome:
    return await claims.create(
        _TEAM,
        key,
        digest='d',
        worker_id=WorkerId('w1'),
        call_id=CallId(call_id),
        incarnation=INCARNATION,
    )


async def _hold(claims: ClaimStore, key: str, call_id: str) -> Claim:
    held = await _create(claims, key, call_id)
    assert isinstance(held, ClaimHeld), held
    return held.claim


INCARNATION = Incarnation('i1')


class ClaimTests(unittest.TestCase):
    """Guards against two holders of one claim and against lost claims."""

    def test_waiting_claims_share_a_commit(self) -> None:
        """Guards against one store write for each request."""

        async def body(claims: ClaimStore, store: MemoryStore) -> None:
            store.delay_s = 0.01
            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(_hold, claims, f'k{number}', 'c')
            self.assertLessEqual(store.writes_count, 2)
            self.assertEqual(len(store.state.values_below('/once/')), 40)

        _with_claims(body)

    def test_conflict_in_a_group_harms_only_its_own_claim(self) -> None:
        """Guards against a conflict that fails all writes of a group."""

        async def body(claims: ClaimStore, store: MemoryStore) -> None:
            await _hold(claims, 'k1', 'first')
            store.delay_s = 0.01
            seen: dict[str, ClaimOutcome] = {}

            async def create(key: str) -> None:
                seen[key] = await _create(claims, key, 'second')

            async with trio.open_nursery() as nursery:
                for key in ('k1', 'k2', 'k3'):
                    nursery.start_soon(create, key)
            found = seen.pop('k1')
            assert isinstance(found, ClaimExists)
            self.assertEqual(found.claim.record.call_id, 'first')
            for outcome in seen.values():
                self.assertIsInstance(outcome, ClaimHeld)

        _with_claims(body)

    def test_lost_answers_are_settled_by_reading(self) -> None:
        """Guards against a writer that doesn't recognise its own claim."""

        async def body(claims: ClaimStore, store: MemoryStore) -> None:
            store.answers_to_lose = 1
            claim = await _hold(claims, 'k', 'first')
            self.assertEqual(claim, await claims.look_up(_TEAM, 'k'))
            store.answers_to_lose = 1
            claim = await _take_over(claims, claim)
            store.answers_to_lose = 1
            self.assertTrue(await claims.withdraw(claim))
            self.assertIsNone(await claims.look_up(_TEAM, 'k'))

        _with_claims(body)

    def test_outage_is_a_failure_and_later_claims_succeed(self) -> None:
        """Guards against dispatching a call whose claim was not written."""

        async def body(claims: ClaimStore, store: MemoryStore) -> None:
            store.is_down = True
            with self.assertRaises(StoreUnavailable):
                await _create(claims, 'k', 'c')
            store.is_down = False
            await _hold(claims, 'k', 'c')

        _with_claims(body)

    def test_one_of_two_takes_over(self) -> None:
        """Guards against two new attempts for one call that did not run."""

        async def body(claims: ClaimStore, _store: MemoryStore) -> None:
            former = await _hold(claims, 'k', 'first')
            await _take_over(claims, former)
            self.assertIsInstance(
                await claims.take_over(
                    former,
                    worker_id=WorkerId('w3'),
                    call_id=CallId('third'),
                    incarnation=INCARNATION,
                ),
                ClaimExists,
            )
            self.assertFalse(await claims.withdraw(former))

        _with_claims(body)

    def test_withdrawn_claim_is_not_taken_over(self) -> None:
        """Guards against a run after the caller was told "not run"."""

        async def body(claims: ClaimStore, _store: MemoryStore) -> None:
            claim = await _hold(claims, 'k', 'first')
            self.assertTrue(await claims.withdraw(claim))
            outcome = await claims.take_over(
                claim,
                worker_id=WorkerId('w2'),
                call_id=CallId('second'),
                incarnation=INCARNATION,
            )
            self.assertIsInstance(outcome, ClaimWithdrawn)

        _with_claims(body)

    def test_answer_is_kept_through_an_outage(self) -> None:
        """Guards against a completion that is dropped when the store fails."""

        async def body(claims: ClaimStore, store: MemoryStore) -> None:
            claim = await _hold(claims, 'k', 'c')
            store.is_down = True
            claims.complete(claim, _answer(b'whole'))
            await trio.sleep(60)
            store.is_down = False
            await claims.wait_until_drained()
            done = await claims.look_up(_TEAM, 'k')
            assert done is not None
            self.assertEqual(
                (done.record.status, done.record.body), (200, b'whole')
            )

        _with_claims(body)

    def test_large_answer_keeps_its_digest_only(self) -> None:
        """Guards against stored answers above the size limit."""

        async def body(claims: ClaimStore, _store: MemoryStore) -> None:
            claim = await _hold(claims, 'k', 'c')
            claims.complete(claim, _answer(bytes(101)))
            await claims.wait_until_drained()
            done = await claims.look_up(_TEAM, 'k')
            assert done is not None
            self.assertIsNone(done.record.body)
            self.assertEqual(len(done.record.body_sha256), 64)

        _with_claims(body)

    def test_claims_share_leases_and_lapse(self) -> None:
        """Guards against one lease for each claim, and unlimited growth."""

        async def body(claims: ClaimStore, store: MemoryStore) -> None:
            for number in range(20):
                await _hold(claims, f'k{number}', 'c')
                await trio.sleep(3)
            # 60 s of claims in buckets of 30 s.
            self.assertLessEqual(store.state.grant_lease(1, 0), 4)
            await trio.sleep(_TTL_S - 61)
            self.assertEqual(len(store.state.values_below('/once/')), 20)
            await trio.sleep(100)
            self.assertIsNone(await claims.look_up(_TEAM, 'k0'))
            self.assertFalse(store.state.values_below('/once/'))

        _with_claims(body)

    def test_lost_lease_is_replaced(self) -> None:
        """Guards against claims that keep failing after a lease has expired."""

        async def body(claims: ClaimStore, store: MemoryStore) -> None:
            await _hold(claims, 'k1', 'c')
            store.state.expire_all_leases()
            with self.assertRaises(StoreUnavailable):
                await _create(claims, 'k2', 'c')
            await _hold(claims, 'k2', 'c')

        _with_claims(body)

    def test_digest_separates_its_parts(self) -> None:
        """Guards against two different requests with the same digest."""
        self.assertNotEqual(
            request_digest('a', 'b', b''),
            request_digest('ab', '', b''),
        )


async def _take_over(claims: ClaimStore, claim: Claim) -> Claim:
    held = await claims.take_over(
        claim,
        worker_id=WorkerId('w2'),
        call_id=CallId('second'),
        incarnation=INCARNATION,
    )
    assert isinstance(held, ClaimHeld), held
    return held.claim


def _answer(body: bytes) -> CallAnswer:
    return CallAnswer(CallId('c'), 200, 'text/plain', body)


def _with_claims(body: _Body) -> None:
    async def main() -> None:
        store = MemoryStore()
        claims = ClaimStore(
            store,
            ttl_s=_TTL_S,
            body_limit_bytes=100,
            clock=trio.current_time,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(claims.run)
            with trio.fail_after(10_000):
                await body(claims, store)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
