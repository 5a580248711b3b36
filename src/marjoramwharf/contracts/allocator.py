"""Answers of a capacity owner to borrowers and to job owners.

The desk holds the ledgers of the owned workers. It does no I/O; the present
time in monotonic seconds is an argument.
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

# Workers that one request for any slots is spread over.
_SPREAD_COUNT = 8

_SEPARATOR = '@'
# Bounds the text of the epoch and the attempt before they are parsed.
_FENCE_DIGITS = 40


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """What a job owner asks for when it reserves.

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
    """Do nothing; the default where nobody follows the releases."""


def choose_most_free(
    ledgers: Ledgers,
    placement: AttemptRequest,
    now_s: float,
) -> WorkerLedger | None:
    """Return the ledger with most free processors; looks at all of them."""
    return max(
        (
            one
            for one in ledgers.values()
            if has_capacity(one, placement, now_s)
        ),
        key=lambda ledger: ledger.reservations.free.cpu_millicores,
        default=None,
    )


def has_capacity(
    ledger: WorkerLedger,
    placement: AttemptRequest,
    now_s: float,
) -> bool:
    """Tell whether a worker may take a task attempt now."""
    worker = ledger.worker
    return (
        ledger.accepts_work(now_s)
        and worker.rack not in placement.avoid_racks
        and worker.worker_id not in placement.avoid_workers
        and ledger.reservations.has_capacity(placement.demand)
    )


class CapacityAllocator:
    """The ledgers of the owned workers.

    ``choose`` picks a ledger for a task, ``None`` if it finds none.
    """

    def __init__(self, choose: Chooser = choose_most_free) -> None:
        """Start without workers."""
        self.ledgers: dict[WorkerId, WorkerLedger] = {}
        self.choose = choose
        # A repeat of Reserve must return the same worker.
        self._placed: dict[AttemptKey, tuple[WorkerId, AttemptRequest]] = {}
        self.on_released: Callable[[WorkerId, AttemptKey], None] = _ignore

    def lend(
        self,
        borrower: EntryId,
        incarnation: Incarnation,
        wants: Sequence[tuple[WorkerId, int]],
        now_s: float,
    ) -> list[Grant]:
        """Lend slots of named workers, as far as they are free."""
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
        """Divide a request for any slots over the workers with most free.

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
        for worker_id, free_count in free[:_SPREAD_COUNT]:
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
        """Renew grants; the second list names those refused."""
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
        """Free returned slots."""
        for share in shares:
            ledger = self.ledgers.get(worker_id_of(share.grant_id))
            if ledger is not None:
                ledger.give_back(borrower, share.grant_id, share.slots_count)

    def reserve(self, placement: AttemptRequest, now_s: float) -> WorkerLedger:
        """Reserve for a task attempt; a repeat returns the same worker.

        Raises ``PeerRefused`` if the task fits on no owned worker.
        """
        attempt = (placement.task_id, placement.fence)
        holder = self._holder_of(attempt)
        if holder is not None:
            return holder
        chosen = self.choose(self.ledgers, placement, now_s)
        if chosen is None or not has_capacity(chosen, placement, now_s):
            raise PeerRefused(message='no worker has room', retry_after_s=1)
        chosen.reservations.reserve(*attempt, placement.demand, now_s)
        self._placed[attempt] = (chosen.worker.worker_id, placement)
        return chosen

    def release(self, reservation: str) -> None:
        """End a reservation whose attempt the worker has ended."""
        fence, _, rest = reservation.partition(_SEPARATOR)
        task_id, _, worker_id = rest.partition(_SEPARATOR)
        epoch, _, number = fence.partition('.')
        is_fence = epoch.isdecimal() and number.isdecimal()
        if is_fence and len(fence) <= _FENCE_DIGITS:
            self.release_attempt(
                WorkerId(worker_id),
                (TaskId(task_id), (int(epoch), int(number))),
            )

    def release_attempt(self, worker_id: WorkerId, attempt: AttemptKey) -> None:
        """End the reservation of an attempt on a worker."""
        placed = self._placed.get(attempt)
        if placed is not None and placed[0] == worker_id:
            self._placed.pop(attempt)
        ledger = self.ledgers.get(worker_id)
        if ledger is not None:
            ledger.reservations.release(*attempt)
            self.on_released(worker_id, attempt)

    def forget_ended(self) -> None:
        """Forget where attempts were reserved that no ledger holds."""
        for attempt in tuple(self._placed):
            if self._holder_of(attempt) is None:
                self._placed.pop(attempt)

    def request_of(self, attempt: AttemptKey) -> AttemptRequest | None:
        """Return what was asked for an attempt that is reserved here."""
        placed = self._placed.get(attempt)
        return None if placed is None else placed[1]

    def _holder_of(self, attempt: AttemptKey) -> WorkerLedger | None:
        placed = self._placed.get(attempt)
        ledger = None if placed is None else self.ledgers.get(placed[0])
        if ledger is None or not ledger.reservations.holds(*attempt):
            return None
        return ledger


def reservation_id(placement: AttemptRequest, worker_id: WorkerId) -> str:
    """Return the id that ``release`` takes; ids of tasks have no ``@``."""
    epoch, number = placement.fence
    parts = (f'{epoch}.{number}', placement.task_id, worker_id)
    return _SEPARATOR.join(parts)
