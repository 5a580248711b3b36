"""The bounded queue of requests that wait for a permit.

Requests are served by priority, and within a priority in fair shares for the
teams (start-time fair queueing with a cost of one per request). The queue
sheds requests before work is wasted on them: a request that can't meet its
deadline and, when the queue is full, the newest of the lowest priority.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from marjoramwharf.errors import Reason
from marjoramwharf.ids import TeamId
from marjoramwharf.service.request import NotRun, Priority, ServiceRequest


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request in the queue; ``pop`` skips it once it ``is_discarded``."""

    request: ServiceRequest
    is_discarded: bool = False


@dataclass(slots=True)
class _TeamQueue:
    requests: deque[QueuedRequest] = field(default_factory=deque)
    # Virtual start time of the team's next request; the team with the
    # earliest one is served next.
    virtual_start: float = 0


@dataclass(frozen=True, slots=True)
class ShedRequest:
    """A request that was shed or refused, with the answer to its caller."""

    queued: QueuedRequest
    answer: NotRun


class AdmissionQueue:
    """Queued requests by priority and team; it starts and wakes no tasks."""

    def __init__(self, *, limit: int, team_share: float) -> None:
        """Limit the queue to ``limit`` requests.

        Once the queue is half full, a team may queue at most ``team_share`` of
        the limit, so that one team can't keep the others out.
        """
        self._limit = limit
        self._team_limit = max(1, int(limit * team_share))
        self._queues: dict[Priority, dict[TeamId, _TeamQueue]] = {
            priority: {} for priority in Priority
        }
        self._virtual_times: dict[Priority, float] = dict.fromkeys(Priority, 0)
        self._length = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._length

    def offer(
        self,
        queued: QueuedRequest,
        *,
        now_s: float,
        service_time_s: float,
        release_rate_per_s: float,
    ) -> tuple[ShedRequest, ...]:
        """Add a request and return the requests that are shed for it.

        ``service_time_s`` is the time that the service takes for a request,
        ``release_rate_per_s`` the recent rate of released permits, 0 if it is
        not known. A refused request is itself among the shed requests.
        """
        request = queued.request
        refusal = self._check_deadline_and_share(
            request, now_s, service_time_s, release_rate_per_s
        )
        if refusal is not None:
            return (ShedRequest(queued, refusal),)
        shed: tuple[ShedRequest, ...] = ()
        if self._length >= self._limit:
            shed = self._shed_lower_priority(request.priority)
            if not shed:
                return (ShedRequest(queued, _refuse(Reason.QUEUE_FULL)),)
        self._append(queued)
        return shed

    def pop(
        self, now_s: float, *, service_time_s: float
    ) -> QueuedRequest | None:
        """Return the next request that can meet its deadline, or ``None``.

        Requests that can't meet their deadline are dropped without an answer;
        their own tasks time out at the deadline.
        """
        for priority in sorted(Priority, reverse=True):
            found = self._pop_priority(priority, now_s + service_time_s)
            if found is not None:
                return found
        return None

    def push_front(self, queued: QueuedRequest) -> None:
        """Return a popped request to the head of its queue."""
        team_queue = self._get_team_queue(queued.request)
        team_queue.requests.appendleft(queued)
        # Undoes the charge of ``pop``.
        team_queue.virtual_start -= 1
        self._length += 1

    def discard(self, queued: QueuedRequest) -> None:
        """Remove a request whose task has stopped waiting."""
        team_queue = self._get_team_queue(queued.request)
        if queued in team_queue.requests:
            team_queue.requests.remove(queued)
            self._length -= 1
        queued.is_discarded = True

    def _check_deadline_and_share(
        self,
        request: ServiceRequest,
        now_s: float,
        service_time_s: float,
        release_rate_per_s: float,
    ) -> NotRun | None:
        """Refuse a request that would be late or exceeds its team's share."""
        ahead = sum(
            len(team_queue.requests)
            for priority, teams in self._queues.items()
            if priority >= request.priority
            for team_queue in teams.values()
        )
        wait_s = ahead / release_rate_per_s if release_rate_per_s > 0 else 0
        if now_s + wait_s + service_time_s > request.deadline_s:
            return _refuse(Reason.DEADLINE, retry_after_s=wait_s)
        team_count = len(self._get_team_queue(request).requests)
        is_half_full = 2 * self._length >= self._limit
        if is_half_full and team_count >= self._team_limit:
            return _refuse(Reason.TEAM_LIMIT, retry_after_s=wait_s)
        return None

    def _shed_lower_priority(
        self, priority: Priority
    ) -> tuple[ShedRequest, ...]:
        """Shed the newest request of the lowest priority, if that is lower."""
        for lower in sorted(Priority):
            if lower >= priority:
                return ()
            longest = max(
                self._queues[lower].values(),
                key=_get_length,
                default=None,
            )
            if longest is not None and longest.requests:
                self._length -= 1
                dropped = longest.requests.pop()
                return (ShedRequest(dropped, _refuse(Reason.QUEUE_FULL)),)
        return ()

    def _append(self, queued: QueuedRequest) -> None:
        team_queue = self._get_team_queue(queued.request)
        if not team_queue.requests:
            virtual_time = self._virtual_times[queued.request.priority]
            team_queue.virtual_start = max(
                team_queue.virtual_start, virtual_time
            )
        team_queue.requests.append(queued)
        self._length += 1

    def _pop_priority(
        self,
        priority: Priority,
        min_end_s: float,
    ) -> QueuedRequest | None:
        """Pop the next request whose deadline is not before ``min_end_s``."""
        teams = self._queues[priority]
        while True:
            nonempty = [each for each in teams.values() if each.requests]
            if not nonempty:
                return None
            team_queue = min(nonempty, key=_get_virtual_start)
            queued = team_queue.requests.popleft()
            self._length -= 1
            if queued.is_discarded or min_end_s > queued.request.deadline_s:
                continue
            self._virtual_times[priority] = team_queue.virtual_start
            team_queue.virtual_start += 1
            return queued

    def _get_team_queue(self, request: ServiceRequest) -> _TeamQueue:
        teams = self._queues[request.priority]
        return teams.setdefault(request.team, _TeamQueue())


def _get_length(team_queue: _TeamQueue) -> int:
    return len(team_queue.requests)


def _get_virtual_start(team_queue: _TeamQueue) -> float:
    return team_queue.virtual_start


_REFUSAL_MESSAGES = {
    Reason.QUEUE_FULL: 'the queue is full of requests of this priority',
    Reason.DEADLINE: 'the deadline can not be met at the present load',
    Reason.TEAM_LIMIT: 'the team holds its share of the queue',
}


def _refuse(reason: Reason, *, retry_after_s: float = 1) -> NotRun:
    return NotRun(reason, _REFUSAL_MESSAGES[reason], max(0.1, retry_after_s))
