"""Durable state of one job shard: group commit, snapshots and recovery.

At most one write per shard is in flight. Proposals that arrive meanwhile are
queued and committed together in the next log entry. A proposal is a function
from the state to events; it is called when its entry is assembled, so that it
sees the effect of every earlier event.

Every write is conditional on the revision of the ownership record, so that the
store rejects the writes of a former owner.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

import trio
from msgspec import msgpack

from marjoramwharf.batch._journal_records import (
    LogEntry,
    entry_name,
    part_name,
    read_state,
    snapshot_name,
)
from marjoramwharf.batch.events import (
    Event,
    ShardState,
    UndoLog,
    apply_event,
)
from marjoramwharf.errors import (
    Failure,
    NotOwner,
    StoreAnswerLost,
    StoreBudgetSpent,
    StoreUnavailable,
)
from marjoramwharf.ids import ShardId, random_id
from marjoramwharf.links.store import (
    Conflict,
    Guard,
    Store,
    Urgency,
    Write,
)
from marjoramwharf.logs import part_logger

Proposal: TypeAlias = Callable[[ShardState], Sequence[Event]]

_LOG = part_logger('journal')

# Keeps an entry well below the store's limit of 1 MB for a value: the last
# proposal of a group may add a job of 256 KB.
_MAX_ENTRY_BYTES = 500_000

# The store allows 128 operations in a transaction by default.
_MAX_DELETES_COUNT = 100

_READ_BACK_PAUSE_S = 0.2
_RETRY_AFTER_S = 2.0


@dataclass(slots=True, eq=False)
class _PendingProposal:
    """A queued proposal; ``failure`` is set if its commit failed."""

    propose: Proposal
    settled: trio.Event = field(default_factory=trio.Event)
    is_taken: bool = False
    failure: Failure | None = None


class Journal:
    """The log and the snapshots of one shard under ``/jobs/<shard>/``.

    ``state`` includes the events of the write in flight; ``wait_until_durable``
    waits until that write is settled. ``run`` is the only writer.
    """

    def __init__(
        self,
        store: Store,
        shard: ShardId,
        *,
        owner: Guard,
        snapshot_part_bytes: int = 262_144,
        snapshot_after_entries_count: int = 200,
        commit_interval_s: float = 0,
        timeout_s: float = 5,
    ) -> None:
        """Create a journal; ``recover`` must be called before ``run``."""
        self.state = ShardState()
        self.is_ownership_lost = False
        self._store = store
        self._prefix = f'/jobs/{shard}/'
        self._ownership_guard = owner
        self._part_bytes = snapshot_part_bytes
        self._snapshot_after = snapshot_after_entries_count
        self._interval_s = commit_interval_s
        self._timeout_s = timeout_s
        self._last_seq = 0
        self._log_keys: list[str] = []
        self._snapshot_keys: list[str] = []
        self._queue: list[_PendingProposal] = []
        self._wake = trio.Event()
        self._writing: list[_PendingProposal] = []

    async def recover(self) -> None:
        """Load the state from the store with one call.

        Raises ``StoreUnavailable``, or ``JournalDamaged`` if a log entry is
        missing.
        """
        reading = await self._store.read_prefix(
            self._prefix,
            urgency=Urgency.OWNERSHIP,
        )
        keys = [stored.key for stored in reading.found]
        self._log_keys = [key for key in keys if '/log/' in key]
        self._snapshot_keys = [key for key in keys if '/snap/' in key]
        state, last_seq = read_state(reading)
        self.state = state
        self._last_seq = last_seq

    async def commit(self, propose: Proposal) -> None:
        """Queue a proposal and return when its events are durable.

        Raises ``StoreUnavailable`` or ``NotOwner`` if they are certainly not
        durable, and ``StoreAnswerLost`` if that can't be determined before the
        timeout. Cancelling the call withdraws the proposal unless its write
        has begun.
        """
        if self.is_ownership_lost:
            raise NotOwner(message='the shard has another owner')
        pending = _PendingProposal(propose)
        self._queue.append(pending)
        self._wake.set()
        with trio.move_on_after(self._timeout_s):
            try:
                await pending.settled.wait()
            except trio.Cancelled:
                if not pending.is_taken:
                    self._queue.remove(pending)
                raise
        if not pending.settled.is_set():
            pending.failure = _timeout_failure(pending)
        if pending.failure is not None:
            raise pending.failure

    async def wait_until_durable(self) -> None:
        """Wait until no event in ``state`` belongs to an unsettled write.

        Raises ``StoreUnavailable`` if the write is not settled before the
        timeout.
        """
        with trio.move_on_after(self._timeout_s):
            for pending in tuple(self._writing):
                await pending.settled.wait()
            return
        raise StoreUnavailable(
            message='the outcome of a write of the shard is not known yet',
            retry_after_s=_RETRY_AFTER_S,
        )

    async def run(self) -> None:
        """Commit queued proposals until the shard has another owner."""
        try:
            while not self.is_ownership_lost:
                await self._write_queue()
        except trio.Cancelled:
            self.is_ownership_lost = True
            raise
        finally:
            self._fail_all()

    async def snapshot(self) -> None:
        """Write a snapshot in parts, then delete the entries it replaces.

        A snapshot is used only if all of its parts are present. One that is
        half-written is ignored, and the log before it still exists.
        """
        body = self.state.encode_snapshot()
        size = self._part_bytes
        name = snapshot_name(self._last_seq)
        count = -(-len(body) // size)
        parts = [
            Write(
                f'{self._prefix}snap/{name}/{part_name(index, count)}',
                body[index * size : (index + 1) * size],
            )
            for index in range(count)
        ]
        replaced_keys = self._log_keys + self._snapshot_keys
        written = [part.key for part in parts]
        self._snapshot_keys = self._snapshot_keys + written
        for part in parts:
            await self._commit_guarded([part])
        for start in range(0, len(replaced_keys), _MAX_DELETES_COUNT):
            removed = replaced_keys[start : start + _MAX_DELETES_COUNT]
            await self._commit_guarded([Write(old, None) for old in removed])
        self._log_keys = []
        self._snapshot_keys = written

    async def _commit_guarded(self, writes: Sequence[Write]) -> None:
        outcome = await self._store.commit(
            [self._ownership_guard],
            writes,
            urgency=Urgency.SNAPSHOT,
        )
        if isinstance(outcome, Conflict):
            self.is_ownership_lost = True
            raise NotOwner(message='the shard has another owner')

    async def _write_queue(self) -> None:
        await self._wake.wait()
        self._wake = trio.Event()
        while self._queue and not self.is_ownership_lost:
            await self._write_group()
            await self._snapshot_if_due()
            await trio.sleep(self._interval_s)

    async def _snapshot_if_due(self) -> None:
        if self.is_ownership_lost or len(self._log_keys) < self._snapshot_after:
            return
        try:
            await self.snapshot()
        except Failure as failure:
            # The next commit tries again. The log alone is complete.
            _LOG.warning('snapshot not written', reason=failure.reason.value)

    async def _write_group(self) -> None:
        """Write one entry; revert its events if it was certainly not stored."""
        undo = UndoLog(self.state)
        events = self._take_group(undo)
        failure = None
        if events:
            failure = await self._write_entry(events)
        if failure is not None and not isinstance(failure, StoreAnswerLost):
            undo.revert()
        for pending in self._writing:
            pending.failure = pending.failure or failure
            pending.settled.set()
        self._writing = []

    def _take_group(self, undo: UndoLog) -> list[Event]:
        """Apply queued proposals up to the size limit; return their events."""
        events: list[Event] = []
        size = 0
        while self._queue and size < _MAX_ENTRY_BYTES:
            pending = self._queue.pop(0)
            pending.is_taken = True
            self._writing.append(pending)
            try:
                proposed = pending.propose(self.state)
            except Failure as failure:
                pending.failure = failure
                continue
            for event in proposed:
                apply_event(self.state, event, undo)
                size += len(msgpack.encode(event))
            events.extend(proposed)
        return events

    async def _write_entry(self, events: list[Event]) -> Failure | None:
        name = entry_name(self._last_seq + 1)
        key = f'{self._prefix}log/{name}'
        body = msgpack.encode(LogEntry(random_id(), tuple(events)))
        failure = await self._write_until_settled(key, body)
        if failure is None:
            self._last_seq += 1
            self._log_keys.append(key)
        elif not isinstance(failure, (StoreUnavailable, StoreBudgetSpent)):
            # Another entry owns the shard, or the end of the log is unknown.
            self.is_ownership_lost = True
        return failure

    async def _write_until_settled(
        self,
        key: str,
        body: bytes,
    ) -> Failure | None:
        """Write an entry; return ``None``, or why it is not durable.

        After a lost answer, the entry is read back and, if absent, written
        again with the same body under the same key. Giving up instead would
        report "not run" for a write that may still reach the store.
        """
        outcome = await self._write_once(key, body)
        may_be_written = isinstance(outcome, StoreAnswerLost)
        while may_be_written:
            if await self._is_written(key, body):
                return None
            outcome = await self._write_once(key, body)
            may_be_written = isinstance(outcome, Failure) and not isinstance(
                outcome,
                NotOwner,
            )
            if isinstance(outcome, NotOwner):
                # A new owner may have replaced the entry with a snapshot.
                return (
                    None
                    if await self._is_written(key, body)
                    else _unsettled_failure()
                )
        return outcome

    async def _write_once(self, key: str, body: bytes) -> Failure | None:
        try:
            outcome = await self._store.commit(
                [self._ownership_guard, Guard(key, 0)],
                [Write(key, body)],
                urgency=Urgency.JOB,
            )
        except Failure as failure:
            failure.retry_after_s = _RETRY_AFTER_S
            return failure
        if isinstance(outcome, Conflict):
            return NotOwner(message='the shard has another owner')
        return None

    async def _is_written(self, key: str, body: bytes) -> bool:
        while True:
            try:
                stored = await self._store.read(key, urgency=Urgency.JOB)
            except Failure:
                await trio.sleep(_READ_BACK_PAUSE_S)
            else:
                return stored is not None and stored.body == body

    def _fail_all(self) -> None:
        """End all waiting proposals after the ownership has ended."""
        for queued in self._queue:
            queued.failure = NotOwner(message='the shard has another owner')
            queued.settled.set()
        for writing in self._writing:
            writing.failure = writing.failure or _unsettled_failure()
            writing.settled.set()
        self._queue = []
        self._writing = []


def _timeout_failure(pending: _PendingProposal) -> Failure:
    """Return the failure of a proposal not settled before the timeout."""
    if pending.is_taken:
        return StoreAnswerLost(
            message='the outcome of the write is not known yet',
        )
    return StoreUnavailable(
        message='the write did not begin before the timeout',
        retry_after_s=_RETRY_AFTER_S,
    )


def _unsettled_failure() -> StoreAnswerLost:
    return StoreAnswerLost(
        message='ownership ended before the outcome of the write was known',
    )
