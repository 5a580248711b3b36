"""What an entry takes for a proof that an owner's process has ended."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial

import trio

from marjoramwharf.cells.owner_link import OwnerLink
from marjoramwharf.cells.ownership import KnownOwner, OwnerView
from marjoramwharf.cells.records import EntryRecord
from marjoramwharf.ids import DataCentreId, EntryId, Incarnation
from marjoramwharf.links.http_server import open_listener
from marjoramwharf.links.peer_messages import PeerIdentity
from marjoramwharf.links.peer_server import PeerServer
from tests.cells.world import CELL

_SECRET = 'a-secret-of-16-bytes'
_HOST = '127.0.0.1'


def _identity(name: str) -> PeerIdentity:
    return PeerIdentity(EntryId(name), Incarnation('i'), DataCentreId('dc'))


@dataclass
class _Owner:
    """An owner that listens, and the link of another entry to it."""

    listener: trio.SocketListener
    nursery: trio.Nursery
    gone: list[KnownOwner] = field(default_factory=list)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def follow(self) -> None:
        """Let another entry keep a connection to the owner."""
        port = self.listener.socket.getsockname()[1]
        record = EntryRecord('owner', _HOST, port, _SECRET)
        view = OwnerView({CELL: KnownOwner(record, 7)})
        link = OwnerLink(
            view,
            CELL,
            _identity('other'),
            0.3,
            self.gone.append,
        )
        self.nursery.start_soon(link.run)

    async def serve(self, secret: str) -> None:
        """Answer peers that know a secret."""
        server = PeerServer({}, identity=_identity('owner'), secret=secret)
        with self.scope:
            await trio.serve_listeners(server.serve, [self.listener])

    async def wait_gone(self) -> None:
        """Wait until the owner is taken for gone."""
        with trio.fail_after(5):
            while not self.gone:
                await trio.sleep(0.02)


@asynccontextmanager
async def _owner() -> AsyncIterator[_Owner]:
    listener = await open_listener(_HOST, 0)
    async with trio.open_nursery() as nursery:
        yield _Owner(listener, nursery)
        nursery.cancel_scope.cancel()


class OwnerLinkTests(unittest.TestCase):
    """Guards against a cell without an owner until a lease lapses."""

    def test_process_ends(self) -> None:
        """Guards against a killed owner that counts as alive."""
        trio.run(self._process_ends)

    def test_another_process_answers(self) -> None:
        """Guards against a restarted process that is taken for the owner."""
        trio.run(self._another_process)

    def test_silence_is_no_proof(self) -> None:
        """Guards against a take-over from an owner that is only cut off."""
        trio.run(self._silence)

    async def _process_ends(self) -> None:
        async with _owner() as owner:
            owner.nursery.start_soon(partial(owner.serve, _SECRET))
            owner.follow()
            await trio.sleep(0.2)
            self.assertFalse(owner.gone)
            owner.scope.cancel()
            await owner.listener.aclose()
            await owner.wait_gone()
            self.assertEqual(7, owner.gone[0].revision)

    async def _another_process(self) -> None:
        async with _owner() as owner:
            owner.nursery.start_soon(partial(owner.serve, 'of a later process'))
            owner.follow()
            await owner.wait_gone()

    async def _silence(self) -> None:
        async with _owner() as owner:
            # Connections wait in the queue of the listener for ever.
            owner.follow()
            await trio.sleep(2.5)
            self.assertFalse(owner.gone)
