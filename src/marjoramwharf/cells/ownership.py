"""Ownership of cells: leased records in the store, set by compare-and-swap.

The revision at which an owner wrote its record is the fence of its orders to
workers. It rises with every change of owner. An entry *campaigns* while it
tries to write the record, and a *tenure* is its time as the owner after that.
"""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
from msgspec import structs

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.entry_speed import is_outclassed
from marjoramwharf.cells.owner_view import OwnerView
from marjoramwharf.cells.records import (
    CellId,
    EntryRecord,
    encode,
    giving_way_key,
    owner_key,
)
from marjoramwharf.errors import (
    Failure,
    NotOwner,
    StoreAnswerLost,
)
from marjoramwharf.ids import LeaseId, random_id
from marjoramwharf.isolation import log_unexpected
from marjoramwharf.links.store import (
    Committed,
    Guard,
    PollingStore,
    Write,
)
from marjoramwharf.logs import part_logger

_LOG = part_logger('owner')
_MS_PER_S = 1_000

# Upper limit of the random delay that keeps entries which see the same record
# end from all writing at the same moment.
_CAMPAIGN_JITTER_S = 0.03

# Delays the write of an instance with less than one core, so that a faster one
# becomes the owner; scaled by the missing share of the core.
_SLOW_INSTANCE_DELAY_S = 0.3

# Leaves the cell to entries that are far faster than this one. They may all be
# late: they notice the end of the owner, or that the store is back, at times
# of their own, and may not have read yet what they need to plan.
_OUTCLASSED_DELAY_S = 2.5

# Delays the write of an entry that could not plan, until it can. It is longer
# than the delays by speed, but for that of an outclassed entry.
_UNPREPARED_DELAY_S = 1.0
_RETRY_PAUSE_S = 0.2

# Pause after a tenure that failed, so that any other entry is the next owner.
_FAILED_PAUSE_S = 1.0
_RENEWALS_PER_TTL = 4

# An entry that gave way leaves the campaign to the others for this long.
_GIVE_WAY_PAUSE_S = 3.0
_RENEWAL_RETRY_PAUSE_S = 0.1


@dataclass(slots=True)
class Tenure:
    """One period of ownership of a cell.

    The record was known to be written at ``acquired_s``, and the cell runs until
    ``ended_s``. Before ``valid_until_s`` the lease can't have lapsed. All are
    times of the boot clock. Cancelling ``scope`` ends the tenure. The owner
    ``gives_way`` if it leaves the cell to others because it can't serve it.
    """

    cell: CellId
    lease: LeaseId
    revision: int
    valid_until_s: float
    acquired_s: float
    ended_s: float = math.inf
    gives_way: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def guard(self) -> Guard:
        """The condition of a write that the record is still this tenure's."""
        return Guard(owner_key(self.cell), self.revision)

    def is_current(self, now_s: float) -> bool:
        """Whether the lease is certain to be still valid."""
        return now_s < self.valid_until_s


# Runs a cell during a tenure; it is cancelled when the tenure ends.
RunCell = Callable[[Tenure], Awaitable[None]]


def _always() -> bool:
    return True


@dataclass(slots=True)
class Campaign:
    """Makes this entry the owner whenever the cell has none, and keeps it so.

    The record of an owner whose process has ended is replaced before its
    lease lapses. If that process is alive after all, its next write is
    refused. ``store`` should have a short timeout, since a renewal that takes
    longer than the lease is of no use. ``is_prepared`` tells whether this
    entry has all that it needs to plan; it leaves the cell to others if not.
    """

    store: PollingStore
    view: OwnerView
    cell: CellId
    record: EntryRecord
    ttl_ms: int
    cpu_share: float
    run_cell: RunCell
    is_prepared: Callable[[], bool] = _always
    tenure: Tenure | None = None
    latest_tenure: Tenure | None = None
    has_resigned: bool = False
    _gives_way_until_s: float = 0

    async def run(self) -> None:
        """Campaign and run the cell during each tenure, until cancelled."""
        while True:
            await self._wait_until_replaceable()
            await trio.sleep(self._campaign_delay_s(now_s=boot_s()))
            await self._wait_until_prepared()
            replaced_revision = self._replaceable_revision()
            if replaced_revision is None or self.has_resigned:
                continue
            try:
                tenure = await self._acquire(replaced_revision)
            except Failure as failure:
                _LOG.info('ownership not acquired', error=str(failure))
                await trio.sleep(_RETRY_PAUSE_S)
                continue
            if tenure is None:
                await trio.sleep(_RETRY_PAUSE_S)
            else:
                await self._run_tenure(tenure)

    async def resign(self) -> None:
        """End the current tenure, if any, and stop campaigning for good."""
        self.has_resigned = True
        tenure = self.tenure
        if tenure is None:
            return
        tenure.scope.cancel()
        try:
            await self.store.revoke_lease(tenure.lease)
        except Failure as failure:
            _LOG.info('owner lease not revoked', error=str(failure))

    def give_way(self, *, now_s: float) -> None:
        """End the current tenure, and let other entries campaign first."""
        self._gives_way_until_s = now_s + _GIVE_WAY_PAUSE_S
        _LOG.warning('giving way', cell=self.cell)
        if self.tenure is not None:
            self.tenure.gives_way = True
            self.tenure.scope.cancel()

    async def _wait_until_replaceable(self) -> None:
        while self.has_resigned or not self.view.is_loaded:
            await trio.sleep(_RENEWAL_RETRY_PAUSE_S)
        while self._replaceable_revision() is None:
            await self.view.wait_change()

    async def _wait_until_prepared(self) -> None:
        """Leave the cell to other entries for a while, unless prepared."""
        with trio.move_on_after(_UNPREPARED_DELAY_S):
            while not self.is_prepared():
                await trio.sleep(_RENEWAL_RETRY_PAUSE_S)

    def _replaceable_revision(self) -> int | None:
        """Return the revision of the record to replace, 0 if there is none.

        Returns ``None`` while another owner may be alive. A record with this
        entry's id can be replaced: an earlier process wrote it, or a write of
        this process whose answer was lost.
        """
        owner = self.view.owners.get(self.cell)
        if owner is None:
            return 0
        is_own = owner.record.entry_id == self.record.entry_id
        if is_own or self.view.ended_revisions.get(self.cell) == owner.revision:
            return owner.revision
        return None

    def _campaign_delay_s(self, *, now_s: float) -> float:
        """Return how long to leave the cell to other entries."""
        jitter_s = random.uniform(0, _CAMPAIGN_JITTER_S)
        slowness = max(0, 1 - self.cpu_share)
        slowness_s = _SLOW_INSTANCE_DELAY_S * slowness
        if is_outclassed(self.cpu_share, self.view.fastest.get(self.cell, 0)):
            slowness_s += _OUTCLASSED_DELAY_S
        giving_way_s = max(0, self._gives_way_until_s - now_s)
        return jitter_s + slowness_s + giving_way_s

    async def _acquire(self, replaced_revision: int) -> Tenure | None:
        """Write the owner record; returns ``None`` unless it is written."""
        sent_s = boot_s()
        lease = await self.store.grant_lease(self.ttl_ms)
        write = Write(owner_key(self.cell), self._encode_record(), lease)
        revision: int | None = None
        try:
            outcome = await self.store.commit(
                [Guard(write.key, replaced_revision)], [write]
            )
        except StoreAnswerLost:
            revision = await self._find_written(write)
        else:
            if isinstance(outcome, Committed):
                revision = outcome.revision
        if revision is None:
            return None
        valid_until_s = sent_s + self.ttl_ms / _MS_PER_S
        return Tenure(self.cell, lease, revision, valid_until_s, boot_s())

    def _encode_record(self) -> bytes:
        """Return the record to write; no other write has an equal one."""
        return encode(structs.replace(self.record, nonce=random_id()))

    async def _find_written(self, write: Write) -> int | None:
        """Return the revision of the owner record if a write stored it."""
        stored = await self.store.read(write.key)
        if stored is None or stored.body != write.body:
            return None
        return stored.mod_revision

    async def _run_tenure(self, tenure: Tenure) -> None:
        """Run the cell until the tenure ends; failures are only logged."""
        _LOG.info(
            'ownership taken',
            cell=self.cell,
            fence=tenure.revision,
            entry=self.record.entry_id,
        )
        self.tenure = tenure
        pause_s = _RETRY_PAUSE_S
        try:
            with tenure.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._renew_lease, tenure)
                    nursery.start_soon(self._watch_record, tenure)
                    await self.run_cell(tenure)
        except* NotOwner as superseded_group:
            _LOG.info('superseded', error=str(superseded_group.exceptions[0]))
        except* Failure as failed_group:
            pause_s = _FAILED_PAUSE_S
            _LOG.warning('cell failed', error=repr(failed_group.exceptions[0]))
        except* Exception:
            # The state of the cell may be inconsistent; the store has the truth.
            pause_s = _FAILED_PAUSE_S
            log_unexpected(f'cell {self.cell}')
        finally:
            self._record_end(tenure, now_s=boot_s())
        _LOG.info('ownership ended', cell=self.cell, fence=tenure.revision)
        if not self.has_resigned:
            await self._release_lease(tenure)
            await trio.sleep(pause_s)

    def _record_end(self, tenure: Tenure, *, now_s: float) -> None:
        tenure.ended_s = now_s
        self.tenure = None
        self.latest_tenure = tenure

    async def _release_lease(self, tenure: Tenure) -> None:
        owner = self.view.owners.get(self.cell)
        if owner is not None and owner.revision == tenure.revision:
            self.view.owners.pop(self.cell)
        with trio.move_on_after(_RETRY_PAUSE_S):
            try:
                await self._end_tenure(tenure)
            except Failure as failure:
                _LOG.info('owner lease not revoked', error=str(failure))

    async def _end_tenure(self, tenure: Tenure) -> None:
        """Tell whether the owner gave way, and revoke the lease."""
        if tenure.gives_way:
            write = Write(giving_way_key(self.cell), self._encode_record())
            await self.store.commit([tenure.guard], [write])
        await self.store.revoke_lease(tenure.lease)

    async def _renew_lease(self, tenure: Tenure) -> None:
        """Renew the lease periodically; end the tenure when it has lapsed."""
        pause_s = self.ttl_ms / _MS_PER_S / _RENEWALS_PER_TTL
        is_failing = False
        while True:
            due_s = boot_s() + pause_s
            await trio.sleep(pause_s)
            sent_s = boot_s()
            try:
                exists = await self.store.keep_alive(tenure.lease)
            except Failure as failure:
                if not is_failing:
                    _log_failed_renewal(failure, due_s, sent_s)
                is_failing = True
                pause_s = _RENEWAL_RETRY_PAUSE_S
                continue
            is_failing = False
            pause_s = self.ttl_ms / _MS_PER_S / _RENEWALS_PER_TTL
            if not exists:
                _LOG.warning(
                    'lease lapsed',
                    cell=self.cell,
                    late_s=round(sent_s - due_s, 3),
                )
                tenure.scope.cancel()
                return
            tenure.valid_until_s = sent_s + self.ttl_ms / _MS_PER_S

    async def _watch_record(self, tenure: Tenure) -> None:
        """End the tenure when the store has another owner record, or none.

        Until the view has this tenure's record, it may show an older one.
        """
        was_own_record_seen = False
        while True:
            await self.view.wait_change()
            owner = self.view.owners.get(self.cell)
            revision = 0 if owner is None else owner.revision
            is_current_record = revision == tenure.revision
            was_own_record_seen = was_own_record_seen or is_current_record
            is_older = not was_own_record_seen and revision < tenure.revision
            if not is_current_record and not is_older:
                _LOG.warning('owner record replaced or deleted', cell=self.cell)
                tenure.scope.cancel()
                return


def _log_failed_renewal(failure: Failure, due_s: float, sent_s: float) -> None:
    """Log the first of several failures of renewals.

    ``late_s`` tells how late this process sent it, and ``took_s`` how long it
    waited then; a process that is busy is late, and takes answers late.
    """
    _LOG.warning(
        'lease not renewed',
        error=str(failure),
        late_s=round(sent_s - due_s, 3),
        took_s=round(boot_s() - sent_s, 3),
    )
