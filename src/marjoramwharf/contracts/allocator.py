"""Allocation of the owned workers' capacity to borrowers and job owners.

The allocator keeps one ledger for each owned worker. It lends slots in grants
and reserves processors, memory and accelerators for task attempts. It does no
I/O; callers pass the present time in monotonic seconds.
"""

from __future__ import annotations

import operator
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from marjoramwharf.contracts.ledger import WorkerLedger, worker_id_of
from marjoramwharf.contracts.permits import Grant, GrantShare
from marjoramwharf.contracts.reservations import AttemptKey, Fence
from marjoramwharf.errors import PeerRefused
from marjoramwharf.ids import EntryId, GrantId, Incarnation, TaskId, WorkerId
from marjoramwharf.machines.calls import Demand

# Most workers that one request for any slots is spread over.
_MAX_SPREAD_COUNT = 8

_ID_SEPARATOR = '@'
# Bounds the text of epoch and attempt, sent by peers, before it is parsed.
_MAX_FENCE_LENGTH = 40


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """A job owner's request to reserve capacity for a task attempt.

    ``fence`` is the epoch of the job shard and the number of the attempt.
    ``declared`` is the size that the team stated, ``demand`` the size to
    reserve.
    """

    task_id: TaskId
    fence: Fence
    demand: Demand
    task_class: str
    priority: int
    avoid_racks: frozenset[str] = frozenset()
    avoid_workers: frozenset[WorkerId] = frozenset()
    declared: Demand | None = None


Ledgers: TypeAlias = Mapping[WorkerId, WorkerLedger]
Chooser: TypeAlias = Callable[
    [Ledgers, AttemptRequest, float],
    WorkerLedger | None,
]


def _ignore(_worker_id: WorkerId, _attempt: AttemptKey) -> None:
    """Do nothing; the default callback for released reservations."""


def choose_most_free(
    ledgers: Ledgers,
    request: AttemptRequest,
    now_s: float,
) -> WorkerLedger | None:
    """Return the fitting ledger with most free processors; scan them all."""
    return max(
        (
            candidate
            for candidate in ledgers.values()
            if has_capacity(candidate, request, now_s)
        ),
        key=lambda ledger: ledger.reservations.free.cpu_millicores,
        default=None,
    )


def has_capacity(
    ledger: WorkerLedger,
    request: AttemptRequest,
    now_s: float,
) -> bool:
    """Tell whether a worker has capacity for a task attempt now."""
    worker = ledger.worker
    return (
        ledger.accepts_work(now_s)
        and worker.rack not in request.avoid_racks
        and worker.worker_id not in request.avoid_workers
        and ledger.reservations.has_capacity(request.demand)
    )


class CapacityAllocator:
    """Allocates the capacity of the owned workers from their ledgers.

    ``choose`` selects the ledger for a task attempt, or returns ``None``.
    """

    def __init__(self, choose: Chooser = choose_most_free) -> None:
        """Start without workers."""
        self.ledgers: dict[WorkerId, WorkerLedger] = {}
        self.choose = choose
        # A repeated Reserve message must return the same worker.
        self._placed: dict[AttemptKey, tuple[WorkerId, AttemptRequest]] = {}
        self.on_released: Callable[[WorkerId, AttemptKey], None] = _ignore

    def lend(
        self,
        borrower: EntryId,
        incarnation: Incarnation,
        wants: Sequence[tuple[WorkerId, int]],
        now_s: float,
    ) -> list[Grant]:
        """Lend slots of the named workers, as many as are free."""
        grants = []
        for worker_id, slots_count in wants:
            ledger = self.ledgers.get(worker_id)
            if ledger is None or not ledger.accepts_work(now_s):
                continue
            lent = ledger.lend(
                borrower,
                slots_count,
                incarnation=incarnation,
            )
            if isinstance(lent, Grant):
                grants.append(lent)
        return grants

    def spread(
        self,
        service: str,
        slots_count: int,
        now_s: float,
        *,
        excluded: Collection[WorkerId] = (),
    ) -> list[tuple[WorkerId, int]]:
        """Divide a request for any slots among the workers with most free.

        At most half of a worker's free slots go to one request, so that one
        borrower does not take all of a worker.
        """
        free = [
            (worker_id, ledger.free_slots_count)
            for worker_id, ledger in self.ledgers.items()
            if service in ledger.worker.services
            and ledger.accepts_work(now_s)
            and worker_id not in excluded
        ]
        free.sort(key=operator.itemgetter(1), reverse=True)
        wants = []
        for worker_id, free_count in free[:_MAX_SPREAD_COUNT]:
            count = min(slots_count, (free_count + 1) // 2)
            if count > 0:
                wants.append((worker_id, count))
                slots_count -= count
        return wants

    def renew(
        self,
        borrower: EntryId,
        grant_ids: Sequence[GrantId],
        now_s: float,
    ) -> tuple[list[Grant], list[GrantId]]:
        """Renew grants; return the renewed ones and the ids of the others."""
        renewed: list[Grant] = []
        refused: list[GrantId] = []
        for grant_id in grant_ids:
            ledger = self.ledgers.get(worker_id_of(grant_id))
            outcome = None
            if ledger is not None and ledger.accepts_work(now_s):
                outcome = ledger.renew(borrower, grant_id)
            if isinstance(outcome, Grant):
                renewed.append(outcome)
            else:
                refused.append(grant_id)
        return renewed, refused

    def give_back(
        self,
        borrower: EntryId,
        shares: Sequence[GrantShare],
    ) -> None:
        """Free the slots that a borrower returns."""
        for share in shares:
            ledger = self.ledgers.get(worker_id_of(share.grant_id))
            if ledger is not None:
                ledger.give_back(borrower, share.grant_id, share.slots_count)

    def reserve(self, request: AttemptRequest, now_s: float) -> WorkerLedger:
        """Reserve capacity for a task attempt on one worker.

        A repeated request returns the same worker. Raises ``PeerRefused`` if
        the task fits on no owned worker.
        """
        attempt = (request.task_id, request.fence)
        holder = self._ledger_holding(attempt)
        if holder is not None:
            return holder
        chosen = self.choose(self.ledgers, request, now_s)
        if chosen is None or not has_capacity(chosen, request, now_s):
            raise PeerRefused(message='no worker has capacity', retry_after_s=1)
        chosen.reservations.reserve(*attempt, request.demand, now_s)
        self._placed[attempt] = (chosen.worker.worker_id, request)
        return chosen

    def release(self, reservation: str) -> None:
        """Release a reservation whose attempt has ended; ignore a bad id."""
        fence, _, task_and_worker = reservation.partition(_ID_SEPARATOR)
        task_id, _, worker_id = task_and_worker.partition(_ID_SEPARATOR)
        epoch, _, number = fence.partition('.')
        is_fence = epoch.isdecimal() and number.isdecimal()
        if is_fence and len(fence) <= _MAX_FENCE_LENGTH:
            self.release_attempt(
                WorkerId(worker_id),
                (TaskId(task_id), (int(epoch), int(number))),
            )

    def release_attempt(self, worker_id: WorkerId, attempt: AttemptKey) -> None:
        """Release the reservation of a task attempt on a worker."""
        placed = self._placed.get(attempt)
        if placed is not None and placed[0] == worker_id:
            self._placed.pop(attempt)
        ledger = self.ledgers.get(worker_id)
        if ledger is not None:
            ledger.reservations.release(*attempt)
            self.on_released(worker_id, attempt)

    def forget_ended(self) -> None:
        """Drop the requests of attempts that have no reservation any longer."""
        for attempt in tuple(self._placed):
            if self._ledger_holding(attempt) is None:
                self._placed.pop(attempt)

    def request_of(self, attempt: AttemptKey) -> AttemptRequest | None:
        """Return the request of an attempt that is reserved here."""
        placed = self._placed.get(attempt)
        return None if placed is None else placed[1]

    def _ledger_holding(self, attempt: AttemptKey) -> WorkerLedger | None:
        placed = self._placed.get(attempt)
        ledger = None if placed is None else self.ledgers.get(placed[0])
        if ledger is None or not ledger.reservations.holds(*attempt):
            return None
        return ledger


def reservation_id(request: AttemptRequest, worker_id: WorkerId) -> str:
    """Return the id that ``release`` takes; task ids contain no ``@``."""
    epoch, number = request.fence
    parts = (f'{epoch}.{number}', request.task_id, worker_id)
    return _ID_SEPARATOR.join(parts)
