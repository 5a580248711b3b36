"""Ejection of workers that fail what they are given.

A worker whose failure ratio is too high gets no requests until a probe, one
request at a time, succeeds. A failing worker often answers faster than a good
one, so latency and free slots alone would attract load to it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marjoramwharf.ids import WorkerId

_WINDOW_S = 10
_MIN_COUNT = 5
_FAILURE_RATIO = 0.5
_FIRST_DELAY_S = 2
_MAX_DELAY_S = 60


@enum.unique
class HealthSignal(enum.Enum):
    """What one call says of its worker."""

    GOOD = 'good'
    FAILED = 'failed'
    NONE = 'none'


@dataclass(slots=True)
class _Window:
    """Counts of the present and the former half of the window."""

    began_s: float
    good_count: int = 0
    failed_count: int = 0
    former_good_count: int = 0
    former_failed_count: int = 0

    def turn(self, now_s: float) -> None:
        half_s = _WINDOW_S / 2
        passed_s = now_s - self.began_s
        if passed_s < half_s:
            return
        is_next = passed_s < _WINDOW_S
        self.former_good_count = self.good_count if is_next else 0
        self.former_failed_count = self.failed_count if is_next else 0
        self.good_count = 0
        self.failed_count = 0
        self.began_s = now_s

    def counts(self) -> tuple[int, int]:
        return (
            self.good_count + self.former_good_count,
            self.failed_count + self.former_failed_count,
        )


@dataclass(slots=True)
class _Ejection:
    delay_s: float
    probe_at_s: float
    probe_began_s: float | None = None


class WorkerHealth:
    """Failure counts and ejections, as one entry sees its workers."""

    def __init__(self, *, max_ejected_share: float) -> None:
        """Eject at most this share, 0 to 1, of the workers."""
        self._max_ejected_share = max_ejected_share
        self._windows: dict[WorkerId, _Window] = {}
        self._ejected: dict[WorkerId, _Ejection] = {}
        self._workers_count = 0

    @property
    def ejected_count(self) -> int:
        """The number of ejected workers."""
        return len(self._ejected)

    def set_workers(self, worker_ids: frozenset[WorkerId]) -> None:
        """Name the known workers; others are forgotten."""
        self._workers_count = len(worker_ids)
        for gone in set(self._windows) - worker_ids:
            self._windows.pop(gone)
        for ejected in set(self._ejected) - worker_ids:
            self._ejected.pop(ejected)

    def list_ejected(
        self,
        now_s: float,
        *,
        allow_probes: bool,
    ) -> frozenset[WorkerId]:
        """Return the workers that get no request now.

        With ``allow_probes``, workers that are due for a probe are left out.
        """
        return frozenset(
            worker_id
            for worker_id, ejection in self._ejected.items()
            if not (allow_probes and _is_due(ejection, now_s))
        )

    def try_begin_call(self, worker_id: WorkerId, now_s: float) -> bool:
        """Begin a call; ``False`` if the worker must not get it now.

        A call to an ejected worker is its probe.
        """
        ejection = self._ejected.get(worker_id)
        if ejection is None:
            return True
        if not _is_due(ejection, now_s):
            return False
        ejection.probe_began_s = now_s
        return True

    def record_call_end(
        self,
        worker_id: WorkerId,
        verdict: HealthSignal,
        now_s: float,
        *,
        start_s: float,
    ) -> None:
        """Count the end of a call, and eject or restore its worker.

        ``start_s`` tells a probe from a call that began before the ejection
        and says nothing new.
        """
        ejection = self._ejected.get(worker_id)
        if ejection is not None:
            began_s = ejection.probe_began_s
            if began_s is not None and start_s >= began_s:
                self._probe_ended(worker_id, ejection, verdict, now_s)
        elif verdict is not HealthSignal.NONE:
            self._count(worker_id, verdict, now_s)

    def success_share(self, worker_id: WorkerId, now_s: float) -> float:
        """Return the share of good calls, 0 to 1, for the choice of worker.

        One imagined good call makes an unknown worker a good one, and lets
        the share fall with the first failure.
        """
        if worker_id in self._ejected:
            return 0
        window = self._windows.get(worker_id)
        if window is None:
            return 1
        window.turn(now_s)
        good, failed = window.counts()
        return (good + 1) / (good + failed + 1)

    def _count(
        self,
        worker_id: WorkerId,
        verdict: HealthSignal,
        now_s: float,
    ) -> None:
        window = self._windows.setdefault(worker_id, _Window(now_s))
        window.turn(now_s)
        if verdict is HealthSignal.GOOD:
            window.good_count += 1
            return
        window.failed_count += 1
        good, failed = window.counts()
        ejected_count = len(self._ejected) + 1
        if (
            good + failed >= _MIN_COUNT
            and failed >= _FAILURE_RATIO * (good + failed)
            and ejected_count <= self._max_ejected_share * self._workers_count
        ):
            self._ejected[worker_id] = _Ejection(
                _FIRST_DELAY_S,
                now_s + _FIRST_DELAY_S,
            )

    def _probe_ended(
        self,
        worker_id: WorkerId,
        ejection: _Ejection,
        verdict: HealthSignal,
        now_s: float,
    ) -> None:
        ejection.probe_began_s = None
        if verdict is HealthSignal.GOOD:
            self._ejected.pop(worker_id)
            self._windows.pop(worker_id, None)
        elif verdict is HealthSignal.FAILED:
            ejection.delay_s = min(ejection.delay_s * 2, _MAX_DELAY_S)
            ejection.probe_at_s = now_s + ejection.delay_s


def _is_due(ejection: _Ejection, now_s: float) -> bool:
    return ejection.probe_began_s is None and now_s >= ejection.probe_at_s
