"""Interface of the platform's key-value store and the values it exchanges.

The rest of the scheduler uses only this module's types. The client that
speaks the published protocol of the service is in :mod:`links.etcd`, so that
another service can replace it without a change elsewhere.
"""

from __future__ import annotations

import enum
from collections.abc import AsyncIterator, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

from marjoramwharf.ids import LeaseId


@enum.unique
class Urgency(enum.IntEnum):
    """Class of a store call; ``store_budget`` sheds the lowest first.

    It never sheds ``OWNERSHIP``. ``STATUS`` calls read the history of notes,
    ``SNAPSHOT`` calls compact the journal of a job shard, ``CLAIM`` calls
    handle idempotency keys, and ``JOB`` calls jobs and release notes.
    """

    STATUS = 0
    SNAPSHOT = 1
    CLAIM = 2
    JOB = 3
    OWNERSHIP = 4


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A key with its body and the revisions that the store gave it."""

    key: str
    body: bytes
    mod_revision: int
    create_revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """One change of a commit; a ``None`` body deletes the key."""

    key: str
    body: bytes | None
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class Guard:
    """A condition of a commit: the key has this modification revision.

    Revision 0 means that the key must not exist.
    """

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Committed:
    """The commit was applied at this revision of the store."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A guard did not hold; nothing was applied.

    ``found`` has the guarded keys that exist, if the store returns them.
    """

    found: tuple[StoredValue, ...] = ()


@dataclass(frozen=True, slots=True)
class StoreEvent:
    """A change of one key; ``stored`` is ``None`` after a deletion."""

    key: str
    stored: StoredValue | None


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes below a prefix, in order, up to and including ``revision``.

    A poll may return several revisions in one batch. If ``restarted`` is true,
    the events are a full read of the prefix and replace the reader's state:
    the first read, or one after revisions may have been skipped.
    """

    revision: int
    events: tuple[StoreEvent, ...]
    restarted: bool = False


@dataclass(frozen=True, slots=True)
class PrefixSnapshot:
    """Keys below a prefix; a watch from ``revision`` misses no later change."""

    revision: int
    found: tuple[StoredValue, ...]


class Store(Protocol):
    """The operations of the key-value store that the scheduler uses.

    Every method raises ``StoreUnavailable`` if nothing was applied. A writing
    method raises ``StoreAnswerLost`` if the write may have been applied.
    """

    async def read(self, key: str, *, urgency: Urgency) -> StoredValue | None:
        """Return the value of a key, or ``None`` if it does not exist."""

    async def read_prefix(
        self,
        prefix: str,
        *,
        urgency: Urgency,
    ) -> PrefixSnapshot:
        """Return all keys below a prefix at one revision."""

    async def commit(
        self,
        guards: Sequence[Guard],
        writes: Sequence[Write],
        *,
        urgency: Urgency,
    ) -> Committed | Conflict:
        """Apply all writes in one call if all guards hold."""

    async def grant_lease(self, ttl_s: int) -> LeaseId:
        """Create a lease that expires unless it is kept alive."""

    async def keep_alive(self, lease: LeaseId) -> int:
        """Extend a lease; return its seconds to live, 0 if it has expired."""

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete the keys attached to it."""

    def watch(
        self,
        prefix: str,
        *,
        from_revision: int,
    ) -> AbstractAsyncContextManager[AsyncIterator[WatchBatch]]:
        """Stream the changes below a prefix, reconnecting when disconnected."""


class PollingStore(Protocol):
    """A store whose changes are read by long polling.

    The methods raise the same failures as those of :class:`Store`.
    """

    async def read(self, key: str) -> StoredValue | None:
        """Return the value of a key, or ``None`` if it does not exist."""

    async def read_prefix(self, prefix: str) -> PrefixSnapshot:
        """Return all keys below a prefix, with the revision to watch from."""

    async def commit(
        self,
        guards: Sequence[Guard],
        writes: Sequence[Write],
    ) -> Committed | Conflict:
        """Apply all writes in one call if all guards hold."""

    async def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Create a lease that expires unless it is kept alive."""

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Extend a lease; return whether it still exists."""

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete the keys attached to it."""

    async def poll(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_ms: int,
    ) -> WatchBatch:
        """Wait for changes after a revision; return none after ``wait_ms``.

        Raises ``HistoryLost`` if the store no longer has that history.
        """
