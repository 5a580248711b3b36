"""Membership of the entries, kept in the store under ``/members``.

``Registration`` keeps this entry's record under a store lease.
``MemberView`` watches the records of all entries and keeps the latest ones
while the store is down.

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
from marjoramwharf.json_bodies import Port, decode_json
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

# Two keep-alives may fail before the lease expires.
_KEEP_ALIVES_PER_TTL = 3

_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2

_STORE_FAILURES = (StoreUnavailable, StoreAnswerLost, StoreBudgetSpent)

_log = part_logger('members')


@enum.unique
class MemberState(enum.Enum):
    """State of an entry; a leaving one accepts no new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Member(msgspec.Struct, frozen=True):
    """The record of one entry; ``host`` is an IP address."""

    entry_id: EntryId
    incarnation: Incarnation
    data_centre: DataCentreId
    host: str
    peer_port: Port
    http_port: Port
    state: MemberState = MemberState.LIVE


class _StoredMember(Member, frozen=True):
    """A member with a nonce, which identifies a write with a lost answer."""

    nonce: str = ''


class Registration:
    """Keeps the record of this entry in the store while ``run`` runs."""

    def __init__(self, store: Store, member: Member, *, ttl_s: int) -> None:
        """Prepare a registration with a lease of ``ttl_s`` seconds."""
        self._store = store
        self._member = member
        self._ttl_s = ttl_s
        self._lease: LeaseId | None = None
        self._was_registered = False
        self._is_written = False
        self._is_failing = False
        self._is_deregistered = False
        self._backoff = Backoff(
            initial_s=_INITIAL_BACKOFF_S, max_s=_MAX_BACKOFF_S
        )
        self._wake_event = trio.Event()

    @property
    def member(self) -> Member:
        """The record that should be in the store."""
        return self._member

    @property
    def is_registered(self) -> bool:
        """Whether the record was in the store at the latest keep-alive."""
        return self._lease is not None and self._is_written

    def mark_leaving(self) -> None:
        """Set the state to leaving; ``run`` writes it at once."""
        self._member = msgspec.structs.replace(
            self._member,
            state=MemberState.LEAVING,
        )
        self._is_written = False
        self._wake_event.set()

    async def deregister(self) -> None:
        """Remove the record on a planned stop and let ``run`` return.

        If the store does not answer, the record stays until its lease expires.
        """
        self._is_deregistered = True
        self._wake_event.set()
        lease = self._lease
        if lease is None:
            return
        try:
            await self._store.revoke_lease(lease)
        except _STORE_FAILURES as failure:
            _log.info('member lease not revoked', cause=failure.message)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Register, then keep the lease alive until deregistered or cancelled.

        Reports ``started`` after the first registration. Raises
        ``EntryReplaced`` if another process replaced this entry's record
        after the lease had expired.
        """
        delay_s = await self._attempt()
        while not self._is_written and await self._wait(delay_s):
            delay_s = await self._attempt()
        task_status.started()
        while await self._wait(delay_s):
            delay_s = await self._attempt()

    async def _attempt(self) -> float:
        """Renew the registration; return the seconds until the next attempt."""
        self._wake_event = trio.Event()
        try:
            await self._renew()
        except _STORE_FAILURES as failure:
            if not self._is_failing:
                _log.warning('registration not renewed', cause=failure.message)
            self._is_failing = True
            return min(self._backoff.next_wait_s(), self._interval_s)
        self._is_failing = False
        self._backoff.reset()
        return self._interval_s

    async def _wait(self, delay_s: float) -> bool:
        """Wait for the next attempt; return false once deregistered."""
        with trio.move_on_after(delay_s):
            await self._wake_event.wait()
        return not self._is_deregistered

    @property
    def _interval_s(self) -> float:
        return self._ttl_s / _KEEP_ALIVES_PER_TTL

    async def _renew(self) -> None:
        """Extend or replace the lease, and write the record if needed."""
        if self._lease is not None:
            if not await self._store.keep_alive(self._lease):
                _log.info('member lease expired', entry=self._member.entry_id)
                self._lease = None
        if self._lease is None:
            self._is_written = False
            self._lease = await self._store.grant_lease(self._ttl_s)
        if not self._is_written:
            await self._write(self._lease)

    async def _write(self, lease: LeaseId) -> None:
        key = _make_key(self._member.entry_id)
        found = await self._store.read(key, urgency=Urgency.OWNERSHIP)
        self._check_not_replaced(found)
        member = self._member
        record = _StoredMember(
            **msgspec.structs.asdict(member), nonce=random_id()
        )
        outcome = await commit_and_settle(
            self._store,
            [Guard(key, 0 if found is None else found.mod_revision)],
            [Write(key, msgspec.json.encode(record), lease)],
            urgency=Urgency.OWNERSHIP,
        )
        if not isinstance(outcome, Committed):
            raise StoreUnavailable(
                message='the member record was changed by another writer'
            )
        # ``mark_leaving`` may have been called during the commit.
        self._is_written = member is self._member
        self._was_registered = True
        if not self._is_written:
            self._wake_event.set()

    def _check_not_replaced(self, found: StoredValue | None) -> None:
        """Raise ``EntryReplaced`` if the stored record is a successor's.

        Before the first registration, a record of another incarnation is that
        of the predecessor, whose lease has not expired yet.
        """
        stored_member = None if found is None else _decode(found)
        if stored_member is None or not self._was_registered:
            return
        if stored_member.incarnation != self._member.incarnation:
            raise EntryReplaced(
                message=f'replaced by incarnation {stored_member.incarnation}',
            )


class MemberView:
    """The latest records of all entries that were read from the store."""

    def __init__(self, store: Store) -> None:
        """Start without members; ``run`` reads and updates them."""
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
        """Return the record of an entry, or ``None`` if it has none."""
        return self._members.get(_make_key(entry_id))

    async def wait_change(self) -> None:
        """Wait for the next change of any record."""
        await self._changed.wait()

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Watch the records until cancelled.

        Reports ``started`` after the first read.
        """
        revision = await self._read_initial()
        task_status.started()
        async with self._store.watch(PREFIX, from_revision=revision) as batches:
            await self._apply_batches(batches)

    async def _read_initial(self) -> int:
        backoff = Backoff(initial_s=_INITIAL_BACKOFF_S, max_s=_MAX_BACKOFF_S)
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

    async def _apply_batches(self, batches: AsyncIterator[WatchBatch]) -> None:
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


def _make_key(entry_id: EntryId) -> str:
    return f'{PREFIX}{entry_id}'


def _decode(stored: StoredValue) -> Member | None:
    """Decode a record; return ``None`` if it is malformed."""
    try:
        return decode_json(stored.body, Member)
    except msgspec.MsgspecError as failure:
        _log.warning(
            'malformed member record', key=stored.key, cause=str(failure)
        )
        return None
