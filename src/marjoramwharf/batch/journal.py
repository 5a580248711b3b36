"""Durable state of one job shard: group commit, snapshots and recovery.

One write of a shard is under way at a time. Proposals that arrive meanwhile
are queued and go into the next log entry together. A proposal is a function
of the state that returns events; it is called when its entry is put together,
so that it sees the effect of every earlier event.

Every write is guarded by the revision of the ownership record, so that the
store refuses the writes of a former owner.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

import trio
from msgspec import Struct, msgpack

from marjoramwharf.batch.events import (
    Event,
    ShardState,
    Undo,
    apply_event,
    replay,
)
from marjoramwharf.errors import (
    Failure,
    JournalDamaged,
    NotOwner,
    StoreAnswerLost,
    StoreBudgetSpent,
    StoreUnavailable,
)
from marjoramwharf.ids import ShardId, random_id
from marjoramwharf.links.store import (
    Conflict,
    Guard,
    PrefixSnapshot,
    Store,
    Urgency,
    Write,
)
from marjoramwharf.logs import part_logger

Proposal: TypeAlias = Callable[[ShardState], Sequence[Event]]

_LOG = part_logger('journal')

# An entry stays well below the 1 MB that the store takes for a value; one
# proposal may add a job of 256 KB to it.
_ENTRY_BYTES = 500_000

# The store's default limit is 128 operations in a transaction.
_MAX_DELETES_COUNT = 100

_SETTLE_PAUSE_S = 0.2
_RETRY_AFTER_S = 2.0


class LogEntry(Struct, frozen=True, array_like=True):
    """One group commit; the nonce tells whose write it is."""

    nonce: str
    events: tuple[Event, ...]


@dataclass(slots=True, eq=False)
class _Waiting:
    """A queued proposal; ``failure`` is set when it was not committed."""

    propose: Proposal
    settled: trio.Event = field(default_factory=trio.Event)
    taken: bool = False
    failure: Failure | None = None


class Journal:
    """The log and the snapshots of one shard under ``/jobs/<shard>/``.

    ``state`` includes the events of the write under way; ``durable`` waits
    until that write is settled. ``run`` is the only writer.
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
        """Prepare a journal; ``recover`` must be called before ``run``."""
        self.state = ShardState()
        self.is_lost = False
        self._store = store
        self._prefix = f'/jobs/{shard}/'
        self._owner = owner
        self._part_bytes = snapshot_part_bytes
        self._snapshot_after = snapshot_after_entries_count
        self._interval_s = commit_interval_s
        self._timeout_s = timeout_s
        self._last_seq = 0
        self._log_keys: list[str] = []
        self._snapshot_keys: list[str] = []
        self._queue: list[_Waiting] = []
        self._wake = trio.Event()
        self._in_write: list[_Waiting] = []

    async def recover(self) -> None:
        """Read the state with one call.

        Raises ``StoreUnavailable``, or ``JournalDamaged`` when an entry is
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
        """Return when the proposed events are durable.

        Raises ``StoreUnavailable`` or ``NotOwner`` if they are proved not to
        be and ``StoreAnswerLost`` if that is not known in time. A cancelled
        caller withdraws the proposal unless its write has begun.
        """
        if self.is_lost:
            raise NotOwner(message='the shard has another owner')
        waiting = _Waiting(propose)
        self._queue.append(waiting)
        self._wake.set()
        with trio.move_on_after(self._timeout_s):
            try:
                await waiting.settled.wait()
            except trio.Cancelled:
                if not waiting.taken:
                    self._queue.remove(waiting)
                raise
        if not waiting.settled.is_set():
            waiting.failure = _late(waiting)
        if waiting.failure is not None:
            raise waiting.failure

    async def durable(self) -> None:
        """Wait until no event of ``state`` is part of an unsettled write.

        Raises ``StoreUnavailable`` if the store does not settle it in time.
        """
        with trio.move_on_after(self._timeout_s):
            for waiting in tuple(self._in_write):
                await waiting.settled.wait()
            return
        raise StoreUnavailable(
            message='a write of the shard is not settled',
            retry_after_s=_RETRY_AFTER_S,
        )

    async def run(self) -> None:
        """Write queued proposals until the shard has another owner."""
        try:
            while not self.is_lost:
                await self._write_queue()
        except trio.Cancelled:
            self.is_lost = True
            raise
        finally:
            self._fail_all()

    async def snapshot(self) -> None:
        """Write the state in parts, then delete what it replaces.

        The parts count only when all of them are present, so a half-written
        snapshot is ignored and the log before it is still there.
        """
        image = self.state.image()
        size = self._part_bytes
        name = _snapshot_name(self._last_seq)
        count = -(-len(image) // size)
        parts = [
            Write(
                f'{self._prefix}snap/{name}/{_part_name(index, count)}',
                image[index * size : (index + 1) * size],
            )
            for index in range(count)
        ]
        garbage = self._log_keys + self._snapshot_keys
        written = [part.key for part in parts]
        self._snapshot_keys = self._snapshot_keys + written
        for part in parts:
            await self._guarded([part])
        for start in range(0, len(garbage), _MAX_DELETES_COUNT):
            removed = garbage[start : start + _MAX_DELETES_COUNT]
            await self._guarded([Write(old, None) for old in removed])
        self._log_keys = []
        self._snapshot_keys = written

    async def _guarded(self, writes: Sequence[Write]) -> None:
        outcome = await self._store.commit(
            [self._owner],
            writes,
            urgency=Urgency.SNAPSHOT,
        )
        if isinstance(outcome, Conflict):
            self.is_lost = True
            raise NotOwner(message='the shard has another owner')

    async def _write_queue(self) -> None:
        await self._wake.wait()
        self._wake = trio.Event()
        while self._queue and not self.is_lost:
            await self._write_group()
            await self._snapshot_if_due()
            await trio.sleep(self._interval_s)

    async def _snapshot_if_due(self) -> None:
        if self.is_lost or len(self._log_keys) < self._snapshot_after:
            return
        try:
            await self.snapshot()
        except Failure as failure:
            # The next commit tries again; the log is complete without it.
            _LOG.warning('snapshot not written', reason=failure.reason.value)

    async def _write_group(self) -> None:
        undo = Undo(self.state)
        events = self._take_group(undo)
        failure = None
        if events:
            failure = await self._write_entry(events)
        if failure is not None and not isinstance(failure, StoreAnswerLost):
            undo.revert()
        for waiting in self._in_write:
            waiting.failure = waiting.failure or failure
            waiting.settled.set()
        self._in_write = []

    def _take_group(self, undo: Undo) -> list[Event]:
        events: list[Event] = []
        size = 0
        while self._queue and size < _ENTRY_BYTES:
            waiting = self._queue.pop(0)
            waiting.taken = True
            self._in_write.append(waiting)
            try:
                proposed = waiting.propose(self.state)
            except Failure as failure:
                waiting.failure = failure
                continue
            for event in proposed:
                apply_event(self.state, event, undo)
                size += len(msgpack.encode(event))
            events.extend(proposed)
        return events

    async def _write_entry(self, events: list[Event]) -> Failure | None:
        name = _entry_name(self._last_seq + 1)
        key = f'{self._prefix}log/{name}'
        body = msgpack.encode(LogEntry(random_id(), tuple(events)))
        failure = await self._write_until_known(key, body)
        if failure is None:
            self._last_seq += 1
            self._log_keys.append(key)
        elif not isinstance(failure, (StoreUnavailable, StoreBudgetSpent)):
            self.is_lost = True
        return failure

    async def _write_until_known(
        self,
        key: str,
        body: bytes,
    ) -> Failure | None:
        """Write an entry and return why it is not durable, or ``None``.

        After a lost answer, the entry is read back and, if it is absent,
        written again with the same body under the same key. Giving up at that
        point would report "not run" for a write that may still arrive.
        """
        outcome = await self._write_once(key, body)
        in_doubt = isinstance(outcome, StoreAnswerLost)
        while in_doubt:
            if await self._is_written(key, body):
                return None
            outcome = await self._write_once(key, body)
            in_doubt = isinstance(outcome, Failure) and not isinstance(
                outcome,
                NotOwner,
            )
            if isinstance(outcome, NotOwner):
                # A new owner may have replaced the entry by a snapshot.
                return None if await self._is_written(key, body) else _unknown()
        return outcome

    async def _write_once(self, key: str, body: bytes) -> Failure | None:
        try:
            outcome = await self._store.commit(
                [self._owner, Guard(key, 0)],
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
                await trio.sleep(_SETTLE_PAUSE_S)
            else:
                return stored is not None and stored.body == body

    def _fail_all(self) -> None:
        for queued in self._queue:
            queued.failure = NotOwner(message='the shard has another owner')
            queued.settled.set()
        for writing in self._in_write:
            writing.failure = writing.failure or _unknown()
            writing.settled.set()
        self._queue = []
        self._in_write = []


def _late(waiting: _Waiting) -> Failure:
    if waiting.taken:
        return StoreAnswerLost(message='the write is not settled yet')
    return StoreUnavailable(
        message='the write did not begin in time',
        retry_after_s=_RETRY_AFTER_S,
    )


def _unknown() -> StoreAnswerLost:
    return StoreAnswerLost(
        message='the shard was given up before the write was settled',
    )


def _snapshot_name(through_seq: int) -> str:
    # The nonce keeps the parts of two owners' snapshots apart.
    nonce = random_id()
    through = _entry_name(through_seq)
    return f'{through}-{nonce}'


def _part_name(index: int, count: int) -> str:
    number, total = str(index).zfill(5), str(count).zfill(5)
    return f'{number}-{total}'


def _entry_name(seq: int) -> str:
    return str(seq).zfill(12)


def read_state(reading: PrefixSnapshot) -> tuple[ShardState, int]:
    """Return the state of a shard and the number of its last log entry."""
    entries: dict[int, bytes] = {}
    snapshots: dict[str, dict[str, bytes]] = {}
    for stored in reading.found:
        head, _, last = stored.key.rpartition('/')
        if '/log/' in stored.key:
            entries[int(last)] = stored.body
        else:
            parts = snapshots.setdefault(head.rpartition('/')[2], {})
            parts[last] = stored.body
    through, image = _latest_complete(snapshots)
    last_seq = max(entries, default=through)
    events: list[Event] = []
    for seq in range(through + 1, last_seq + 1):
        if seq not in entries:
            raise JournalDamaged(message=f'log entry {seq} is missing')
        entry = msgpack.decode(entries[seq], type=LogEntry)
        events.extend(entry.events)
    return replay(image, events), max(through, last_seq)


def _latest_complete(
    snapshots: dict[str, dict[str, bytes]],
) -> tuple[int, bytes | None]:
    for name in sorted(snapshots, reverse=True):
        parts = snapshots[name]
        count = int(min(parts).rpartition('-')[2])
        if len(parts) == count:
            body = b''.join(parts[key] for key in sorted(parts))
            return int(name.partition('-')[0]), body
    return 0, None
