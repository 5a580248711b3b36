"""Deliberate faults in what an owner concludes of the owners before it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from marjoramwharf.cells.former_owner import FormerOwner
from marjoramwharf.cells.owner_succession import OwnerSuccession, SeenOwner
from marjoramwharf.cells.records import EntryRecord
from marjoramwharf.links.peer_messages import PeerIdentity

_has_ended = FormerOwner._has_ended


def _always(*_args: object, **_named: object) -> bool:
    return True


def _keep_all(*_args: object, **_named: object) -> None:
    """Forget no owner."""


async def _has_ended_or_is_silent(self: FormerOwner, former: SeenOwner) -> bool:
    answers: list[PeerIdentity] = []
    ask = self.ask

    async def ask_and_keep(record: EntryRecord) -> PeerIdentity:
        answers.append(await ask(record))
        return answers[0]

    with patch.object(self, 'ask', ask_and_keep):
        has_ended = await _has_ended(self, former)
    return has_ended or not answers


def _is_any_other_process(identity: PeerIdentity, record: EntryRecord) -> bool:
    return identity.incarnation != record.incarnation


def _forget_earlier_owners(
    self: FormerOwner, _former: SeenOwner, *, now_s: float
) -> None:
    self._proven_until_s = now_s


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
        FormerOwner, '_has_ended', _has_ended_or_is_silent
    ),
    'owners before one that has ended are waited for': lambda: patch.object(
        FormerOwner, '_record_end', _forget_earlier_owners
    ),
    'an owner may have come and gone in a gap of a watch': lambda: patch.object(
        OwnerSuccession, 'keep_only', _keep_all
    ),
}
