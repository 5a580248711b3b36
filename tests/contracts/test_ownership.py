"""Tests of ownership: one owner for each epoch, despite store failures."""

from __future__ import annotations

import unittest
from functools import partial
from typing import Any
from unittest.mock import patch

import trio
from trio.testing import MockClock

from marjoramwharf.contracts.ownership import Ownership, preferred_entry
from marjoramwharf.errors import StoreAnswerLost
from marjoramwharf.ids import EntryId, Incarnation, ShardId
from standins.kv_state import KeyValueState
from standins.memory_store import MemoryStore

_E1 = EntryId('e1')
_E2 = EntryId('e2')
_SHARDS_COUNT = 8


class OwnershipTests(unittest.TestCase):
    """Guards against two owners of a shard under one epoch."""

    def setUp(self) -> None:
        """Let two entries share a store."""
        state = KeyValueState()
        self.store1 = MemoryStore(state)
        self.store2 = MemoryStore(state)
        self.members = {_E1: Incarnation('a')}
        self.own1 = self._ownership(self.store1, _E1, 'a')
        self.own2 = self._ownership(self.store2, _E2, 'b')

    def test_rendezvous_shares_the_shards(self) -> None:
        """Guards against a race of all entries for each free shard."""
        self.members[_E2] = Incarnation('b')
        self._refresh(self.own1, self.own2)
        self.assertEqual(len({*self.own1.owned, *self.own2.owned}), 8)
        self.assertFalse(set(self.own1.owned) & set(self.own2.owned))
        for shard in self.own1.owned:
            self.assertEqual(preferred_entry(shard, self.members), _E1)

    def test_epoch_grows_when_the_owner_is_gone(self) -> None:
        """Guards against two owners with the same epoch."""
        self._refresh(self.own1, self.own2)
        self.assertFalse(self.own2.owned)
        self.members.clear()
        self.members[_E2] = Incarnation('b')
        self._refresh(self.own2)
        self.assertEqual(set(self.own2.owned.values()), {2})
        self._refresh(self.own1)
        self.assertFalse(self.own1.owned)

    def test_restart_takes_a_new_epoch(self) -> None:
        """Guards against grant ids that are reused after a restart."""
        self._refresh(self.own1)
        self.members[_E1] = Incarnation('a2')
        again = self._ownership(self.store1, _E1, 'a2')
        self._refresh(again)
        self.assertEqual(set(again.owned.values()), {2})

    def test_lost_answer_is_settled_by_reading(self) -> None:
        """Guards against a shard that is owned by nobody or written twice."""
        self.store1.answers_to_lose = 8
        self._refresh(self.own1)
        self.assertEqual(set(self.own1.owned.values()), {1})
        self.assertEqual(self.store1.writes_count, 8)

    def test_hand_over_in_an_outage_is_not_final(self) -> None:
        """Guards against a shard that the entry in its record doesn't serve.

        No other entry takes the shard, since the record names a live entry.
        """
        self._refresh(self.own1)
        moved = next(
            shard
            for shard in self.own1.owned
            if preferred_entry(shard, (_E1, _E2)) == _E2
        )
        self.members[_E2] = Incarnation('b')
        self.store1.is_down = True
        trio.run(
            self.own1.hand_over, moved, clock=MockClock(autojump_threshold=0)
        )
        self.assertNotIn(moved, self.own1.owned)
        self.store1.is_down = False
        self._refresh(self.own1, self.own2)
        self.assertEqual(self.own1.owned[moved], 2)

    def test_missing_owner_is_left_alone_after_a_start(self) -> None:
        """Guards against taking the shards of all entries after an outage."""
        self._refresh(self.own1)
        self.members.clear()
        self.members[_E2] = Incarnation('b')
        for may_take_over, expected_count in ((False, 0), (True, 8)):
            trio.run(
                partial(self.own2.refresh, may_take_over=may_take_over),
                clock=MockClock(autojump_threshold=0),
            )
            self.assertEqual(len(self.own2.owned), expected_count)

    def test_outage_keeps_shards_and_return_rereads(self) -> None:
        """Guards against losing all shards during an outage of the store."""
        self._refresh(self.own1)
        self.store1.is_down = True
        self._refresh(self.own1)
        self.assertEqual(len(self.own1.owned), 8)
        self.members.clear()
        self.members[_E2] = Incarnation('b')
        self._refresh(self.own2)
        self.store1.is_down = False
        self._refresh(self.own1)
        self.assertEqual(self.own1.owned, {})

    def test_nothing_is_written_before_the_reread(self) -> None:
        """Guards against a write based on records from before an outage."""
        self._refresh(self.own1)
        self.store1.is_down = True
        self._refresh(self.own1)
        self.store1.is_down = False
        self.assertFalse(trio.run(self.own1.advance_epoch, ShardId(0)))
        self.assertFalse(trio.run(self.own1.hand_over, ShardId(0)))
        self.assertEqual(self.store1.writes_count, 8)

    def test_unread_lost_answer_is_taken_again(self) -> None:
        """Guards against using a shard under an epoch that was not read."""
        commit = self.store1.commit

        async def lose_and_go_down(*args: Any, **options: Any) -> Any:
            self.store1.answers_to_lose = 1
            try:
                return await commit(*args, **options)
            except StoreAnswerLost:
                self.store1.is_down = True
                raise

        with patch.object(self.store1, 'commit', lose_and_go_down):
            self._refresh(self.own1)
        self.assertEqual(self.own1.owned, {})
        self.store1.is_down = False
        self._refresh(self.own1)
        self.assertEqual(self.own1.owned[ShardId(0)], 2)
        self.assertEqual(self.own1.owned[ShardId(1)], 1)

    def test_stale_reader_loses_the_swap(self) -> None:
        """Guards against overwriting the record of a successor."""
        self._refresh(self.own1)
        stale = dict(self.members)
        self.members.clear()
        self.members[_E2] = Incarnation('b')
        self._refresh(self.own2)
        self.members.clear()
        self.members.update(stale)
        self.own1.mark_lost(ShardId(0))
        self.assertFalse(trio.run(self.own1.take, ShardId(0)))
        self.assertEqual(self.own2.owned[ShardId(0)], 2)

    def test_handed_over_shard_is_free_at_once(self) -> None:
        """Guards against a planned stop that waits for the member lease."""
        self._refresh(self.own1)
        self.assertTrue(trio.run(self.own1.hand_over, ShardId(3)))
        trio.run(self.own2.refresh)
        self.assertTrue(trio.run(self.own2.take, ShardId(3)))
        self.assertEqual(self.own2.owned[ShardId(3)], 2)

    def test_misplaced_shards_move_to_a_new_entry(self) -> None:
        """Guards against a first entry that never hands shards over."""
        self._refresh(self.own1)
        self.assertEqual(self.own1.misplaced(), [])
        self.members[_E2] = Incarnation('b')
        misplaced = self.own1.misplaced()
        self.assertTrue(misplaced)
        for shard in misplaced:
            self.assertTrue(trio.run(self.own1.hand_over, shard))
        self._refresh(self.own2)
        self.assertEqual(set(self.own2.owned), set(misplaced))

    def test_advance_only_grows_the_epoch_of_the_owner(self) -> None:
        """Guards against a former owner that advances the epoch."""
        self._refresh(self.own1)
        self.assertTrue(trio.run(self.own1.advance_epoch, ShardId(1)))
        self.assertEqual(self.own1.owned[ShardId(1)], 2)
        self.members.clear()
        self.members[_E2] = Incarnation('b')
        self._refresh(self.own2)
        self.assertFalse(trio.run(self.own1.advance_epoch, ShardId(1)))
        self.assertEqual(self.own2.owned[ShardId(1)], 3)

    def _ownership(
        self,
        store: MemoryStore,
        entry_id: EntryId,
        incarnation: str,
    ) -> Ownership:
        return Ownership(
            store,
            '/own/capacity',
            _SHARDS_COUNT,
            entry_id=entry_id,
            incarnation=Incarnation(incarnation),
            members=lambda: self.members,
        )

    def _refresh(self, *ownerships: Ownership) -> None:
        for ownership in ownerships:
            trio.run(ownership.refresh, clock=MockClock(autojump_threshold=0))
