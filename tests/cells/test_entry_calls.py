"""Calls that another entry executes for one whose own path is cut off."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from dataclasses import dataclass

import trio

from marjoramwharf.cells.advice import Advice
from marjoramwharf.cells.entry_calls import EntryCallHandler, ask_no_peer
from marjoramwharf.cells.intake import Intake
from marjoramwharf.cells.owner_link import OwnerLink
from marjoramwharf.cells.ownership import OwnerView
from marjoramwharf.cells.routed_advice import RoutedAdviceClient
from marjoramwharf.errors import AdviceUnavailable, PeerUnreachable
from marjoramwharf.ids import DataCentreId, EntryId, Incarnation, WorkerId
from marjoramwharf.links.peer_messages import Message, PeerIdentity
from standins.polling_store import PollingMemoryStore
from tests.cells.cluster import CELL, run_with_clock

_WORKERS = (WorkerId('w1'), WorkerId('w2'))
_TIMEOUT_S = 1.0


@dataclass
class _AdviceService:
    """The advice service as seen by one entry."""

    is_reachable: bool = True
    calls_count: int = 0

    async def advise(
        self, step: str, workers: Sequence[WorkerId], *, timeout_s: float
    ) -> Advice:
        """Give a ticket for each worker."""
        await trio.sleep(0)
        self.calls_count += 1
        if not self.is_reachable:
            raise AdviceUnavailable(message='no connection')
        return Advice(dict.fromkeys(workers, f'for {step}'), 2_000)


async def _count_nothing(_queue: str) -> int:
    await trio.lowlevel.checkpoint()
    raise PeerUnreachable(message='not connected to the owner')


async def _count_seven(_queue: str) -> int:
    await trio.lowlevel.checkpoint()
    return 7


class AdviceTests(unittest.TestCase):
    """Guards against jobs that wait for advice other entries can get."""

    def setUp(self) -> None:
        """Set up an entry and another one, which see the same service."""
        self.own = _AdviceService()
        self.other = _AdviceService()
        handler = EntryCallHandler(self.other, _count_nothing)

        async def ask_peer(call: Message, _timeout_s: float) -> Message:
            return await handler.answer(call)

        self.client = RoutedAdviceClient(self.own, ask_peer, CELL)

    def test_own_path_is_cut(self) -> None:
        """Guards against asking by the entry's own path only."""
        run_with_clock(self._own_path_is_cut)

    def test_no_path_is_left(self) -> None:
        """Guards against a failure of another kind than without a route."""
        run_with_clock(self._no_path_is_left)

    async def _own_path_is_cut(self) -> None:
        self.own.is_reachable = False
        for _ in range(10):
            self.assertEqual(
                Advice(dict.fromkeys(_WORKERS, 'for a.0'), 2_000),
                await self._advise(),
            )
        self.assertEqual(1, self.own.calls_count)
        self.own.is_reachable = True
        await trio.sleep(5)
        await self._advise()
        self.assertEqual(10, self.other.calls_count)

    async def _no_path_is_left(self) -> None:
        self.own.is_reachable = False
        self.other.is_reachable = False
        for _ in range(3):
            with self.assertRaises(AdviceUnavailable):
                await self._advise()
        self.assertEqual(3, self.own.calls_count)

    async def _advise(self) -> Advice:
        return await self.client.advise('a.0', _WORKERS, timeout_s=_TIMEOUT_S)


class CountTests(unittest.TestCase):
    """Guards against a count that is refused though another entry knows it."""

    def test_owner_is_out_of_reach(self) -> None:
        """Guards against asking the owner by the entry's own path only."""
        run_with_clock(self._owner_is_out_of_reach)

    async def _owner_is_out_of_reach(self) -> None:
        handler = EntryCallHandler(None, _count_seven)

        async def ask_peer(call: Message, _timeout_s: float) -> Message:
            return await handler.answer(call)

        intake = self._make_intake()
        intake.ask_peer = ask_peer
        self.assertEqual(7, await intake.waiting_count('recipes'))
        with self.assertRaises(PeerUnreachable):
            await intake.count_at_owner('recipes')
        intake.ask_peer = ask_no_peer
        with self.assertRaises(PeerUnreachable):
            await intake.waiting_count('recipes')

    def _make_intake(self) -> Intake:
        identity = PeerIdentity(
            EntryId('e1'), Incarnation('1'), DataCentreId('ruse')
        )
        link = OwnerLink(OwnerView(), CELL, identity, 0.3)
        return Intake(PollingMemoryStore(), CELL, link, lambda: None)
