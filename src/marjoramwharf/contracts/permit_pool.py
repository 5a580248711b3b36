"""The pool of grants that an entry has borrowed, and of their permits.

The pool does no I/O; callers pass the present time in monotonic seconds. A
permit is free, in use or in doubt. A permit in doubt is freed only after the
worker has settled its call.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace

from marjoramwharf.contracts._sampled import ServiceIndex
from marjoramwharf.contracts.permits import Grant, GrantShare, Permit
from marjoramwharf.ids import GrantId, ServiceId, WorkerId

# A call that is sent just before its grant expires would be refused, since the
# owner revokes the grant. The margin covers the one-way delay to a worker in
# another data centre.
EXPIRY_MARGIN_S = 0.05

# Workers sampled for one choice; expired and excluded ones are skipped.
_DEFAULT_SAMPLE_COUNT = 8


@dataclass(slots=True)
class _HeldGrant:
    """A grant with its free permits, and those in use by serial number."""

    grant: Grant
    free_count: int
    used_at_s: float
    is_renewable: bool = True
    in_doubt_by_serial: dict[int, bool] = field(default_factory=dict)

    def is_usable(self, now_s: float) -> bool:
        return (
            self.free_count > 0
            and now_s < self.grant.expires_at_s - EXPIRY_MARGIN_S
        )

    def take(self, serial: int, now_s: float) -> Permit:
        self.free_count -= 1
        self.used_at_s = now_s
        self.in_doubt_by_serial[serial] = False
        return Permit(
            grant_id=self.grant.grant_id,
            worker_id=self.grant.worker_id,
            epoch=self.grant.epoch,
            serial=serial,
            expires_at_s=self.grant.expires_at_s,
        )


class PermitPool:
    """Holds all grants of one borrower, by worker and by service.

    ``services_of`` returns the services that a worker runs.
    ``available_workers`` indexes the workers with a free permit; some of
    these permits may have expired.
    """

    def __init__(
        self,
        services_of: Callable[[WorkerId], frozenset[str]],
    ) -> None:
        """Start without grants."""
        self.available_workers = ServiceIndex(services_of)
        self._grants: dict[GrantId, _HeldGrant] = {}
        self._grant_ids_by_worker: dict[WorkerId, list[GrantId]] = {}
        self._serial = itertools.count(1)
        self._free_count = 0
        self._lowest_free_count = 0

    @property
    def free_count(self) -> int:
        """The number of free permits."""
        return self._free_count

    def add(self, grant: Grant, now_s: float) -> None:
        """Add a new grant with all its permits free; ignore a repeat."""
        if grant.grant_id in self._grants:
            return
        self._grants[grant.grant_id] = _HeldGrant(
            grant, grant.slots_count, now_s
        )
        self._free_count += grant.slots_count
        self._grant_ids_by_worker.setdefault(grant.worker_id, []).append(
            grant.grant_id
        )
        self._update_index(grant.worker_id)

    def take(self, worker_id: WorkerId, now_s: float) -> Permit | None:
        """Take a permit of one worker; ``None`` if it has no valid one."""
        for held in self._grants_of(worker_id):
            if held.is_usable(now_s):
                permit = held.take(next(self._serial), now_s)
                self._change_free_count(-1)
                self._update_index(worker_id)
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
        count: int = _DEFAULT_SAMPLE_COUNT,
    ) -> list[WorkerId]:
        """Return up to ``count`` random workers with a valid free permit.

        The cost depends on ``count``, not on the number of workers.
        """
        return [
            worker_id
            for worker_id in self.available_workers.sample(service, rng, count)
            if any(held.is_usable(now_s) for held in self._grants_of(worker_id))
        ]

    def put_back(self, permit: Permit, now_s: float) -> None:
        """Free a permit whose call has ended at the worker."""
        held = self._grants.get(permit.grant_id)
        if (
            held is None
            or held.in_doubt_by_serial.pop(permit.serial, None) is None
        ):
            return
        held.free_count += 1
        self._change_free_count(1)
        held.used_at_s = now_s
        self._update_index(permit.worker_id)

    def mark_in_doubt(self, permit: Permit) -> None:
        """Keep a permit in use until the worker has settled its call."""
        held = self._grants.get(permit.grant_id)
        if held is not None and permit.serial in held.in_doubt_by_serial:
            held.in_doubt_by_serial[permit.serial] = True

    def release_in_doubt(self, permit: Permit, now_s: float) -> None:
        """Free a permit in doubt whose call has ended or never started."""
        self.put_back(permit, now_s)

    def renew(self, grant_id: GrantId, expires_at_s: float) -> None:
        """Extend the expiry of a grant that is still held."""
        held = self._grants.get(grant_id)
        if held is not None:
            later = max(expires_at_s, held.grant.expires_at_s)
            held.grant = replace(held.grant, expires_at_s=later)

    def renewable_grants(self) -> list[GrantId]:
        """Return the ids of the grants that may be renewed."""
        return [
            grant_id
            for grant_id, held in self._grants.items()
            if held.is_renewable
        ]

    def drop_grants(self, grant_ids: Iterable[GrantId]) -> None:
        """Drop grants with all their permits."""
        for grant_id in grant_ids:
            held = self._grants.pop(grant_id, None)
            if held is not None:
                self._change_free_count(-held.free_count)
                self._grant_ids_by_worker[held.grant.worker_id].remove(grant_id)
                self._update_index(held.grant.worker_id)

    def drop_expired(self, now_s: float) -> None:
        """Drop the expired grants; their calls go on at the worker."""
        self.drop_grants(
            [
                grant_id
                for grant_id, held in self._grants.items()
                if held.grant.expires_at_s <= now_s
            ],
        )

    def withdraw_idle(
        self, now_s: float, *, idle_after_s: float
    ) -> list[GrantShare]:
        """Remove the free permits of idle grants, to be given back.

        They have left the pool when this returns, so that no call can use a
        slot that is on its way back to the owner.
        """
        due = [
            held
            for held in self._grants.values()
            if held.free_count and now_s - held.used_at_s >= idle_after_s
        ]
        return [self._withdraw_permits(held, held.free_count) for held in due]

    def withdraw_surplus(self, *, min_free_count: int) -> list[GrantShare]:
        """Remove the permits that were not needed since the last call.

        The smallest number of free permits in the meantime shows how many
        were not needed; ``min_free_count`` of them are kept. The least
        recently used grants are withdrawn first.
        """
        surplus_count = self._lowest_free_count - min_free_count
        self._lowest_free_count = self._free_count
        shares = []
        for held in sorted(self._grants.values(), key=_last_use_s):
            if surplus_count <= 0:
                break
            count = min(surplus_count, held.free_count)
            if count:
                surplus_count -= count
                shares.append(self._withdraw_permits(held, count))
        return shares

    def stop_renewing(self, grant_ids: Iterable[GrantId]) -> None:
        """Stop renewing grants after a return whose answer was lost.

        The owner may count more slots as lent than this pool holds. Both
        agree again when the grants expire and are revoked.
        """
        for grant_id in grant_ids:
            held = self._grants.get(grant_id)
            if held is not None:
                held.is_renewable = False

    def _withdraw_permits(self, held: _HeldGrant, count: int) -> GrantShare:
        """Remove free permits from a grant, to be given back."""
        grant = held.grant
        held.free_count -= count
        self._change_free_count(-count)
        self._update_index(grant.worker_id)
        if not held.in_doubt_by_serial and not held.free_count:
            self.drop_grants((grant.grant_id,))
        return GrantShare(grant.grant_id, grant.worker_id, count)

    def _change_free_count(self, change: int) -> None:
        self._free_count += change
        self._lowest_free_count = min(self._lowest_free_count, self._free_count)

    def _grants_of(self, worker_id: WorkerId) -> list[_HeldGrant]:
        grant_ids = self._grant_ids_by_worker.get(worker_id, ())
        return [self._grants[grant_id] for grant_id in grant_ids]

    def _update_index(self, worker_id: WorkerId) -> None:
        grants_of_worker = self._grants_of(worker_id)
        if not grants_of_worker:
            self._grant_ids_by_worker.pop(worker_id, None)
        has_free = any(held.free_count for held in grants_of_worker)
        self.available_workers.update(worker_id, has_free=has_free)


def _last_use_s(held: _HeldGrant) -> float:
    return held.used_at_s
