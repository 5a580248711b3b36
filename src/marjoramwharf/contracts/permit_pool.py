"""The borrower's grants and the permits taken from them.

The wallet does no I/O; the present time in monotonic seconds is an argument.
A permit is free, in use or in doubt. A permit in doubt is freed only after
the worker has settled its call.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace

from marjoramwharf.contracts._sampled import ServiceIndex
from marjoramwharf.contracts.permits import Grant, GrantShare, Permit
from marjoramwharf.ids import GrantId, ServiceId, WorkerId

# A call must not be sent just before the owner revokes its grant: it would be
# refused. The margin covers the way to a worker in another data centre.
EXPIRY_MARGIN_S = 0.05

# Draws for one choice; expired and excluded workers among them are skipped.
_SAMPLE_COUNT = 8


@dataclass(slots=True)
class _Held:
    grant: Grant
    free_count: int
    used_at_s: float
    is_renewable: bool = True
    taken: dict[int, bool] = field(default_factory=dict)

    def is_usable(self, now_s: float) -> bool:
        return (
            self.free_count > 0
            and now_s < self.grant.expires_at_s - EXPIRY_MARGIN_S
        )

    def take(self, serial: int, now_s: float) -> Permit:
        self.free_count -= 1
        self.used_at_s = now_s
        self.taken[serial] = False
        return Permit(
            grant_id=self.grant.grant_id,
            worker_id=self.grant.worker_id,
            epoch=self.grant.epoch,
            serial=serial,
            expires_at_s=self.grant.expires_at_s,
        )


class PermitPool:
    """All grants of one borrower, by worker and by service.

    ``services_of`` returns the services that a worker runs. ``available_workers``
    holds the workers with a free permit; some of the permits may be expired.
    """

    def __init__(
        self,
        services_of: Callable[[WorkerId], frozenset[str]],
    ) -> None:
        """Start without grants."""
        self.available_workers = ServiceIndex(services_of)
        self._held: dict[GrantId, _Held] = {}
        self._by_worker: dict[WorkerId, list[GrantId]] = {}
        self._serial = itertools.count(1)
        self._free_count = 0
        self._least_free_count = 0

    @property
    def free_count(self) -> int:
        """The number of free permits."""
        return self._free_count

    def add(self, grant: Grant, now_s: float) -> None:
        """Add a new grant; all of its permits are free."""
        if grant.grant_id in self._held:
            return
        self._held[grant.grant_id] = _Held(grant, grant.slots_count, now_s)
        self._free_count += grant.slots_count
        self._by_worker.setdefault(grant.worker_id, []).append(grant.grant_id)
        self._index(grant.worker_id)

    def take(self, worker_id: WorkerId, now_s: float) -> Permit | None:
        """Take a permit of one worker, or ``None`` without a valid one."""
        for held in self._held_of(worker_id):
            if held.is_usable(now_s):
                permit = held.take(next(self._serial), now_s)
                self._count_free(-1)
                self._index(worker_id)
                return permit
        return None

    def take_random(
        self,
        service: ServiceId,
        now_s: float,
        *,
        rng: random.Random,
        excluded: Collection[WorkerId] = (),
    ) -> Permit | None:
        """Take a permit of a random worker that runs the service."""
        for worker_id in self.candidates(service, now_s, rng=rng):
            if worker_id not in excluded:
                return self.take(worker_id, now_s)
        return None

    def candidates(
        self,
        service: ServiceId,
        now_s: float,
        *,
        rng: random.Random,
        count: int = _SAMPLE_COUNT,
    ) -> list[WorkerId]:
        """Return up to ``count`` random workers with a valid free permit.

        The cost depends on ``count``, not on the number of workers.
        """
        return [
            worker_id
            for worker_id in self.available_workers.sample(service, rng, count)
            if any(held.is_usable(now_s) for held in self._held_of(worker_id))
        ]

    def put_back(self, permit: Permit, now_s: float) -> None:
        """Free a permit whose call has ended at the worker."""
        held = self._held.get(permit.grant_id)
        if held is None or held.taken.pop(permit.serial, None) is None:
            return
        held.free_count += 1
        self._count_free(1)
        held.used_at_s = now_s
        self._index(permit.worker_id)

    def mark_in_doubt(self, permit: Permit) -> None:
        """Keep a permit until the worker has settled its call."""
        held = self._held.get(permit.grant_id)
        if held is not None and permit.serial in held.taken:
            held.taken[permit.serial] = True

    def release_in_doubt(self, permit: Permit, now_s: float) -> None:
        """Free a permit in doubt: its call ended or never started."""
        self.put_back(permit, now_s)

    def renew(self, grant_id: GrantId, expires_at_s: float) -> None:
        """Move the expiry of a grant that is still held."""
        held = self._held.get(grant_id)
        if held is not None:
            later = max(expires_at_s, held.grant.expires_at_s)
            held.grant = replace(held.grant, expires_at_s=later)

    def renewable_grants(self) -> list[GrantId]:
        """Return the grants whose renewal may be asked for."""
        return [name for name, held in self._held.items() if held.is_renewable]

    def drop_grants(self, grant_ids: Iterable[GrantId]) -> None:
        """Drop grants with all their permits."""
        for grant_id in grant_ids:
            held = self._held.pop(grant_id, None)
            if held is not None:
                self._count_free(-held.free_count)
                self._by_worker[held.grant.worker_id].remove(grant_id)
                self._index(held.grant.worker_id)

    def drop_expired(self, now_s: float) -> None:
        """Drop the expired grants; their calls run on at the worker."""
        self.drop_grants(
            [
                grant_id
                for grant_id, held in self._held.items()
                if held.grant.expires_at_s <= now_s
            ],
        )

    def withdraw_idle(
        self, now_s: float, *, idle_after_s: float
    ) -> list[GrantShare]:
        """Remove the free permits of unused grants, to be given back.

        The shares are no longer in the wallet when this returns, so that no
        call can use a slot that is on its way to the owner.
        """
        due = [
            held
            for held in self._held.values()
            if held.free_count and now_s - held.used_at_s >= idle_after_s
        ]
        return [self._withdraw(held, held.free_count) for held in due]

    def withdraw_surplus(self, *, min_free_count: int) -> list[GrantShare]:
        """Remove the permits that nobody needed since the last call.

        The least number of free permits in the meantime shows how many were
        not needed; ``min_free_count`` of them are kept. The grants that were
        used last longest ago go first.
        """
        left = self._least_free_count - min_free_count
        self._least_free_count = self._free_count
        shares = []
        for held in sorted(self._held.values(), key=_used_at):
            if left <= 0:
                break
            count = min(left, held.free_count)
            if count:
                left -= count
                shares.append(self._withdraw(held, count))
        return shares

    def mark_return_failed(self, grant_ids: Iterable[GrantId]) -> None:
        """Let grants lapse after a return whose answer was lost.

        The owner may count more slots than this wallet; the revocation after
        the expiry makes both agree.
        """
        for grant_id in grant_ids:
            held = self._held.get(grant_id)
            if held is not None:
                held.is_renewable = False

    def _withdraw(self, held: _Held, count: int) -> GrantShare:
        """Take free permits out of a grant, to be given back."""
        grant = held.grant
        held.free_count -= count
        self._count_free(-count)
        self._index(grant.worker_id)
        if not held.taken and not held.free_count:
            self.drop_grants((grant.grant_id,))
        return GrantShare(grant.grant_id, grant.worker_id, count)

    def _count_free(self, change: int) -> None:
        self._free_count += change
        self._least_free_count = min(self._least_free_count, self._free_count)

    def _held_of(self, worker_id: WorkerId) -> list[_Held]:
        grant_ids = self._by_worker.get(worker_id, ())
        return [self._held[grant_id] for grant_id in grant_ids]

    def _index(self, worker_id: WorkerId) -> None:
        held_of_worker = self._held_of(worker_id)
        if not held_of_worker:
            self._by_worker.pop(worker_id, None)
        has_free = any(held.free_count for held in held_of_worker)
        self.available_workers.update(worker_id, has_free=has_free)


def _used_at(held: _Held) -> float:
    return held.used_at_s
