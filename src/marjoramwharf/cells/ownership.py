"""Who owns a cell: a leased record in the store, taken by compare-and-swap.

The revision at which the record was created is the fence of the owner's
orders; it rises with every take-over.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from marjoramwharf.cells.clocks import boot_s
from marjoramwharf.cells.records import (
    OWNERS_PREFIX,
    CellId,
    EntryRecord,
    decode,
    encode,
    owner_key,
)
from marjoramwharf.errors import Failure, NotOwner, StoreAnswerLost
from marjoramwharf.ids import LeaseId
from marjoramwharf.links.store import (
    Committed,
    Guard,
    PollingStore,
    WatchBatch,
    Write,
)
from marjoramwharf.logs import part_logger

_LOG = part_logger('owner')
_MS_PER_S = 1_000

# Entries that saw the same record end don't all write at the same moment.
_CAMPAIGN_SPREAD_S = 0.03

# An instance slower than a whole core leaves the cell to faster ones first.
_SLOW_INSTANCE_PAUSE_S = 0.3
_FAILED_PAUSE_S = 0.2
_RENEWALS_PER_TTL = 4
_RENEWAL_PAUSE_S = 0.1


@dataclass(frozen=True, slots=True)
class KnownOwner:
    """The owner of a cell, and the revision of its record."""

    record: EntryRecord
    revision: int


@dataclass(slots=True)
class OwnerView:
    """The owners of all cells as the store tells them.

    ``gone`` has the revisions of records whose owner's process has ended; it
    is not counted on for anything but an early campaign.
    """

    owners: dict[CellId, KnownOwner] = field(default_factory=dict)
    gone: dict[CellId, int] = field(default_factory=dict)
    is_known: bool = False
    _changed: trio.Event = field(default_factory=trio.Event)

    async def apply(self, batch: WatchBatch) -> None:
        """Take in changes of the owners' records."""
        if batch.restarted:
            self.owners.clear()
        for event in batch.events:
            cell = CellId(int(event.key.removeprefix(OWNERS_PREFIX)))
            self.gone.pop(cell, None)
            if event.stored is None:
                self.owners.pop(cell, None)
                continue
            record = decode(event.stored.body, EntryRecord, key=event.key)
            self.owners[cell] = KnownOwner(
                record,
                event.stored.mod_revision,
            )
        self.is_known = True
        self._notify()

    def note_gone(self, known: KnownOwner) -> None:
        """Note that the process of an owner has ended."""
        for cell, present in self.owners.items():
            if present == known and cell not in self.gone:
                _LOG.warning('owner gone', owner=known.record.entry_id)
                self.gone[cell] = known.revision
                self._notify()

    async def wait_change(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


@dataclass(slots=True)
class Tenure:
    """One ownership of a cell.

    ``valid_until_s`` is a time of the boot clock up to which no other entry
    can have taken the record.
    """

    cell: CellId
    lease: LeaseId
    revision: int
    valid_until_s: float
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def guard(self) -> Guard:
        """The condition that the record is still this tenure's."""
        return Guard(owner_key(self.cell), self.revision)

    def is_current(self, now_s: float) -> bool:
        """Whether the lease can't have ended yet."""
        return now_s < self.valid_until_s


# Runs a cell during a tenure; cancelled when the tenure ends.
RunCell = Callable[[Tenure], Awaitable[None]]


@dataclass(slots=True)
class Campaign:
    """Takes a cell whenever it has no owner, and keeps it.

    The record of an owner whose process has ended is replaced before its
    lease lapses. If that process lives after all, its next write is refused.
    ``store`` should give up early, since a renewal that takes longer than the
    lease is of no use.
    """

    store: PollingStore
    view: OwnerView
    cell: CellId
    record: EntryRecord
    ttl_ms: int
    cpu_share: float
    run_cell: RunCell
    tenure: Tenure | None = None
    is_withdrawn: bool = False

    async def run(self) -> None:
        """Campaign until cancelled."""
        while True:
            await self._wait_for_vacancy()
            await trio.sleep(self._head_start_s())
            replaced = self._replaceable_revision()
            if replaced is None or self.is_withdrawn:
                continue
            try:
                tenure = await self._take(replaced)
            except Failure as failure:
                _LOG.info('cell not taken', error=str(failure))
                await trio.sleep(_FAILED_PAUSE_S)
                continue
            if tenure is None:
                await trio.sleep(_FAILED_PAUSE_S)
            else:
                await self._serve(tenure)

    async def withdraw(self) -> None:
        """End the tenure, if there is one, and don't campaign again."""
        self.is_withdrawn = True
        tenure = self.tenure
        if tenure is None:
            return
        tenure.scope.cancel()
        try:
            await self.store.revoke_lease(tenure.lease)
        except Failure as failure:
            _LOG.info('lease not ended', error=str(failure))

    async def _wait_for_vacancy(self) -> None:
        while self.is_withdrawn or not self.view.is_known:
            await trio.sleep(_RENEWAL_PAUSE_S)
        while self._replaceable_revision() is None:
            await self.view.wait_change()

    def _replaceable_revision(self) -> int | None:
        """Return the revision of a record to replace, 0 if there is none.

        Returns ``None`` while another owner may live. A record of this
        instance is of an earlier process, or was left by a lost write.
        """
        known = self.view.owners.get(self.cell)
        if known is None:
            return 0
        is_ours = known.record.entry_id == self.record.entry_id
        if is_ours or self.view.gone.get(self.cell) == known.revision:
            return known.revision
        return None

    def _head_start_s(self) -> float:
        spread_s = random.uniform(0, _CAMPAIGN_SPREAD_S)
        slowness = max(0, 1 - self.cpu_share)
        return spread_s + _SLOW_INSTANCE_PAUSE_S * slowness

    async def _take(self, replaced: int) -> Tenure | None:
        sent_s = boot_s()
        lease = await self.store.grant_lease(self.ttl_ms)
        key = owner_key(self.cell)
        revision: int | None = None
        try:
            outcome = await self.store.commit(
                [Guard(key, replaced)],
                [Write(key, encode(self.record), lease)],
            )
        except StoreAnswerLost:
            revision = await self._settle(key)
        else:
            if isinstance(outcome, Committed):
                revision = outcome.revision
        if revision is None:
            return None
        until_s = sent_s + self.ttl_ms / _MS_PER_S
        return Tenure(self.cell, lease, revision, until_s)

    async def _settle(self, key: str) -> int | None:
        stored = await self.store.read(key)
        if stored is None or stored.body != encode(self.record):
            return None
        return stored.mod_revision

    async def _serve(self, tenure: Tenure) -> None:
        _LOG.info(
            'ownership taken',
            cell=self.cell,
            fence=tenure.revision,
            entry=self.record.entry_id,
        )
        self.tenure = tenure
        try:
            with tenure.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._keep, tenure)
                    nursery.start_soon(self._watch, tenure)
                    await self.run_cell(tenure)
        except* NotOwner as lost:
            _LOG.info('superseded', error=str(lost.exceptions[0]))
        except* Failure as failed:
            _LOG.warning('cell failed', error=repr(failed.exceptions[0]))
        finally:
            self.tenure = None
        _LOG.info('ownership ended', cell=self.cell, fence=tenure.revision)
        if not self.is_withdrawn:
            await self._release(tenure)

    async def _release(self, tenure: Tenure) -> None:
        self.view.owners.pop(self.cell, None)
        with trio.move_on_after(_FAILED_PAUSE_S):
            try:
                await self.store.revoke_lease(tenure.lease)
            except Failure as failure:
                _LOG.info('lease not ended', error=str(failure))
        await trio.sleep(_FAILED_PAUSE_S)

    async def _keep(self, tenure: Tenure) -> None:
        """Renew the lease; ends the tenure when it has lapsed."""
        pause_s = self.ttl_ms / _MS_PER_S / _RENEWALS_PER_TTL
        is_failing = False
        while True:
            await trio.sleep(pause_s)
            sent_s = boot_s()
            try:
                exists = await self.store.keep_alive(tenure.lease)
            except Failure as failure:
                if not is_failing:
                    _LOG.warning('lease not renewed', error=str(failure))
                is_failing = True
                pause_s = _RENEWAL_PAUSE_S
                continue
            is_failing = False
            pause_s = self.ttl_ms / _MS_PER_S / _RENEWALS_PER_TTL
            if not exists:
                _LOG.warning('lease lapsed', cell=self.cell)
                tenure.scope.cancel()
                return
            tenure.valid_until_s = sent_s + self.ttl_ms / _MS_PER_S

    async def _watch(self, tenure: Tenure) -> None:
        """End the tenure when the store names another owner, or none."""
        was_seen = False
        while True:
            await self.view.wait_change()
            known = self.view.owners.get(self.cell)
            is_mine = known is not None and known.revision == tenure.revision
            was_seen = was_seen or is_mine
            if was_seen and not is_mine:
                _LOG.warning('record taken away', cell=self.cell)
                tenure.scope.cancel()
                return
