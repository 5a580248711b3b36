"""Outcomes of commits whose answers were lost."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable, Sequence
from functools import partial

import trio
from trio.testing import MockClock

from marjoramwharf.errors import StoreAnswerLost
from marjoramwharf.links.store import (
    Committed,
    Conflict,
    Guard,
    Urgency,
    Write,
)
from marjoramwharf.links.store_settlement import commit_and_settle
from standins.memory_store import MemoryStore

_KEY = '/once/team/1'
_OWNER = '/own/jobs/1'
_CREATE = (Guard(_KEY, 0),)
_OURS = (Write(_KEY, b'ours'),)


class _LossyStore(MemoryStore):
    """Loses requests before they are applied.

    ``meanwhile`` is called after each lost request or answer.
    """

    def __init__(self) -> None:
        """Start without losses."""
        super().__init__()
        self.requests_to_lose = 0
        self.meanwhile: Callable[[], object] = dict

    async def commit(
        self,
        guards: Sequence[Guard],
        writes: Sequence[Write],
        *,
        urgency: Urgency,
    ) -> Committed | Conflict:
        """Lose the request, or commit."""
        if self.requests_to_lose:
            self.requests_to_lose -= 1
            self.meanwhile()
            raise StoreAnswerLost(message='the request was lost')
        try:
            return await super().commit(guards, writes, urgency=urgency)
        except StoreAnswerLost:
            self.meanwhile()
            raise


def _run(check: Callable[[], Awaitable[None]]) -> None:
    trio.run(check, clock=MockClock(autojump_threshold=0))


async def _settle(store: MemoryStore) -> Committed | Conflict:
    return await commit_and_settle(store, _CREATE, _OURS, urgency=Urgency.CLAIM)


class SettledCommitTests(unittest.TestCase):
    """Guards against commits that are applied twice or misreported."""

    def setUp(self) -> None:
        """Start with an empty store."""
        self.store = _LossyStore()

    def test_applied_commit_is_found(self) -> None:
        """Guards against ``Conflict`` for a commit that was applied."""
        self.store.answers_to_lose = 1
        _run(self._is_committed)
        self.assertEqual(self.store.writes_count, 1)

    def test_lost_request_is_made_again(self) -> None:
        """Guards against a lost request that is not sent again."""
        self.store.requests_to_lose = 1
        _run(self._is_committed)

    def test_late_first_commit_is_not_a_conflict(self) -> None:
        """Guards against ``Conflict`` if both commits' answers are lost."""
        self.store.requests_to_lose = 1
        self.store.answers_to_lose = 1
        _run(self._is_committed)
        self.assertEqual(len(self.store.state.history), 1)

    def test_key_of_another_creator_is_a_conflict(self) -> None:
        """Guards against a claim that two entries hold."""
        self.store.requests_to_lose = 1
        self.store.meanwhile = partial(self._another_writes, _KEY)
        _run(self._is_conflict)
        self.assertEqual(self.store.state.stored[_KEY].body, b'other')

    def test_replaced_value_stays_unknown(self) -> None:
        """Guards against "not applied" for a value that was replaced.

        The replaced value may have been that of the commit.
        """
        self.store.answers_to_lose = 1
        self.store.meanwhile = partial(self._another_writes, _KEY)
        _run(self._is_unknown)

    def test_changed_owner_is_a_conflict(self) -> None:
        """Guards against an unknown outcome although a guard proves one.

        A guarded key that the commit doesn't write has changed.
        """
        self.store.requests_to_lose = 1
        self.store.meanwhile = partial(self._another_writes, _OWNER)
        _run(self._conflicts_with_owner)
        self.assertNotIn(_KEY, self.store.state.stored)

    def test_outage_after_the_loss_stays_unknown(self) -> None:
        """Guards against "not applied" because the read back failed."""
        self.store.answers_to_lose = 1
        self.store.meanwhile = self._goes_down
        _run(self._is_unknown)

    def test_unguarded_write_is_not_repeated(self) -> None:
        """Guards against a commit that is applied twice for lack of a guard."""
        self.store.requests_to_lose = 1
        _run(self._unguarded_is_unknown)
        self.assertEqual(self.store.state.stored, {})

    async def _is_committed(self) -> None:
        self.assertEqual(await _settle(self.store), Committed(2))

    async def _is_conflict(self) -> None:
        self.assertEqual(await _settle(self.store), Conflict())

    async def _is_unknown(self) -> None:
        with self.assertRaises(StoreAnswerLost):
            await _settle(self.store)

    async def _conflicts_with_owner(self) -> None:
        outcome = await commit_and_settle(
            self.store,
            (*_CREATE, Guard(_OWNER, 0)),
            _OURS,
            urgency=Urgency.JOB,
        )
        self.assertEqual(outcome, Conflict())

    async def _unguarded_is_unknown(self) -> None:
        with self.assertRaises(StoreAnswerLost):
            await commit_and_settle(self.store, (), _OURS, urgency=Urgency.JOB)

    def _another_writes(self, key: str) -> None:
        self.store.state.apply([Write(key, b'other')])

    def _goes_down(self) -> None:
        self.store.is_down = True
