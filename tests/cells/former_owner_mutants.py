"""Deliberate faults in what an owner concludes of the owners before it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.former_owner import FormerOwner
from marjoramwharf.cells.owner_succession import OwnerSuccession, SeenOwner
from marjoramwharf.cells.records import EntryRecord
from marjoramwharf.errors import Failure
from marjoramwharf.links.peer_messages import PeerIdentity

_ask_for_end = FormerOwner._ask_for_end


def _always(*_args: object, **_named: object) -> bool:
    return True


def _keep_all(*_args: object, **_named: object) -> None:
    """Forget no owner."""


async def _end_or_silence(self: FormerOwner, former: SeenOwner) -> float | None:
    try:
        return await _ask_for_end(self, former)
    except (OSError, Failure):
        return boot_s()


async def _goes_on_or_has_ended(
    self: FormerOwner, former: SeenOwner
) -> float | None:
    """Take any answer of a former owner for one that its tenure ended."""
    await self.ask(former.record)
    return boot_s()


def _is_any_other_process(identity: PeerIdentity, record: EntryRecord) -> bool:
    return identity.incarnation != record.incarnation


def _forget_earlier_owners(
    self: FormerOwner, _former: SeenOwner, *, ended_s: float
) -> None:
    self._proven_until_s = ended_s


FORMER_OWNER_MUTANTS: Mapping[
    str, Callable[[], AbstractContextManager[Any]]
] = {
    'only a later process shows that a former owner has ended': lambda: patch(
        f'{FormerOwner.__module__}._is_later', _always
    ),
    'only the same entry shows that a former owner has ended': lambda: patch(
        f'{FormerOwner.__module__}._is_later', _is_any_other_process
    ),
    'silence does not show that a former owner has ended': lambda: patch.object(
        FormerOwner, '_ask_for_end', _end_or_silence
    ),
    'a former owner that answers may go on': lambda: patch.object(
        FormerOwner, '_ask_for_end', _goes_on_or_has_ended
    ),
    'owners before one that has ended are waited for': lambda: patch.object(
        FormerOwner, '_record_end', _forget_earlier_owners
    ),
    'an owner may have come and gone in a gap of a watch': lambda: patch.object(
        OwnerSuccession, 'keep_only', _keep_all
    ),
}
