"""Admits requests: with a permit at once, by queueing, or by a refusal.

Each queued request is a task that sleeps until it gets a permit, its deadline
passes, or it is shed.
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

# Takes a permit of a worker that is not excluded, at a monotonic time in s.
ChoosePermit = Callable[[ServiceId, frozenset[WorkerId], float], Permit | None]
Clock = Callable[[], float]

# Weight of the newest second in the release rate.
_RATE_SMOOTHING = 0.3


@dataclass(slots=True, eq=False)
class _Waiter:
    """A queued request, the event that wakes its task, and the outcome."""

    queued: QueuedRequest
    excluded: frozenset[WorkerId]
    wakeup: trio.Event
    outcome: Permit | NotRun | None = None


class ReleaseRateMeter:
    """Moving average of the permits released per second."""

    def __init__(self) -> None:
        """Start without a rate; no wait is predicted until there is one."""
        self.per_s: float = 0
        self._second = 0
        self._count = 0

    def count(self, now_s: float) -> None:
        """Count one released permit."""
        second = int(now_s)
        if second != self._second:
            self._finish_second(second)
        self._count += 1

    def _finish_second(self, second: int) -> None:
        """Add the rate of the seconds before ``second`` to the average."""
        rate = self._count / max(1, second - self._second)
        if self.per_s > 0:
            self.per_s += _RATE_SMOOTHING * (rate - self.per_s)
        elif self._second:
            self.per_s = rate
        self._second = second
        self._count = 0


class Admission:
    """Hands permits to queued requests in the order of the queue."""

    def __init__(
        self,
        *,
        queue: AdmissionQueue,
        choose: ChoosePermit,
        put_back: Callable[[Permit], None],
        service_time_s: Callable[[ServiceId], float],
        clock: Clock,
    ) -> None:
        """Connect the queue to ``choose``, which selects a worker.

        ``put_back`` takes back a permit that was handed to a request whose
        task was cancelled before it resumed.
        """
        self.total_wait_s: float = 0
        self.shed_counts: Counter[Reason] = Counter()
        self._queue = queue
        self._choose = choose
        self._put_back = put_back
        self._service_time_s = service_time_s
        self._clock = clock
        self._waiters: dict[int, _Waiter] = {}
        self._release_rate = ReleaseRateMeter()

    @property
    def waiting_count(self) -> int:
        """The number of requests in the queue."""
        return len(self._queue)

    async def acquire(
        self,
        request: ServiceRequest,
        excluded: frozenset[WorkerId],
    ) -> Permit | NotRun:
        """Wait for a permit; return ``NotRun`` if the request is refused."""
        now_s = self._clock()
        if now_s >= request.deadline_s:
            return _refuse_past_deadline()
        if not len(self._queue):
            permit = self._choose(request.service, excluded, now_s)
            if permit is not None:
                return permit
        waiter = _Waiter(QueuedRequest(request), excluded, trio.Event())
        self._enqueue(waiter, now_s)
        return await self._wait(waiter, now_s)

    def acquire_idle(
        self,
        request: ServiceRequest,
        excluded: frozenset[WorkerId],
    ) -> Permit | None:
        """Return a permit, or ``None`` if none is free or requests wait."""
        if len(self._queue):
            return None
        return self._choose(request.service, excluded, self._clock())

    def on_permit_released(self) -> None:
        """Update the release rate; hand free permits to queued requests."""
        self._release_rate.count(self._clock())
        self.serve()

    def serve(self) -> None:
        """Hand free permits to queued requests as long as there are any.

        It ends at a request that excludes no worker and gets no permit. A retry
        that finds only excluded workers does not block those behind it.
        """
        now_s = self._clock()
        blocked: list[QueuedRequest] = []
        while len(self._queue):
            # With 0, only requests past their deadline are dropped.
            queued = self._queue.pop(now_s, service_time_s=0)
            if queued is None:
                break
            waiter = self._waiters[id(queued)]
            permit = self._choose(
                queued.request.service,
                waiter.excluded,
                now_s,
            )
            if permit is not None:
                self._wake(waiter, permit)
                continue
            blocked.append(queued)
            if not waiter.excluded:
                break
        for blocked_request in reversed(blocked):
            self._queue.push_front(blocked_request)

    def _enqueue(self, waiter: _Waiter, now_s: float) -> None:
        """Queue a request; wake those that are shed for it with a refusal."""
        self._waiters[id(waiter.queued)] = waiter
        shed = self._queue.offer(
            waiter.queued,
            now_s=now_s,
            service_time_s=self._service_time_s(waiter.queued.request.service),
            release_rate_per_s=self._release_rate.per_s,
        )
        for dropped in shed:
            self._wake(self._waiters[id(dropped.queued)], dropped.answer)

    async def _wait(self, waiter: _Waiter, now_s: float) -> Permit | NotRun:
        """Wait from ``now_s`` until the waiter is woken or its deadline."""
        timeout_s = waiter.queued.request.deadline_s - now_s
        try:
            with trio.move_on_after(timeout_s):
                await waiter.wakeup.wait()
        except trio.Cancelled:
            if isinstance(waiter.outcome, Permit):
                self._put_back(waiter.outcome)
            raise
        finally:
            self._remove(waiter, now_s)
        outcome = waiter.outcome or _refuse_past_deadline()
        if isinstance(outcome, NotRun):
            self.shed_counts[outcome.reason] += 1
        return outcome

    def _remove(self, waiter: _Waiter, enqueued_at_s: float) -> None:
        self.total_wait_s += self._clock() - enqueued_at_s
        self._waiters.pop(id(waiter.queued), None)
        self._queue.discard(waiter.queued)

    def _wake(self, waiter: _Waiter, outcome: Permit | NotRun) -> None:
        waiter.outcome = outcome
        waiter.wakeup.set()


def _refuse_past_deadline() -> NotRun:
    return NotRun(
        Reason.DEADLINE,
        'the deadline passed before a permit was free',
        1,
    )
