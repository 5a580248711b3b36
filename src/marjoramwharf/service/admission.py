"""Admission of requests: a permit at once, a place in the queue, or a refusal.

Each waiting request is a task that sleeps until a permit is handed to it, its
deadline passes, or it is shed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import trio

from marjoramwharf.contracts.permits import Permit
from marjoramwharf.errors import Reason
from marjoramwharf.ids import ServiceId, WorkerId
from marjoramwharf.service.admission_queue import AdmissionQueue, QueuedRequest
from marjoramwharf.service.request import NotRun, ServiceRequest

ChoosePermit = Callable[[ServiceId, frozenset[WorkerId], float], Permit | None]
Clock = Callable[[], float]

# Weight of the newest second in the drain rate.
_DRAIN_BLEND = 0.3


@dataclass(slots=True, eq=False)
class _Place:
    """A waiting request with the event that wakes its task."""

    waiting: QueuedRequest
    excluded: frozenset[WorkerId]
    woken: trio.Event
    outcome: Permit | NotRun | None = None


class ReleaseRateMeter:
    """Rate at which permits come free, as a moving average per second."""

    def __init__(self) -> None:
        """Start without a rate, which refuses nobody."""
        self.per_s: float = 0
        self._second = 0
        self._count = 0

    def count(self, now_s: float) -> None:
        """Count one released permit."""
        second = int(now_s)
        if second != self._second:
            self._close(second)
        self._count += 1

    def _close(self, second: int) -> None:
        rate = self._count / max(1, second - self._second)
        if self.per_s > 0:
            self.per_s += _DRAIN_BLEND * (rate - self.per_s)
        elif self._second:
            self.per_s = rate
        self._second = second
        self._count = 0


class Admission:
    """Hands permits to requests in the order of the queue."""

    def __init__(
        self,
        *,
        queue: AdmissionQueue,
        choose: ChoosePermit,
        put_back: Callable[[Permit], None],
        service_time_s: Callable[[ServiceId], float],
        clock: Clock,
    ) -> None:
        """Wire the queue to the router's choice.

        ``put_back`` takes the permit of a request that was cancelled between
        the hand-over and its next step.
        """
        self.total_wait_s: float = 0
        self.shed_counts: Counter[Reason] = Counter()
        self._queue = queue
        self._choose = choose
        self._put_back = put_back
        self._service_time_s = service_time_s
        self._clock = clock
        self._places: dict[int, _Place] = {}
        self._drain = ReleaseRateMeter()

    @property
    def waiting_count(self) -> int:
        """The number of requests in the queue."""
        return len(self._queue)

    async def acquire(
        self,
        request: ServiceRequest,
        excluded: frozenset[WorkerId],
    ) -> Permit | NotRun:
        """Return a permit, or the proof that the request did not run."""
        now_s = self._clock()
        if now_s >= request.deadline_s:
            return _too_late()
        if not len(self._queue):
            permit = self._choose(request.service, excluded, now_s)
            if permit is not None:
                return permit
        place = _Place(QueuedRequest(request), excluded, trio.Event())
        self._enqueue(place, now_s)
        return await self._wait(place, now_s)

    def acquire_idle(
        self,
        request: ServiceRequest,
        excluded: frozenset[WorkerId],
    ) -> Permit | None:
        """Return a permit that no request waits for."""
        if len(self._queue):
            return None
        return self._choose(request.service, excluded, self._clock())

    def on_permit_released(self) -> None:
        """Note that a permit came free and serve the queue."""
        self._drain.count(self._clock())
        self.serve()

    def serve(self) -> None:
        """Hand free permits to waiting requests until one gets none.

        A retry that finds only workers that it must avoid does not block the
        requests behind it.
        """
        now_s = self._clock()
        blocked: list[QueuedRequest] = []
        while len(self._queue):
            waiting = self._queue.pop(now_s, service_time_s=0)
            if waiting is None:
                break
            place = self._places[id(waiting)]
            permit = self._choose(
                waiting.request.service,
                place.excluded,
                now_s,
            )
            if permit is not None:
                self._resolve(place, permit)
                continue
            blocked.append(waiting)
            if not place.excluded:
                break
        for held_up in reversed(blocked):
            self._queue.push_front(held_up)

    def _enqueue(self, place: _Place, now_s: float) -> None:
        self._places[id(place.waiting)] = place
        shed = self._queue.offer(
            place.waiting,
            now_s=now_s,
            service_time_s=self._service_time_s(place.waiting.request.service),
            release_rate_per_s=self._drain.per_s,
        )
        for dropped in shed:
            self._resolve(self._places[id(dropped.waiting)], dropped.answer)

    async def _wait(self, place: _Place, now_s: float) -> Permit | NotRun:
        limit_s = place.waiting.request.deadline_s - now_s
        try:
            with trio.move_on_after(limit_s):
                await place.woken.wait()
        except trio.Cancelled:
            if isinstance(place.outcome, Permit):
                self._put_back(place.outcome)
            raise
        finally:
            self._leave(place, now_s)
        outcome = place.outcome or _too_late()
        if isinstance(outcome, NotRun):
            self.shed_counts[outcome.reason] += 1
        return outcome

    def _leave(self, place: _Place, since_s: float) -> None:
        self.total_wait_s += self._clock() - since_s
        self._places.pop(id(place.waiting), None)
        self._queue.discard(place.waiting)

    def _resolve(self, place: _Place, outcome: Permit | NotRun) -> None:
        place.outcome = outcome
        place.woken.set()


def _too_late() -> NotRun:
    return NotRun(
        Reason.DEADLINE,
        'the deadline passed before a permit was free',
        1,
    )
