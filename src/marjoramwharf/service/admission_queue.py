"""The bounded queue of requests that wait for a permit.

Requests are served by priority, and within a priority by a fair share for
each team (start-time fair queueing with one unit a request). The queue sheds
before work is wasted: a request that can't be answered by its deadline any
more, and, when the queue is full, the newest of the lowest priority.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from marjoramwharf.errors import Reason
from marjoramwharf.ids import TeamId
from marjoramwharf.service.request import NotRun, Priority, ServiceRequest


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request in the queue."""

    request: ServiceRequest
    is_gone: bool = False


@dataclass(slots=True)
class _TeamQueue:
    waiting: deque[QueuedRequest] = field(default_factory=deque)
    # Virtual time at which the team's next request starts.
    start: float = 0


@dataclass(frozen=True, slots=True)
class ShedRequest:
    """A request that was taken out of the queue, with the reason."""

    waiting: QueuedRequest
    answer: NotRun


class AdmissionQueue:
    """QueuedRequest requests by priority and team; it does no waiting itself."""

    def __init__(self, *, limit: int, team_share: float) -> None:
        """Bound the queue to ``limit`` requests.

        Once the queue is half full, a team may hold at most ``team_share`` of
        the limit, so that one team can't keep the others out.
        """
        self._limit = limit
        self._team_limit = max(1, int(limit * team_share))
        self._queues: dict[Priority, dict[TeamId, _TeamQueue]] = {
            priority: {} for priority in Priority
        }
        self._virtual: dict[Priority, float] = dict.fromkeys(Priority, 0)
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def offer(
        self,
        waiting: QueuedRequest,
        *,
        now_s: float,
        service_time_s: float,
        release_rate_per_s: float,
    ) -> tuple[ShedRequest, ...]:
        """Add a request and return those that are shed for it.

        ``service_time_s`` is the time that the service itself takes and
        ``release_rate_per_s`` the rate at which permits came free of late. The
        offered request is among the shed ones if it was refused.
        """
        request = waiting.request
        refusal = self._refusal(
            request, now_s, service_time_s, release_rate_per_s
        )
        if refusal is not None:
            return (ShedRequest(waiting, refusal),)
        shed: tuple[ShedRequest, ...] = ()
        if self._length >= self._limit:
            shed = self._make_room(request.priority)
            if not shed:
                return (ShedRequest(waiting, _refuse(Reason.QUEUE_FULL)),)
        self._append(waiting)
        return shed

    def pop(
        self, now_s: float, *, service_time_s: float
    ) -> QueuedRequest | None:
        """Return the next request that can still be answered in time.

        Requests whose deadline can't be met any more are skipped; their own
        tasks see the deadline.
        """
        for priority in sorted(Priority, reverse=True):
            found = self._pop_of(priority, now_s + service_time_s)
            if found is not None:
                return found
        return None

    def push_front(self, waiting: QueuedRequest) -> None:
        """Return a popped request to the head of its queue."""
        queue = self._team_queue(waiting.request)
        queue.waiting.appendleft(waiting)
        queue.start -= 1
        self._length += 1

    def discard(self, waiting: QueuedRequest) -> None:
        """Take out a request whose caller is gone or whose time is over."""
        queue = self._team_queue(waiting.request)
        if waiting in queue.waiting:
            queue.waiting.remove(waiting)
            self._length -= 1
        waiting.is_gone = True

    def _refusal(
        self,
        request: ServiceRequest,
        now_s: float,
        service_time_s: float,
        release_rate_per_s: float,
    ) -> NotRun | None:
        ahead = sum(
            len(queue.waiting)
            for priority, teams in self._queues.items()
            if priority >= request.priority
            for queue in teams.values()
        )
        wait_s = ahead / release_rate_per_s if release_rate_per_s > 0 else 0
        if now_s + wait_s + service_time_s > request.deadline_s:
            return _refuse(Reason.DEADLINE, retry_after_s=wait_s)
        held = len(self._team_queue(request).waiting)
        is_crowded = 2 * self._length >= self._limit
        if is_crowded and held >= self._team_limit:
            return _refuse(Reason.TEAM_LIMIT, retry_after_s=wait_s)
        return None

    def _make_room(self, priority: Priority) -> tuple[ShedRequest, ...]:
        for lower in sorted(Priority):
            if lower >= priority:
                return ()
            longest = max(
                self._queues[lower].values(),
                key=_waiting_count,
                default=None,
            )
            if longest is not None and longest.waiting:
                self._length -= 1
                dropped = longest.waiting.pop()
                return (ShedRequest(dropped, _refuse(Reason.QUEUE_FULL)),)
        return ()

    def _append(self, waiting: QueuedRequest) -> None:
        queue = self._team_queue(waiting.request)
        if not queue.waiting:
            virtual = self._virtual[waiting.request.priority]
            queue.start = max(queue.start, virtual)
        queue.waiting.append(waiting)
        self._length += 1

    def _pop_of(
        self,
        priority: Priority,
        ready_by_s: float,
    ) -> QueuedRequest | None:
        teams = self._queues[priority]
        while True:
            filled = [queue for queue in teams.values() if queue.waiting]
            if not filled:
                return None
            queue = min(filled, key=_start)
            waiting = queue.waiting.popleft()
            self._length -= 1
            if waiting.is_gone or ready_by_s > waiting.request.deadline_s:
                continue
            self._virtual[priority] = queue.start
            queue.start += 1
            return waiting

    def _team_queue(self, request: ServiceRequest) -> _TeamQueue:
        teams = self._queues[request.priority]
        return teams.setdefault(request.team, _TeamQueue())


def _waiting_count(queue: _TeamQueue) -> int:
    return len(queue.waiting)


def _start(queue: _TeamQueue) -> float:
    return queue.start


_MESSAGES = {
    Reason.QUEUE_FULL: 'the queue is full of requests of this priority',
    Reason.DEADLINE: 'the deadline can not be met at the present load',
    Reason.TEAM_LIMIT: 'the team holds its share of the queue',
}


def _refuse(reason: Reason, *, retry_after_s: float = 1) -> NotRun:
    return NotRun(reason, _MESSAGES[reason], max(0.1, retry_after_s))
