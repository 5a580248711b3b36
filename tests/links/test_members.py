"""Membership: expired leases, outages, leaving and replaced entries."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import msgspec
import trio
from trio.testing import MockClock

from marjoramwharf.errors import EntryReplaced
from marjoramwharf.ids import DataCentreId, EntryId, Incarnation
from marjoramwharf.links.etcd import open_store
from marjoramwharf.links.members import (
    PREFIX,
    Member,
    MemberState,
    MemberView,
    Registration,
)
from marjoramwharf.links.resilient_store import ResilientStore
from marjoramwharf.links.store import Write
from marjoramwharf.settings import StoreSettings
from standins.kv_state import KeyValueState
from standins.memory_store import MemoryStore
from standins.serving import serve_app
from standins.store import Faults, StoreStandin

_TTL_S = 6
_ID = EntryId('entry-1')

_Check = Callable[[trio.Nursery], Awaitable[None]]


def _member(incarnation: str) -> Member:
    return Member(
        entry_id=_ID,
        incarnation=Incarnation(incarnation),
        data_centre=DataCentreId('dc-1'),
        host='127.0.0.1',
        peer_port=9001,
        http_port=8001,
    )


class MembersTests(unittest.TestCase):
    """Guards against a view with missing or outdated entries."""

    def setUp(self) -> None:
        """Start with an empty store."""
        self.state = KeyValueState()
        self.store = MemoryStore(self.state)

    def test_idle_entry_stays_registered(self) -> None:
        """Guards against a lease that expires while the entry runs."""
        self._run(self._keeps_registered)

    def test_lost_lease_is_replaced(self) -> None:
        """Guards against an entry that stays unregistered.

        Its lease expired, for instance during an outage of the store.
        """
        self._run(self._lease_lost)

    def test_view_outlives_an_outage(self) -> None:
        """Guards against an empty view while the store is down."""
        self._run(self._outage)

    def test_leaving_is_published_at_once(self) -> None:
        """Guards against work sent to an entry that is already leaving.

        The state has to be written at once, not at the next keep-alive.
        """
        self._run(self._leaving)

    def test_lost_answer_is_settled(self) -> None:
        """Guards against a conflict of a registration with its own record.

        The answer to its write was lost, but the write was applied.
        """
        self._run(self._lost_answer)

    def test_successor_is_not_overwritten(self) -> None:
        """Guards against a paused process that overwrites its successor."""
        with self.assertRaises(ExceptionGroup) as raised:
            self._run(self._replaced)
        self.assertIsNotNone(raised.exception.subgroup(EntryReplaced))

    def test_malformed_record_is_left_out(self) -> None:
        """Guards against a malformed record that stops the view."""
        self.state.apply([Write(f'{PREFIX}entry-0', b'{"entry_id": 1}')])
        self._run(self._keeps_registered)

    def _run(self, check: _Check) -> None:
        async def main() -> None:
            with trio.fail_after(1_000):
                async with trio.open_nursery() as nursery:
                    await check(nursery)
                    nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    async def _keeps_registered(self, nursery: trio.Nursery) -> None:
        view = await self._start(nursery)
        first = self.state.revision
        await trio.sleep(_TTL_S * 5)
        self.assertEqual(view.live(), (_member('a'),))
        self.assertEqual(self.state.revision, first)

    async def _lease_lost(self, nursery: trio.Nursery) -> None:
        view = await self._start(nursery)
        self.state.expire_all_leases()
        self.assertEqual(self.state.values_below(PREFIX), ())
        await trio.sleep(_TTL_S)
        self.assertEqual(len(self.state.values_below(PREFIX)), 1)
        self.assertEqual(view.live(), (_member('a'),))

    async def _outage(self, nursery: trio.Nursery) -> None:
        view = await self._start(nursery)
        self.store.is_down = True
        await trio.sleep(_TTL_S * 3)
        self.assertEqual(view.live(), (_member('a'),))
        self.store.is_down = False
        await trio.sleep(_TTL_S)
        self.assertEqual(len(self.state.values_below(PREFIX)), 1)
        self.assertEqual(view.live(), (_member('a'),))

    async def _leaving(self, nursery: trio.Nursery) -> None:
        registration = Registration(self.store, _member('a'), ttl_s=_TTL_S)
        view = MemberView(self.store)
        await nursery.start(registration.run)
        await nursery.start(view.run)
        registration.mark_leaving()
        await view.wait_change()
        self.assertEqual(view.live(), ())
        self.assertEqual(view.known()[0].state, MemberState.LEAVING)
        await registration.deregister()
        await trio.sleep(_TTL_S)
        self.assertIsNone(view.find(_ID))

    async def _lost_answer(self, nursery: trio.Nursery) -> None:
        self.store.answers_to_lose = 1
        await self._start(nursery)
        self.assertEqual(self.store.writes_count, 1)

    async def _replaced(self, nursery: trio.Nursery) -> None:
        await self._start(nursery)
        self.state.expire_all_leases()
        successor = Registration(
            MemoryStore(self.state),
            _member('b'),
            ttl_s=_TTL_S,
        )
        await nursery.start(successor.run)
        await trio.sleep(_TTL_S)

    async def _start(self, nursery: trio.Nursery) -> MemberView:
        registration = Registration(self.store, _member('a'), ttl_s=_TTL_S)
        view = MemberView(self.store)
        await nursery.start(registration.run)
        await nursery.start(view.run)
        return view


class MembersOverHttpTests(unittest.TestCase):
    """Guards against membership that works only with the in-memory store."""

    def test_registration_survives_faults(self) -> None:
        """Guards against changes that are lost when a watch reconnects."""
        trio.run(self._faults)

    async def _faults(self) -> None:
        standin = StoreStandin()
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                url = await nursery.start(serve_app, standin.app)
                settings = StoreSettings(url=url, timeout_ms=5_000)
                async with open_store(settings) as store:
                    guarded = ResilientStore(store, settings)
                    await self._check(guarded, standin, nursery)
                    nursery.cancel_scope.cancel()

    async def _check(
        self,
        store: ResilientStore,
        standin: StoreStandin,
        nursery: trio.Nursery,
    ) -> None:
        view = MemberView(store)
        await nursery.start(view.run)
        registration = Registration(store, _member('a'), ttl_s=1)
        await nursery.start(registration.run)
        standin.set_faults(Faults(drop_watches=True, expire_leases=True))
        while not standin.state.values_below(PREFIX):
            await trio.sleep(0.01)
        # Once the view has this record, it has seen all earlier changes.
        marker = msgspec.structs.replace(_member('m'), entry_id='marker')
        body = msgspec.json.encode(marker)
        standin.state.apply([Write(f'{PREFIX}marker', body)])
        standin.notify_watches()
        while view.find(EntryId('marker')) is None:
            await view.wait_change()
        self.assertEqual(view.live(), (_member('a'), marker))
        self.assertEqual(store.counters.watches_count, 1)
