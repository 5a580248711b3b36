"""Settlement of a commit whose answer was lost.

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

_SETTLE_ROUNDS = 3


@enum.unique
class _Trace(enum.Enum):
    """What the written keys show when none has the body of the commit."""

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
    """Commit, and find out what became of it if the answer was lost.

    Each body that is written must contain a nonce, so that an equal body
    proves that this commit took effect. After a lost answer:

    - a written key has our body: ``Committed``;
    - a key that our guards require to be absent was created by another
      writer: ``Conflict``;
    - all written keys are as our guards require: not applied so far, but the
      call may still be under way. The same commit is made again; since each
      key is guarded, at most one of the two takes effect. If it conflicts
      and the keys are still untouched, a guard on a further key has changed
      for good: ``Conflict``.

    In all other cases ``StoreAnswerLost`` is raised, for instance after
    another writer replaced the value, which may have been ours. The same
    holds if the store fails meanwhile. A key that is deleted after its
    commit looks as if it had never been written, so writers that delete keys
    guard on a further record that changes with the writer.
    """
    try:
        return await store.commit(guards, writes, urgency=urgency)
    except StoreAnswerLost as lost:
        failure = lost
    try:
        return await _settle(store, guards, writes, urgency)
    except (StoreUnavailable, StoreBudgetSpent, StoreAnswerLost) as cause:
        # These would claim that nothing was applied, which holds only for
        # the calls made during the settlement.
        raise failure from cause


async def _settle(
    store: Store,
    guards: Sequence[Guard],
    writes: Sequence[Write],
    urgency: Urgency,
) -> Committed | Conflict:
    outcome: Committed | Conflict | None = None
    for _ in range(_SETTLE_ROUNDS):
        verdict = await _read_back(store, guards, writes)
        if isinstance(verdict, Committed):
            return verdict
        _check_untouched(verdict, guards, writes)
        if verdict is _Trace.CREATED_BY_ANOTHER or outcome == Conflict():
            return Conflict()
        try:
            outcome = await store.commit(guards, writes, urgency=urgency)
        except StoreAnswerLost:
            outcome = None
        if isinstance(outcome, Committed):
            return outcome
    raise StoreAnswerLost(message='every answer was lost')


def _check_untouched(
    verdict: _Trace,
    guards: Sequence[Guard],
    writes: Sequence[Write],
) -> None:
    """Raise ``StoreAnswerLost`` where a repetition could apply twice."""
    guarded = {guard.key for guard in guards}
    is_guarded = all(write.key in guarded for write in writes)
    if verdict is _Trace.CHANGED:
        raise StoreAnswerLost(message='another writer changed a key')
    if verdict is _Trace.UNTOUCHED and not is_guarded:
        raise StoreAnswerLost(message='a written key has no guard')


async def _read_back(
    store: Store,
    guards: Sequence[Guard],
    writes: Sequence[Write],
) -> Committed | _Trace:
    """Judge a commit by its keys.

    The readings are never shed, since they end an unknown outcome.
    """
    required = {guard.key: guard.mod_revision for guard in guards}
    traces = set()
    for write in writes:
        stored = await store.read(write.key, urgency=Urgency.OWNERSHIP)
        if stored is not None and write.body == stored.body:
            return Committed(stored.mod_revision)
        traces.add(_trace(stored, required.get(write.key)))
    for trace in (_Trace.CREATED_BY_ANOTHER, _Trace.CHANGED):
        if trace in traces:
            return trace
    return _Trace.UNTOUCHED


def _trace(stored: StoredValue | None, required: int | None) -> _Trace:
    revision = 0 if stored is None else stored.mod_revision
    if required is None or revision == required:
        return _Trace.UNTOUCHED
    if required == 0 and stored and stored.create_revision == revision:
        return _Trace.CREATED_BY_ANOTHER
    return _Trace.CHANGED
