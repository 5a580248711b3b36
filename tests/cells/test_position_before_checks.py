"""Two changes of the owner in a row, with a check in between that isn't done."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import trio

from marjoramwharf.errors import StoreUnavailable
from tests.cells.unlisting import UNLISTED, Scene, play

_READ_HISTORY = 'marjoramwharf.cells.unlisted_checks.read_history'

# The second owner has stored by now how far it has followed the list.
_POSITION_STORED_S = 6.0


class PositionBeforeChecksTests(unittest.TestCase):
    """Guards against a listing that no owner reads, as the first skips it."""

    def test_owner_changes_before_the_check(self) -> None:
        """Guards against a start at a worker that has said it drains."""
        play(self._owner_changes)

    async def _owner_changes(self, scene: Scene) -> None:
        scene.kill_owner()
        await scene.cluster.drain_worker(UNLISTED)
        scene.cluster.unlist(UNLISTED)
        refused = StoreUnavailable(message='over the limit of reads')
        with patch(_READ_HISTORY, side_effect=refused):
            await scene.spawn_owner()
            await trio.sleep(_POSITION_STORED_S)
        await scene.replace_owner()
        await scene.check_unused()
