"""The owner's ledger of the grants and reservations of one worker.

The ledger does no I/O; callers pass the present time in monotonic seconds.
The slots of an expired grant become free only after the worker has
acknowledged the revocation, never by the expiry alone.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from marjoramwharf.contracts.permits import Grant
from marjoramwharf.contracts.reservations import Reservations
from marjoramwharf.ids import EntryId, Epoch, GrantId, Incarnation, WorkerId
from marjoramwharf.machines.calls import LeaseReply, RunningCall
from marjoramwharf.machines.worker import Worker

_ID_SEPARATOR = '@'


@dataclass(frozen=True, slots=True)
class NoGrant:
    """No grant was lent or renewed."""


@dataclass(slots=True)
class _LentGrant:
    borrower: EntryId
    slots_count: int
    expires_at_s: float
    revoking: bool = False


@dataclass(slots=True)
class _Session:
    incarnation: Incarnation | None
    connections_count: int


def worker_id_of(grant_id: GrantId) -> WorkerId:
    """Return the worker that a grant id names."""
    return WorkerId(grant_id.partition(_ID_SEPARATOR)[2])


class WorkerLedger:
    """Tracks the slots, sessions, grants and reservations of one worker.

    Nothing is lent before the worker is fenced: it has acknowledged the epoch.
    A session is the set of connections that one borrower may open to it.
    """

    def __init__(
        self,
        worker: Worker,
        epoch: Epoch,
        *,
        grant_ttl_s: float,
        connections_per_session: int,
    ) -> None:
        """Start unfenced, with the state of the worker unknown."""
        self.worker = worker
        self.epoch = epoch
        self.reservations = Reservations(worker.capacity)
        self.fenced = False
        self.leaving = False
        self.reported_at_s: float = 0
        self._expiry_s: float = 0
        self._grant_ttl_s = grant_ttl_s
        self._connections_per_session = connections_per_session
        self._grant_numbers = itertools.count(1)
        self._grants: dict[GrantId, _LentGrant] = {}
        self._sessions: dict[EntryId, _Session] = {}
        self._calls_without_grant_count = 0

    @property
    def free_slots_count(self) -> int:
        """Slots that may be lent now; 0 before the fence or when leaving."""
        if self.leaving or not self.fenced:
            return 0
        lent_count = sum(held.slots_count for held in self._grants.values())
        total = self.worker.capacity.slots_count
        return max(0, total - lent_count - self._calls_without_grant_count)

    @property
    def lent_grants_count(self) -> int:
        """Number of lent grants, including those being revoked."""
        return len(self._grants)

    def accepts_work(self, now_s: float) -> bool:
        """Tell whether the worker may get new work.

        A worker whose last heartbeat reply is older than the lifetime of a
        grant may be leaving, so it gets none.
        """
        if self.leaving or not self.fenced:
            return False
        return now_s < self._expiry_s

    @property
    def free_connections_count(self) -> int:
        """Connections that are not part of a session."""
        used = sum(held.connections_count for held in self._sessions.values())
        return max(0, self.worker.capacity.connections_count - used)

    def record_fence(self, reply: LeaseReply, sent_at_s: float) -> None:
        """Record that the worker acknowledged the epoch; allow lending.

        All connections and calls that the worker reports count as used.
        """
        for entry, count in reply.connections:
            if count:
                connections_count = max(count, self._connections_per_session)
                self._sessions[entry] = _Session(None, connections_count)
        self.fenced = True
        self.record_report(reply, sent_at_s)

    def lend(
        self,
        borrower: EntryId,
        slots_count: int,
        *,
        incarnation: Incarnation,
    ) -> Grant | NoGrant:
        """Lend up to ``slots_count`` slots; open a session if there is none.

        A restarted borrower gets nothing until the grants and connections of
        its predecessor have ended.
        """
        free = min(slots_count, self.free_slots_count)
        if free <= 0 or not self._open_session(borrower, incarnation):
            return NoGrant()
        # One connection of a session is reserved for cancellations and
        # heartbeats; each slot needs one of the others.
        usable = (
            self._connections_per_session - 1 - self._slots_lent_to(borrower)
        )
        slots = min(free, usable)
        if slots <= 0:
            return NoGrant()
        number = next(self._grant_numbers)
        worker_id = self.worker.worker_id
        grant_id = GrantId(f'{self.epoch}-{number}{_ID_SEPARATOR}{worker_id}')
        self._grants[grant_id] = _LentGrant(borrower, slots, self._expiry_s)
        return self._make_grant(grant_id)

    def renew(
        self,
        borrower: EntryId,
        grant_id: GrantId,
    ) -> Grant | NoGrant:
        """Extend a grant unless its revocation has started."""
        held = self._grants.get(grant_id)
        if held is None or held.borrower != borrower:
            return NoGrant()
        if held.revoking or self.leaving:
            return NoGrant()
        held.expires_at_s = self._expiry_s
        return self._make_grant(grant_id)

    def give_back(
        self,
        borrower: EntryId,
        grant_id: GrantId,
        slots_count: int,
    ) -> None:
        """Free slots that the borrower has removed from its permit pool.

        During a revocation it does nothing: the revocation frees the slots.
        """
        held = self._grants.get(grant_id)
        if held is None or held.borrower != borrower or held.revoking:
            return
        held.slots_count -= max(0, slots_count)
        if held.slots_count <= 0:
            self._grants.pop(grant_id)

    def start_revocations(self, now_s: float) -> list[GrantId]:
        """Start the revocation of expired grants; return all being revoked.

        A grant is returned until the worker has acknowledged its revocation.
        """
        due = []
        for grant_id, held in self._grants.items():
            if self.leaving or held.expires_at_s <= now_s:
                held.revoking = True
            if held.revoking:
                due.append(grant_id)
        return due

    def revoke_borrower(self, borrower: EntryId) -> None:
        """Start the revocation of all grants of one borrower."""
        for held in self._grants.values():
            held.revoking = held.revoking or held.borrower == borrower

    def grants_by_borrower(self) -> dict[EntryId, list[GrantId]]:
        """Return the grants of each borrower, including those being revoked."""
        found: dict[EntryId, list[GrantId]] = {}
        for grant_id, held in self._grants.items():
            found.setdefault(held.borrower, []).append(grant_id)
        return found

    def record_revocations(
        self,
        grant_ids: Iterable[GrantId],
        running: Iterable[RunningCall],
    ) -> None:
        """Free the slots of revoked grants, except for calls still running."""
        for grant_id in grant_ids:
            held = self._grants.get(grant_id)
            if held is not None and held.revoking:
                self._grants.pop(grant_id)
        self._record_running_calls(running)

    def record_report(self, reply: LeaseReply, sent_at_s: float) -> None:
        """Record the calls, tasks and connections of a heartbeat reply.

        ``sent_at_s`` is the time when the heartbeat was sent.
        """
        self.leaving = self.leaving or reply.leaving
        self.reported_at_s = sent_at_s
        # Counted from the worker's last report, so that no grant is valid for
        # longer than its lifetime after the worker may have begun to leave.
        self._expiry_s = sent_at_s + self._grant_ttl_s
        self._record_running_calls(reply.running)
        self.reservations.record_reports(reply.tasks, sent_at_s)
        counts = dict(reply.connections)
        borrowers = self.grants_by_borrower()
        for entry in tuple(self._sessions):
            if entry not in borrowers and not counts.get(entry):
                self._sessions.pop(entry)

    def _slots_lent_to(self, borrower: EntryId) -> int:
        return sum(
            held.slots_count
            for held in self._grants.values()
            if held.borrower == borrower
        )

    def _record_running_calls(self, running: Iterable[RunningCall]) -> None:
        self._calls_without_grant_count = sum(
            call.grant_id not in self._grants for call in running
        )

    def _open_session(
        self,
        borrower: EntryId,
        incarnation: Incarnation,
    ) -> bool:
        session = self._sessions.get(borrower)
        if session is None:
            if self.free_connections_count < self._connections_per_session:
                return False
            self._sessions[borrower] = _Session(
                incarnation,
                self._connections_per_session,
            )
            return True
        if (
            session.incarnation is None
            and borrower not in self.grants_by_borrower()
        ):
            # After a takeover of the worker, the first incarnation that
            # borrows keeps the connections counted for the borrower.
            session.incarnation = incarnation
        if session.incarnation != incarnation:
            self.revoke_borrower(borrower)
            return False
        return True

    def _make_grant(self, grant_id: GrantId) -> Grant:
        held = self._grants[grant_id]
        session = self._sessions[held.borrower]
        return Grant(
            grant_id=grant_id,
            worker_id=self.worker.worker_id,
            epoch=self.epoch,
            slots_count=held.slots_count,
            connections_count=session.connections_count,
            expires_at_s=held.expires_at_s,
        )
