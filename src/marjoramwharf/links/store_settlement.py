"""Commits whose outcome is determined even if the store's answer is lost.

Example:
    outcome = await commit_and_settle(
        store,
        [Guard(key, 0)],
        [Write(key, body_with_nonce)],
        urgency=Urgency.CLAIM,
    )
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

from marjoramwharf.errors import (
    StoreAnswerLost,
    StoreBudgetSpent,
    StoreUnavailable,
)
from marjoramwharf.links.store import (
    Committed,
    Conflict,
    Guard,
    Store,
    StoredValue,
    Urgency,
    Write,
)

_MAX_SETTLE_ROUNDS = 3


@enum.unique
class _KeyState(enum.Enum):
    """State of the written keys when none of them has the commit's body."""

    UNTOUCHED = 'untouched'
    CREATED_BY_ANOTHER = 'created_by_another'
    CHANGED = 'changed'


async def commit_and_settle(
    store: Store,
    guards: Sequence[Guard],
    writes: Sequence[Write],
    *,
    urgency: Urgency,
) -> Committed | Conflict:
    """Commit; if the answer is lost, read the keys back to get the outcome.

    Each written body must contain a nonce, so that an equal body proves that
    this commit was applied. After a lost answer:

    - A written key has the body of this commit: ``Committed``.
    - Another writer created a key that the guards require to be absent:
      ``Conflict``.
    - All written keys are as the guards require: the commit is not applied
      yet, but the call may still be in flight. The same commit is sent again;
      since each key is guarded, at most one of the two is applied. If the
      second one conflicts and the keys are still untouched, a guard on some
      other key has changed for good: ``Conflict``.

    ``StoreAnswerLost`` is raised in all other cases, for instance if another
    writer replaced the value, which may have been that of this commit, and if
    the store fails meanwhile. A key that is deleted after its commit looks as
    if it had never been written, so writers that delete keys also need a
    guard on another record that changes with the writer.
    """
    try:
        return await store.commit(guards, writes, urgency=urgency)
    except StoreAnswerLost as lost:
        failure = lost
    try:
        return await _settle(store, guards, writes, urgency)
    except (StoreUnavailable, StoreBudgetSpent, StoreAnswerLost) as cause:
        # These failures say that nothing was applied, which is true only of
        # the calls made to settle the commit, not of the commit itself.
        raise failure from cause


async def _settle(
    store: Store,
    guards: Sequence[Guard],
    writes: Sequence[Write],
    urgency: Urgency,
) -> Committed | Conflict:
    outcome: Committed | Conflict | None = None
    for _ in range(_MAX_SETTLE_ROUNDS):
        key_state = await _read_back(store, guards, writes)
        if isinstance(key_state, Committed):
            return key_state
        _check_repeatable(key_state, guards, writes)
        if key_state is _KeyState.CREATED_BY_ANOTHER or outcome == Conflict():
            return Conflict()
        try:
            outcome = await store.commit(guards, writes, urgency=urgency)
        except StoreAnswerLost:
            outcome = None
        if isinstance(outcome, Committed):
            return outcome
    raise StoreAnswerLost(
        message='the outcome is still unknown after repeated commits',
    )


def _check_repeatable(
    key_state: _KeyState,
    guards: Sequence[Guard],
    writes: Sequence[Write],
) -> None:
    """Raise ``StoreAnswerLost`` if a repeated commit could apply twice."""
    guarded = {guard.key for guard in guards}
    is_guarded = all(write.key in guarded for write in writes)
    if key_state is _KeyState.CHANGED:
        raise StoreAnswerLost(
            message='another writer changed a key of the commit'
        )
    if key_state is _KeyState.UNTOUCHED and not is_guarded:
        raise StoreAnswerLost(message='a key of the commit has no guard')


async def _read_back(
    store: Store,
    guards: Sequence[Guard],
    writes: Sequence[Write],
) -> Committed | _KeyState:
    """Read the keys of a commit and return what they prove about it.

    The reads have the highest urgency and are never shed, because they
    resolve an unknown outcome.
    """
    required = {guard.key: guard.mod_revision for guard in guards}
    key_states = set()
    for write in writes:
        stored = await store.read(write.key, urgency=Urgency.OWNERSHIP)
        if stored is not None and write.body == stored.body:
            return Committed(stored.mod_revision)
        key_states.add(_compare(stored, required.get(write.key)))
    for key_state in (_KeyState.CREATED_BY_ANOTHER, _KeyState.CHANGED):
        if key_state in key_states:
            return key_state
    return _KeyState.UNTOUCHED


def _compare(stored: StoredValue | None, required: int | None) -> _KeyState:
    revision = 0 if stored is None else stored.mod_revision
    if required is None or revision == required:
        return _KeyState.UNTOUCHED
    if required == 0 and stored and stored.create_revision == revision:
        return _KeyState.CREATED_BY_ANOTHER
    return _KeyState.CHANGED
