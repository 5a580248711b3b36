"""A model of one worker, its owners and borrowers, driven by hypothesis."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, replace

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from marjoramwharf.contracts.ledger import WorkerLedger
from marjoramwharf.contracts.permit_pool import PermitPool
from marjoramwharf.contracts.permits import Grant, Permit
from marjoramwharf.ids import (
    CallId,
    DataCentreId,
    EntryId,
    Epoch,
    GrantId,
    Incarnation,
    RackId,
    ServiceId,
    WorkerId,
)
from marjoramwharf.machines.calls import LeaseReply, RunningCall
from marjoramwharf.machines.worker import Capacity, Worker

SERVICE = ServiceId('notices')
CONNECTIONS_PER_SESSION = 5
WORKER = Worker(
    worker_id=WorkerId('w1'),
    url='http://127.0.0.1:1',
    data_centre=DataCentreId('dc-1'),
    rack=RackId('r1'),
    capacity=Capacity(2, 64, 4000, 8000, 1),
    services=frozenset((SERVICE,)),
)
# Few connections and many slots, so that sessions are the limit.
FEW_CONNECTIONS = replace(WORKER, capacity=Capacity(8, 6, 4000, 8000, 1))


def make_wallet() -> PermitPool:
    """Return an empty wallet that knows the worker."""
    return PermitPool(lambda _worker: WORKER.services)


class ModelWorker:
    """A worker that trusts the protocol: it never counts its own slots."""

    def __init__(self) -> None:
        """Start without calls."""
        self.epoch = Epoch(0)
        self.revoked: set[GrantId] = set()
        self.running: dict[CallId, tuple[GrantId, EntryId]] = {}
        self.connections: Counter[EntryId] = Counter()

    def accept(self, call_id: CallId, permit: Permit, sender: EntryId) -> bool:
        """Run a call unless its epoch or grant is fenced off."""
        if permit.epoch < self.epoch or permit.grant_id in self.revoked:
            return False
        self.running[call_id] = (permit.grant_id, sender)
        self.connections[sender] = CONNECTIONS_PER_SESSION
        return True

    def lease(self, epoch: Epoch, revoked: list[GrantId]) -> LeaseReply:
        """Fence and report."""
        if epoch >= self.epoch:
            self.epoch = epoch
            self.revoked.update(revoked)
        return LeaseReply(
            epoch=self.epoch,
            leaving=False,
            running=tuple(
                RunningCall(call_id, grant_id)
                for call_id, (grant_id, _) in self.running.items()
            ),
            tasks=(),
            connections=tuple(self.connections.items()),
        )


@dataclass
class Owner:
    """An owner that may be paused while a successor acts."""

    ledger: WorkerLedger
    pending: tuple[LeaseReply, list[GrantId], float] | None = None


@dataclass
class Sent:
    """A call that may be delayed on its way to the worker."""

    call_id: CallId
    permit: Permit
    sender: EntryId


_PICK = st.integers(0, 7)
_BORROWERS = tuple(map(EntryId, ('e1', 'e2', 'e3')))
_NAMES = st.sampled_from(_BORROWERS)
_FATES = st.sampled_from(('received', 'received', 'received', 'late', 'lost'))


class _LendingState(RuleBasedStateMachine):
    """The worker, its owners and borrowers, and what must always hold."""

    ledger_type = WorkerLedger
    worker_values = WORKER

    def __init__(self) -> None:
        """Start with an owner that has not yet fenced the worker."""
        super().__init__()
        self.now_s: float = 0
        self.worker = ModelWorker()
        self.owners = [self._owner(Epoch(1))]
        self.wallets = {name: make_wallet() for name in _BORROWERS}
        self.lives = dict.fromkeys(_BORROWERS, 0)
        self.late_grants: list[tuple[EntryId, int, Grant]] = []
        self.sent: list[Sent] = []
        self.doubts: list[Sent] = []
        self.calls_count = 0
        self.rng = random.Random(1)

    @invariant()
    def worker_is_not_overloaded(self) -> None:
        """The worker runs no more calls than it has slots."""
        assert (
            len(self.worker.running) <= self.worker_values.capacity.slots_count
        )

    @invariant()
    def connections_fit(self) -> None:
        """The sessions stay within the worker's connections."""
        used = sum(self.worker.connections.values())
        assert used <= self.worker_values.capacity.connections_count

    def has_pending(self) -> bool:
        """Tell whether a heartbeat reply is on its way."""
        return any(owner.pending is not None for owner in self.owners)

    def _owner(self, epoch: Epoch) -> Owner:
        ledger = self.ledger_type(
            self.worker_values,
            epoch,
            grant_ttl_s=3,
            connections_per_session=CONNECTIONS_PER_SESSION,
        )
        return Owner(ledger)

    def _pick_owner(self, pick: int) -> Owner:
        # The newest owner gets most events, the paused one a few.
        if pick == 0:
            return self.owners[0]
        return self.owners[-1]

    def _has_call(self, name: EntryId) -> bool:
        return any(sent.sender == name for sent in (*self.sent, *self.doubts))


class LendingMachine(_LendingState):
    """Checks that no order of events overloads the worker."""

    def __init__(self) -> None:
        """Start with an owner that has fenced the worker."""
        super().__init__()
        self.heartbeat(1, 'received')

    @rule(seconds=st.sampled_from((0.1, 4)), fate=_FATES, sweep=st.booleans())
    def pass_time(self, seconds: float, fate: str, sweep: bool) -> None:
        """Let grants expire, with the next heartbeat of the newest owner."""
        self.now_s += seconds
        self.heartbeat(-1, fate)
        if sweep:
            for permit_pool in self.wallets.values():
                permit_pool.drop_expired(self.now_s)

    @rule(pick=_PICK, name=_NAMES, slots=st.integers(1, 2), fate=_FATES)
    def borrow(self, pick: int, name: EntryId, slots: int, fate: str) -> None:
        """Ask any process that believes it is the owner."""
        life = self.lives[name]
        lent = self._pick_owner(pick).ledger.lend(
            name,
            slots,
            incarnation=Incarnation(str(life)),
        )
        if isinstance(lent, Grant):
            self.late_grants.append((name, life, lent))
            if fate == 'received':
                self.receive_grant(-1)
            elif fate == 'lost':
                self.late_grants.pop()

    @rule(name=_NAMES, late=st.booleans())
    def borrow_and_call(self, name: EntryId, late: bool) -> None:
        """Borrow from the newest owner for a call that is sent now or late."""
        if self.owners[-1].ledger.fenced:
            self.heartbeat(-1, 'received')
        self.borrow(-1, name, 2, 'received')
        self.call(name, late)

    @precondition(lambda machine: machine.late_grants)
    @rule(pick=_PICK)
    def receive_grant(self, pick: int) -> None:
        """Deliver a grant, at any later time."""
        name, life, grant = self.late_grants.pop(pick % len(self.late_grants))
        if life == self.lives[name]:
            self.wallets[name].add(grant, self.now_s)

    @rule(name=_NAMES, late=st.booleans())
    def call(self, name: EntryId, late: bool) -> None:
        """Take two permits; the calls may be sent much later."""
        for _ in range(2):
            permit = self.wallets[name].take_random(
                SERVICE,
                self.now_s,
                rng=self.rng,
            )
            if permit is None:
                return
            self.calls_count += 1
            call_id = CallId(str(self.calls_count))
            self.sent.append(Sent(call_id, permit, name))
            if not late:
                self.deliver(-1)

    @precondition(lambda machine: machine.sent)
    @rule(pick=_PICK)
    def deliver(self, pick: int) -> None:
        """Let a delayed call reach the worker."""
        sent = self.sent.pop(pick % len(self.sent))
        if self.worker.accept(sent.call_id, sent.permit, sent.sender):
            self.wallets[sent.sender].mark_in_doubt(sent.permit)
            self.doubts.append(sent)
        else:
            self.wallets[sent.sender].put_back(sent.permit, self.now_s)

    @precondition(lambda machine: machine.worker.running)
    @rule(pick=_PICK, release_in_doubt=st.booleans())
    def finish(self, pick: int, settled: bool) -> None:
        """End one call or all, and perhaps tell the borrowers."""
        names = list(self.worker.running)
        self.worker.running.pop(names[pick % len(names)])
        if pick > 3:
            self.worker.running.clear()
        if settled:
            self.settle()

    @precondition(lambda machine: machine.doubts)
    @rule()
    def settle(self) -> None:
        """Free the permits whose calls have ended."""
        for sent in tuple(self.doubts):
            if sent.call_id not in self.worker.running:
                self.doubts.remove(sent)
                self.wallets[sent.sender].release_in_doubt(
                    sent.permit, self.now_s
                )

    @rule(name=_NAMES, pick=_PICK)
    def renew(self, name: EntryId, pick: int) -> None:
        """Renew the grants of a borrower at one owner."""
        ledger = self._pick_owner(pick).ledger
        for grant_id in self.wallets[name].renewable_grants():
            renewed = ledger.renew(name, grant_id)
            if isinstance(renewed, Grant):
                self.wallets[name].renew(grant_id, renewed.expires_at_s)

    @rule(name=_NAMES, lost=st.booleans())
    def give_back(self, name: EntryId, lost: bool) -> None:
        """Return the free permits; a lost return must not free twice."""
        permit_pool = self.wallets[name]
        shares = permit_pool.withdraw_idle(self.now_s, idle_after_s=0)
        if not permit_pool.renewable_grants() and not self._has_call(name):
            self.worker.connections[name] = 0
        for share in shares:
            if lost:
                permit_pool.mark_return_failed((share.grant_id,))
                continue
            for owner in self.owners:
                owner.ledger.give_back(name, share.grant_id, share.slots_count)

    @rule(name=_NAMES)
    def crash(self, name: EntryId) -> None:
        """Restart a borrower; its running calls go on."""
        self.lives[name] += 1
        self.wallets[name] = make_wallet()
        self.sent = [sent for sent in self.sent if sent.sender != name]
        self.doubts = [sent for sent in self.doubts if sent.sender != name]
        self.worker.connections[name] = 0

    @rule(pick=_PICK, fate=_FATES)
    def heartbeat(self, pick: int, fate: str) -> None:
        """Reach the worker; the reply is processed now, later or never."""
        owner = self._pick_owner(pick)
        if owner.pending is None:
            revoked = owner.ledger.start_revocations(self.now_s)
            reply = self.worker.lease(owner.ledger.epoch, revoked)
            owner.pending = (reply, revoked, self.now_s)
            if fate == 'received':
                self.receive_reply(pick)
            elif fate == 'lost':
                owner.pending = None

    @precondition(lambda machine: machine.has_pending())
    @rule(pick=_PICK)
    def receive_reply(self, pick: int) -> None:
        """Process the reply of a heartbeat."""
        owner = self._pick_owner(pick)
        pending = owner.pending
        owner.pending = None
        if pending is None:
            return
        reply, revoked, sent_at_s = pending
        if reply.epoch == owner.ledger.epoch:
            if owner.ledger.fenced:
                owner.ledger.record_revocations(revoked, reply.running)
                owner.ledger.record_report(reply, sent_at_s)
            else:
                owner.ledger.record_fence(reply, sent_at_s)

    @rule()
    def take_over(self) -> None:
        """Start a successor; the former owner does not know of it."""
        epoch = Epoch(self.owners[-1].ledger.epoch + 1)
        self.owners = [*self.owners[-1:], self._owner(epoch)]
