"""The operators' configuration of queues and services.

A configuration is replaced as a whole by a newer version and never by an
older one.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Timing of the advice service whose tickets the steps of a queue need.

    A call takes ``decision_ms``, and ``per_worker_ms`` for each worker in the
    request; a ticket is valid for ``valid_ms``.
    """

    decision_ms: int
    per_worker_ms: int
    valid_ms: int


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Policy of a queue: where its jobs come in, run, and in which order.

    ``priority`` 0 comes first. The objective of a job is ``stretch`` times
    its critical path and ``target_latency_ms`` more.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1
    target_latency_ms: int = 1_000
    timeout_ms: int = 3_000
    advice: AdvicePolicy | None = None


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Policy of the workers of one service.

    A worker that ``enforces_capacity`` refuses a run that does not fit; others
    start every run that they are told to. The workers of a spare service are
    off.
    """

    name: str
    enforces_capacity: bool = False
    is_spare: bool = False
    health_path: str = ''


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of a caller's connection and request."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 30_000


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of all queues and services."""

    version: int
    queues: Mapping[str, QueuePolicy] = field(default_factory=dict)
    services: Mapping[str, ServicePolicy] = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()

    def queue_at(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue with the longest prefix of a path.

        >>> queue = QueuePolicy('q', 'a.example', '/jobs/', 's')
        >>> Configuration(1, {'q': queue}).queue_at('a.example', '/jobs/1').name
        'q'
        """
        found = [
            queue
            for queue in self.queues.values()
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(found, key=_prefix_length, default=None)


def _prefix_length(queue: QueuePolicy) -> int:
    return len(queue.prefix)
