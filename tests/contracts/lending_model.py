"""A state machine of one worker, its owners and borrowers, for hypothesis."""

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


def make_permit_pool() -> PermitPool:
    """Return an empty permit pool that knows the worker's services."""
    return PermitPool(lambda _worker: WORKER.services)


class ModelWorker:
    """A worker that never limits its calls, so only the protocol does."""

    def __init__(self) -> None:
        """Start without calls."""
        self.epoch = Epoch(0)
        self.revoked: set[GrantId] = set()
        self.running: dict[CallId, tuple[GrantId, EntryId]] = {}
        self.connections: Counter[EntryId] = Counter()

    def accept(self, call_id: CallId, permit: Permit, sender: EntryId) -> bool:
        """Run a call unless its epoch is stale or its grant is revoked."""
        if permit.epoch < self.epoch or permit.grant_id in self.revoked:
            return False
        self.running[call_id] = (permit.grant_id, sender)
        self.connections[sender] = CONNECTIONS_PER_SESSION
        return True

    def lease(self, epoch: Epoch, revoked: list[GrantId]) -> LeaseReply:
        """Fence lower epochs, revoke grants and report the running calls."""
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
    """An owner that may be paused while its successor is active."""

    ledger: WorkerLedger
    pending: tuple[LeaseReply, list[GrantId], float] | None = None


@dataclass
class SentCall:
    """A call that may reach the worker with a delay."""

    call_id: CallId
    permit: Permit
    sender: EntryId


_PICK = st.integers(0, 7)
_BORROWERS = tuple(map(EntryId, ('e1', 'e2', 'e3')))
_NAMES = st.sampled_from(_BORROWERS)
_FATES = st.sampled_from(('received', 'received', 'received', 'late', 'lost'))


class _LendingState(RuleBasedStateMachine):
    """The worker, its owners and borrowers, and the invariants."""

    ledger_type = WorkerLedger
    worker_spec = WORKER

    def __init__(self) -> None:
        """Start with an owner that has not yet fenced the worker."""
        super().__init__()
        self.now_s: float = 0
        self.worker = ModelWorker()
        self.owners = [self._owner(Epoch(1))]
        self.pools = {name: make_permit_pool() for name in _BORROWERS}
        self.restarts = dict.fromkeys(_BORROWERS, 0)
        self.undelivered: list[tuple[EntryId, int, Grant]] = []
        self.in_flight: list[SentCall] = []
        self.in_doubt: list[SentCall] = []
        self.sent_calls_count = 0
        self.rng = random.Random(1)

    @invariant()
    def worker_is_not_overloaded(self) -> None:
        """The worker runs no more calls than it has slots."""
        assert len(self.worker.running) <= self.worker_spec.capacity.slots_count

    @invariant()
    def connections_fit(self) -> None:
        """The sessions stay within the worker's connections."""
        used = sum(self.worker.connections.values())
        assert used <= self.worker_spec.capacity.connections_count

    def has_pending_reply(self) -> bool:
        """Tell whether a heartbeat reply is not processed yet."""
        return any(owner.pending is not None for owner in self.owners)

    def _owner(self, epoch: Epoch) -> Owner:
        ledger = self.ledger_type(
            self.worker_spec,
            epoch,
            grant_ttl_s=3,
            connections_per_session=CONNECTIONS_PER_SESSION,
        )
        return Owner(ledger)

    def _pick_owner(self, pick: int) -> Owner:
        # Most events go to the newest owner, a few to the paused one.
        if pick == 0:
            return self.owners[0]
        return self.owners[-1]

    def _has_call(self, name: EntryId) -> bool:
        return any(
            sent.sender == name for sent in (*self.in_flight, *self.in_doubt)
        )


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
            for pool in self.pools.values():
                pool.drop_expired(self.now_s)

    @rule(pick=_PICK, name=_NAMES, slots=st.integers(1, 2), fate=_FATES)
    def borrow(self, pick: int, name: EntryId, slots: int, fate: str) -> None:
        """Borrow from a process that believes it is the owner."""
        restart_count = self.restarts[name]
        lent = self._pick_owner(pick).ledger.lend(
            name,
            slots,
            incarnation=Incarnation(str(restart_count)),
        )
        if isinstance(lent, Grant):
            self.undelivered.append((name, restart_count, lent))
            if fate == 'received':
                self.receive_grant(-1)
            elif fate == 'lost':
                self.undelivered.pop()

    @rule(name=_NAMES, late=st.booleans())
    def borrow_and_call(self, name: EntryId, late: bool) -> None:
        """Borrow from the newest owner for a call that is sent now or late."""
        if self.owners[-1].ledger.fenced:
            self.heartbeat(-1, 'received')
        self.borrow(-1, name, 2, 'received')
        self.call(name, late)

    @precondition(lambda machine: machine.undelivered)
    @rule(pick=_PICK)
    def receive_grant(self, pick: int) -> None:
        """Deliver a grant, at any later time."""
        name, restart_count, grant = self.undelivered.pop(
            pick % len(self.undelivered)
        )
        if restart_count == self.restarts[name]:
            self.pools[name].add(grant, self.now_s)

    @rule(name=_NAMES, late=st.booleans())
    def call(self, name: EntryId, late: bool) -> None:
        """Take two permits; the calls may be sent much later."""
        for _ in range(2):
            permit = self.pools[name].take_random(
                SERVICE,
                self.now_s,
                rng=self.rng,
            )
            if permit is None:
                return
            self.sent_calls_count += 1
            call_id = CallId(str(self.sent_calls_count))
            self.in_flight.append(SentCall(call_id, permit, name))
            if not late:
                self.deliver(-1)

    @precondition(lambda machine: machine.in_flight)
    @rule(pick=_PICK)
    def deliver(self, pick: int) -> None:
        """Let a delayed call reach the worker."""
        sent = self.in_flight.pop(pick % len(self.in_flight))
        if self.worker.accept(sent.call_id, sent.permit, sent.sender):
            self.pools[sent.sender].mark_in_doubt(sent.permit)
            self.in_doubt.append(sent)
        else:
            self.pools[sent.sender].put_back(sent.permit, self.now_s)

    @precondition(lambda machine: machine.worker.running)
    @rule(pick=_PICK, settled=st.booleans())
    def finish(self, pick: int, settled: bool) -> None:
        """End one call or all, and perhaps tell the borrowers."""
        names = list(self.worker.running)
        self.worker.running.pop(names[pick % len(names)])
        if pick > 3:
            self.worker.running.clear()
        if settled:
            self.settle()

    @precondition(lambda machine: machine.in_doubt)
    @rule()
    def settle(self) -> None:
        """Free the permits whose calls have ended."""
        for sent in tuple(self.in_doubt):
            if sent.call_id not in self.worker.running:
                self.in_doubt.remove(sent)
                self.pools[sent.sender].release_in_doubt(
                    sent.permit, self.now_s
                )

    @rule(name=_NAMES, pick=_PICK)
    def renew(self, name: EntryId, pick: int) -> None:
        """Renew the grants of a borrower at one owner."""
        ledger = self._pick_owner(pick).ledger
        for grant_id in self.pools[name].renewable_grants():
            renewed = ledger.renew(name, grant_id)
            if isinstance(renewed, Grant):
                self.pools[name].renew(grant_id, renewed.expires_at_s)

    @rule(name=_NAMES, lost=st.booleans())
    def give_back(self, name: EntryId, lost: bool) -> None:
        """Return the free permits; a lost return must not free them twice."""
        pool = self.pools[name]
        shares = pool.withdraw_idle(self.now_s, idle_after_s=0)
        if not pool.renewable_grants() and not self._has_call(name):
            self.worker.connections[name] = 0
        for share in shares:
            if lost:
                pool.stop_renewing((share.grant_id,))
                continue
            for owner in self.owners:
                owner.ledger.give_back(name, share.grant_id, share.slots_count)

    @rule(name=_NAMES)
    def crash(self, name: EntryId) -> None:
        """Restart a borrower while its running calls go on at the worker."""
        self.restarts[name] += 1
        self.pools[name] = make_permit_pool()
        self.in_flight = [
            sent for sent in self.in_flight if sent.sender != name
        ]
        self.in_doubt = [sent for sent in self.in_doubt if sent.sender != name]
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

    @precondition(lambda machine: machine.has_pending_reply())
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
        """Start a successor without the former owner's knowledge."""
        epoch = Epoch(self.owners[-1].ledger.epoch + 1)
        self.owners = [*self.owners[-1:], self._owner(epoch)]
