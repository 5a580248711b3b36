"""Sets whose members can be sampled at random in constant time."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Generic, TypeVar

from marjoramwharf.ids import ServiceId, WorkerId

_Member = TypeVar('_Member')


class SampledSet(Generic[_Member]):
    """A set kept as a list, with an index of positions for fast removal."""

    def __init__(self) -> None:
        """Start empty."""
        self._members: list[_Member] = []
        self._positions: dict[_Member, int] = {}

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._members)

    def add(self, member: _Member) -> None:
        """Add a member unless it is present."""
        if member not in self._positions:
            self._positions[member] = len(self._members)
            self._members.append(member)

    def discard(self, member: _Member) -> None:
        """Remove a member if present; the last one takes its position."""
        position = self._positions.pop(member, None)
        if position is None:
            return
        last = self._members.pop()
        if position < len(self._members):
            self._members[position] = last
            self._positions[last] = position

    def sample(self, rng: random.Random, count: int) -> list[_Member]:
        """Return up to ``count`` distinct random members."""
        size = len(self._members)
        positions = rng.sample(range(size), min(count, size))
        return [self._members[position] for position in positions]


class ServiceIndex:
    """For each service, the workers with a free permit that run it."""

    def __init__(
        self,
        services_of: Callable[[WorkerId], frozenset[str]],
    ) -> None:
        """Start empty; ``services_of`` returns the services of a worker."""
        self._services_of = services_of
        self._workers: dict[str, SampledSet[WorkerId]] = {}

    def update(self, worker_id: WorkerId, *, has_free: bool) -> None:
        """Add a worker to its services, or remove it without a free permit."""
        for service in self._services_of(worker_id):
            workers = self._workers.setdefault(service, SampledSet())
            if has_free:
                workers.add(worker_id)
            else:
                workers.discard(worker_id)

    def runs(self, worker_id: WorkerId, service: ServiceId) -> bool:
        """Tell whether a worker runs a service."""
        return service in self._services_of(worker_id)

    def count(self, service: ServiceId) -> int:
        """Return the number of workers with a free permit for a service."""
        return len(self._workers.get(service, ()))

    def sample(
        self,
        service: ServiceId,
        rng: random.Random,
        count: int,
    ) -> list[WorkerId]:
        """Return up to ``count`` distinct random workers of a service."""
        workers = self._workers.get(service)
        return [] if workers is None else workers.sample(rng, count)
