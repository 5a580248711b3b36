"""Names and contents of the log entries and snapshots of a job shard.

>>> entry_name(17)
'000000000017'
"""

from __future__ import annotations

from msgspec import Struct, msgpack

from marjoramwharf.batch.events import Event, ShardState, replay
from marjoramwharf.errors import JournalDamaged
from marjoramwharf.ids import random_id
from marjoramwharf.links.store import PrefixSnapshot


class LogEntry(Struct, frozen=True, array_like=True):
    """One group commit; the nonce identifies the write that stored it."""

    nonce: str
    events: tuple[Event, ...]


def snapshot_name(through_seq: int) -> str:
    """Return a new name for a snapshot of all entries up to this one."""
    # The nonce keeps the parts of snapshots by two owners apart.
    nonce = random_id()
    through = entry_name(through_seq)
    return f'{through}-{nonce}'


def part_name(index: int, count: int) -> str:
    """Return the name of one of the ``count`` parts of a snapshot."""
    number, total = str(index).zfill(5), str(count).zfill(5)
    return f'{number}-{total}'


def entry_name(seq: int) -> str:
    """Return the name of a log entry, which sorts by its number."""
    return str(seq).zfill(12)


def read_state(reading: PrefixSnapshot) -> tuple[ShardState, int]:
    """Restore a shard's state; return it and the last log entry's number."""
    entries: dict[int, bytes] = {}
    snapshots: dict[str, dict[str, bytes]] = {}
    for stored in reading.found:
        parent, _, last = stored.key.rpartition('/')
        if '/log/' in stored.key:
            entries[int(last)] = stored.body
        else:
            parts = snapshots.setdefault(parent.rpartition('/')[2], {})
            parts[last] = stored.body
    through, snapshot = _newest_complete_snapshot(snapshots)
    last_seq = max(entries, default=through)
    events: list[Event] = []
    for seq in range(through + 1, last_seq + 1):
        if seq not in entries:
            raise JournalDamaged(message=f'log entry {seq} is missing')
        entry = msgpack.decode(entries[seq], type=LogEntry)
        events.extend(entry.events)
    return replay(snapshot, events), max(through, last_seq)


def _newest_complete_snapshot(
    snapshots: dict[str, dict[str, bytes]],
) -> tuple[int, bytes | None]:
    """Return the newest complete snapshot's last entry number, and its body."""
    # Part names are <index>-<count>, snapshot names <last entry>-<nonce>.
    for name in sorted(snapshots, reverse=True):
        parts = snapshots[name]
        count = int(min(parts).rpartition('-')[2])
        if len(parts) == count:
            body = b''.join(parts[key] for key in sorted(parts))
            return int(name.partition('-')[0]), body
    return 0, None
