"""Membership of the entries, kept in the store under ``/members``.

``Registration`` keeps this entry's record under a store lease.
``MemberView`` follows the records of all entries and keeps the last known
ones through an outage of the store.

Example:
    registration = Registration(store, member, ttl_s=5)
    view = MemberView(store)
    await nursery.start(registration.run)
    await nursery.start(view.run)
    peers = view.live()
"""

from __future__ import annotations

import enum
from collections.abc import AsyncIterator, Iterable

import msgspec
import trio

from marjoramwharf.errors import (
    EntryReplaced,
    StoreAnswerLost,
    StoreBudgetSpent,
    StoreUnavailable,
)
from marjoramwharf.ids import (
    DataCentreId,
    EntryId,
    Incarnation,
    LeaseId,
    random_id,
)
from marjoramwharf.links.backoff import Backoff
from marjoramwharf.links.store import (
    Committed,
    Guard,
    Store,
    StoredValue,
    StoreEvent,
    Urgency,
    WatchBatch,
    Write,
)
from marjoramwharf.links.store_settlement import commit_and_settle
from marjoramwharf.logs import part_logger

PREFIX = '/members/'

# Two keep-alives may fail before the lease lapses.
_KEEP_ALIVES_PER_TTL = 3

_FIRST_WAIT_S = 0.1
_LIMIT_WAIT_S = 2

_STORE_FAILURES = (StoreUnavailable, StoreAnswerLost, StoreBudgetSpent)

_log = part_logger('members')


@enum.unique
class MemberState(enum.Enum):
    """State of an entry; a leaving one accepts no new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Member(msgspec.Struct, frozen=True):
    """The record of one entry; ``host`` is an IP number."""

    entry_id: EntryId
    incarnation: Incarnation
    data_centre: DataCentreId
    host: str
    peer_port: int
    http_port: int
    state: MemberState = MemberState.LIVE


class _Record(Member, frozen=True):
    """A member with a nonce, so that a lost answer can be settled."""

    nonce: str = ''


class Registration:
    """Keeps the record of this entry in the store while ``run`` runs."""

    def __init__(self, store: Store, member: Member, *, ttl_s: int) -> None:
        """Register with a lease of ``ttl_s`` seconds."""
        self._store = store
        self._member = member
        self._ttl_s = ttl_s
        self._lease: LeaseId | None = None
        self._was_registered = False
        self._is_written = False
        self._is_failing = False
        self._is_withdrawn = False
        self._backoff = Backoff(initial_s=_FIRST_WAIT_S, max_s=_LIMIT_WAIT_S)
        self._stirred = trio.Event()

    @property
    def member(self) -> Member:
        """The record as this entry wants it."""
        return self._member

    @property
    def is_registered(self) -> bool:
        """Whether the record was in force at the latest keep-alive."""
        return self._lease is not None and self._is_written

    def mark_leaving(self) -> None:
        """Set the state to leaving; ``run`` writes it at once."""
        self._member = msgspec.structs.replace(
            self._member,
            state=MemberState.LEAVING,
        )
        self._is_written = False
        self._stirred.set()

    async def deregister(self) -> None:
        """Remove the record on a planned stop and let ``run`` return.

        If the store does not answer, the lease lapses by itself.
        """
        self._is_withdrawn = True
        self._stirred.set()
        lease = self._lease
        if lease is None:
            return
        try:
            await self._store.revoke_lease(lease)
        except _STORE_FAILURES as failure:
            _log.info('lease not revoked', cause=failure.message)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Register and keep the lease alive until withdrawn or cancelled.

        ``started`` is reported after the first registration. Raises
        ``EntryReplaced`` if another process took this entry's record after
        the lease was lost.
        """
        pause_s = await self._attempt()
        while not self._is_written and await self._pause(pause_s):
            pause_s = await self._attempt()
        task_status.started()
        while await self._pause(pause_s):
            pause_s = await self._attempt()

    async def _attempt(self) -> float:
        """Make one step and return the time until the next, in seconds."""
        self._stirred = trio.Event()
        try:
            await self._step()
        except _STORE_FAILURES as failure:
            if not self._is_failing:
                _log.warning('not renewed', cause=failure.message)
            self._is_failing = True
            return min(self._backoff.next_wait_s(), self._interval_s)
        self._is_failing = False
        self._backoff.reset()
        return self._interval_s

    async def _pause(self, pause_s: float) -> bool:
        """Wait for the next step; false once the record is withdrawn."""
        with trio.move_on_after(pause_s):
            await self._stirred.wait()
        return not self._is_withdrawn

    @property
    def _interval_s(self) -> float:
        return self._ttl_s / _KEEP_ALIVES_PER_TTL

    async def _step(self) -> None:
        """Extend the lease, or replace it, and write the record if needed."""
        if self._lease is not None:
            if not await self._store.keep_alive(self._lease):
                _log.info('lease lost', entry=self._member.entry_id)
                self._lease = None
        if self._lease is None:
            self._is_written = False
            self._lease = await self._store.grant_lease(self._ttl_s)
        if not self._is_written:
            await self._write(self._lease)

    async def _write(self, lease: LeaseId) -> None:
        key = _key_of(self._member.entry_id)
        found = await self._store.read(key, urgency=Urgency.OWNERSHIP)
        self._check_ours(found)
        member = self._member
        record = _Record(**msgspec.structs.asdict(member), nonce=random_id())
        outcome = await commit_and_settle(
            self._store,
            [Guard(key, 0 if found is None else found.mod_revision)],
            [Write(key, msgspec.json.encode(record), lease)],
            urgency=Urgency.OWNERSHIP,
        )
        if not isinstance(outcome, Committed):
            raise StoreUnavailable(message='the record changed meanwhile')
        # ``mark_leaving`` may have been called during the commit.
        self._is_written = member is self._member
        self._was_registered = True
        if not self._is_written:
            self._stirred.set()

    def _check_ours(self, found: StoredValue | None) -> None:
        """Raise ``EntryReplaced`` for a successor's record.

        At the first registration a record of another incarnation is that of
        the predecessor, whose lease has not lapsed yet.
        """
        holder = None if found is None else _decode(found)
        if holder is None or not self._was_registered:
            return
        if holder.incarnation != self._member.incarnation:
            raise EntryReplaced(
                message=f'another incarnation: {holder.incarnation}',
            )


class MemberView:
    """The records of all entries, as the store last showed them."""

    def __init__(self, store: Store) -> None:
        """Start empty; ``run`` fills the view."""
        self._store = store
        self._members: dict[str, Member] = {}
        self._changed = trio.Event()

    def known(self) -> tuple[Member, ...]:
        """Return all members, in the order of their ids."""
        return tuple(self._members[key] for key in sorted(self._members))

    def live(self) -> tuple[Member, ...]:
        """Return the members that are not leaving."""
        return tuple(
            member
            for member in self.known()
            if member.state is MemberState.LIVE
        )

    def find(self, entry_id: EntryId) -> Member | None:
        """Return the record of an entry."""
        return self._members.get(_key_of(entry_id))

    async def wait_change(self) -> None:
        """Wait for the next change of the view."""
        await self._changed.wait()

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Follow the records until cancelled.

        ``started`` is reported after the first reading.
        """
        revision = await self._read_first()
        task_status.started()
        async with self._store.watch(PREFIX, from_revision=revision) as batches:
            await self._follow(batches)

    async def _read_first(self) -> int:
        backoff = Backoff(initial_s=_FIRST_WAIT_S, max_s=_LIMIT_WAIT_S)
        while True:
            try:
                snapshot = await self._store.read_prefix(
                    PREFIX,
                    urgency=Urgency.OWNERSHIP,
                )
            except _STORE_FAILURES as failure:
                _log.info('members not read', cause=failure.message)
                await trio.sleep(backoff.next_wait_s())
            else:
                self._apply(
                    StoreEvent(stored.key, stored) for stored in snapshot.found
                )
                return snapshot.revision

    async def _follow(self, batches: AsyncIterator[WatchBatch]) -> None:
        async for batch in batches:
            if batch.restarted:
                self._members.clear()
            self._apply(batch.events)

    def _apply(self, events: Iterable[StoreEvent]) -> None:
        for event in events:
            member = None if event.stored is None else _decode(event.stored)
            if member is None:
                self._members.pop(event.key, None)
            else:
                self._members[event.key] = member
        self._changed.set()
        self._changed = trio.Event()


def _key_of(entry_id: EntryId) -> str:
    return f'{PREFIX}{entry_id}'


def _decode(stored: StoredValue) -> Member | None:
    """Return a record, or ``None`` for one that is malformed."""
    try:
        return msgspec.json.decode(stored.body, type=Member)
    except msgspec.MsgspecError as failure:
        _log.warning('bad record', key=stored.key, cause=str(failure))
        return None
