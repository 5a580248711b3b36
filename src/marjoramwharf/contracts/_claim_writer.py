"""A writer of claims that puts waiting writes into one commit."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import msgspec
import trio

from marjoramwharf.contracts._claim_lease import BucketLease
from marjoramwharf.contracts.claim_values import (
    Claim,
    ClaimExists,
    ClaimHeld,
    ClaimOutcome,
    ClaimRecord,
    ClaimWithdrawn,
    decode_claim,
)
from marjoramwharf.errors import Failure, StoreAnswerLost, StoreUnavailable
from marjoramwharf.links.store import Conflict, Guard, Store, Urgency, Write

# The platform's store allows at least 128 operations in one transaction, and
# each write has a guard.
_MAX_GROUP_COUNT = 64
_MAX_GROUP_BYTES = 500_000
# Completions beyond this are dropped; the worker still has their answers.
_MAX_COMPLETIONS_COUNT = 1_024
_MAX_TRIES_COUNT = 2
_RETRY_INTERVAL_S = 0.5


@dataclass(slots=True, eq=False)
class PendingWrite:
    """A queued write; revision 0 creates, a ``None`` record deletes a claim."""

    key: str
    revision: int
    record: ClaimRecord | None
    is_urgent: bool
    done: trio.Event = field(default_factory=trio.Event)
    outcome: ClaimOutcome | Failure | None = None
    body: bytes | None = field(default=None, init=False)

    def __post_init__(self) -> None:
        """Encode the record; the writer also needs its size."""
        if self.record is not None:
            self.body = msgspec.msgpack.encode(self.record)

    def resolve(self, outcome: ClaimOutcome | Failure) -> None:
        """Set the outcome and wake the caller."""
        self.outcome = outcome
        self.done.set()


class ClaimWriter:
    """Queues writes of claims and commits them in groups.

    An urgent write has a waiting caller. A completion stores the answer of a
    call in the background, and is retried after a failure.
    """

    def __init__(
        self,
        store: Store,
        lease: BucketLease,
        clock: Callable[[], float],
    ) -> None:
        """Start with empty queues; ``clock`` returns monotonic seconds.

        The claims are written under ``lease``.
        """
        self._store = store
        self._lease = lease
        self._clock = clock
        self._urgent: deque[PendingWrite] = deque()
        self._completions: deque[PendingWrite] = deque()
        self._write_added = trio.Event()
        self._drained = trio.Event()
        self._drained.set()

    async def wait_until_drained(self) -> None:
        """Wait until both queues are empty."""
        await self._drained.wait()

    def add(self, pending: PendingWrite) -> bool:
        """Queue a write; return ``False`` for a completion if too many wait."""
        queue = self._urgent if pending.is_urgent else self._completions
        if queue is self._completions and len(queue) >= _MAX_COMPLETIONS_COUNT:
            return False
        queue.append(pending)
        if self._drained.is_set():
            self._drained = trio.Event()
        self._write_added.set()
        return True

    async def read(self, key: str) -> Claim | None:
        """Read a claim, if there is one."""
        stored = await self._store.read(key, urgency=Urgency.CLAIM)
        return None if stored is None else decode_claim(stored)

    async def run(self) -> None:
        """Write queued claims until cancelled."""
        while True:
            write_added = self._write_added
            with trio.move_on_after(
                _RETRY_INTERVAL_S if self._completions else math.inf,
            ):
                await write_added.wait()
            self._write_added = trio.Event()
            await self._write_queued()

    async def _write_queued(self) -> None:
        while self._urgent or self._completions:
            is_committed = await self._write_next()
            if not is_committed and not self._urgent:
                return
        self._drained.set()

    async def _write_next(self) -> bool:
        """Write one group; return false if a completion has to be retried.

        Failed completions go back to the head of their queue.
        """
        group = self._next_group()
        await self._commit_group(group)
        failed = [
            pending
            for pending in group
            if isinstance(pending.outcome, Failure) and not pending.is_urgent
        ]
        for pending in reversed(failed):
            pending.outcome = None
            self._completions.appendleft(pending)
        return not failed

    def _next_group(self) -> list[PendingWrite]:
        """Take queued writes, one for each key, within the store's limits."""
        group: list[PendingWrite] = []
        for queue in (self._urgent, self._completions):
            while queue and _can_join(queue[0], group):
                group.append(queue.popleft())
        return group

    async def _commit_group(self, group: Sequence[PendingWrite]) -> None:
        try:
            revision = await self._commit(group)
        except StoreAnswerLost:
            revision = None
        except Failure as failure:
            self._lease.mark_suspect()
            for pending in group:
                pending.resolve(failure)
            return
        if revision is not None:
            for pending in group:
                pending.resolve(_outcome_of_commit(pending, revision))
            return
        # A conflict or a lost answer of a group does not tell which of its
        # writes are affected.
        for pending in group:
            await self._commit_alone(pending)

    async def _commit_alone(self, pending: PendingWrite) -> None:
        """Write one claim; an earlier try may already have been applied."""
        try:
            pending.resolve(await self._write_and_verify(pending))
        except Failure as failure:
            pending.resolve(failure)

    async def _write_and_verify(self, pending: PendingWrite) -> ClaimOutcome:
        """Write a claim and read it back, since an answer may be lost."""
        for _ in range(_MAX_TRIES_COUNT):
            found = await self.read(pending.key)
            if _revision(found) != pending.revision:
                return _outcome_of_read(pending, found)
            with suppress(StoreAnswerLost):
                await self._commit((pending,))
        found = await self.read(pending.key)
        if _revision(found) == pending.revision:
            raise StoreUnavailable(message='the claim was not written')
        return _outcome_of_read(pending, found)

    async def _commit(self, group: Sequence[PendingWrite]) -> int | None:
        """Commit a group; return the revision, or ``None`` on a conflict."""
        lease = await self._lease.current(self._clock())
        outcome = await self._store.commit(
            [Guard(pending.key, pending.revision) for pending in group],
            [
                Write(
                    pending.key,
                    pending.body,
                    None if pending.record is None else lease,
                )
                for pending in group
            ],
            urgency=Urgency.CLAIM,
        )
        return None if isinstance(outcome, Conflict) else outcome.revision


def _can_join(pending: PendingWrite, group: Sequence[PendingWrite]) -> bool:
    """Tell whether a write fits into a group with one write for each key."""
    if not group:
        return True
    sizes_bytes = [len(other.body or b'') for other in (*group, pending)]
    return (
        len(group) < _MAX_GROUP_COUNT
        and sum(sizes_bytes) <= _MAX_GROUP_BYTES
        and all(other.key != pending.key for other in group)
    )


def _revision(claim: Claim | None) -> int:
    return 0 if claim is None else claim.revision


def _outcome_of_commit(pending: PendingWrite, revision: int) -> ClaimOutcome:
    if pending.record is None:
        return ClaimWithdrawn()
    return ClaimHeld(Claim(pending.key, pending.record, revision))


def _outcome_of_read(
    pending: PendingWrite, found: Claim | None
) -> ClaimOutcome:
    if found is None:
        return ClaimWithdrawn()
    if pending.record and found.record.writer == pending.record.writer:
        return ClaimHeld(found)
    return ClaimExists(found)
