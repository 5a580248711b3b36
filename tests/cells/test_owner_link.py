"""Detection that the process of an owner has ended."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial

import trio

from marjoramwharf.cells.owner_link import OwnerLink
from marjoramwharf.cells.owner_view import CurrentOwner, OwnerView
from marjoramwharf.cells.records import EntryRecord
from marjoramwharf.ids import DataCentreId, EntryId, Incarnation
from marjoramwharf.links.http_server import open_listener
from marjoramwharf.links.peer_messages import PeerIdentity
from marjoramwharf.links.peer_server import PeerServer
from tests.cells.cluster import CELL

_SECRET = 'a-secret-of-16-bytes'
_HOST = '127.0.0.1'


def _identity(name: str) -> PeerIdentity:
    return PeerIdentity(EntryId(name), Incarnation('i'), DataCentreId('dc'))


@dataclass
class _Owner:
    """A listening owner, and the link of another entry to it."""

    listener: trio.SocketListener
    nursery: trio.Nursery
    ended_owners: list[CurrentOwner] = field(default_factory=list)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def follow(self) -> None:
        """Start the link of another entry to the owner."""
        port = self.listener.socket.getsockname()[1]
        record = EntryRecord('owner', _HOST, port, _SECRET)
        view = OwnerView({CELL: CurrentOwner(record, 7)})
        link = OwnerLink(
            view,
            CELL,
            _identity('other'),
            0.3,
            self.ended_owners.append,
        )
        self.nursery.start_soon(link.run)

    async def serve(self, secret: str) -> None:
        """Answer the peers that use this secret."""
        server = PeerServer({}, identity=_identity('owner'), secret=secret)
        with self.scope:
            await trio.serve_listeners(server.serve, [self.listener])

    async def wait_until_ended(self) -> None:
        """Wait until the link reports that the owner has ended."""
        with trio.fail_after(5):
            while not self.ended_owners:
                await trio.sleep(0.02)


@asynccontextmanager
async def _open_owner() -> AsyncIterator[_Owner]:
    listener = await open_listener(_HOST, 0)
    async with trio.open_nursery() as nursery:
        yield _Owner(listener, nursery)
        nursery.cancel_scope.cancel()


class OwnerLinkTests(unittest.TestCase):
    """Guards against a cell that has no owner until a lease lapses."""

    def test_process_ends(self) -> None:
        """Guards against a killed owner that is considered alive."""
        trio.run(self._process_ends)

    def test_another_process_answers(self) -> None:
        """Guards against a restarted process that is considered the owner."""
        trio.run(self._another_process_answers)

    def test_silence_is_no_proof(self) -> None:
        """Guards against replacing an owner that is only unreachable."""
        trio.run(self._silence_is_no_proof)

    async def _process_ends(self) -> None:
        async with _open_owner() as owner:
            owner.nursery.start_soon(partial(owner.serve, _SECRET))
            owner.follow()
            await trio.sleep(0.2)
            self.assertFalse(owner.ended_owners)
            owner.scope.cancel()
            await owner.listener.aclose()
            await owner.wait_until_ended()
            self.assertEqual(7, owner.ended_owners[0].revision)

    async def _another_process_answers(self) -> None:
        async with _open_owner() as owner:
            owner.nursery.start_soon(partial(owner.serve, 'of a later process'))
            owner.follow()
            await owner.wait_until_ended()

    async def _silence_is_no_proof(self) -> None:
        async with _open_owner() as owner:
            # Nobody accepts, so connections wait in the queue of the listener.
            owner.follow()
            await trio.sleep(2.5)
            self.assertFalse(owner.ended_owners)
