"""State of the stand-in for the key-value store, without any transport.

It holds keys with revisions, leases and a history for watches. The current time
is an argument, in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from marjoramwharf.ids import LeaseId
from marjoramwharf.links.store import Guard, StoredValue, StoreEvent, Write

MAX_VALUE_BYTES = 1_048_576


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_at_s: float
    keys: set[str] = field(default_factory=set)


class KeyValueState:
    """Keys, leases and history; ``apply`` makes every change of a key."""

    def __init__(self) -> None:
        """Start empty at revision 1, as the published protocol says."""
        self.revision = 1
        self.compacted_revision = 0
        self.stored: dict[str, StoredValue] = {}
        self.history: list[tuple[int, tuple[StoreEvent, ...]]] = []
        self._leases: dict[LeaseId, _Lease] = {}
        self._lease_of_key: dict[str, LeaseId] = {}
        self._next_lease = 1

    def values_below(self, prefix: str) -> tuple[StoredValue, ...]:
        """Return all values below a prefix, in key order."""
        return tuple(
            self.stored[key]
            for key in sorted(self.stored)
            if key.startswith(prefix)
        )

    def guards_hold(self, guards: Sequence[Guard]) -> bool:
        """Return whether every key is still at the revision of its guard."""
        return all(
            self._revision_of(guard.key) == guard.mod_revision
            for guard in guards
        )

    def apply(self, writes: Iterable[Write]) -> int:
        """Apply writes at one new revision and return that revision.

        Raises ``ValueError`` for a value above 1 MB or a lease that has ended.
        """
        pending = tuple(writes)
        for write in pending:
            if write.body is not None and len(write.body) > MAX_VALUE_BYTES:
                raise ValueError('value too large')
            if write.lease is not None and write.lease not in self._leases:
                raise ValueError('requested lease not found')
        self.revision += 1
        events = tuple(
            event
            for event in map(self._apply_write, pending)
            if event is not None
        )
        self.history.append((self.revision, events))
        return self.revision

    def changes_after(
        self,
        revision: int,
        prefix: str,
    ) -> list[tuple[int, tuple[StoreEvent, ...]]]:
        """Return the changes below a prefix after a revision."""
        found = []
        for changed_at, events in reversed(self.history):
            if changed_at <= revision:
                break
            matching = tuple(
                event for event in events if event.key.startswith(prefix)
            )
            if matching:
                found.append((changed_at, matching))
        return list(reversed(found))

    def compact(self) -> None:
        """Drop the history, so that older watches must read all keys again."""
        self.compacted_revision = self.revision
        self.history.clear()

    def grant_lease(self, ttl_s: float, now_s: float) -> LeaseId:
        """Create a lease."""
        lease = LeaseId(self._next_lease)
        self._next_lease += 1
        self._leases[lease] = _Lease(ttl_s, now_s + ttl_s)
        return lease

    def keep_alive(self, lease: LeaseId, now_s: float) -> float:
        """Extend a lease and return its time to live, 0 if it has ended."""
        held = self._leases.get(lease)
        if held is None:
            return 0
        held.expires_at_s = now_s + held.ttl_s
        return held.ttl_s

    def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        held = self._leases.pop(lease, None)
        if held is not None and held.keys:
            self.apply([Write(key, None) for key in sorted(held.keys)])

    def expire_due_leases(self, now_s: float) -> None:
        """End the leases that have expired and delete their keys."""
        for lease, held in tuple(self._leases.items()):
            if held.expires_at_s <= now_s:
                self.revoke_lease(lease)

    def expire_all_leases(self) -> None:
        """End every lease at once, as a store whose clock jumped may."""
        for lease in tuple(self._leases):
            self.revoke_lease(lease)

    def _revision_of(self, key: str) -> int:
        stored = self.stored.get(key)
        return 0 if stored is None else stored.mod_revision

    def _apply_write(self, write: Write) -> StoreEvent | None:
        previous = self.stored.pop(write.key, None)
        self._detach_from_lease(write.key)
        if write.body is None:
            return None if previous is None else StoreEvent(write.key, None)
        stored = StoredValue(
            key=write.key,
            body=write.body,
            mod_revision=self.revision,
            create_revision=(
                self.revision if previous is None else previous.create_revision
            ),
        )
        self.stored[write.key] = stored
        if write.lease is not None:
            self._leases[write.lease].keys.add(write.key)
            self._lease_of_key[write.key] = write.lease
        return StoreEvent(write.key, stored)

    def _detach_from_lease(self, key: str) -> None:
        lease = self._lease_of_key.pop(key, LeaseId(0))
        held = self._leases.get(lease)
        if held is not None:
            held.keys.discard(key)
