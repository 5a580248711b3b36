"""Until when former owners of a cell may extend the leases of runs.

One that is alive may not have noticed its successor, and goes on until its own
lease has certainly expired. One whose process has ended extends nothing more.
That its address refuses connections doesn't show this, since the path may be
at fault. It shows once another process of the same entry listens there, which
is only possible when the earlier one is gone. One that is alive and has noticed
tells when its tenure ended.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.owner_succession import OwnerSuccession, SeenOwner
from marjoramwharf.cells.ownership import Tenure
from marjoramwharf.cells.records import EntryRecord
from marjoramwharf.cells.tenure_end import last_extension_s
from marjoramwharf.errors import Failure
from marjoramwharf.links.peer_client import fetch_identity
from marjoramwharf.links.peer_messages import PeerIdentity
from marjoramwharf.links.tcp import open_stream
from marjoramwharf.logs import part_logger

_LOG = part_logger('owner')

_ATTEMPT_INTERVAL_S = 0.25
_ATTEMPT_TIMEOUT_S = 0.5

# Returns who answers at the address of a record; raises ``OSError`` or a
# ``Failure`` if nobody does.
AskIdentity = Callable[[EntryRecord], Awaitable[PeerIdentity]]

# Returns how long ago the tenure with a fence could last extend leases, ``None``
# if it goes on or isn't told.
AskTenureEnd = Callable[[EntryRecord, int], Awaitable[float | None]]


async def ask_identity(record: EntryRecord) -> PeerIdentity:
    """Ask the process at the address of an entry who it is."""
    return await fetch_identity(partial(open_stream, record.host, record.port))


@dataclass(slots=True, eq=False)
class FormerOwner:
    """Finds out whether the process of the owner before a tenure has ended.

    An owner without knowledge of its successor may extend leases for
    ``unnoticed_s`` after that one's record was written: its own lease, and then
    ``hold_after_expiry_s`` without one. ``own_former`` is the latest tenure of
    this process.
    """

    tenure: Tenure
    succession: OwnerSuccession
    unnoticed_s: float
    hold_after_expiry_s: float
    own_former: Tenure | None
    ask_tenure_end: AskTenureEnd
    ask: AskIdentity = ask_identity
    _proven_until_s: float = math.inf

    async def run(self) -> None:
        """Ask at the former owner's address while the answer may matter."""
        while boot_s() < self.may_extend_until_s():
            former = self.succession.before(
                self.tenure.cell, self.tenure.revision
            )
            if former is not None and await self._find_end(former):
                return
            await trio.sleep(_ATTEMPT_INTERVAL_S)

    async def _find_end(self, former: SeenOwner) -> bool:
        ended_s = await self._end_of(former)
        if ended_s is not None:
            self._record_end(former, ended_s=ended_s)
        return ended_s is not None

    async def _end_of(self, former: SeenOwner) -> float | None:
        """Return a time at which a former owner had ended, if that is known."""
        own = self.own_former
        if own is not None and own.revision == former.revision:
            return last_extension_s(own, self.hold_after_expiry_s)
        with trio.move_on_after(_ATTEMPT_TIMEOUT_S):
            try:
                return await self._ask_for_end(former)
            except (OSError, Failure) as failure:
                _LOG.debug('former owner not asked', error=repr(failure))
        return None

    async def _ask_for_end(self, former: SeenOwner) -> float | None:
        """Ask at the former owner's address; raises if nobody answers."""
        identity = await self.ask(former.record)
        if _is_later(identity, former.record):
            return boot_s()
        if identity.incarnation != former.record.incarnation:
            return None
        age_s = await self.ask_tenure_end(former.record, former.revision)
        # The answer was given before now, so the end was no later than this.
        return None if age_s is None else boot_s() - age_s

    def may_extend_until_s(self) -> float:
        """Return until when any former owner may extend leases of runs.

        The store may have taken its record away before its lease lapsed, and
        another entry may have replaced it, without its knowledge.
        """
        unnoticed_until_s = self.tenure.acquired_s + self.unnoticed_s
        return min(unnoticed_until_s, self._proven_until_s)

    def _record_end(self, former: SeenOwner, *, ended_s: float) -> None:
        """Wait only for the owners before one that has ended.

        These may not have noticed it, as it could have been for them.
        """
        self._proven_until_s = max(ended_s, former.seen_s + self.unnoticed_s)
        _LOG.info(
            'former owner ended',
            owner=former.record.entry_id,
            fence=former.revision,
            spared_s=round(
                self.tenure.acquired_s
                + self.unnoticed_s
                - self.may_extend_until_s(),
                3,
            ),
        )


def _is_later(identity: PeerIdentity, record: EntryRecord) -> bool:
    """Whether an answer comes from a later process of the same entry.

    Another entry at the address proves nothing: it may have been given away
    while the instance that had it is only cut off.
    """
    is_same_entry = identity.entry_id == record.entry_id
    return is_same_entry and identity.incarnation != record.incarnation
