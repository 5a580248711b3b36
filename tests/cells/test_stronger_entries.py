"""Entries of different speeds, and which of them owns the cell."""

from __future__ import annotations

import unittest
from collections.abc import Sequence

import trio

from marjoramwharf.cells.records import FastestRecord, encode, fastest_key
from marjoramwharf.cells.stronger_entries import StrongerEntries
from marjoramwharf.ids import DataCentreId, EntryId, Incarnation
from marjoramwharf.links.peer_messages import PeerIdentity
from marjoramwharf.links.relay_peers import PeerAddress
from marjoramwharf.links.store import Guard
from standins.polling_store import PollingMemoryStore
from tests.cells.candidate import Candidate
from tests.cells.cluster import CELL, Cluster, open_cluster, run_with_clock

_SLOW, _FAST = 0.5, 2.0
_LATE_S = 1.5
_LONGEST_WAIT_S = 4
_PROMPT_S = 0.5


def _spawn(
    cluster: Cluster, nursery: trio.Nursery, name: str, cpu_share: float
) -> Candidate:
    candidate = cluster.spawn(nursery, name)
    if candidate.campaign is not None:
        candidate.campaign.cpu_share = cpu_share
    return candidate


async def _store_fastest(cluster: Cluster, cpu_share: float) -> None:
    await cluster.restore_record(
        fastest_key(CELL), encode(FastestRecord(cpu_share))
    )


class _Owner:
    """A slow owner that compares itself with others, and what it did."""

    def __init__(self, peers: Sequence[PeerAddress]) -> None:
        """Begin a tenure among ``peers``, of which those there answer."""
        self.there = set(peers)
        self.given_way_count = 0
        self.is_store_reachable = True
        self.handed_over_s: float | None = None
        self.store = PollingMemoryStore()
        self.stronger = StrongerEntries(
            store=self.store,
            cell=CELL,
            ownership_guard=Guard('absent', 0),
            cpu_share=_SLOW,
            owned_since_s=0,
            peers=lambda: peers,
            stored_cpu_share=float,
            given_way_count=lambda: self.given_way_count,
            is_store_reachable=lambda: self.is_store_reachable,
            hand_over=self._hand_over,
            ask=self._ask,
        )

    async def run_for(self, duration_s: float) -> None:
        with trio.move_on_after(duration_s):
            await self.stronger.run()

    async def _hand_over(self) -> None:
        await trio.lowlevel.checkpoint()
        self.handed_over_s = trio.current_time()

    async def _ask(self, peer: PeerAddress) -> PeerIdentity:
        await trio.lowlevel.checkpoint()
        if peer not in self.there:
            raise ConnectionRefusedError
        return PeerIdentity(peer.entry_id, Incarnation('1'), DataCentreId('dc'))


def _peer(cpu_share: float) -> PeerAddress:
    return PeerAddress(EntryId('other'), '10.0.0.2', 7, 'secret', cpu_share)


class StrongerEntriesTests(unittest.TestCase):
    """Guards against a cell that is kept from the entries that can carry it."""

    def test_faster_entry_is_late(self) -> None:
        """Guards against a small owner that was only the first to notice."""
        run_with_clock(self._faster_entry_is_late)

    def test_no_faster_entry_is_left(self) -> None:
        """Guards against a cell without an owner."""
        run_with_clock(self._no_faster_entry_is_left)

    def test_all_are_equal(self) -> None:
        """Guards against a wait where no entry is faster."""
        run_with_clock(self._all_are_equal)

    def test_faster_entry_is_there(self) -> None:
        """Guards against a slow owner that keeps the cell until it is late."""
        run_with_clock(self._faster_entry_is_there)

    def test_faster_entry_is_gone(self) -> None:
        """Guards against a cell that is given up to nobody."""
        run_with_clock(self._faster_entry_is_gone)

    def test_no_other_entry(self) -> None:
        """Guards against an error where an entry is alone."""
        run_with_clock(self._no_other_entry)

    def test_store_is_away(self) -> None:
        """Guards against a cell that is given up while nobody can take it."""
        run_with_clock(self._store_is_away)

    def test_given_way_in_vain(self) -> None:
        """Guards against owners that give the cell up again and again."""
        run_with_clock(self._given_way_in_vain)

    async def _faster_entry_is_late(self) -> None:
        async with open_cluster() as (cluster, nursery):
            await _store_fastest(cluster, _FAST)
            slow = _spawn(cluster, nursery, 'e1', _SLOW)
            await trio.sleep(_LATE_S)
            fast = _spawn(cluster, nursery, 'e2', _FAST)
            await cluster.wait_until(lambda: fast.cell is not None)
            await trio.sleep(_LONGEST_WAIT_S)
            self.assertEqual(0, slow.tenures_count)

    async def _no_faster_entry_is_left(self) -> None:
        async with open_cluster() as (cluster, nursery):
            await _store_fastest(cluster, _FAST)
            slow = _spawn(cluster, nursery, 'e1', _SLOW)
            await cluster.wait_until(
                lambda: slow.cell is not None, limit_s=_LONGEST_WAIT_S
            )

    async def _all_are_equal(self) -> None:
        async with open_cluster() as (cluster, nursery):
            await _store_fastest(cluster, _SLOW)
            slow = _spawn(cluster, nursery, 'e1', _SLOW)
            await cluster.wait_until(
                lambda: slow.cell is not None, limit_s=_PROMPT_S
            )

    async def _faster_entry_is_there(self) -> None:
        owner = _Owner([_peer(_FAST)])
        await owner.run_for(_LATE_S)
        self.assertIsNotNone(owner.handed_over_s)
        stored = await owner.store.read(fastest_key(CELL))
        self.assertIsNotNone(stored)
        if stored is not None:
            self.assertEqual(encode(FastestRecord(_FAST)), stored.body)

    async def _faster_entry_is_gone(self) -> None:
        owner = _Owner([_peer(_FAST)])
        owner.there.clear()
        await owner.run_for(_LATE_S)
        self.assertIsNone(owner.handed_over_s)

    async def _no_other_entry(self) -> None:
        owner = _Owner([])
        await owner.run_for(_LATE_S)
        self.assertIsNone(owner.handed_over_s)
        self.assertIsNotNone(await owner.store.read(fastest_key(CELL)))

    async def _store_is_away(self) -> None:
        owner = _Owner([_peer(_FAST)])
        owner.is_store_reachable = False
        await owner.run_for(_LATE_S)
        self.assertIsNone(owner.handed_over_s)

    async def _given_way_in_vain(self) -> None:
        owner = _Owner([_peer(_FAST)])
        owner.given_way_count = 2
        await owner.run_for(15)
        self.assertIsNone(owner.handed_over_s)
        await owner.run_for(15)
        self.assertIsNotNone(owner.handed_over_s)
