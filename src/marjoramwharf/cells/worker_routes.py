"""Routes of an owner's calls to workers: direct, or through another entry.

Only workers whose direct path has failed lately are tracked; all others are
called directly. A path that fails again soon after it has worked is tried
later each time, so that paths which come and go don't change the route of a
worker again and again.

    >>> routes = WorkerRoutes()
    >>> w1 = WorkerId('w1')
    >>> routes.record_failure(w1, DIRECT, now_s=5)
    >>> routes.record_answer(w1, EntryId('e2'), now_s=5.5)
    >>> routes.route_of(w1)
    'e2'
    >>> routes.is_direct_due(w1, now_s=5.6)
    False
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from marjoramwharf.ids import EntryId, WorkerId

# The entry that calls go through; ``None`` stands for the owner itself.
Route: TypeAlias = EntryId | None
DIRECT: Final[Route] = None

# A path is tried again after this time, doubled with each further failure up to
# the longest one.
_FIRST_RETRY_S = 1.0
_MAX_DOUBLINGS = 4

# A path that has worked for this long counts as sound again.
_SOUND_AFTER_S = 10.0

# Entries that one probe of a worker tries.
_PEERS_PER_PROBE_COUNT = 2

# An entry through which this many calls in a row got no answer is avoided.
_USELESS_AFTER_COUNT = 4
_AVOID_S = 5.0

# A worker that is not polled any more is forgotten after this time.
_FORGET_AFTER_S = 30.0

# The least speed in cores that counts when workers are divided.
_MIN_CPU_SHARE = 0.05


@dataclass(slots=True)
class _Path:
    """Failures of one path to one worker since it was last sound.

    ``holds_since_s`` is the time of the first answer since the last failure.
    """

    failures_count: int = 0
    holds_since_s: float | None = None
    retry_s: float = 0

    def record_failure(self, now_s: float) -> None:
        """Put the next attempt off, longer with each failure."""
        doublings = min(self.failures_count, _MAX_DOUBLINGS)
        self.failures_count += 1
        self.holds_since_s = None
        self.retry_s = now_s + _FIRST_RETRY_S * 2**doublings

    def record_answer(self, now_s: float) -> None:
        """Allow the next attempt; forget the failures of a sound path."""
        if self.holds_since_s is None:
            self.holds_since_s = now_s
        if self.is_sound(now_s):
            self.failures_count = 0
        self.retry_s = now_s

    def is_due(self, now_s: float) -> bool:
        """Whether the path may be tried."""
        return now_s >= self.retry_s

    def is_sound(self, now_s: float) -> bool:
        """Whether the path has held for long."""
        since_s = self.holds_since_s
        return since_s is not None and now_s - since_s > _SOUND_AFTER_S


@dataclass(slots=True)
class _WorkerPaths:
    """The route of a worker and the paths to it that have failed.

    The worker ``is_lost`` from a failure of its route until the next answer.
    """

    route: Route = DIRECT
    is_lost: bool = False
    paths: dict[Route, _Path] = field(default_factory=dict)
    used_s: float = 0

    def path(self, route: Route) -> _Path:
        """Return the record of a path."""
        return self.paths.setdefault(route, _Path())


@dataclass(slots=True)
class _PeerRecord:
    """Failures through an entry since it last reached a worker."""

    failures_count: int = 0
    avoided_until_s: float = 0


@dataclass(slots=True)
class WorkerRoutes:
    """The routes of the workers whose direct path has failed lately.

    ``_counts`` holds the number of tracked workers that are reached by each
    route, since each probe of a lost worker reads it.
    """

    _workers: dict[WorkerId, _WorkerPaths] = field(default_factory=dict)
    _counts: Counter[Route] = field(default_factory=Counter)
    _peers: dict[EntryId, _PeerRecord] = field(default_factory=dict)

    def route_of(self, worker_id: WorkerId) -> Route:
        """Return the route that answered last."""
        paths = self._workers.get(worker_id)
        return DIRECT if paths is None else paths.route

    @property
    def relayed_count(self) -> int:
        """The number of workers that are reached through other entries."""
        return self._counts.total() - self._counts[DIRECT]

    def is_tracking(self, *, now_s: float) -> bool:
        """Whether other entries may be needed; forgets what is not used."""
        self._workers = {
            worker_id: paths
            for worker_id, paths in self._workers.items()
            if not _is_settled(paths, now_s)
        }
        self._counts = Counter(
            paths.route for paths in self._workers.values() if not paths.is_lost
        )
        return bool(self._workers)

    def is_direct_due(self, worker_id: WorkerId, *, now_s: float) -> bool:
        """Whether to try the direct path of a worker with another route."""
        paths = self._workers.get(worker_id)
        if paths is None or paths.route is DIRECT:
            return False
        return paths.path(DIRECT).is_due(now_s)

    def routes_to_probe(
        self,
        worker_id: WorkerId,
        cpu_shares: Mapping[EntryId, float],
        *,
        now_s: float,
    ) -> Sequence[Route]:
        """Return the routes by which to probe a worker, best first.

        It is the known one unless the worker is lost. ``cpu_shares`` are the
        speeds in cores of the entries that can be asked. The direct path comes
        first unless it has failed lately and another entry can be tried.
        """
        paths = self._workers.get(worker_id)
        if paths is None:
            return (DIRECT,)
        if not paths.is_lost:
            return (paths.route,)
        peers = [
            entry_id
            for entry_id in cpu_shares
            if paths.path(entry_id).is_due(now_s)
        ]
        loads = self._loads(cpu_shares)
        peers.sort(
            key=lambda entry_id: (
                entry_id in self._peers,
                loads[entry_id],
                _spread(worker_id, entry_id),
            )
        )
        chosen = peers[:_PEERS_PER_PROBE_COUNT]
        if paths.path(DIRECT).is_due(now_s):
            return (DIRECT, *chosen)
        return (*chosen, DIRECT)

    def record_answer(
        self, worker_id: WorkerId, route: Route, *, now_s: float
    ) -> None:
        """Use a route by which a worker has answered."""
        if route is not None:
            self._peers.pop(route, None)
        paths = self._workers.get(worker_id)
        if paths is None:
            return
        paths.used_s = now_s
        if not paths.is_lost:
            self._counts[paths.route] -= 1
        self._counts[route] += 1
        paths.route = route
        paths.is_lost = False
        paths.path(route).record_answer(now_s)

    def record_failure(
        self, worker_id: WorkerId, route: Route, *, now_s: float
    ) -> None:
        """Record a poll or probe by a route that got no answer."""
        paths = self._workers.get(worker_id)
        if paths is None:
            paths = _WorkerPaths()
            self._workers[worker_id] = paths
            self._counts[paths.route] += 1
        paths.used_s = now_s
        if route == paths.route and not paths.is_lost:
            paths.is_lost = True
            self._counts[route] -= 1
        paths.path(route).record_failure(now_s)
        if route is not None:
            record = self._peers.setdefault(route, _PeerRecord())
            record.failures_count += 1
            if record.failures_count >= _USELESS_AFTER_COUNT:
                record.failures_count = 0
                record.avoided_until_s = now_s + _AVOID_S

    def is_in_use(self, entry_id: EntryId) -> bool:
        """Whether a worker is reached through an entry."""
        return self._counts[entry_id] > 0

    def is_useful(self, entry_id: EntryId, *, now_s: float) -> bool:
        """Whether an entry is worth a connection for calls to workers.

        Workers that nobody reaches must not take it from those it serves.
        """
        if self.is_in_use(entry_id):
            return True
        record = self._peers.get(entry_id)
        return record is None or now_s >= record.avoided_until_s

    def _loads(
        self, cpu_shares: Mapping[EntryId, float]
    ) -> Mapping[EntryId, float]:
        """Return the workers of each entry per core."""
        return {
            entry_id: self._counts[entry_id] / max(cpu_share, _MIN_CPU_SHARE)
            for entry_id, cpu_share in cpu_shares.items()
        }


def _is_settled(paths: _WorkerPaths, now_s: float) -> bool:
    """Whether a worker needs no tracking: it is called directly, or gone."""
    if now_s - paths.used_s > _FORGET_AFTER_S:
        return True
    return paths.route is DIRECT and paths.path(DIRECT).is_sound(now_s)


def _spread(worker_id: WorkerId, entry_id: EntryId) -> int:
    """Return a number by which workers differ in the order of entries."""
    return zlib.crc32(f'{worker_id} {entry_id}'.encode())
