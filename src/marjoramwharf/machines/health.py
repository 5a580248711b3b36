"""Ejects workers with a high failure ratio.

An ejected worker gets no requests except probes, one at a time, until a probe
succeeds. A failing worker often answers faster than a healthy one, so routing
by latency and free slots alone would attract load to it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from marjoramwharf.ids import WorkerId

_WINDOW_S = 10
_MIN_CALLS_COUNT = 5
_FAILURE_RATIO = 0.5
_FIRST_PROBE_DELAY_S = 2
_MAX_PROBE_DELAY_S = 60


@enum.unique
class HealthSignal(enum.Enum):
    """What a call shows about its worker; ``NONE`` if it shows nothing."""

    GOOD = 'good'
    FAILED = 'failed'
    NONE = 'none'


@dataclass(slots=True)
class _Window:
    """Call counts of the current and the previous half of the window."""

    started_at_s: float
    good_count: int = 0
    failed_count: int = 0
    previous_good_count: int = 0
    previous_failed_count: int = 0

    def advance(self, now_s: float) -> None:
        """Begin a new half if the current one is over."""
        half_s = _WINDOW_S / 2
        elapsed_s = now_s - self.started_at_s
        if elapsed_s < half_s:
            return
        is_consecutive = elapsed_s < _WINDOW_S
        self.previous_good_count = self.good_count if is_consecutive else 0
        self.previous_failed_count = self.failed_count if is_consecutive else 0
        self.good_count = 0
        self.failed_count = 0
        self.started_at_s = now_s

    def counts(self) -> tuple[int, int]:
        return (
            self.good_count + self.previous_good_count,
            self.failed_count + self.previous_failed_count,
        )


@dataclass(slots=True)
class _Ejection:
    delay_s: float
    probe_at_s: float
    probe_started_at_s: float | None = None


class WorkerHealth:
    """Failure counts and ejections of the workers that one entry calls."""

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
        """Set the workers; forget counts and ejections of all others."""
        self._workers_count = len(worker_ids)
        for removed_id in set(self._windows) - worker_ids:
            self._windows.pop(removed_id)
        for ejected_id in set(self._ejected) - worker_ids:
            self._ejected.pop(ejected_id)

    def list_ejected(
        self,
        now_s: float,
        *,
        allow_probes: bool,
    ) -> frozenset[WorkerId]:
        """Return the ejected workers, which get no requests.

        With ``allow_probes``, workers that are due for a probe are omitted.
        """
        return frozenset(
            worker_id
            for worker_id, ejection in self._ejected.items()
            if not (allow_probes and _is_probe_due(ejection, now_s))
        )

    def try_begin_call(self, worker_id: WorkerId, now_s: float) -> bool:
        """Tell whether a call may be made to a worker.

        To an ejected worker only if a probe is due; the call is the probe then.
        """
        ejection = self._ejected.get(worker_id)
        if ejection is None:
            return True
        if not _is_probe_due(ejection, now_s):
            return False
        ejection.probe_started_at_s = now_s
        return True

    def record_call_end(
        self,
        worker_id: WorkerId,
        signal: HealthSignal,
        now_s: float,
        *,
        start_s: float,
    ) -> None:
        """Record the end of a call, and eject or restore its worker.

        ``start_s`` tells a probe from a call that began before the ejection,
        which is ignored.
        """
        ejection = self._ejected.get(worker_id)
        if ejection is not None:
            probe_start_s = ejection.probe_started_at_s
            if probe_start_s is not None and start_s >= probe_start_s:
                self._record_probe_end(worker_id, ejection, signal, now_s)
        elif signal is not HealthSignal.NONE:
            self._count_call(worker_id, signal, now_s)

    def success_share(self, worker_id: WorkerId, now_s: float) -> float:
        """Return the share of successful calls, 0 to 1, to rank a worker.

        One successful call is added to the counts, so that the share of a
        worker without calls is 1 and falls with its first failure.
        """
        if worker_id in self._ejected:
            return 0
        window = self._windows.get(worker_id)
        if window is None:
            return 1
        window.advance(now_s)
        good, failed = window.counts()
        return (good + 1) / (good + failed + 1)

    def _count_call(
        self,
        worker_id: WorkerId,
        signal: HealthSignal,
        now_s: float,
    ) -> None:
        """Count a call, and eject its worker if too many have failed."""
        window = self._windows.setdefault(worker_id, _Window(now_s))
        window.advance(now_s)
        if signal is HealthSignal.GOOD:
            window.good_count += 1
            return
        window.failed_count += 1
        good, failed = window.counts()
        ejected_count = len(self._ejected) + 1
        if (
            good + failed >= _MIN_CALLS_COUNT
            and failed >= _FAILURE_RATIO * (good + failed)
            and ejected_count <= self._max_ejected_share * self._workers_count
        ):
            self._ejected[worker_id] = _Ejection(
                _FIRST_PROBE_DELAY_S,
                now_s + _FIRST_PROBE_DELAY_S,
            )

    def _record_probe_end(
        self,
        worker_id: WorkerId,
        ejection: _Ejection,
        signal: HealthSignal,
        now_s: float,
    ) -> None:
        """Restore a worker after a good probe; probe later after a failed."""
        ejection.probe_started_at_s = None
        if signal is HealthSignal.GOOD:
            self._ejected.pop(worker_id)
            self._windows.pop(worker_id, None)
        elif signal is HealthSignal.FAILED:
            ejection.delay_s = min(ejection.delay_s * 2, _MAX_PROBE_DELAY_S)
            ejection.probe_at_s = now_s + ejection.delay_s


def _is_probe_due(ejection: _Ejection, now_s: float) -> bool:
    return ejection.probe_started_at_s is None and now_s >= ejection.probe_at_s
